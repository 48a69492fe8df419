"""Calculate the measures of a run from the records of servers, callers and the launcher.

Records are JSON objects with `type` and `t` (time.monotonic(), shared by all processes of a
machine). Callers write `attempt`; servers write `started`, `renewed`, `granted`, `token_changed`,
`released`, `lapsed`, `run_started`, `run_ended` and `refused`; the launcher writes `launched`,
`terminated`, `killed`, `stopped`, `frozen` and `resumed` with the name of the process.
"""

from __future__ import annotations

import json
import math
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

from attrs import field, frozen

Record: TypeAlias = dict[str, Any]
Span: TypeAlias = tuple[float, float]

# A failed attempt and the next one of its key count as continuous demand up to this gap.
MAX_DEMAND_GAP_S = 0.25
# Refusals of a request that has run or is running, during which its key is being served.
DUPLICATE_REFUSALS = ("in-progress", "already-run", "record-lost", "poison")
GRANT_END_TYPES = ("released", "lapsed")
PROCESS_END_TYPES = ("killed", "stopped")


@frozen
class Interval:
    """A period in which a server held a partition or ran a request."""

    server: str
    partition: str
    start: float
    end: float
    key: str = ""


@frozen
class Recordings:
    """All records of a run."""

    attempts: list[Record] = field(factory=list)
    servers: list[Record] = field(factory=list)
    events: list[Record] = field(factory=list)

    @property
    def end(self) -> float:
        """Return the time of the last record."""
        ends = [record.get("done", record["t"]) for record in self.attempts]
        return max([*ends, *(record["t"] for record in [*self.servers, *self.events])], default=0.0)


def read_records(path: Path) -> list[Record]:
    """Read JSON lines, without a line that a killed process left unfinished."""
    if not path.exists():
        return []
    records = []
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            records.append(json.loads(line))
        except ValueError:
            continue
    return records


def merge(recordings: Iterable[Recordings]) -> Recordings:
    """Merge the recordings of several deployments."""
    merged = Recordings()
    for item in recordings:
        merged.attempts.extend(item.attempts)
        merged.servers.extend(item.servers)
        merged.events.extend(item.events)
    return merged


def grant_intervals(recordings: Recordings) -> list[Interval]:
    """Return when each server held each partition.

    A grant ends when it is released or lapses, when its process ends or when the records end, but
    at the latest when the last lease of the server ends.
    """
    found: list[Interval] = []
    for server, records in _by_server(recordings).items():
        open_grants: dict[str, float] = {}
        lease_until = math.inf
        for record in [*records, {"type": "stopped", "t": recordings.end}]:
            for partition in _ended_grants(record, open_grants):
                start = open_grants.pop(partition)
                end = max(start, min(record["t"], lease_until))
                found.append(Interval(server, partition, start, end))
            if record["type"] == "granted":
                open_grants[record["partition"]] = record["t"]
            elif record["type"] == "renewed":
                lease_until = record["lease_until"]
    return found


def _ended_grants(record: Record, open_grants: dict[str, float]) -> list[str]:
    if record["type"] in (*PROCESS_END_TYPES, "started"):
        return list(open_grants)
    partition = record.get("partition", "")
    ends = record["type"] in GRANT_END_TYPES and partition in open_grants
    return [partition] if ends else []


def run_intervals(recordings: Recordings) -> list[Interval]:
    """Return when each server ran each request, at most until its process ended."""
    found: list[Interval] = []
    for server, records in _by_server(recordings).items():
        open_runs: dict[Any, Record] = {}
        for record in records:
            for number in _ended_runs(record, open_runs):
                found.append(_run_interval(server, open_runs.pop(number), record["t"]))
            if record["type"] == "run_started":
                open_runs[record["run"]] = record
        for run in open_runs.values():
            found.append(_run_interval(server, run, recordings.end))
    return found


def _ended_runs(record: Record, open_runs: dict[Any, Record]) -> list[Any]:
    if record["type"] in (*PROCESS_END_TYPES, "started"):
        return list(open_runs)
    ends = record["type"] == "run_ended" and record["run"] in open_runs
    return [record["run"]] if ends else []


def _run_interval(server: str, run: Record, end: float) -> Interval:
    return Interval(server, run["partition"], run["t"], max(end, run["t"]), run["key"])


def _by_server(recordings: Recordings) -> dict[str, list[Record]]:
    """Return each server's records and the ends of its processes, in order of time."""
    grouped: dict[str, list[Record]] = defaultdict(list)
    for record in recordings.servers:
        grouped[record["server"]].append(record)
    for event in recordings.events:
        if event["type"] in PROCESS_END_TYPES and event["process"] in grouped:
            grouped[event["process"]].append(event)
    for records in grouped.values():
        records.sort(key=lambda record: record["t"])
    return grouped


def unfenced_servers(recordings: Recordings) -> set[str]:
    """Return the servers that don't check fencing."""
    started = (record for record in recordings.servers if record["type"] == "started")
    return {record["server"] for record in started if not record["checks_fencing"]}


def double_owner_ms(recordings: Recordings) -> float:
    """Return for how long partitions or keys were owned by more than one server.

    A server that checks fencing owns its granted partitions. The grants of a server that doesn't
    never lapse, so it counts as owner of a partition only while it runs a request of it.
    """
    unfenced = unfenced_servers(recordings)
    grants = [item for item in grant_intervals(recordings) if item.server not in unfenced]
    runs = run_intervals(recordings)
    by_partition: dict[str, list[Interval]] = defaultdict(list)
    for item in [*grants, *runs]:
        by_partition[item.partition].append(item)
    total_s = sum(_overlap_s(items, partitions=1) for items in by_partition.values())
    for items in _by_key(grants, runs).values():
        total_s += _overlap_s(items, partitions=2)
    return total_s * 1000


def _by_key(grants: list[Interval], runs: list[Interval]) -> dict[str, list[Interval]]:
    """Group runs by service and key, with the grants of the key's own partition.

    A partition that is only one key is named `service=key`, a shard is named `service/index`.
    """
    grouped: dict[str, list[Interval]] = defaultdict(list)
    for run in runs:
        grouped[f"{_service_of(run.partition)}={run.key}"].append(run)
    for grant in grants:
        if grant.partition in grouped:
            grouped[grant.partition].append(grant)
    return grouped


def _service_of(partition: str) -> str:
    return partition.partition("/")[0].partition("=")[0]


def _overlap_s(items: list[Interval], partitions: int) -> float:
    """Return for how long at least two servers and `partitions` partitions were active."""
    changes = [(item.start, 1, item) for item in items]
    changes += [(item.end, -1, item) for item in items]
    changes.sort(key=lambda change: change[0])
    servers: Counter[str] = Counter()
    names: Counter[str] = Counter()
    total = 0.0
    previous = 0.0
    for at, step, item in changes:
        if len(+servers) > 1 and len(+names) >= partitions:
            total += at - previous
        servers[item.server] += step
        names[item.partition] += step
        previous = at
    return total


def double_runs(recordings: Recordings) -> int:
    """Return how many runs of non-idempotent requests repeated an earlier run."""
    non_idempotent = {item["nonce"] for item in recordings.attempts if not item["repeatable"]}
    runs = Counter(run["nonce"] for run in _runs(recordings) if run["nonce"] in non_idempotent)
    return sum(count - 1 for count in runs.values())


def not_run_but_ran(recordings: Recordings) -> int:
    """Return how many attempts were reported as not run although they were.

    A run without an attempt number can belong to any attempt of its request, so it is a violation
    only if all attempts of the request were reported as not run.
    """
    numbered = {(run["nonce"], run["attempt"]) for run in _runs(recordings) if run["attempt"]}
    unnumbered = {run["nonce"] for run in _runs(recordings) if not run["attempt"]}
    not_run = [item for item in recordings.attempts if item["outcome"] == "not_run"]
    others = {item["nonce"] for item in recordings.attempts if item["outcome"] != "not_run"}
    return sum(
        (item["nonce"], item["attempt"]) in numbered
        or (item["nonce"] in unnumbered and item["nonce"] not in others)
        for item in not_run
    )


def wrong_answers(recordings: Recordings) -> int:
    """Return how many answers reported as good belong to another request."""
    return sum(item["right"] is False for item in _answered(recordings))


def incomplete_answers(recordings: Recordings) -> int:
    """Return how many answers reported as good are cut off or damaged."""
    return sum(item["whole"] is False for item in _answered(recordings))


def _runs(recordings: Recordings) -> Iterator[Record]:
    return (record for record in recordings.servers if record["type"] == "run_started")


def _answered(recordings: Recordings) -> Iterator[Record]:
    return (item for item in recordings.attempts if item["outcome"] == "answered")


def owner_changes(recordings: Recordings) -> int:
    """Return how often a partition was granted to a different server."""
    return sum(1 for _ in _iterate_owner_changes(recordings))


def owners_of(recordings: Recordings, partition: str) -> list[str]:
    """Return the servers that were granted a partition, in order, without consecutive repeats."""
    grants = [item for item in grant_intervals(recordings) if item.partition == partition]
    owners: list[str] = []
    for item in sorted(grants, key=lambda interval: interval.start):
        if owners[-1:] != [item.server]:
            owners.append(item.server)
    return owners


def last_server_of(recordings: Recordings, key: str) -> str:
    """Return the server of the key's last run, or an empty string."""
    runs = (run for run in _runs(recordings) if run["key"] == key)
    last = max(runs, key=lambda run: run["t"], default=None)
    return last["server"] if last else ""


def failures(recordings: Recordings) -> dict[str, int]:
    """Return the number of attempts without an answer by outcome and detail."""
    failed = (item for item in recordings.attempts if item["outcome"] != "answered")
    return dict(Counter(f"{item['outcome']} {item['detail']}" for item in failed))


def max_overcommit(recordings: Recordings) -> int:
    """Return the largest number of requests that a server ran in excess of its slots."""
    slots = {item["server"]: item["slots"] for item in recordings.servers if "slots" in item}
    over = (run["running"] - slots.get(run["server"], 0) for run in _runs(recordings))
    return max(0, max(over, default=0))


def unavailable_spans(recordings: Recordings) -> dict[str, Span]:
    """Return for each key the longest period in which it was in demand but not served.

    A key is in demand while an attempt is pending, and between a failed attempt and the next one
    if these are at most `MAX_DEMAND_GAP_S` apart. It is served while a server that is neither
    frozen nor killed runs a request of it. A request that is stuck on a failed server counts as
    demand only until another server is granted the key.
    """
    attempts: dict[str, list[Record]] = defaultdict(list)
    for item in recordings.attempts:
        if not any(reason in item.get("detail", "") for reason in DUPLICATE_REFUSALS):
            attempts[item["key"]].append(item)
    served: dict[str, list[Span]] = defaultdict(list)
    failed = failed_spans(recordings)
    for run in run_intervals(recordings):
        served[run.key] += _subtract((run.start, run.end), failed.get(run.server, []))
    replaced = _replacement_times(recordings, failed)
    return {
        key: _longest_gap(_demand_spans(items, replaced[key]), sorted(served[key]))
        for key, items in attempts.items()
    }


def longest_unavailable(recordings: Recordings) -> tuple[str, Span]:
    """Return the key with the longest unavailability, and when it was."""
    spans = unavailable_spans(recordings).items()
    return max(spans, key=lambda item: _length(item[1]), default=("", (0.0, 0.0)))


def max_key_unavailable_ms(recordings: Recordings) -> float:
    """Return the longest time for which a key was in demand but not served."""
    return _length(longest_unavailable(recordings)[1]) * 1000


def _replacement_times(
    recordings: Recordings, failed: dict[str, list[Span]]
) -> dict[str, list[float]]:
    """Return for each key when one of its partitions was granted in place of a failed server."""
    partitions: dict[str, set[str]] = defaultdict(set)
    for run in _runs(recordings):
        partitions[run["partition"]].add(run["key"])
    times: dict[str, list[float]] = defaultdict(list)
    for at, partition, previous in _iterate_owner_changes(recordings):
        if any(start <= at <= end for start, end in failed.get(previous, [])):
            for key in partitions[partition]:
                times[key].append(at)
    return times


def _iterate_owner_changes(recordings: Recordings) -> Iterator[tuple[float, str, str]]:
    """Yield the time, the partition and the previous owner of each change of owner."""
    grants = [record for record in recordings.servers if record["type"] == "granted"]
    owners: dict[str, str] = {}
    for record in sorted(grants, key=lambda item: item["t"]):
        previous = owners.get(record["partition"], record["server"])
        owners[record["partition"]] = record["server"]
        if previous != record["server"]:
            yield record["t"], record["partition"], previous


def failed_spans(recordings: Recordings) -> dict[str, list[Span]]:
    """Return when each process was frozen or had ended and was not yet restarted."""
    found: dict[str, list[Span]] = defaultdict(list)
    failed_since: dict[str, float] = {}
    for event in sorted(recordings.events, key=lambda item: item["t"]):
        name = event.get("process", "")
        if event["type"] in ("frozen", *PROCESS_END_TYPES):
            failed_since.setdefault(name, event["t"])
        elif event["type"] in ("resumed", "launched") and name in failed_since:
            found[name].append((failed_since.pop(name), event["t"]))
    for name, start in failed_since.items():
        found[name].append((start, recordings.end))
    return found


def _subtract(span: Span, holes: list[Span]) -> list[Span]:
    start, end = span
    parts = []
    for hole_start, hole_end in sorted(holes):
        if hole_end <= start or hole_start >= end:
            continue
        if hole_start > start:
            parts.append((start, hole_start))
        start = hole_end
    return [*parts, (start, end)] if start < end else parts


def _demand_spans(attempts: list[Record], replaced: list[float]) -> list[Span]:
    sent = sorted(item["t"] for item in attempts)
    spans = [(item["t"], _demand_end(item, replaced)) for item in attempts]
    for item in attempts:
        following = bisect_left(sent, item["done"])
        if item["outcome"] == "answered" or following == len(sent):
            continue
        if sent[following] - item["done"] <= MAX_DEMAND_GAP_S:
            spans.append((item["done"], sent[following]))
    return _merged(spans)


def _demand_end(item: Record, replaced: list[float]) -> float:
    return next((at for at in sorted(replaced) if item["t"] < at < item["done"]), item["done"])


def _merged(spans: list[Span]) -> list[Span]:
    merged: list[Span] = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((start, end))
    return merged


def _longest_gap(spans: list[Span], served: list[Span]) -> Span:
    gaps: list[Span] = []
    for start, end in spans:
        covered_to = start
        for run_start, run_end in served:
            if run_end <= start or run_start >= end:
                continue
            gaps.append((covered_to, run_start))
            covered_to = max(covered_to, run_end)
        gaps.append((covered_to, end))
    return max(gaps, key=_length)


def _length(span: Span) -> float:
    return span[1] - span[0]


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-share * len(ordered) // 1))
    return ordered[rank - 1]


def latencies_ms(recordings: Recordings) -> list[float]:
    """Return the latencies of the answered attempts, counted from when they were due."""
    return [item["latency_ms"] for item in _answered(recordings)]


def measures(recordings: Recordings, ticket_in_force_ms: float | None) -> dict[str, Any]:
    """Return the measures that section 10 of the design document defines."""
    outcomes = Counter(item["outcome"] for item in recordings.attempts)
    latencies = latencies_ms(recordings)
    return {
        "requests": len(recordings.attempts),
        "answered": outcomes["answered"],
        "not_run": outcomes["not_run"],
        "unknown": outcomes["unknown"],
        "wrong_answers": wrong_answers(recordings),
        "incomplete_answers": incomplete_answers(recordings),
        "double_runs": double_runs(recordings),
        "not_run_but_ran": not_run_but_ran(recordings),
        "double_owner_ms": round(double_owner_ms(recordings), 3),
        "max_key_unavailable_ms": round(max_key_unavailable_ms(recordings), 1),
        "owner_changes": owner_changes(recordings),
        "ticket_in_force_ms": None if ticket_in_force_ms is None else round(ticket_in_force_ms, 1),
        "p50_ms": round(percentile(latencies, 0.5), 2),
        "p99_ms": round(percentile(latencies, 0.99), 2),
    }


VIOLATION_MEASURES = (
    "wrong_answers",
    "incomplete_answers",
    "double_runs",
    "not_run_but_ran",
    "double_owner_ms",
)


def violations(values: dict[str, Any]) -> list[str]:
    """Return one line for each violation of a guarantee."""
    lines = [
        f"{name} is {values[name]}, expected 0" for name in VIOLATION_MEASURES if values[name] > 0
    ]
    if values["answered"] == 0:
        lines.append("no request was answered")
    if values["ticket_in_force_ms"] is None:
        lines.append("a ticket was not in force on every instance")
    return lines


def table(values: dict[str, Any]) -> str:
    """Return the measures as lines of aligned columns."""
    width = max(len(name) for name in values)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in values.items())
