"""Measures one entry with sidecars: added latency, processor time, memory, platform calls."""
import argparse
import json
import os
import statistics
import time

from cluster import CALLER_KEY, MODEL, Caller, Cluster

SIZES = [2, 8, 16, 32]
CONCURRENCY = 32
ANSWER_TOKENS = 16
WARM_UP = 50


def percentile(samples, share):
    return sorted(samples)[min(len(samples) - 1, int(len(samples) * share))]


def timed_chat(caller, serial, stream):
    body = {"model": MODEL, "messages": [{"role": "user", "content": f"question {serial}"}],
            "max_tokens": ANSWER_TOKENS, "stream": stream}
    begun = time.perf_counter()
    status, text = caller.call("POST", "/v1/chat/completions", body)
    seconds = time.perf_counter() - begun
    assert status == 200, text
    return seconds * 1e6


def added_latency(cluster, rounds, stream):
    """Direct and through by turns, so that both meet the same machine."""
    direct = Caller(cluster.engines[0].ready["listening"])
    through = Caller(cluster.entry.ready["callers"], CALLER_KEY)
    samples = {"direct": [], "through": []}
    for serial in range(rounds + WARM_UP):
        for name, caller in (("direct", direct), ("through", through)):
            micros = timed_chat(caller, serial, stream)
            if serial >= WARM_UP:
                samples[name].append(micros)
    row = {f"{name}_{label}_us": round(percentile(values, share))
           for name, values in samples.items() for label, share in (("median", 0.5), ("p99", 0.99))}
    row["added_median_us"] = row["through_median_us"] - row["direct_median_us"]
    row["added_p99_us"] = row["through_p99_us"] - row["direct_p99_us"]
    return row


def loaded(cluster, requests, stream):
    daemons = [cluster.entry] + cluster.sidecars
    before = [process.cpu_seconds() for process in daemons]
    summary = cluster.load(requests, CONCURRENCY, stream)
    used = [process.cpu_seconds() - start for process, start in zip(daemons, before)]
    entry, sidecars = used[0], sum(used[1:])
    return {
        "whole": summary["whole"], "wrong": summary["wrong"], "errors": summary["errors"],
        "requests_per_s": round(summary["requests_per_s"]),
        "entry_cpu_us_per_request": round(entry / requests * 1e6),
        "sidecar_cpu_us_per_request": round(sidecars / requests * 1e6),
        "requests_per_s_per_entry_core": round(requests / entry) if entry else None,
        "requests_per_s_per_sidecar_core": round(requests / sidecars) if sidecars else None,
    }


def control_rates(cluster, seconds):
    """Rates of an idle entry, and the mean of its sidecars. Bytes are those sent to peers and the platform."""
    entry, sidecars = cluster.entry, cluster.sidecars
    daemons = [entry] + sidecars
    cpu = [process.cpu_seconds() for process in daemons]
    calls = cluster.platform_calls()
    sent = cluster.control_bytes()
    begun = time.monotonic()
    time.sleep(seconds)
    span = time.monotonic() - begun
    after = cluster.platform_calls()
    cpu = [process.cpu_seconds() - start for process, start in zip(daemons, cpu)]
    sent = {name: (count - sent[name]) / span for name, count in cluster.control_bytes().items()}
    mean = lambda values: sum(values) / len(values)
    return {
        "seconds": round(span, 1),
        "entry_cpu_percent": round(100 * cpu[0] / span, 2),
        "sidecar_cpu_percent": round(100 * mean(cpu[1:]) / span, 2),
        "entry_platform_calls_per_s": round((after.get("e1", 0) - calls.get("e1", 0)) / span, 2),
        "sidecar_platform_calls_per_s": round(
            mean([after.get(s.name, 0) - calls.get(s.name, 0) for s in sidecars]) / span, 2),
        "entry_control_bytes_per_s": round(sent[entry.name]),
        "sidecar_control_bytes_per_s": round(mean([sent[s.name] for s in sidecars])),
    }


def memory(cluster):
    resident = [sidecar.resident_kib() for sidecar in cluster.sidecars]
    return {"entry_kib": cluster.entry.resident_kib(), "sidecar_kib": round(statistics.median(resident))}


def slopes(rows):
    """The growth of each figure for one sidecar more, by least squares."""
    names = [name for name in rows[0] if name not in ("sidecars", "seconds")]
    sizes = [row["sidecars"] for row in rows]
    result = {}
    for name in names:
        slope, start = statistics.linear_regression(sizes, [row[name] for row in rows])
        result[name] = {"per_sidecar": round(slope, 3), "at_none": round(start, 2)}
    return result


def measure(options):
    rounds, requests, idle = (300, 2_000, 5) if options.quick else (3_000, 20_000, 20)
    report = {"cores": os.cpu_count(), "load_average_before": os.getloadavg()[0]}
    with Cluster(SIZES[0]) as cluster:
        time.sleep(2)
        report["memory_idle"] = memory(cluster)
        report["latency_whole"] = added_latency(cluster, rounds, stream=False)
        report["latency_streamed"] = added_latency(cluster, rounds, stream=True)
        report["load_whole"] = loaded(cluster, requests, stream=False)
        report["load_streamed"] = loaded(cluster, requests, stream=True)
        report["memory_loaded"] = memory(cluster)
    rows = []
    for size in SIZES:
        with Cluster(size, counted=True) as cluster:
            time.sleep(12)  # Until the leases are held and every task has settled.
            rows.append({"sidecars": size, **control_rates(cluster, idle), **memory(cluster)})
    report["idle"] = rows
    report["idle_slopes"] = slopes(rows)
    report["load_average_after"] = os.getloadavg()[0]
    return report


def print_text(report):
    for title, part in report.items():
        if not isinstance(part, (dict, list)):
            print(f"{title}: {part}")
            continue
        print(f"\n{title}")
        for row in part if isinstance(part, list) else [part]:
            print("  " + "  ".join(f"{name}={value}" for name, value in row.items()))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--quick", action="store_true", help="a shorter run")
    options = parser.parse_args()
    report = measure(options)
    if options.json:
        print(json.dumps(report, indent=2))
    else:
        print_text(report)


main()
