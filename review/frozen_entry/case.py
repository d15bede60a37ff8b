"""An entry is frozen while a request that it has sent crashes its engine; the request comes again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins
from standins import CantRun, Engine, Entry, Store, call, config, now

ENGINES = 12
ENTRIES = 6
CONTACT_S = 3.0
# The retries later than that which the rule allows.
ALLOWED = 3
READ_S = 0.05
BACK_S = 2.0
FREEZE_S = 1.65
WORK_S = 0.03
DOWN_S = 0.7
CRASHER = b"this record crashes the engine that runs it"


async def answer(engine, request, reader, writer):
    if request.body == CRASHER:
        await asyncio.sleep(READ_S)
        asyncio.create_task(engine.crash(BACK_S))
        await asyncio.sleep(BACK_S)
        return False
    return await Engine.answer_whole(engine, request, reader, writer)


async def case(root, record, trouble, entries):
    address = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.1"
    store = Store(address, record)
    await store.start()
    peer_port = standins.free_port(address)
    await store.put("op/config", config(
        1, [("enroll", "/enroll/", "unsafe", "registro", {})], [("registro", {})]))
    engines = [Engine(store, record, f"i-{number}", address, "registro", handler=answer,
                      work_s=WORK_S)
               for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    for index in range(ENTRIES):
        entries.append(Entry(store, record, index + 1))
        await entries[-1].start(root, peer_port)
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(5)

    counts = {"crasher": 0}
    lost = []
    stopped = []

    async def consumer(index):
        sent = 0
        while True:
            sent += 1
            name = f"c{index}-{sent}"
            entry = entries[(index + sent) % ENTRIES]
            if entry in stopped:
                continue
            got = await call(entry, "POST", "review.example",
                             "/enroll/2f", name, key="key-one", body=name.encode())
            if got.status != 200:
                lost.append((now(), name))
                record.note(f"consumer {name} got {got.status}")
            await asyncio.sleep(0.01)

    async def send_crasher(entry):
        counts["crasher"] += 1
        name = f"crasher-{counts['crasher']}"
        got = await call(entry, "POST", "review.example", "/enroll/2f", name, key="key-one",
                         body=CRASHER)
        record.note(f"consumer {name} got {got.status} from {entry.name}")

    def crashes():
        return sorted((at, request.get("Request-Id")) for engine in engines
                      for at, request, _ in engine.runs if request.body == CRASHER)

    consumers = [asyncio.create_task(consumer(index)) for index in range(12)]
    await asyncio.sleep(1)
    # The first crash: the entry that sent the request is frozen before it sees the break.
    first = asyncio.create_task(send_crasher(entries[0]))
    while not crashes():
        await asyncio.sleep(0.001)
    if trouble:
        stopped.append(entries[0])
        entries[0].signal("SIGSTOP")
        await asyncio.sleep(FREEZE_S)
        entries[0].signal("SIGCONT")
    await first
    await asyncio.sleep(6)
    stopped.clear()
    await send_crasher(entries[1])
    await asyncio.sleep(4)
    if len(crashes()) != 2:
        raise CantRun("the crasher did not crash two engines")
    # All are in touch again by then.
    await asyncio.sleep(2 * CONTACT_S)
    await send_crasher(entries[2])
    if len(crashes()) != 3:
        raise CantRun("the crasher did not crash a third engine")
    third_at = crashes()[2][0] + READ_S
    await asyncio.sleep(CONTACT_S + 1)
    before = len(lost)
    repeats = []
    for entry in entries:
        repeats.append(asyncio.create_task(send_crasher(entry)))
    await asyncio.gather(*repeats)
    await asyncio.sleep(3)
    for task in consumers:
        task.cancel()
    late = [name for at, name in crashes() if at > third_at + CONTACT_S]
    record.note(f"{len(late)} retries of the crasher reached engines later than {CONTACT_S} s after "
                f"it had crashed the third; {len(lost) - before} requests of others got no success "
                "meanwhile")
    if len(late) <= ALLOWED:
        return []
    return [f"BUDGET: {len(late)} retries reached engines later than {CONTACT_S} s after the third "
            f"crash ({', '.join(late)}); {len(lost) - before} requests of others were lost with "
            "their engines"]


standins.play(__file__, case)
