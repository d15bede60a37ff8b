"""One request crashes the engines that run it and is sent once, with its consumer's one retry."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins
from standins import CantRun, Engine, Entry, Store, call, config, now

ENGINES = 8
ENTRIES = 3
EVENTS = 4
# How long a request is read before it crashes its engine, and how long the engine is away.
READ_S = 0.25
BACK_S = 4.0
PLAY_S = 70
# A prompt that few ask for: one request in so many seconds.
RARE_S = 3.0
CRASHER = b"this exercise crashes the engine that runs it"


async def answer(engine, request, _reader, writer):
    if request.body == CRASHER:
        await asyncio.sleep(READ_S)
        asyncio.create_task(engine.crash(BACK_S))
        await asyncio.sleep(BACK_S)
        return False
    name = request.get("Request-Id")
    await asyncio.sleep(0.06)
    writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Stamp: "
                 f"{engine.stamp(request)}\r\nContent-Type: text/event-stream\r\n"
                 "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {name} {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def case(root, record, trouble, entries):
    address = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.1"
    store = Store(address, record)
    await store.start()
    peer_port = standins.free_port(address)
    # As the route of `marshal-qa`: it may be resumed, at two engines at the most.
    await store.put("op/config", config(
        1, [("qa", "/qa/", "streaming", "asistente",
             {"canResume": True, "maxAttempts": 2, "timeoutMs": 8000, "targetLatencyMs": 300,
              "targetGapMs": 200, "sticky": True})],
        [("asistente", {"engine": {"kvCapacityTokens": 588879}})]))
    engines = [Engine(store, record, f"i-{number}", address, "asistente", handler=answer,
                      more={"slots": 64, "phase": "decode",
                            "models": [{"name": "m", "version": 1, "adapters": []}]})
               for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    for index in range(ENTRIES):
        entries.append(Entry(store, record, index + 1))
        await entries[-1].start(root, peer_port)
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4)

    asked, denied, served = [], [], []

    async def ask(name, part, entry):
        got = await call(entry, "POST", "review.example", "/qa/2f", name, key="key-one",
                         body=b"question", deadline_ms=8000,
                         fields=[("Model", "m"), ("Token-Count", "700,40"),
                                 ("Prompt-Prefix", f"a0:120,{part}:400,{name.encode().hex()}:180")])
        asked.append(name)
        record.note(f"consumer {name} with part {part} got {got.status} from {entry.name}")
        if got.status == 200 and got.complete:
            served.append(name)
        elif got.status is not None and 300 <= got.status < 500 and got.status not in (
                408, 421, 429):
            denied.append(name)

    async def usual(index):
        number = 0
        while True:
            number += 1
            await ask(f"u{index}-{number}", f"b{(index + number) % 5}", entries[number % ENTRIES])
            await asyncio.sleep(0.2)

    async def rare():
        number = 0
        while True:
            number += 1
            await ask(f"s{number}", "c7", entries[number % ENTRIES])
            await asyncio.sleep(RARE_S)

    usuals = [asyncio.create_task(usual(index)) for index in range(3)]
    tasks = usuals + [asyncio.create_task(rare())]
    await asyncio.sleep(2 * RARE_S)
    if trouble:
        while not record.lines[-1][1].startswith("consumer s"):
            await asyncio.sleep(0.005)
        # The consumer's attempt and its one retry, at another machine.
        for number in (1, 2):
            got = await call(entries[number], "POST", "review.example", "/qa/2f",
                             f"crasher-{number}", key="key-one", body=CRASHER, deadline_ms=8000,
                             fields=[("Model", "m"), ("Token-Count", "700,40"),
                                     ("Prompt-Prefix", "a0:120,c7:400,dead:180")])
            record.note(f"consumer crasher-{number} got {got.status}")
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    allowed = 5 + len(asked) / 500
    record.note(f"{len(asked)} proper requests, {len(served)} served, {len(denied)} ended with a "
                f"4xx of an entry's own; {allowed:.1f} are allowed")
    if any(engine.orders for engine in engines):
        raise CantRun("an engine was ordered to change its phase, which these stand-ins don't play")
    if len(asked) < 200 or len(served) < 0.7 * len(asked):
        raise CantRun(f"{len(served)} of {len(asked)} requests were served")
    if len(denied) <= allowed:
        return []
    return [f"DENIED: {len(denied)} of {len(asked)} proper requests ended with a 4xx of an "
            f"entry's own, {allowed:.1f} are allowed; the last of them was {denied[-1]}"]


standins.play(__file__, case)
