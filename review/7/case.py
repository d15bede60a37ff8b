"""A whole kind of request is refused with 422 for ten minutes after three answers were lost."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

KEY = "nu6wsjnbanfqasnmgkcu"
ZONES = ["tbilisi-a", "tbilisi-b", "rustavi", "mtskheta"]
BOUNDS = {  # of sites/refillnet-ge.toml, as `fleetbench wire` prints them
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncTimeS": 4, "drainMs": 2000,
    "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retrySlack": 58, "requireFence": True, "leaseMs": 3000, "thawMs": 300,
    "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12, "transitMs": 120,
    "reuseWindowS": 6.5,
}
LOSSES = 3
SHARED = {"label": "5c1e07a2:568", "chat": "91bd3f06:198"}
ROUTE = {"label": "/lohu930/", "chat": "/pufi791/"}


def config():
    def route(name, prefix, timeout, target, priority):
        return {"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": "streaming",
                "timeoutMs": timeout, "targetLatencyMs": target, "priority": priority, "service": "huvo11a",
                "maxAttempts": 1, "public": False, "sticky": True, "canResume": False, "targetGapMs": 250}

    return {
        "version": 7,
        "routes": [route("r-label", ROUTE["label"], 2500, 250, 0), route("r-chat", ROUTE["chat"], 8000, 250, 1)],
        "services": [
            {"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 630, "protocol": "h1", "tls": False,
             "engine": {"slots": 128, "kvCapacityTokens": 937888, "kvTokenBytes": 18432, "linkMbps": 250000.0,
                        "handleTtlS": 5.0, "roleSwitchS": 3.0, "models": [{"name": "m"}]}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


async def case(record, trouble, entries, work):
    net = s.take_network()
    store = s.Store(record)
    await store.run(net + ".1:8362")

    async def cloud(request):
        return s.render(200, {})

    await s.serve(net + ".2:8362", cloud)
    store.put_json("op/config", config())

    losing = {"on": False, "lost": 0, "ran": 0}

    async def run(engine, request):
        if request.path == "/v1/order":
            return s.render(409, {})
        if request.method == "DELETE":
            return s.render(200, {})
        phase = request.get("serving-phase")
        if (phase == "prefill") != (engine.phase == "prefill"):
            return s.render(421, b"", [("Instance-Id", engine.name)])
        if phase == "prefill":
            await asyncio.sleep(0.02)
            return engine.answer(request, 200, {"transferHandle": s.request_id(), "tokens": 2368, "version": 1})
        if losing["on"]:
            losing["ran"] += 1
        engine.running += 1
        await asyncio.sleep(0.03)
        engine.running -= 1
        label = request.target.startswith(ROUTE["label"])
        lose = losing["on"] and label and losing["lost"] < LOSSES
        record.line("engine", engine.name, "ran", request.get("request-id"), request.target,
                    "ANSWER LOST" if lose else "answered 200")
        if lose:
            losing["lost"] += 1
            s.reset(request.writer)
            return None
        events = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(3))
        return engine.answer(request, 200, events, [("Content-Type", "text/event-stream"), ("Weight-Versions", "1")])

    engines = []
    for number, zone in enumerate(ZONES + ZONES):  # of lm-pool
        engine = s.Server("i-lm%d" % number, "huvo11a", "%s.%d:8080" % (net, 101 + number), zone, store, record,
                          slots=128, phase="prefill" if number < 3 else "decode")
        engine.work = run
        engines.append(engine)
        await engine.start()

    for number, zone in enumerate(ZONES[:3]):
        name, ip = "edge-%s-1" % zone, "%s.%d" % (net, 11 + number)
        text = s.settings(name, ip, zone, ZONES, net + ".1:8362", net + ".2:8362", BOUNDS)
        entries.append(s.Entry(name, text, ip, work, os.environ.get("LOGS")))
    for entry in entries:
        entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(10)  # traffic starts 10 s after the machines do

    answers = []

    async def ask(kind, entry):
        identifier, last = s.request_id(), s.request_id()[:8]
        body = os.urandom(600).hex().encode()  # no two requests are alike
        answer = await s.call(entry.front, "POST", ROUTE[kind] + "2f", [
            ("Host", "ficu95.example"), ("Request-Id", identifier), ("Model", "m"), ("Token-Count", "2368,3"),
            ("Prompt-Prefix", SHARED[kind] + "," + last + ":1800"), ("Deadline-Ms", "2500"),
            ("Authorization", "Bearer " + KEY)], body, limit=2.5)
        own = not answer.from_server()
        record.line("client", identifier, kind, "at", entry.name, "got", answer.status,
                    "of the system's own" if own else "of an engine", answer.error or answer.body[:80])
        answers.append((kind, answer.status, own))
        return answer

    # Quiet hours: a request now and then.
    for number in range(3):
        await ask("chat", entries[number])
        await asyncio.sleep(0.5)
    losing["on"] = trouble
    record.line("window begins")
    begin = s.now()
    for number in range(6):
        await ask("chat", entries[number % 3])
    for number in range(LOSSES):
        await ask("label", entries[number % 3])
        await asyncio.sleep(1.1)
    await asyncio.sleep(max(0, begin + 4 - s.now()))
    losing["on"] = False
    record.line("window ended after", round(s.now() - begin, 1), "s; ran", losing["ran"], "lost", losing["lost"])
    if trouble and (losing["lost"] < LOSSES or losing["lost"] > 0.4 * losing["ran"]):
        raise s.CannotRun("%d of %d answers were lost" % (losing["lost"], losing["ran"]))
    await asyncio.sleep(4)  # longer than contactMs: every machine is in touch
    for number in range(20):
        await ask("label", entries[number % 3])
        await ask("chat", entries[(number + 1) % 3])
        await asyncio.sleep(2)

    own = [answer for answer in answers if answer[2] and 300 <= answer[1] < 500 and answer[1] not in (408, 421, 429)]
    allowed = 5 + len(answers) / 500
    record.line("requests:", len(answers), "ended with a 3xx or 4xx of the system's own:", len(own),
                "allowed:", allowed)
    print("DENIED: %d of %d requests, allowed %.2f" % (len(own), len(answers), allowed))
    return len(own) > allowed


s.main(FOLDER, case)
