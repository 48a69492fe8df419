"""Steps for replicas of the log."""

import asyncio
import json
import random
from functools import partial
from unittest.mock import patch

from attrs import evolve
from behave import given, step, then, when

from hyssopwood import checkpoint
from hyssopwood.checkpoint import Checkpointer, decode_state, encode_state
from hyssopwood.messages import CheckpointReply, CheckpointRequest, RecordsReply, RecordsRequest
from hyssopwood.records import (
    CheckpointRecord,
    GrantedRecord,
    JoinRecord,
    LeaveRecord,
    PlannerRecord,
    TicketRecord,
    VotersProposedRecord,
    decode_record,
)
from hyssopwood.replica import Replica
from hyssopwood.settings import Limits
from hyssopwood.transitions import apply
from support.memory_log import MemoryLog, MemoryPeers, first_tables, ticket_text
from support.random_records import RandomRecords

# Appends that follow each other need more rounds of the loop than one settling has.
SETTLES = 20


class ReplicaCell:
    """Replicas on one log, each with a task that follows it."""

    def __init__(self, context):
        self.context = context
        self.timers = context.timers
        self.log = MemoryLog(context.timers)
        self.peers = MemoryPeers()
        self.replicas = {}
        self.views = {}
        self.tasks = []
        self.appends = []

    def add(self, name, with_peers=True, unreachable=False):
        self.views[name] = view = self.log.view()
        view.set_faults(unreachable=unreachable)
        replica = Replica(self.timers, view, name, chance=random.Random(1))
        self.replicas[name] = replica
        if with_peers:
            replica.use_peers(self.peers.link(name), lambda: self._others(name))
        self.tasks.append(asyncio.ensure_future(replica.run()))
        return replica

    def _others(self, name):
        return [other for other in sorted(self.replicas) if other != name]

    def start_append(self, name, body):
        self.appends.append(asyncio.ensure_future(self.replicas[name].append(body)))

    def texts(self):
        """Return every replica's whole state in a comparable form that includes the order."""
        return {name: encode_state(replica.state) for name, replica in self.replicas.items()}


def _join(name):
    return JoinRecord(
        instance=name,
        incarnation=name,
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        failure_domain="a",
    )


def _run(context, work):
    async def wrapped():
        result = work()
        for _ in range(SETTLES):
            await context.timers.settle()
        return result

    return context.run(wrapped())


@given("log replicas r1, r2, r3")
def step_replicas(context):
    context.cell = ReplicaCell(context)
    _run(context, lambda: [context.cell.add(name) for name in ("r1", "r2", "r3")])


@given("log replicas r1, r2, r3, of which all are voters")
def step_voters(context):
    step_replicas(context)
    log = context.cell.log
    names = ("r1", "r2", "r3")
    text = ticket_text(1, **first_tables())
    bodies = [
        ("ana:1", TicketRecord(publisher="ana", text=text)),
        *((f"{name}:0", _join(name)) for name in names),
        ("r1:1", PlannerRecord(instance="r1", incarnation="r1", previous_epoch=-1)),
        ("r1:2", VotersProposedRecord(epoch=4, voters=names)),
    ]
    for replica in context.cell.replicas.values():
        replica._sequence = 100
    _run(context, lambda: [log.write_body(*item) for item in bodies])
    assert context.cell.replicas["r2"].state.voters == names


@when("the log has {refused:d} refusals, {throttled:d} throttles and {lost:d} lost answers to give")
def step_faults(context, refused, throttled, lost):
    log = context.cell.log
    log.refused, log.throttled, log.lost_answers = refused, throttled, lost


def _cut_peers_of(context, name, cut):
    # A record may also be read back from a peer.
    if cut:
        context.cell.peers.cut.update(other for other in context.cell.replicas if other != name)


@when('replica "{name}" starts to append a join while its reads are {reads}')
def step_append_join(context, name, reads):
    context.cell.views[name].set_faults(reads_held=reads == "held")
    _cut_peers_of(context, name, reads == "held")
    _run(context, lambda: context.cell.start_append(name, _join(name)))


@when('replica "{name}" starts to append a join while its log access is {access}')
def step_append_cut(context, name, access):
    faults = {"reads_held": access == "held", "unreachable": access == "unreachable"}
    context.cell.views[name].set_faults(**faults)
    _cut_peers_of(context, name, True)
    _run(context, lambda: context.cell.start_append(name, _join(name)))


@when('replica "{name}" starts {count:d} appends while its reads are held')
def step_three_appends(context, name, count):
    context.cell.views[name].set_faults(reads_held=True)
    body = GrantedRecord()
    _run(context, lambda: [context.cell.start_append(name, body) for _ in range(count)])


@when('replica "{name}" appends a checkpoint of {size:d} characters')
def step_large(context, name, size):
    body = CheckpointRecord(epoch=0, through=0, state="x" * size)
    _run(context, lambda: context.cell.start_append(name, body))


BODIES = {
    "granted": GrantedRecord(),
    "leave": LeaveRecord(instance="x", incarnation="x"),
}


@when('replica "{name}" appends {count:d} "{kind}" records as fast as it may')
def step_many(context, name, count, kind):
    append = context.cell.start_append
    _run(context, lambda: [append(name, BODIES[kind]) for _ in range(count)])


@step("{seconds:g} s pass on the log")
def step_pass(context, seconds):
    _run(context, lambda: None)
    # Small steps let every task react between the timer's ticks.
    for _ in range(max(1, round(seconds * 4))):
        context.run(context.timers.advance(min(seconds, 0.25)))


@when('the reads of replica "{name}" go on')
def step_resume(context, name):
    _run(context, lambda: context.cell.views[name].set_faults())


def _outcomes(context):
    return [task.exception() or task.result() for task in context.cell.appends if task.done()]


@then("the log append is accepted")
def step_accepted(context):
    (outcome,) = _outcomes(context)
    assert not isinstance(outcome, BaseException), repr(outcome)
    assert not outcome.rejected, outcome.rejected
    assert outcome.record.writer in outcome.state.members


@then("the log append is undecided")
def step_undecided(context):
    assert not _outcomes(context)


@then('the log append fails with "{name}"')
def step_fails(context, name):
    (outcome,) = _outcomes(context)
    assert type(outcome).__name__ == name, repr(outcome)


@then('some log appends failed with "{name}"')
def step_some_failed(context, name):
    assert name in {type(outcome).__name__ for outcome in _outcomes(context)}


@then("the log holds {copies:d} copies of the record and one member on every replica")
def step_copies(context, copies):
    cell = context.cell
    ids = [decode_record(record.data).id for record in cell.log.records]
    assert len(ids) == copies and len(set(ids)) == 1, ids
    for replica in cell.replicas.values():
        assert replica.state.applied == copies - 1
        assert list(replica.state.members) == ["r1"]
        assert [entry.subject for entry in replica.state.audit] == ["instance r1"]


@then("the log has got {count:d} append")
@then("the log has got {count:d} appends")
def step_append_count(context, count):
    assert context.cell.log.appends == count, context.cell.log.appends


@then("all log replicas are at offset {offset:d}")
def step_at_offset(context, offset):
    positions = {n: replica.state.applied for n, replica in context.cell.replicas.items()}
    assert set(positions.values()) == {offset}, positions


@then("all log replicas hold the same state")
def step_same(context):
    positions = {n: replica.state.applied for n, replica in context.cell.replicas.items()}
    assert len(set(context.cell.texts().values())) == 1, positions


@when('replicas "{first}" and "{second}" publish ticket 1 with different content at once')
def step_race(context, first, second):
    tables = first_tables()

    def publish():
        for name, queue in ((first, 1), (second, 2)):
            text = ticket_text(1, **tables, limits={"portal": {"queue": queue}})
            context.cell.start_append(name, TicketRecord(publisher=name, text=text))

    _run(context, publish)


@then('exactly one log ticket is accepted and the other "{reason}" names the winner')
def step_one_winner(context, reason):
    applied = _outcomes(context)
    assert len(applied) == 2
    verdicts = [item.state.verdicts[-1] for item in applied]
    assert [v.record_id for v in verdicts] == [item.record.id for item in applied]
    winner, loser = sorted(verdicts, key=lambda verdict: not verdict.accepted)
    assert winner.accepted and loser.reason == reason
    assert winner.publisher in loser.detail


@when("the raw log record {text} is written")
def step_raw(context, text):
    _run(context, lambda: context.cell.log.write(text))


@when("the effect of a log record fails")
def step_effect_fails(context):
    def failing(state, offset, time_ms, record):
        if record.writer == "broken":
            raise RuntimeError("a fault in a rule")
        return apply(state, offset, time_ms, record)

    patcher = patch("hyssopwood.replica.apply", failing)
    patcher.start()
    context.add_cleanup(patcher.stop)
    _run(context, lambda: context.cell.log.write_body("broken:1", GrantedRecord()))


@when('replicas "{cut}" lose the log for {seconds:d} s and "{silent}" answer no peer')
def step_cut(context, cut, seconds, silent):
    cell = context.cell
    cell.peers.cut.update(silent.split())
    _run(context, lambda: [cell.views[n].set_faults(unreachable=True) for n in cut.split()])
    step_pass(context, seconds)


@when('replicas "{cut}" lose the log for {seconds:d} s and "{silent}" serve no records')
def step_no_records(context, cut, seconds, silent):
    for name in silent.split():
        del context.cell.peers.handlers[name, RecordsRequest]
    step_cut(context, cut, seconds, "")


@when("a log ticket is published elsewhere")
def step_elsewhere(context):
    text = ticket_text(2, limits={"portal": {"queue": 7}})
    body = TicketRecord(publisher="nino", text=text)
    _run(context, lambda: context.cell.log.write_body("nino:1", body))


@when('the reads of replica "{name}" hang and its changes are watched')
def step_watch(context, name):
    replica = context.cell.replicas[name]
    context.changes = replica.changes()
    _run(context, lambda: context.cell.views[name].set_faults(reads_held=True))


@then('replica "{name}" was at offsets {offsets} in this order')
def step_offsets(context, name, offsets):
    seen = [applied.state.applied for applied in context.changes._items]
    assert seen == [int(offset) for offset in offsets.split()], seen


@when('the peers of replica "{name}" offer only a checkpoint of an empty log at offset {offset:d}')
def step_old_checkpoint(context, name, offset):
    (text,) = encode_state(evolve(_empty(), applied=offset))

    async def records(sender, body):
        return RecordsReply(1_000, 1_000, ())

    async def old(sender, body):
        return CheckpointReply(offset, text)

    for other in context.cell.replicas:
        if other != name:
            handlers = context.cell.peers.handlers
            handlers[other, RecordsRequest] = records
            handlers[other, CheckpointRequest] = old


@then('replica "{name}" is recent and says ""')
def step_recent(context, name):
    recency = context.cell.replicas[name].recent()
    assert recency.recent and not recency.reason, recency


@then('replica "{name}" is not recent and says "{reason}"')
def step_not_recent(context, name, reason):
    recency = context.cell.replicas[name].recent()
    assert not recency.recent and reason in recency.reason, recency


@when('replica "{name}" starts without the log')
def step_start_cut(context, name):
    _run(context, lambda: context.cell.add(name, unreachable=True))


@when('replica "{name}" starts with peers "{peers}"')
def step_start(context, name, peers):
    _run(context, lambda: context.cell.add(name, with_peers=peers == "yes"))


def _checkpoint_texts(state, kind):
    if kind == "none":
        return []
    if kind == "corrupt":
        return [encode_state(state)[0].replace('"digest":"', '"digest":"0')]
    if kind == "whole":
        return encode_state(state)
    with patch.object(checkpoint, "MAX_PART_CHARACTERS", 200):
        parts = encode_state(state)
    assert len(parts) > 2
    if kind == "repeated":
        # Fills up to the number of parts while the last ones are still missing.
        return [*parts[:2], *[parts[1]] * (len(parts) - 2), *parts[2:]]
    return parts[:-1] if kind == "cut" else parts


@when('the log gets "{kinds}" and the records before the last {kept:d} expire')
def step_expire(context, kinds, kept):
    cell = context.cell

    def write(index, kind):
        cell.log.write_body(f"ana:{10 + index}", GrantedRecord())
        state = cell.replicas["r1"].state
        for number, text in enumerate(_checkpoint_texts(state, kind)):
            body = CheckpointRecord(epoch=4, through=state.applied, state=text)
            cell.log.write_body(f"r1:{10 + index * 100 + number}", body)

    for index, kind in enumerate(kinds.split()):
        _run(context, partial(write, index, kind))
    cell.log.write_body("ana:90", GrantedRecord())
    _run(context, cell.log.wake)
    first = max(cell.log.first + len(cell.log.records) - max(kept, 1), 1)
    context.run(context.timers.advance(2))
    cell.log.expire_before(first)


@then('replica "{name}" holds the state of the others')
def step_holds(context, name):
    step_same(context)


@then('replica "{name}" has no state')
def step_no_state(context, name):
    assert context.cell.replicas[name].state.applied == -1


@when("{count:d} random log records of seed {seed:d} are replayed")
def step_random(context, count, seed):
    print(f"seed {seed}")
    context.log = log = MemoryLog(context.timers)
    records = RandomRecords(seed)
    text = ticket_text(1, **first_tables())
    log.write_body("ana:0", TicketRecord(publisher="ana", text=text))
    context.states = [apply(_empty(), 0, 0, decode_record(log.records[0].data)).state]
    for _ in range(count):
        offset = log.write_body(*records.next(context.states[-1]))
        stored = log.records[offset]
        record = decode_record(stored.data)
        context.states.append(apply(context.states[-1], offset, stored.time_ms, record).state)
    final = context.states[-1]
    # A schedule that reaches only small states would prove little.
    assert final.ownerships and final.coordinations and final.fenced and final.voters, final


def _empty():
    return Replica(None, None, "").state


@then("a start from a checkpoint at each {step:d}th offset reaches the same state")
def step_each(context, step):
    expected = encode_state(context.states[-1])
    for start in range(0, len(context.states), step):
        state = decode_state(encode_state(context.states[start]))
        assert state == context.states[start], f"offset {start}"
        for stored in context.log.records[start + 1 :]:
            record = decode_record(stored.data)
            state = apply(state, stored.offset, stored.time_ms, record).state
        assert encode_state(state) == expected, f"offset {start}"


async def _inline(work, *arguments):
    return work(*arguments)


@when("the checkpointers run with a limit of {records:d} records and {age:d} s")
def step_checkpointers(context, records, age):
    cell = context.cell
    limits = Limits(checkpoint_records=records, checkpoint_age_s=age)

    def start():
        for replica in cell.replicas.values():
            writer = Checkpointer(cell.timers, replica, limits, offload=_inline)
            cell.tasks.append(asyncio.ensure_future(writer.run()))

    _run(context, start)


@then("the log holds {count:d} checkpoints")
def step_checkpoint_count(context, count):
    kinds = [json.loads(record.data)["kind"] for record in context.cell.log.records]
    assert kinds.count("checkpoint") == count, kinds
