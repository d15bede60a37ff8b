"""Stand-ins of the review: the platform's store, engines, consumers, and the entries under test.

Only the standard library is used. Every address is a loopback address. The stand-ins speak what
PROTOCOL.md says; what a case lets them do beyond that stands in the case's own script.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

START = time.monotonic()
# The findings that a record lists in full.
MAX_LISTED = 20


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


# The period of the heartbeats of engines, and after how much silence an entry is removed.
BEAT_S = 1.2
EXPIRY_S = 3 * BEAT_S
# How long the bytes to a dark machine lie unanswered before a system gives the channel up.
GIVEN_UP_S = 3.0


class Record:
    """What was sent, answered and run; written to record.txt beside the script."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []

    def note(self, text):
        self.lines.append((now(), text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.3f} {text}\n")


class CantRun(Exception):
    """The case could not be played; the script ends with 2."""


TAKEN_PORTS = set()


def free_port(address):
    """A port that is free at the address and that no other stand-in was given."""
    while True:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


class Message:
    """The head and body of a request or a response."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields, b"")


async def read_chunks(reader, on_chunk):
    """Reads a chunked body; returns once the last chunk was read."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_chunk(data[:-2])


async def read_message(reader):
    message = await read_head(reader)
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        await read_chunks(reader, parts.append)
        message.body = b"".join(parts)
    else:
        length = int(message.get("Content-Length") or 0)
        message.body = await reader.readexactly(length)
    return message


class Store:
    """The platform's metadata store, and its usage interface."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.port = free_port(address)
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.waiting = set()
        self.usage = []
        # The time, the prefix and the reader of each range read and watch.
        self.reads = []

    async def start(self):
        await asyncio.start_server(self.serve, self.address, self.port)
        asyncio.create_task(self.expire())

    async def port_for(self, name):
        """Opens one more port, by which the calls of one entry are told from the others'."""
        port = free_port(self.address)

        async def serve(reader, writer):
            writer.entry_name = name
            await self.serve(reader, writer)

        await asyncio.start_server(serve, self.address, port)
        return port

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [lease for lease, (_, until) in self.leases.items() if until <= now()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        await self.put_text(key, base64.b64encode(value).decode(), lease)

    async def put_text(self, key, text, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.history.append(dict(item))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    def cut_waiting_watch(self):
        """Closes the channel of one watch that waits now, in the regular way; returns the name of
        the entry that waited, or None if none did."""
        for _, writer in self.waiting:
            writer.close()
            return getattr(writer, "entry_name", "?")
        return None

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(0.004)
                status, body = await self.answer(request, writer)
                if status is None:
                    return
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        query = {name: value.replace("%2F", "/") for name, value in query.items()}
        if "pathPrefix" in query:
            self.reads.append((now(), query["pathPrefix"], getattr(writer, "entry_name", "?")))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (
                404, {"currentRev": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query["pathPrefix"]) and key > after]
            return 200, {"items": items[:500], "truncated": len(items) > 500,
                         "currentRev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query, writer)
        if path == "/v1/kv-txn":
            return await self.commit(json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl = json.loads(request.body)["ttlMs"]
            self.revision += 1
            lease = self.revision
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/usage":
            self.usage.append((now(), request.get("Duty-Holder"), request.get("Fencing-Token"),
                               json.loads(request.body)))
            return 200, {}
        return 400, {}

    async def watch(self, query, writer):
        prefix, after = query["pathPrefix"], int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        waits = (prefix, writer)
        self.waiting.add(waits)
        try:
            while True:
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(prefix)]
                left = until - now()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                if writer.transport.is_closing():
                    return None, None
        finally:
            self.waiting.discard(waits)

    async def commit(self, txn):
        for row in txn.get("expected", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                keys = [row["key"] for row in txn["expected"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items],
                             "currentRev": self.revision}
        for row in txn.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in txn.get("puts", []):
            await self.put_text(row["key"], row["value"], row.get("lease", 0))
        for key in txn.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}


class Engine:
    """A backend server. It answers each request whole, after `work_s`.

    `runs` holds the time, the request and the entry's address of each request that it ran.
    """

    def __init__(self, store, record, name, address, service, zone="zone-a", work_s=0.02,
                 handler=None, more=None):
        self.more = more or {}
        self.store = store
        self.record = record
        self.name = name
        self.address = address
        self.port = free_port(address)
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.handler = handler or Engine.answer_whole
        self.sequence = 0
        self.runs = []
        self.orders = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.beating = None
        self.dark = False
        self.open = set()

    async def start(self, registered=True):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        if registered:
            await self.register("ready")
            self.beating = asyncio.create_task(self.beat())

    def entry(self, state):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 6, "state": state,
                "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
                **self.more}

    async def register(self, state):
        self.sequence += 1
        self.record.note(f"store: servers/{self.name} is {state}")
        await self.store.put(f"servers/{self.name}", self.entry(state))

    async def beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self.sequence += 1
            await self.store.put(f"servers/{self.name}", self.entry("ready"))

    async def leave(self):
        """Removes the entry without having reported `draining`; goes on serving."""
        self.beating.cancel()
        await self.store.remove(f"servers/{self.name}")
        self.record.note(f"store: servers/{self.name} removed")
        return now()

    async def stop(self):
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def crash(self, back_s):
        """Ends all at once, without a word to the store; starts again `back_s` later under the
        same id."""
        self.record.note(f"engine {self.name} crashes")
        await self.stop()
        await asyncio.sleep(back_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()

    async def go_dark(self, for_s):
        """Is silent as a machine without power: reads nothing, answers nothing, and completes no
        new channel. Starts again `for_s` later, which is over `EXPIRY_S`, under another id."""
        self.record.note(f"engine {self.name} goes dark")
        if self.beating:
            self.beating.cancel()
        self.dark = True
        sock = self.server.sockets[0]._sock
        asyncio.get_running_loop().remove_reader(sock.fileno())
        # With a full queue, the opening packets of new channels are dropped.
        sock.listen(0)
        fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address, self.port))
            fillers.append(filler)
        # What lies unanswered for so long is given up by the caller's system, as on real links.
        await asyncio.sleep(GIVEN_UP_S)
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(EXPIRY_S - GIVEN_UP_S)
        await self.store.remove(f"servers/{self.name}")
        self.record.note(f"store: servers/{self.name} removed after three silent heartbeats")
        await asyncio.sleep(for_s - EXPIRY_S)
        for filler in fillers:
            filler.close()
        self.server.close()
        self.name += "b"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.dark = False
        await self.start()
        self.record.note(f"engine {self.name} is back")

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if self.dark:
                    await asyncio.sleep(3600)
                path = request.first.split(" ")[1]
                expected = request.get("Expect-Instance")
                if expected and expected != self.name:
                    await self.send(writer, request, 421, b"", "Not-Executed: 1\r\n")
                elif path == "/v1/order":
                    self.orders += 1
                    await self.send(writer, request, 409, b"", "")
                elif path.startswith("/v1/") or path == "/healthz":
                    await self.send(writer, request, 404, b"", "")
                else:
                    at = now()
                    caller = writer.get_extra_info("peername")[0]
                    self.runs.append((at, request, caller))
                    self.record.note(f"engine {self.name} runs {request.get('Request-Id')} "
                                     f"({request.first.rsplit(' ', 1)[0]})")
                    if not await self.handler(self, request, reader, writer):
                        return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def stamp(self, request):
        return f"{self.name}.{request.get('Request-Id')}"

    async def send(self, writer, request, status, body, extra):
        writer.write(f"HTTP/1.1 {status} Status\r\nRequest-Id: {request.get('Request-Id')}\r\n"
                     f"{extra}Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n"
                     .encode() + body)
        await writer.drain()

    async def answer_whole(self, request, _reader, writer):
        await asyncio.sleep(self.work_s)
        if self.dark:
            await asyncio.sleep(3600)
        body = f"record of {request.get('Request-Id')} by {self.name}\n".encode()
        await self.send(writer, request, 200, body, f"Server-Stamp: {self.stamp(request)}\r\n")
        return True


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, store, record, number, bounds=None):
        self.record = record
        self.number = number
        self.address = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.{number + 10}"
        self.name = f"edge-zone-a-{number}"
        self.front = free_port(self.address)
        self.ready = free_port(self.address)
        self.store = store
        self.store_port = None
        self.folder = tempfile.mkdtemp(prefix="applefold-review-")
        self.process = None
        self.boots = 0
        self.bounds = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
                       "syncTimeS": 4, "drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200,
                       "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                       "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
                       "retryWindowS": 10, "retrySlack": 58, "requireFence": True,
                       "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5,
                       "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
                       "transitMs": 120, "reuseWindowS": 7.7, **(bounds or {})}

    def settings(self, peer_port):
        store = f"{self.store.address}:{self.store_port}"
        fields = {
            "nodeName": self.name, "role": "entry", "machineClass": "edge", "serves": ["edge"],
            "ip": self.address, "zone": "zone-a", "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listenAddrs": {"front": f"{self.address}:{self.front}",
                            "ready": f"{self.address}:{self.ready}"},
            "internalPorts": [peer_port, peer_port + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split",
                          "stream", "engine", "tenants", "leader", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "platform": {"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": store, "ratePerS": 50.0,
                         "duties": ["usage_report", "autoscale"], "dutyPerS": 50.0},
        }
        # JSON is YAML.
        return json.dumps(fields, indent=2)

    async def start(self, root, peer_port):
        if self.store_port is None:
            self.store_port = await self.store.port_for(self.name)
        path = os.path.join(self.folder, "local.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(peer_port))
        program = os.path.join(root, "target", "release", "applefoldd")
        if not os.path.exists(program):
            raise CantRun("target/release/applefoldd is missing: run the build of the deploy file")
        self.boots += 1
        log = open(os.path.join(self.folder, f"log-{self.boots}.txt"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            program, "gateway", stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "APPLEFOLD_BOOT": path})
        log.close()
        self.record.note(f"entry {self.name} started")

    def log(self):
        texts = []
        for boot in range(1, self.boots + 1):
            path = os.path.join(self.folder, f"log-{boot}.txt")
            with open(path, encoding="utf-8", errors="replace") as file:
                texts.append(file.read())
        return "".join(texts)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ready), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=15):
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until or self.process.returncode is not None:
                raise CantRun(f"{self.name} did not get ready")
            await asyncio.sleep(0.05)

    def signal(self, name):
        self.record.note(f"entry {self.name} gets {name}")
        self.process.send_signal(getattr(signal, name))

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"{self.name}: logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a consumer got: the status (None if the channel ended before), the head, the body,
    and whether the body was complete."""

    def __init__(self):
        self.status = None
        self.head = None
        self.body = b""
        self.complete = False


async def call(entry, method, host, path, request_id, key=None, body=b"", fields=(),
               deadline_ms=2500):
    """Sends one request on a new channel and reads the answer until the time budget ends."""
    answer = Answer()

    async def exchange():
        reader, writer = await asyncio.open_connection(entry.address, entry.front)
        try:
            text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            text += f"Deadline-Ms: {deadline_ms}\r\n"
            if key:
                text += f"Authorization: Bearer {key}\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in fields)
            if method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            await writer.drain()
            answer.head = await read_head(reader)
            answer.status = int(answer.head.first.split(" ")[1])
            if (answer.head.get("Transfer-Encoding") or "").lower() == "chunked":
                def add(data):
                    answer.body += data
                await read_chunks(reader, add)
            else:
                length = int(answer.head.get("Content-Length") or 0)
                answer.body = await reader.readexactly(length)
            answer.complete = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    return answer


def config(version, routes, services, keys=None):
    """A config of the operator. `routes` are rows of name, prefix, kind, service and more."""
    rows = []
    for name, prefix, kind, service, more in routes:
        rows.append({"name": name, "host": "review.example", "pathPrefix": prefix, "kind": kind,
                     "service": service, "timeoutMs": 2500, "targetLatencyMs": 150,
                     "priority": 1, "maxAttempts": 1, **more})
    return {"version": version, "routes": rows,
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 110, **more}
                         for name, more in services],
            "tenants": [{"name": team, "apiKeys": [key]}
                        for key, team in (keys or {"key-one": "team-one"}).items()],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}


def play(script, case):
    """Runs the case's coroutine, which returns the lines that say how the rule was broken; ends
    with 1 if there are any, with 0 if there are none, with 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(script))
    root = folder
    while not os.path.exists(os.path.join(root, "Cargo.lock")):
        if root == os.path.dirname(root):
            print("could not run: the script is not in the repository")
            sys.exit(2)
        root = os.path.dirname(root)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    entries = []

    async def main():
        try:
            return await asyncio.wait_for(case(root, record, trouble, entries), 110)
        finally:
            for entry in entries:
                await entry.end()

    try:
        broken = asyncio.run(main())
    except (CantRun, asyncio.TimeoutError, OSError) as error:
        record.note(f"the case could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken[:MAX_LISTED]:
        record.note(f"BROKEN: {line}")
    if len(broken) > MAX_LISTED:
        record.note(f"BROKEN: and {len(broken) - MAX_LISTED} more")
    record.note(f"trouble {'on' if trouble else 'off'}: "
                f"{'the rule was broken' if broken else 'the rule held'}")
    record.write()
    print(f"trouble {'on' if trouble else 'off'}: {len(broken)} findings")
    for line in broken[:5]:
        print("  " + line)
    sys.exit(1 if broken else 0)
