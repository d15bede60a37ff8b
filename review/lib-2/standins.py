"""Small stand-ins for the platform, its servers and its clients, for the scripts of review/6 and later.

They use Python's standard library alone, and loopback addresses alone. Each follows PROTOCOL.md; a
script makes one of them misbehave as its claim says.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "applefoldd")
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, *words):
        self.file.write("%8.3f %s\n" % (now(), " ".join(str(word) for word in words)))
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, fields, body, writer, reader):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.writer, self.reader = writer, reader
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {key: value[0] for key, value in parse_qs(parts.query).items()}

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """Returns the first line and the fields of a message; None if the channel ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


def render(status, body=b"", fields=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        fields = list(fields) + [("Content-Type", "application/json")]
    text = "HTTP/1.1 %d %s\r\n" % (status, "OK" if status < 300 else "Status")
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


async def serve(address, handle):
    """Serves HTTP/1.1; `handle` returns the bytes of the response, or None to close the channel."""

    async def channel(reader, writer):
        try:
            while True:
                read = await read_head(reader)
                if read is None:
                    return
                line, fields = read
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, fields)
                answer = await handle(Request(method, target, fields, body, writer, reader))
                if answer is None:
                    return
                if answer:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(channel, host, int(port), limit=1 << 24)


# --- the platform's store -----------------------------------------------------------------------


class Store:
    """The platform's metadata store. `lose` is asked for each write call (kv-txn, kv-lease) whether its
    answer is lost: it returns None, or after how many seconds the write is executed."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.lose = lambda request, body: None
        self.writes = []
        self.lost = []

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append((self.revision, key, event))
            self.changed.set()
            self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.record.line("store: lease", lease, "ended, removed", key)
            self.remove(key)

    def expire(self):
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= time.monotonic()]:
            self.end_lease(lease)

    async def run(self, address):
        self.server = await serve(address, self.handle)

        async def expire_often():
            while True:
                self.expire()
                await asyncio.sleep(0.01)

        self.task = asyncio.ensure_future(expire_often())

    def commit(self, txn):
        for row in txn.get("expected", []):
            item = self.items.get(row["key"])
            if int(row["revision"]) != (item["revision"] if item else 0):
                rows = [self.items[row["key"]] for row in txn["expected"] if row["key"] in self.items]
                return 412, {"items": rows}
        for row in txn.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in txn.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in txn.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def write(self, request, body):
        """Executes a kv-txn or kv-lease."""
        self.expire()
        if request.path == "/v1/kv-txn":
            return self.commit(body)
        self.next_lease += 1
        ttl = int(body["ttlMs"])
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"lease": self.next_lease, "ttlMs": ttl}

    async def handle(self, request):
        self.expire()
        path = request.path
        if path in ("/v1/kv-txn", "/v1/kv-lease"):
            body = request.json()
            self.writes.append(now())
            delay = self.lose(request, body)
            if delay is not None:
                self.lost.append(now())
                keys = [row["key"] for row in body.get("puts", [])] or body
                self.record.line("store: LOST answer of", path, keys, "executed", delay, "s later")

                async def later():
                    await asyncio.sleep(delay)
                    status, _ = self.write(request, body)
                    self.record.line("store: late write executed, status", status, keys)

                asyncio.ensure_future(later())
                await asyncio.sleep(3600)
                return None
            return render(*self.write(request, body))
        if path == "/v1/kv-key":
            item = self.items.get(request.query.get("key", ""))
            return render(404, {}) if item is None else render(200, dict(item, currentRev=self.revision))
        if path == "/v1/kv-range":
            prefix, after = request.query.get("pathPrefix", ""), request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            rows = [self.items[key] for key in keys[:500]]
            return render(200, {"items": rows, "truncated": len(keys) > 500, "currentRev": self.revision})
        if path == "/v1/kv-watch":
            prefix, after = request.query["pathPrefix"], int(request.query["after"])
            end = now() + int(request.query.get("waitMs", "0")) / 1000
            while True:
                events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
                if events or now() >= end:
                    return render(200, {"events": events, "currentRev": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, end - now()))
                except asyncio.TimeoutError:
                    pass
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return render(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return render(200, {"ttlMs": ttl})
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return render(200, {})
        return render(400, {})


# --- servers ------------------------------------------------------------------------------------


class Server:
    """A backend server or model engine that registers itself in the store and writes there every
    1.2 s. `work` is asked for the bytes of each response."""

    def __init__(self, name, service, address, zone, store, record, slots=6, phase=None):
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.store, self.record, self.slots, self.phase = store, record, slots, phase
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.work = None
        self.alive = True

    def registration(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def register(self):
        self.store.put_json("servers/" + self.name, self.registration())

    async def start(self):
        self.server = await serve(self.address, self.handle)
        self.register()

        async def beat():
            while True:
                await asyncio.sleep(1.2)
                if self.alive:
                    self.register()

        self.task = asyncio.ensure_future(beat())

    async def handle(self, request):
        expected = request.get("expect-instance")
        if expected is not None and expected != self.name:
            return render(421, b"", [("Instance-Id", self.name)])
        return await self.work(self, request)

    def answer(self, request, status, body, fields=()):
        load = "%d,0,%d" % (self.running, self.slots)
        own = [
            ("Request-Id", request.get("request-id", "")),
            ("Server-Stamp", "%s.%s" % (self.name, request.get("request-id", ""))),
            ("Server-Load", load), ("Keep-Alive", "timeout=10"),
        ]
        return render(status, body, own + list(fields))


# --- the system ---------------------------------------------------------------------------------


def settings(name, ip, zone, zones, store, cloud, bounds, memory=260):
    """The text of a settings file, as `fleetbench wire` prints it for a site."""
    value = {
        "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge"], "ip": ip,
        "zone": zone, "region": "r", "zones": {zone: "r" for zone in zones},
        "listenAddrs": {"front": ip + ":8368", "ready": ip + ":8369"},
        "internalPorts": [7780, 7795], "seeds": [], "bootstrap": True, "countsTowardLoss": False,
        "limits": {"cpuShare": 0.19, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
        "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
                      "tenants", "leader", "platform"],
        "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds,
        "platform": {"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                     "valueBytes": 1048576, "ttlMinMs": 1000},
        "cloudApi": {"address": cloud, "ratePerS": 50.0, "duties": ["usage_report", "autoscale"],
                     "dutyPerS": 50.0},
    }
    return json.dumps(value, indent=1)  # JSON is YAML


class Entry:
    """A process of the system, started with the command of deploy/system.toml."""

    def __init__(self, name, text, ip, folder, logs=None):
        self.name, self.ip, self.folder, self.logs = name, ip, folder, logs
        self.path = os.path.join(folder, name + ".yaml")
        with open(self.path, "w") as file:
            file.write(text)
        self.process = None

    @property
    def front(self):
        return self.ip + ":8368"

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                       "APPLEFOLD_BOOT": self.path}
        out = open(os.path.join(self.logs, self.name + ".log"), "a") if self.logs else subprocess.DEVNULL
        self.process = subprocess.Popen([PROGRAM, "gateway"], cwd=ROOT, env=environment, stdout=out,
                                        stderr=out, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8369)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=20):
        for _ in range(limit * 10):
            if self.process.poll() is not None:
                raise CannotRun("%s ended with status %s" % (self.name, self.process.returncode))
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " did not become ready")

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    pass


def take_network():
    """Returns the first three bytes of loopback addresses that nobody listens on."""
    for _ in range(100):
        net = "127.%d.%d" % (random.randint(60, 250), random.randint(1, 250))
        try:
            for host, port in ((1, 8362), (11, 8368), (12, 8368), (13, 8368), (101, 8080)):
                with socket.socket() as sock:
                    sock.bind(("%s.%d" % (net, host), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- callers ------------------------------------------------------------------------------------


class Answer:
    def __init__(self, status, fields, body, complete, error=""):
        self.status, self.fields, self.body = status, fields, body
        self.complete, self.error = complete, error

    def from_server(self):
        return "server-stamp" in self.fields


async def call(front, method, target, fields, body=b"", limit=10.0):
    """Sends one request on a new channel and reads its answer; its status is 0 if none came."""
    host, port = front.rsplit(":", 1)
    text = "%s %s HTTP/1.1\r\n" % (method, target)
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    if body or method == "POST":
        text += "Content-Length: %d\r\n" % len(body)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write(text.encode() + b"\r\n" + body)
        head = await asyncio.wait_for(read_head(reader), limit)
        if head is None:
            return Answer(0, {}, b"", False, "channel closed")
        line, answer_fields = head
        answer = await asyncio.wait_for(read_body(reader, answer_fields), limit)
        return Answer(int(line.split(" ")[1]), answer_fields, answer, True)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, {}, b"", False, repr(error))
    finally:
        if writer is not None:
            writer.close()


def request_id():
    return "%016x" % random.getrandbits(64)


def main(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("case starts, TROUBLE=%d" % trouble)
    entries = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the entries are ended below

    async def bounded(work):
        return await asyncio.wait_for(case(record, trouble, entries, work), 115)

    try:
        with tempfile.TemporaryDirectory() as work:
            try:
                # The stand-ins end with this process.
                loop = asyncio.new_event_loop()
                broken = loop.run_until_complete(bounded(work))
            finally:
                for entry in entries:
                    entry.stop()
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError, SystemExit) as error:
        record.line("could not run:", repr(error))
        print("could not run:", repr(error))
        code = 2
    record.line("exit", code)
    sys.stdout.flush()
    os._exit(code)
