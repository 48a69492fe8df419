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


def _case(*records, attempts=(), events=()):
    flat = [SERVERS, *(item if isinstance(item, list) else [item] for item in records)]
    return Recordings(list(attempts), [record for item in flat for record in item], list(events))


def _told(*attempts):
    """Return attempts with a good answer among them, so that only one measure is bad."""
    return [*attempts, attempt(1.0, 1.1, nonce="m")]


SERVERS = [started("a"), started("b"), started("free", checks_fencing=False)]
RUN = runs("a", 1.01, 1.02)
GOOD = attempt(1.0, 1.03)
NOT_RUN = attempt(1.0, 1.03, "not_run")
UNKNOWN = attempt(1.0, 1.03, "unknown")
A, B, FREE = owner("granted", "a", 1.0), owner("granted", "b", 2.0), owner("granted", "free", 1.0)
END = owner("released", "b", 3.0)
RENEWED = {"type": "renewed", "server": "a", "t": 1.0, "lease_until": 1.4}
ONCE = {"repeatable": False}

OWNERSHIP_CASES = {
    "released before granted elsewhere": _case(A, owner("released", "a", 2.0), B, END),
    "granted elsewhere before released": _case(A, owner("released", "a", 2.5), B, END),
    "lapsed before granted elsewhere": _case(A, owner("lapsed", "a", 1.9), B, END),
    "never released": _case(A, B, END),
    "killed before granted elsewhere": _case(A, B, END, events=[event("killed", "a", 1.5)]),
    "killed after granted elsewhere": _case(A, B, END, events=[event("killed", "a", 2.25)]),
    "killed after its lease had lapsed": _case(
        RENEWED, A, B, END, events=[event("frozen", "a", 1.2), event("killed", "a", 2.5)]
    ),
    "restarted before granted elsewhere": _case(A, started("a", 1.75), B, END),
    "run outlives its grant": _case(A, runs("a", 1.5, 2.3), owner("released", "a", 1.9), B, END),
    "unfenced grant never released": _case(FREE, B, END),
    "unfenced run under another's grant": _case(FREE, runs("free", 1.5, 2.2), B, END),
    "one partition runs on two servers": _case(runs("a", 1.0, 2.0), runs("b", 1.8, 2.5)),
    "key runs in shard and own partition": _case(
        runs("a", 1.0, 2.0), runs("b", 1.6, 2.5, partition="portal=k")
    ),
    "key's own partition granted elsewhere": _case(
        runs("a", 1.5, 2.1), owner("granted", "b", 2.0, "portal=k")
    ),
    "same key in two services": _case(
        runs("a", 1.0, 2.0), runs("b", 1.0, 2.0, partition="catalogue/1")
    ),
    "answered while owned twice": _case(RUN, A, owner("granted", "b", 1.5), END, attempts=[GOOD]),
}
REQUEST_CASES = {
    "one good answer": _case(RUN, attempts=[GOOD]),
    "answer of another request": _case(RUN, attempts=[GOOD | {"right": False}]),
    "answer cut off": _case(RUN, attempts=[GOOD | {"whole": False}]),
    "damaged answer told as unknown": _case(RUN, attempts=_told(UNKNOWN | {"whole": False})),
    "non-repeatable request ran twice": _case(
        RUN,
        runs("b", 1.1, 1.2, attempt="1"),
        attempts=[UNKNOWN | ONCE, attempt(1.1, 1.2, attempt="1", **ONCE)],
    ),
    "non-repeatable request ran on three servers": _case(
        RUN, runs("b", 1.1, 1.2), runs("free", 1.2, None), attempts=[GOOD | ONCE]
    ),
    "repeatable request ran twice": _case(RUN, runs("a", 1.1, 1.2, number=2), attempts=[GOOD]),
    "told not run but ran": _case(RUN, attempts=_told(NOT_RUN)),
    "told not run but crashed its server": _case(
        runs("a", 1.0, None), attempts=_told(NOT_RUN), events=[event("killed", "a", 1.02)]
    ),
    "told not run and refused by its server": _case(
        RUN[0] | {"type": "refused"}, attempts=_told(NOT_RUN)
    ),
    "told not run after an earlier attempt ran": _case(
        RUN, attempts=_told(UNKNOWN, attempt(1.1, 1.2, "not_run", attempt="1"))
    ),
    "told not run and ran without a number": _case(
        runs("a", 1.0, 1.1, attempt=None), attempts=_told(NOT_RUN)
    ),
    "nothing answered": _case(RUN, attempts=[UNKNOWN]),
}
AVAILABILITY_CASES = {
    "answered after a wait for a new owner": _case(
        runs("b", 1.7, 1.72), attempts=[attempt(1.0, 1.72)]
    ),
    "refused until a new owner serves": _case(
        runs("b", 1.6, 1.62),
        attempts=[attempt(1.0, 1.1, "not_run"), attempt(1.25, 1.35, "not_run"), attempt(1.5, 1.62)],
    ),
    "no demand between two answers": _case(
        RUN, runs("a", 9.01, 9.02, number=2), attempts=[GOOD, attempt(9.0, 9.02)]
    ),
    "refused because it already ran": _case(
        RUN, attempts=[GOOD, attempt(2.0, 2.5, "unknown", detail="already-run")]
    ),
    "running on a frozen server": _case(
        runs("free", 1.05, 2.1),
        attempts=[attempt(1.0, 2.1)],
        events=[event("frozen", "free", 1.1), event("resumed", "free", 2.0)],
    ),
    "running on a killed server": _case(
        runs("a", 1.0, None),
        attempts=[attempt(1.0, 1.5, "unknown")],
        events=[event("killed", "a", 1.1)],
    ),
    "held by a frozen server after it was replaced": _case(
        *(A, owner("lapsed", "a", 2.3), owner("granted", "b", 2.4), runs("b", 2.95, 2.99)),
        attempts=[attempt(2.0, 3.0)],
        events=[event("frozen", "a", 1.9), event("resumed", "a", 2.9)],
    ),
    "held while a working server was replaced": _case(
        *(A, owner("released", "a", 2.3), owner("granted", "b", 2.4), runs("b", 2.9, 2.99)),
        attempts=[attempt(2.0, 3.0)],
    ),
}
CASES = OWNERSHIP_CASES | REQUEST_CASES | AVAILABILITY_CASES
