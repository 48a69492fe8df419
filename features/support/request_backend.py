"""Script commands for requests to backend servers."""

import asyncio

from hyssopwood.backend import BackendClient
from hyssopwood.connection_pool import BackendServer, ServerRequest
from hyssopwood.outcomes import Answered, BodyCutError
from support.request_fakes import ScriptedServer, describe
from support.request_script import Script, until

STEP_S = 0.02


class BackendScript(Script):
    def set_up(self):
        self.fake = ScriptedServer()
        self.run(self.fake.start())
        self.client = BackendClient(self.timers)

    async def tear_down(self):
        await self.client.close()
        await self.fake.stop()

    def _request(self, method, name="", value=""):
        now = self.timers.now()
        changes = {name: value if name == "path" else now} if name else {}
        values = {"path": "/portal/17", "deadline": now + 2, "first_byte_by": now + 0.2}
        return ServerRequest(
            server=BackendServer("s1", self.fake.address, 4),
            request_id="i1.1#0",
            method=method,
            headers={},
            body=b"" if method == "GET" else b"body",
            key="17",
            operation="read",
            partition="portal/1",
            token=5,
            epoch=7,
            repeatable=False,
            **{**values, **changes},
        )

    def send(self, method, *changes):
        self.outcome = self.run(self._outcome(self._request(method, *changes)))

    async def _outcome(self, request):
        task = asyncio.ensure_future(self._whole(request))
        await until(task.done, self.timers)
        return task.result()

    async def _whole(self, request):
        outcome = await self.client.send(request)
        if not isinstance(outcome, Answered):
            return describe(outcome)
        try:
            return "answered " + b"".join([chunk async for chunk in outcome.body]).decode()
        except BodyCutError:
            return "cut"

    def send_fresh(self, method):
        before = self.fake.connections
        self.send(method)
        assert self.fake.connections > before, "an old connection was used"

    def send_together(self, count):
        async def send_all():
            return await asyncio.gather(
                *(self._outcome(self._request("POST")) for _ in range(int(count)))
            )

        assert set(self.run(send_all())) == {"answered whole"}

    def stop(self):
        self.run(self.fake.stop())

    def watch(self):
        self.loop.call_soon(self.client._start_watch)

    def wait_ms(self, ms):
        async def wait():
            self.waiting = asyncio.ensure_future(self.client.send(self._request("POST")))
            await until(lambda: self.fake.seen)
            for _ in range(int(int(ms) / 1000 / STEP_S)):
                await self.timers.advance(STEP_S)
                await asyncio.sleep(0.001)

        self.run(wait())

    def finish(self):
        self.run(until(self.waiting.done, self.timers))

    def leave(self):
        self.waiting.cancel()

    def cancelled(self):
        self.run(until(lambda: self.fake.cancelled))
        assert "i1.1#0" in self.fake.cancelled[0]

    def idle(self):
        self.run(until(lambda: not self.client.in_flight))
