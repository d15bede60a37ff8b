"""Passes connections on and counts their bytes, each way."""
import asyncio
import threading

PIECE_BYTES = 65_536


class RelayLoop:
    """The thread that all relays run on."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def relay_to(self, address):
        host, port = address.split(":")
        relay = CountingRelay(host, int(port))
        asyncio.run_coroutine_threadsafe(relay.listen(), self.loop).result()
        return relay


class CountingRelay:
    """A port in front of a process; counts TCP payload, without headers of IP and TCP."""

    def __init__(self, host, port):
        self.target = (host, port)
        self.to_target = 0
        self.from_target = 0

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pass(reader, target_writer, "to_target"),
                             self._pass(target_reader, writer, "from_target"))

    async def _pass(self, reader, writer, count):
        try:
            while piece := await reader.read(PIECE_BYTES):
                setattr(self, count, getattr(self, count) + len(piece))
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        writer.close()
