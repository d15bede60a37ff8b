#!/usr/bin/env python3
"""Checks that the names of the platform's wire stand in platform/ only."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Header fields are matched in any case, fields and paths as they are written.
HEADERS = [
    "Request-Id", "Deadline-Ms", "Prompt-Prefix", "Server-Stamp", "Expect-Instance", "Server-Load",
    "Not-Executed", "Server-Leaving", "Duty-Holder", "Fencing-Token", "Instance-Id", "Token-Count", "Request-Priority",
    "Serving-Phase", "Kv-Source", "Kv-Hold", "Kv-Backup", "Kv-Fetch", "Pin-Ms", "Weight-Versions",
    "Expect-Version", "Length-Hint",
]
NAMES = [
    "kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep", "kv-handle", "readyz", "pathPrefix",
    "targetLatencyMs", "maxAttempts", "apiKeys", "canResume", "transferHandle", "coldRemainingMs",
    "nodeName", "listenAddrs", "cloudApi", "windowId", "op/config", "servers/",
]


def whole(names):
    return "|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in names)


PATTERN = re.compile(f"(?i:{whole(HEADERS)})|{whole(NAMES)}")


def faults():
    for source in sorted((ROOT / "crates").rglob("*.rs")):
        if source.name.endswith("_capnp.rs"):
            continue
        for number, line in enumerate(source.read_text().splitlines(), 1):
            found = PATTERN.search(line)
            if found:
                yield f"{source.relative_to(ROOT)}:{number}: {found.group()} belongs in platform/"


found = list(faults())
print("\n".join(found) or "names: the platform's stand in platform/ only")
sys.exit(bool(found))
