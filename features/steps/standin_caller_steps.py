"""Steps for the stand-in caller and the launcher."""

import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from unittest.mock import patch

from aiohttp import web
from behave import then, when

from hyssopwood_standins import caller, launcher
from hyssopwood_standins.answer_body import body_parts
from hyssopwood_standins.demand import Demand, Surge, generate_requests, rate_at
from support.standin_http import running
from support.standin_recorder import MemoryRecorder

READY_PROGRAM = "print('ready', flush=True); import time; time.sleep(60)"
CHILD_PROGRAMS = {
    "stops normally": READY_PROGRAM,
    "ignores SIGTERM": f"import signal; signal.signal(15, signal.SIG_IGN); {READY_PROGRAM}",
    "is frozen": READY_PROGRAM,
}
START_TIMEOUT_S = 10
ONE_REQUEST = {"rate_per_s": 1000, "duration_s": 5, "max_requests": 1}


class _ScriptedInstances:
    """Two entry instances that share one script of answers."""

    def __init__(self, answers):
        self._answers = iter(answers)
        self.idempotency_keys = []

    def app(self):
        app = web.Application()
        app.router.add_post("/portal/work", self._answer)
        return app

    async def _answer(self, request):
        self.idempotency_keys.append(request.headers.get("Idempotency-Key"))
        answer = next(self._answers)
        if answer == "closed":
            request.transport.close()
            return web.Response()
        if answer == "good":
            nonce = request.headers["X-Nonce"]
            body = b"".join(body_parts(request.headers["Hyssopwood-Key"], nonce, 10, "s", 1))
            return web.Response(body=body, headers={"Hyssopwood-Run": "run"})
        run = {"refused": "not-run", "unknown": "unknown"}.get(answer)
        return web.Response(status=503, headers={"Hyssopwood-Run": run} if run else {})


@when('a stand-in caller sends a {kind} request and the instances answer "{answers}"')
def step_call(context, kind, answers):
    context.instances = _ScriptedInstances(answers.split(", "))
    context.recorder = MemoryRecorder()
    shares = {
        "non_idempotent_share": float(kind != "idempotent"),
        "keyless_share": float(kind == "keyless"),
    }
    demand = Demand(**ONE_REQUEST, **shares)

    async def call():
        async with AsyncExitStack() as stack:
            apps = [running(context.instances.app()) for _ in range(2)]
            urls = [(await stack.enter_async_context(app))[0] for app in apps]
            targets = tuple(url.removeprefix("http://") for url in reversed(urls))
            context.names = {targets[1]: "a", targets[0]: "b"}
            options = caller.CallerOptions(targets=targets)
            with patch.object(caller, "RETRY_DELAY_S", 0):
                await caller.Caller(demand, options, context.recorder).run()

    context.run(call())
    context.attempts = [item for item in context.recorder.records if item["type"] == "attempt"]


@then('the stand-in attempts end as "{outcomes}" at "{instances}"')
def step_outcomes(context, outcomes, instances):
    assert [item["outcome"] for item in context.attempts] == outcomes.split(", ")
    names = [context.names[item["target"]] for item in context.attempts]
    assert names == instances.split(", "), names
    assert len({item["nonce"] for item in context.attempts}) == 1


@then("the stand-in attempts carry the idempotency key {key}")
def step_keys(context, key):
    keys = set(context.instances.idempotency_keys)
    assert len(keys) == 1 and (keys == {None}) == (key == "none"), keys


@then("the stand-in rate at {second:g} s with a surge from 2 s to 4 s by 3 is {rate:g}")
def step_rate(context, second, rate):
    demand = Demand(rate_per_s=10, duration_s=9, surges=(Surge(2, 4, 3),))
    assert rate_at(demand, second) == rate


@then("equal stand-in demands give equal requests, and no more than allowed")
def step_demand(context):
    demand = Demand(rate_per_s=100, duration_s=2)
    requests = list(generate_requests(demand, "n"))
    assert requests == list(generate_requests(demand, "n"))
    assert 100 < len(requests) < 300 and requests[-1].due_s < 2
    assert (
        len(list(generate_requests(Demand(rate_per_s=100, duration_s=2, max_requests=7), "n"))) == 7
    )


@then("a stand-in process that {behaviour} has exited once the launcher has stopped")
def step_launcher(context, behaviour):
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        (directory / "standin_child.py").write_text(CHILD_PROGRAMS[behaviour], encoding="utf-8")
        recorder = MemoryRecorder()
        paths = {"PYTHONPATH": name}
        with (
            patch.dict("os.environ", paths),
            patch.object(launcher, "TERMINATE_TIMEOUT_S", 0.3),
            launcher.Launcher(directory, recorder) as started,
        ):
            child = started.start("child", "standin_child")
            deadline = time.monotonic() + START_TIMEOUT_S
            while "ready" not in started.output("child"):
                assert time.monotonic() < deadline, "the child did not start"
                time.sleep(0.01)
            if behaviour == "is frozen":
                started.freeze("child")
        assert not child.running and not started.pids
    assert recorder.records[-1]["type"] == "stopped"
