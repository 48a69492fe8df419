"""Hand-made records for the report's calculations, one function a case."""

from hyssopwood_standins.report import Recordings


def started(server, t=0.0, checks_fencing=True):
    return {
        "type": "started",
        "t": t,
        "server": server,
        "checks_fencing": checks_fencing,
        "slots": 2,
    }


def owner(kind, server, t, partition="portal/1"):
    return {"type": kind, "server": server, "t": t, "partition": partition, "token": 1}


def runs(server, start, end, key="k", partition="portal/1", nonce="n", attempt="0", number=1):
    """Return the start of a run, and its end unless `end` is None."""
    run = {"server": server, "run": f"{server}-{number}", "nonce": nonce, "attempt": attempt}
    run |= {"key": key, "partition": partition, "running": 1}
    first = {**run, "type": "run_started", "t": start}
    return [first] if end is None else [first, {**run, "type": "run_ended", "t": end}]


def attempt(sent, done, outcome="answered", **other):
    record = {"type": "attempt", "t": sent, "done": done, "outcome": outcome, "key": "k"}
    record |= {"nonce": "n", "attempt": "0", "repeatable": True, "right": True, "whole": True}
    return record | {"latency_ms": (done - sent) * 1000, "detail": ""} | other


def event(kind, process, t):
    return {"type": kind, "process": process, "t": t}


SERVERS = [started("a"), started("b"), started("free", checks_fencing=False)]


def _servers(*records):
    flat = [
        item for record in records for item in (record if isinstance(record, list) else [record])
    ]
    return Recordings(servers=[*SERVERS, *flat])


def _with_events(recordings, *events):
    recordings.events.extend(events)
    return recordings


def _requests(attempts, *records, events=()):
    recordings = _with_events(_servers(*records), *events)
    recordings.attempts.extend(attempts)
    return recordings


ONCE = {"repeatable": False}
RUN = runs("a", 1.01, 1.02)
OWNED_BY_A = owner("granted", "a", 1.0)
OWNED_BY_B = owner("granted", "b", 2.0)
END = owner("released", "b", 3.0)

CASES = {
    "released before granted elsewhere": _servers(
        OWNED_BY_A, owner("released", "a", 2.0), OWNED_BY_B, END
    ),
    "granted elsewhere before released": _servers(
        OWNED_BY_A, owner("released", "a", 2.5), OWNED_BY_B, END
    ),
    "lapsed before granted elsewhere": _servers(
        OWNED_BY_A, owner("lapsed", "a", 1.9), OWNED_BY_B, END
    ),
    "never released": _servers(OWNED_BY_A, OWNED_BY_B, END),
    "killed before granted elsewhere": _with_events(
        _servers(OWNED_BY_A, OWNED_BY_B, END), event("killed", "a", 1.5)
    ),
    "killed after granted elsewhere": _with_events(
        _servers(OWNED_BY_A, OWNED_BY_B, END), event("killed", "a", 2.25)
    ),
    "restarted before granted elsewhere": _servers(OWNED_BY_A, started("a", 1.75), OWNED_BY_B, END),
    "run outlives its grant": _servers(
        OWNED_BY_A, runs("a", 1.5, 2.3), owner("released", "a", 1.9), OWNED_BY_B, END
    ),
    "unfenced grant never released": _servers(owner("granted", "free", 1.0), OWNED_BY_B, END),
    "unfenced run under another's grant": _servers(
        owner("granted", "free", 1.0), runs("free", 1.5, 2.2), OWNED_BY_B, END
    ),
    "one partition runs on two servers": _servers(runs("a", 1.0, 2.0), runs("b", 1.8, 2.5)),
    "key runs in shard and own partition": _servers(
        runs("a", 1.0, 2.0), runs("b", 1.6, 2.5, partition="portal=k")
    ),
    "key's own partition granted elsewhere": _servers(
        runs("a", 1.5, 2.1), owner("granted", "b", 2.0, "portal=k")
    ),
    "same key in two services": _servers(
        runs("a", 1.0, 2.0), runs("b", 1.0, 2.0, partition="catalogue/1")
    ),
    "one good answer": _requests([attempt(1.0, 1.03)], RUN),
    "answered while owned twice": _requests(
        [attempt(1.0, 1.03)], RUN, OWNED_BY_A, owner("granted", "b", 1.5), END
    ),
    "answer of another request": _requests([attempt(1.0, 1.03, right=False)], RUN),
    "answer cut off": _requests([attempt(1.0, 1.03, whole=False)], RUN),
    "damaged answer told as unknown": _requests(
        [attempt(1.0, 1.03), attempt(2.0, 2.1, "unknown", nonce="m", whole=False)], RUN
    ),
    "non-repeatable request ran twice": _requests(
        [attempt(1.0, 1.03, "unknown", **ONCE), attempt(1.1, 1.2, attempt="1", **ONCE)],
        RUN,
        runs("b", 1.1, 1.2, attempt="1"),
    ),
    "non-repeatable request ran on three servers": _requests(
        [attempt(1.0, 1.3, **ONCE)], RUN, runs("b", 1.1, 1.2), runs("free", 1.2, None)
    ),
    "repeatable request ran twice": _requests(
        [attempt(1.0, 1.3)], RUN, runs("a", 1.1, 1.2, number=2)
    ),
    "told not run but ran": _requests(
        [attempt(1.0, 1.03, "not_run"), attempt(1.0, 1.1, nonce="m")], RUN
    ),
    "told not run but crashed its server": _requests(
        [attempt(1.0, 1.03, "not_run"), attempt(1.0, 1.1, nonce="m")],
        runs("a", 1.0, None),
        events=[event("killed", "a", 1.02)],
    ),
    "told not run and refused by its server": _requests(
        [attempt(1.0, 1.03, "not_run"), attempt(1.0, 1.1, nonce="m")],
        {**RUN[0], "type": "refused", "reason": "token-mismatch"},
    ),
    "told not run after an earlier attempt ran": _requests(
        [
            attempt(1.0, 1.03, "unknown"),
            attempt(1.1, 1.2, "not_run", attempt="1"),
            attempt(1.0, 1.1, nonce="m"),
        ],
        RUN,
    ),
    "told not run and ran without a number": _requests(
        [attempt(1.0, 1.03, "not_run"), attempt(1.0, 1.1, nonce="m")],
        runs("a", 1.0, 1.1, attempt=None),
    ),
    "nothing answered": _requests([attempt(1.0, 1.03, "unknown")], RUN),
    "answered after a wait for a new owner": _requests([attempt(1.0, 1.72)], runs("b", 1.7, 1.72)),
    "refused until a new owner serves": _requests(
        [
            attempt(1.0, 1.1, "not_run"),
            attempt(1.25, 1.35, "not_run"),
            attempt(1.5, 1.62),
        ],
        runs("b", 1.6, 1.62),
    ),
    "no demand between two answers": _requests(
        [attempt(1.0, 1.03), attempt(9.0, 9.02)], RUN, runs("a", 9.01, 9.02, number=2)
    ),
    "refused because it already ran": _requests(
        [attempt(1.0, 1.03), attempt(2.0, 2.5, "unknown", detail="already-run")], RUN
    ),
    "running on a frozen server": _requests(
        [attempt(1.0, 2.1)],
        runs("free", 1.05, 2.1),
        events=[event("frozen", "free", 1.1), event("resumed", "free", 2.0)],
    ),
    "running on a killed server": _requests(
        [attempt(1.0, 1.5, "unknown")],
        runs("a", 1.0, None),
        events=[event("killed", "a", 1.1)],
    ),
    "held by a frozen server after it was replaced": _requests(
        [attempt(2.0, 3.0)],
        runs("a", 1.0, 1.1),
        runs("b", 2.95, 2.99, number=2),
        owner("granted", "a", 0.5),
        owner("lapsed", "a", 2.3),
        owner("granted", "b", 2.4),
        events=[event("frozen", "a", 1.9), event("resumed", "a", 2.9)],
    ),
    "held while a working server was replaced": _requests(
        [attempt(2.0, 3.0)],
        runs("b", 2.9, 2.99),
        owner("granted", "a", 0.5),
        owner("released", "a", 2.3),
        owner("granted", "b", 2.4),
    ),
}
