"""All engines of a plain service, which stand in one zone, go dark for 4.5 s."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins
from standins import CantRun, Engine, Entry, Store, call, config, now

ENGINES = 3
ENTRIES = 3
DARK_S = 4.5
PLAY_S = 45


async def case(root, record, trouble, entries):
    address = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.1"
    store = Store(address, record)
    await store.start()
    peer_port = standins.free_port(address)
    # As the routes of `cert-enroll` and `roster-view`.
    await store.put("op/config", config(
        1, [("enroll", "/enroll/", "unsafe", "registro", {"timeoutMs": 1200}),
            ("roster", "/roster/", "safe", "registro", {"timeoutMs": 1200, "maxAttempts": 2})],
        [("registro", {})]))
    engines = [Engine(store, record, f"i-{number}", address, "registro", zone="zone-b",
                      work_s=0.03) for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    for index in range(ENTRIES):
        entries.append(Entry(store, record, index + 1))
        await entries[-1].start(root, peer_port)
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4)

    asked, denied, late_denied = [], [], []
    back_at = [None]

    async def ask(name, method, path, entry):
        got = await call(entry, method, "review.example", path, name, key="key-one",
                         body=name.encode() if method == "POST" else b"")
        asked.append((name, got.status))
        if got.status != 200:
            record.note(f"consumer {name} got {got.status} for {method} {path} "
                        f"from {entry.name}")
        if got.status is not None and 300 <= got.status < 500 and got.status not in (
                408, 421, 429):
            denied.append(name)
            if back_at[0] and now() > back_at[0] + 5:
                late_denied.append(name)

    async def consumer(index, method, path, pause):
        number = index
        while True:
            number += 1
            await ask(f"{method.lower()}{index}-{number}", method, path,
                      entries[number % ENTRIES])
            await asyncio.sleep(pause)

    # All views are of one page, such as the start page of every marshal.
    tasks = [asyncio.create_task(consumer(0, "POST", "/enroll/2f", 0.05)),
             asyncio.create_task(consumer(1, "POST", "/enroll/2f", 0.05)),
             *(asyncio.create_task(consumer(index, "GET", "/roster/start", 0.2))
               for index in range(2, 10))]
    await asyncio.sleep(3)
    if trouble:
        await asyncio.gather(*(engine.go_dark(DARK_S) for engine in engines))
        back_at[0] = now()
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    allowed = 5 + len(asked) / 500
    served = sum(status == 200 for _, status in asked)
    record.note(f"{len(asked)} proper requests, {served} served, {len(denied)} ended with a 4xx of "
                f"an entry's own, {len(late_denied)} of these later than 5 s after the engines "
                f"were back; {allowed:.1f} are allowed")
    if len(asked) < 200 or served < 0.3 * len(asked):
        raise CantRun(f"{served} of {len(asked)} requests were served")
    if len(denied) <= allowed:
        return []
    return [f"DENIED: {len(denied)} of {len(asked)} proper requests ended with a 4xx of an "
            f"entry's own, {allowed:.1f} are allowed; {len(late_denied)} of them later than 5 s "
            "after the engines were back"]


standins.play(__file__, case)
