"""Steps for the budget of buffered bytes, bodies in segments and turns of reading."""

from behave import given, then, when

from hyssopwood.gateway.caller_server import choose_connection_to_close
from hyssopwood.gateway.held_body import BodyBuffer, body_pieces
from hyssopwood.gateway.memory_budget import Holder, Kind, MemoryBudget
from hyssopwood.gateway.read_turns import ReadTurns

STEP_S = 0.1


class _Caller:
    """A holder that releases its reservations when it is refused."""

    def __init__(self):
        self.refused = False
        self.runs = False
        self.reservations = []
        self.holder = Holder(lambda: not self.runs, self._refuse)

    def _refuse(self):
        self.refused = True
        for reservation in self.reservations:
            reservation.release()


def _caller(context, name):
    return context.budget_callers.setdefault(name, _Caller())


def _reserve(context, name, kind):
    caller = _caller(context, name)
    reservation = context.budget.reserve(caller.holder, kind)
    caller.reservations.append(reservation)
    return reservation


def _begin(context, budget):
    context.budget, context.now, context.budget_callers = budget, 0.0, {}


@given("the budget of a process with {memory_mb:d} MB")
def step_process_budget(context, memory_mb):
    _begin(context, MemoryBudget.of_process(memory_mb, lambda shortage: None))


@given("a budget of {limit:d} bytes")
def step_budget(context, limit):
    _begin(context, MemoryBudget(limit))


@when('"{name}" reserves {size:d} bytes for its body')
def step_reserve(context, name, size):
    context.granted = _reserve(context, name, Kind.BODY).grow(size, context.now)


@when('"{name}" holds {size:d} bytes of answers')
def step_force(context, name, size):
    _reserve(context, name, Kind.ANSWER).force(size, context.now)


@when("{seconds:g} s go by")
def step_pass(context, seconds):
    context.now += seconds


@when('{seconds:g} s go by in which "{name}" sends bytes')
def step_trickle(context, seconds, name):
    context.now += seconds
    _caller(context, name).holder.progress_at = context.now - STEP_S


@when('the request of "{name}" runs')
def step_runs(context, name):
    _caller(context, name).runs = True


@then("it is granted")
def step_granted(context):
    assert context.granted


@then("it is refused")
def step_refused(context):
    assert not context.granted


@then("{size:d} bytes for small requests are granted")
def step_small(context, size):
    assert _reserve(context, "small", Kind.REQUEST).grow(size, context.now)


@then('"{name}" is refused')
def step_holder_refused(context, name):
    assert _caller(context, name).refused


@then('"{name}" is not refused')
def step_holder_not_refused(context, name):
    assert not _caller(context, name).refused


@when("{count:d} bodies of {size:d} bytes are reserved and released one after another")
def step_cycle(context, count, size):
    for _ in range(count):
        reservation = _reserve(context, "a", Kind.BODY)
        assert reservation.grow(size, context.now)
        reservation.release()


def _read(size, piece, reservation):
    data = bytes(index % 251 for index in range(size))
    body = BodyBuffer(reservation)
    for start in range(0, size, piece):
        body.append(data[start : start + piece], 0.0)
    assert len(body) == size
    return data, body


@when("a body of {size:d} bytes is read in pieces of {piece:d} bytes and dropped by its reader")
def step_drop(context, size, piece):
    reservation = _reserve(context, "a", Kind.BODY)
    _, body = _read(size, piece, reservation)
    assert context.budget.total >= size
    body.release()


@then("the budget holds nothing")
def step_nothing(context):
    assert context.budget.total == 0
    assert all(context.budget.held(kind) == 0 for kind in Kind)


@when("a body of {size:d} bytes is read in pieces of {piece:d} bytes")
def step_read(context, size, piece):
    _begin(context, MemoryBudget(40_000_000))
    context.data, body = _read(size, piece, _reserve(context, "a", Kind.BODY))
    context.body = body.finish()


@then("its pieces are the same bytes")
def step_same(context):
    assert b"".join(body_pieces(context.body)) == context.data
    assert len(context.body) == len(context.data)


@then("it reserves {size:d} bytes")
def step_reserved(context, size):
    assert context.budget.total == size, context.budget.total
    del context.body
    # The last reference to a body returns its memory.
    assert context.budget.total == 0


class _TurnTimers:
    """A clock that only turns advance, and the delays that were asked for."""

    def __init__(self):
        self.time = 0.0
        self.calls = []

    def now(self):
        return self.time

    def call_later(self, seconds, callback):
        self.calls.append((seconds, callback))


@given('connections "{names}" whose turns take {milliseconds:d} ms')
def step_connections(context, names, milliseconds):
    def turn(name):
        def take():
            context.turn_timers.time += milliseconds / 1000
            context.rounds[-1].append(name)

        return take

    context.turn_timers, context.rounds, context.delays = _TurnTimers(), [], []
    context.turns = ReadTurns(context.turn_timers)
    context.turn_callbacks = [turn(name) for name in names.split(",")]


@when("all of them ask for a turn")
def step_ask(context):
    for callback in context.turn_callbacks:
        context.turns.request(callback)
    while context.turn_timers.calls:
        delay_s, run = context.turn_timers.calls.pop()
        assert not context.turn_timers.calls
        context.delays.append(delay_s)
        context.turn_timers.time += delay_s
        context.rounds.append([])
        run()


@then('"{first}" are read in the first round and "{second}" in the next one')
def step_rounds(context, first, second):
    assert context.rounds == [first.split(","), second.split(",")], context.rounds


@then("at least {milliseconds:d} ms lie between two rounds")
def step_delays(context, milliseconds):
    assert all(delay_s >= milliseconds / 1000 for delay_s in context.delays), context.delays


class _Connection:
    """An open connection in the state that its name begins with."""

    def __init__(self, name):
        self.name = name
        self.unused = name.startswith("unused")
        self.busy = not name.startswith(("idle", "unused"))

    def obstructs(self, now):
        return self.name.startswith("slow")


@given('open connections "{names}", the oldest first')
def step_open(context, names):
    context.connections = [_Connection(name) for name in names.split(",")]


@when("another one is accepted beyond the bound")
def step_another(context):
    context.chosen = choose_connection_to_close(context.connections, 0.0)


@then('"{name}" is closed')
def step_closed(context, name):
    assert (context.chosen.name if context.chosen else "none") == name
