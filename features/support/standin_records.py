"""Synthetic records for the report's calculations, by name of the case."""

from hyssopwood_standins.report import Recordings


def server_started(server, t=0.0, checks_fencing=True):
    return {
        "type": "started",
        "t": t,
        "server": server,
        "checks_fencing": checks_fencing,
        "slots": 2,
    }


def grant_record(kind, server, t, partition="portal/1"):
    return {"type": kind, "server": server, "t": t, "partition": partition, "token": 1}


def run_records(
    server, start, end, key="k", partition="portal/1", nonce="n", attempt="0", number=1
):
    """Return the start of a run, and its end unless `end` is None."""
    run = {"server": server, "run": f"{server}-{number}", "nonce": nonce, "attempt": attempt}
    run |= {"key": key, "partition": partition, "running": 1}
    first = {**run, "type": "run_started", "t": start}
    return [first] if end is None else [first, {**run, "type": "run_ended", "t": end}]


def attempt_record(sent, done, outcome="answered", **other):
    record = {"type": "attempt", "t": sent, "done": done, "outcome": outcome, "key": "k"}
    record |= {"nonce": "n", "attempt": "0", "repeatable": True, "right": True, "whole": True}
    return record | {"latency_ms": (done - sent) * 1000, "detail": ""} | other


def process_event(kind, process, t):
    return {"type": kind, "process": process, "t": t}


SERVERS = [server_started("a"), server_started("b"), server_started("free", checks_fencing=False)]


def _case(*records, attempts=(), events=()):
    groups = [SERVERS, *(item if isinstance(item, list) else [item] for item in records)]
    return Recordings(
        list(attempts), [record for group in groups for record in group], list(events)
    )


def _with_answer(*attempts):
    """Return the attempts and a good answer, so that only one measure is violated."""
    return [*attempts, attempt_record(1.0, 1.1, nonce="m")]


SERVERS = [server_started("a"), server_started("b"), server_started("free", checks_fencing=False)]
RUN = run_records("a", 1.01, 1.02)
GOOD = attempt_record(1.0, 1.03)
NOT_RUN = attempt_record(1.0, 1.03, "not_run")
UNKNOWN = attempt_record(1.0, 1.03, "unknown")
A_GRANTED, B_GRANTED, UNFENCED_GRANTED = (
    grant_record("granted", "a", 1.0),
    grant_record("granted", "b", 2.0),
    grant_record("granted", "free", 1.0),
)
B_RELEASED = grant_record("released", "b", 3.0)
A_RENEWED = {"type": "renewed", "server": "a", "t": 1.0, "lease_until": 1.4}
NON_IDEMPOTENT = {"repeatable": False}

OWNERSHIP_CASES = {
    "released before granted elsewhere": _case(
        A_GRANTED, grant_record("released", "a", 2.0), B_GRANTED, B_RELEASED
    ),
    "granted elsewhere before released": _case(
        A_GRANTED, grant_record("released", "a", 2.5), B_GRANTED, B_RELEASED
    ),
    "lapsed before granted elsewhere": _case(
        A_GRANTED, grant_record("lapsed", "a", 1.9), B_GRANTED, B_RELEASED
    ),
    "never released": _case(A_GRANTED, B_GRANTED, B_RELEASED),
    "killed before granted elsewhere": _case(
        A_GRANTED, B_GRANTED, B_RELEASED, events=[process_event("killed", "a", 1.5)]
    ),
    "killed after granted elsewhere": _case(
        A_GRANTED, B_GRANTED, B_RELEASED, events=[process_event("killed", "a", 2.25)]
    ),
    "killed after its lease had lapsed": _case(
        A_RENEWED,
        A_GRANTED,
        B_GRANTED,
        B_RELEASED,
        events=[process_event("frozen", "a", 1.2), process_event("killed", "a", 2.5)],
    ),
    "restarted before granted elsewhere": _case(
        A_GRANTED, server_started("a", 1.75), B_GRANTED, B_RELEASED
    ),
    "run outlives its grant": _case(
        A_GRANTED,
        run_records("a", 1.5, 2.3),
        grant_record("released", "a", 1.9),
        B_GRANTED,
        B_RELEASED,
    ),
    "unfenced grant never released": _case(UNFENCED_GRANTED, B_GRANTED, B_RELEASED),
    "unfenced run under another's grant": _case(
        UNFENCED_GRANTED, run_records("free", 1.5, 2.2), B_GRANTED, B_RELEASED
    ),
    "one partition runs on two servers": _case(
        run_records("a", 1.0, 2.0), run_records("b", 1.8, 2.5)
    ),
    "key runs in shard and own partition": _case(
        run_records("a", 1.0, 2.0), run_records("b", 1.6, 2.5, partition="portal=k")
    ),
    "key's own partition granted elsewhere": _case(
        run_records("a", 1.5, 2.1), grant_record("granted", "b", 2.0, "portal=k")
    ),
    "same key in two services": _case(
        run_records("a", 1.0, 2.0), run_records("b", 1.0, 2.0, partition="catalogue/1")
    ),
    "answered while two servers own its partition": _case(
        RUN, A_GRANTED, grant_record("granted", "b", 1.5), B_RELEASED, attempts=[GOOD]
    ),
}
REQUEST_CASES = {
    "one good answer": _case(RUN, attempts=[GOOD]),
    "answer of another request": _case(RUN, attempts=[GOOD | {"right": False}]),
    "answer cut off": _case(RUN, attempts=[GOOD | {"whole": False}]),
    "damaged answer reported as unknown": _case(
        RUN, attempts=_with_answer(UNKNOWN | {"whole": False})
    ),
    "non-idempotent request ran twice": _case(
        RUN,
        run_records("b", 1.1, 1.2, attempt="1"),
        attempts=[
            UNKNOWN | NON_IDEMPOTENT,
            attempt_record(1.1, 1.2, attempt="1", **NON_IDEMPOTENT),
        ],
    ),
    "non-idempotent request ran on three servers": _case(
        RUN,
        run_records("b", 1.1, 1.2),
        run_records("free", 1.2, None),
        attempts=[GOOD | NON_IDEMPOTENT],
    ),
    "idempotent request ran twice": _case(
        RUN, run_records("a", 1.1, 1.2, number=2), attempts=[GOOD]
    ),
    "reported not run but ran": _case(RUN, attempts=_with_answer(NOT_RUN)),
    "reported not run but crashed its server": _case(
        run_records("a", 1.0, None),
        attempts=_with_answer(NOT_RUN),
        events=[process_event("killed", "a", 1.02)],
    ),
    "reported not run and refused by its server": _case(
        RUN[0] | {"type": "refused"}, attempts=_with_answer(NOT_RUN)
    ),
    "reported not run after an earlier attempt ran": _case(
        RUN, attempts=_with_answer(UNKNOWN, attempt_record(1.1, 1.2, "not_run", attempt="1"))
    ),
    "reported not run and ran without a number": _case(
        run_records("a", 1.0, 1.1, attempt=None), attempts=_with_answer(NOT_RUN)
    ),
    "nothing answered": _case(RUN, attempts=[UNKNOWN]),
}
AVAILABILITY_CASES = {
    "answered after a wait for a new owner": _case(
        run_records("b", 1.7, 1.72), attempts=[attempt_record(1.0, 1.72)]
    ),
    "refused until a new owner serves": _case(
        run_records("b", 1.6, 1.62),
        attempts=[
            attempt_record(1.0, 1.1, "not_run"),
            attempt_record(1.25, 1.35, "not_run"),
            attempt_record(1.5, 1.62),
        ],
    ),
    "no demand between two answers": _case(
        RUN, run_records("a", 9.01, 9.02, number=2), attempts=[GOOD, attempt_record(9.0, 9.02)]
    ),
    "refused because it already ran": _case(
        RUN, attempts=[GOOD, attempt_record(2.0, 2.5, "unknown", detail="already-run")]
    ),
    "running on a frozen server": _case(
        run_records("free", 1.05, 2.1),
        attempts=[attempt_record(1.0, 2.1)],
        events=[process_event("frozen", "free", 1.1), process_event("resumed", "free", 2.0)],
    ),
    "running on a killed server": _case(
        run_records("a", 1.0, None),
        attempts=[attempt_record(1.0, 1.5, "unknown")],
        events=[process_event("killed", "a", 1.1)],
    ),
    "stuck on a frozen server after its replacement": _case(
        *(
            A_GRANTED,
            grant_record("lapsed", "a", 2.3),
            grant_record("granted", "b", 2.4),
            run_records("b", 2.95, 2.99),
        ),
        attempts=[attempt_record(2.0, 3.0)],
        events=[process_event("frozen", "a", 1.9), process_event("resumed", "a", 2.9)],
    ),
    "pending while a working server was replaced": _case(
        *(
            A_GRANTED,
            grant_record("released", "a", 2.3),
            grant_record("granted", "b", 2.4),
            run_records("b", 2.9, 2.99),
        ),
        attempts=[attempt_record(2.0, 3.0)],
    ),
}
CASES = OWNERSHIP_CASES | REQUEST_CASES | AVAILABILITY_CASES
