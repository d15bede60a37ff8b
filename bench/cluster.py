"""Starts a platform, engines, sidecars and one entry as plain processes, and reads what they cost."""
import hashlib
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import time

from relay import RelayLoop

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = pathlib.Path(os.environ.get("CARGO_TARGET_DIR", ROOT / "target")) / "release"
LOGS = ROOT / "run" / "bench"
CALLER_KEY = "bench-caller-key"
OPERATOR = "bench-operator-credential"
SECRET = "bench-cluster-secret"
MODEL = "tiny-1"
DOMAINS = ["d1", "d2", "d3"]
START_SECONDS = 20
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Process:
    """A process on free ports, with what it told of its addresses."""

    def __init__(self, name, args):
        self.name = name
        self.log = LOGS / f"{name}.log"
        with self.log.open("w") as log:
            self.child = subprocess.Popen(args, stdout=log, stderr=subprocess.STDOUT)
        self.ready = self._wait_ready()

    def _wait_ready(self):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end and self.child.poll() is None:
            for line in self.log.read_text().splitlines():
                fields = json.loads(line)
                if "listening" in fields or "peers" in fields:
                    return fields
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start, see {self.log}")

    def cpu_seconds(self):
        """The processor time used so far, of all threads."""
        stat = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_kib(self):
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status).group(1))

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        self.child.wait()


class Caller:
    """One HTTP connection that is kept open."""

    def __init__(self, address, bearer=None):
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=30)
        self.headers = {"content-type": "application/json"}
        if bearer:
            self.headers["authorization"] = f"Bearer {bearer}"

    def call(self, method, path, body=None):
        text = None if body is None else json.dumps(body)
        self.connection.request(method, path, text, self.headers)
        answer = self.connection.getresponse()
        return answer.status, answer.read()

    def get_json(self, path):
        return json.loads(self.call("GET", path)[1])


class Cluster:
    """One entry before `size` sidecars; use it as a context.

    `counted` puts relays between the processes that count what they send.
    """

    def __init__(self, size, counted=False):
        self.size = size
        self.processes, self.engines, self.sidecars = [], [], []
        self.relays = RelayLoop() if counted else None
        self.peer_relays, self.platform_relays = {}, {}

    def __enter__(self):
        LOGS.mkdir(parents=True, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        # Sidecars first, while the entry can still take what they have counted.
        for process in self.sidecars + self.processes[::-1]:
            process.stop()

    def _start(self):
        self.platform = self._spawn("platform", ["applefold-standin", "platform", "--listen", "127.0.0.1:0"])
        self.registry = Caller(self.platform.ready["listening"])
        for index in range(self.size):
            self._add_backend(index)
        own = ["--listen", "127.0.0.1:0", "--region", "r1", "--operator-credential", OPERATOR]
        self.entry = self._daemon("entry", "e1", "d1", own)
        self._announce(self.entry, "entry", "d1", None)
        self.operator = Caller(self.entry.ready["callers"], OPERATOR)
        self._file_ticket()
        self._wait_in_force()

    def _add_backend(self, index):
        domain = DOMAINS[index % len(DOMAINS)]
        args = ["applefold-standin", "engine", "--listen", "127.0.0.1:0", "--step-ms", "0"]
        engine = self._spawn(f"engine{index + 1}", args)
        own = ["--backend", engine.ready["listening"], "--pool", "chat"]
        sidecar = self._daemon("sidecar", f"b{index + 1}", domain, own)
        self._announce(sidecar, "backend", domain, "chat")
        self.engines.append(engine)
        self.sidecars.append(sidecar)

    def _daemon(self, role, name, domain, own):
        platform = self.platform.ready["listening"]
        if self.relays:
            self.platform_relays[name] = self.relays.relay_to(platform)
            platform = self.platform_relays[name].address
        args = ["applefoldd", role, "--peer-listen", "127.0.0.1:0", "--instance", name, "--domain", domain]
        args += ["--cluster-secret", SECRET, "--trace-share", "0", "--platform", platform]
        return self._spawn(name, args + own)

    def _spawn(self, name, args):
        process = Process(name, [str(BINARIES / args[0])] + args[1:])
        self.processes.append(process)
        return process

    def _announce(self, process, kind, domain, pool):
        address = process.ready["peers"]
        if self.relays:
            self.peer_relays[process.name] = self.relays.relay_to(address)
            address = self.peer_relays[process.name].address
        record = {"id": process.name, "kind": kind, "address": address, "domain": domain,
                  "region": "r1", "pool": pool, "state": "live"}
        status, text = self.registry.call("POST", "/instances", record)
        assert status == 200, text

    def _file_ticket(self):
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        ticket = {
            "ticket": 1, "author": "bench", "teams": [{"id": "brigada", "weight": 10}],
            "keys": [{"id": "k1", "team": "brigada", "sha256": digest, "state": "active"}],
            "pools": [{"id": "chat", "kind": "model", "min": self.size, "max": 64, "failure_domains": DOMAINS}],
            "services": [{"id": "assistant", "kind": "model", "pool": "chat", "models": [MODEL], "open": False,
                          "teams": ["*"], "repeatable": True, "deadline_ms": 10_000, "max_body_bytes": 1_000_000,
                          "priority": "interactive"}],
        }
        status, text = self.operator.call("POST", "/operator/tickets", ticket)
        assert status == 200, text

    def _wait_in_force(self):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            rows = self.operator.get_json("/operator/status")["instances"]
            ready = [row for row in rows if row["revision"] >= 1 and row["state"] == "live"]
            if len(ready) == self.size:
                return
            time.sleep(0.1)
        raise RuntimeError("the ticket did not come in force everywhere")

    def platform_calls(self):
        """Calls to the platform so far, by client."""
        clients = self.registry.get_json("/stats")["clients"]
        return {client: sum(kinds.values()) for client, kinds in clients.items()}

    def control_bytes(self):
        """Bytes that each process has sent to peers and to the platform so far."""
        sent = {name: relay.to_target for name, relay in self.platform_relays.items()}
        for name, relay in self.peer_relays.items():
            if name != self.entry.name:
                sent[name] += relay.from_target
                sent[self.entry.name] += relay.to_target
        return sent

    def load(self, requests, concurrency, stream):
        args = [str(BINARIES / "applefold-standin"), "load", "--address", self.entry.ready["callers"],
                "--bearer", CALLER_KEY, "--model", MODEL, "--requests", str(requests),
                "--concurrency", str(concurrency), "--json"]
        done = subprocess.run(args + ["--stream"] * stream, capture_output=True, text=True, check=True)
        return json.loads(done.stdout)
