"""One entry is killed and started again; a second later an engine leaves without `draining`."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins
from standins import CantRun, Engine, Entry, Store, call, config, now

DRAIN_S = 2.0
ENTRIES = 3
ENGINES = 2
ROUNDS = 3
# How long a killed process is away, and how long after its return the engine leaves.
DOWN_S = 0.7
BACK_S = 1.0


def reader_of_list(store, entries):
    """The entry that has read the list of engines most often in the last two seconds."""
    lately = [name for at, path, name in store.reads
              if at > now() - 2 and path == "servers/"]
    return max(entries, key=lambda entry: lately.count(entry.name))


async def case(root, record, trouble, entries):
    address = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.1"
    store = Store(address, record)
    await store.start()
    peer_port = standins.free_port(address)
    await store.put("op/config", config(
        1, [("enroll", "/enroll/", "unsafe", "registro", {})], [("registro", {})]))
    engines = []
    number = 0
    for _ in range(ENGINES):
        number += 1
        engines.append(Engine(store, record, f"i-{number}", address, "registro"))
        await engines[-1].start()
    for index in range(ENTRIES):
        entries.append(Entry(store, record, index + 1))
        await entries[-1].start(root, peer_port)
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(5)

    killed = []
    taken_by = {}
    results = []

    async def consumer(index):
        sent = 0
        while True:
            sent += 1
            name = f"c{index}-{sent}"
            calm = [entry for entry in entries if entry not in killed]
            entry = calm[(index + sent) % len(calm)]
            taken_by[name] = entry.name
            answer = await call(entry, "POST", "review.example", "/enroll/2f", name,
                                key="key-one", body=b"enroll")
            record.note(f"consumer {name} got {answer.status} from {entry.name}")
            results.append(answer.status)
            await asyncio.sleep(0.03)

    consumers = [asyncio.create_task(consumer(index)) for index in range(4)]
    await asyncio.sleep(1)
    broken = []
    for _ in range(ROUNDS):
        reader = reader_of_list(store, entries)
        if trouble:
            # Consumers leave the killed entry alone until it is in touch again: it is not judged.
            killed.append(reader)
            await asyncio.sleep(0.2)
            reader.signal("SIGKILL")
            await reader.process.wait()
            await asyncio.sleep(DOWN_S)
            await reader.start(root, peer_port)
            await reader.wait_ready()
            await asyncio.sleep(BACK_S)
        leaving = engines.pop(0)
        left_at = await leaving.leave()
        await asyncio.sleep(4.5)
        late = [(at, request.get("Request-Id")) for at, request, _ in leaving.runs
                if at > left_at + DRAIN_S]
        last = max((at for at, *_ in leaving.runs), default=left_at) - left_at
        record.note(f"{leaving.name}: {len(late)} requests ran later than {DRAIN_S} s after its "
                    f"entry was removed; the last run began {last:.3f} s after it")
        broken += [f"DRAIN: {leaving.name} ran {name}, sent by {taken_by[name]}, "
                   f"{at - left_at:.3f} s after its entry was removed" for at, name in late]
        await leaving.stop()
        number += 1
        engines.append(Engine(store, record, f"i-{number}", address, "registro"))
        await engines[-1].start()
        await asyncio.sleep(3.5)
        killed.clear()
    for task in consumers:
        task.cancel()
    if results.count(200) < 0.9 * len(results) or len(results) < 200:
        raise CantRun(f"{results.count(200)} of {len(results)} requests were served")
    return broken


standins.play(__file__, case)
