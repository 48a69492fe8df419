"""Script commands for the path of one request."""

import random

from hyssopwood.dispatch import Dispatcher, unpack_answer
from hyssopwood.errors import PeerUnavailableError
from hyssopwood.messages import PermitReply
from hyssopwood.outcomes import Answered, BodyCutError, Reason
from support.request_fakes import KINDS, FakePermits, FakeRouter, caller_request, describe
from support.request_script import Script

REPLIES = {
    "unreachable": PeerUnavailableError("scripted"),
    "stored": PermitReply(False, stored_status=200, stored_body=b"text/plain\nxxxxx"),
}


class DispatchScript(Script):
    def set_up(self):
        self.ends_with, self.always, self.body_size = [], None, 5
        self.attempts_sent, self.next_owner = [], None
        self._build()

    def _build(self, router=None, **permit_options):
        self.router = router or FakeRouter()
        self.permits = FakePermits(self.timers, **permit_options)
        self.dispatcher = Dispatcher(
            self.router, self.permits, self, self.timers, "i1", rng=random.Random(1)
        )

    async def send(self, request):
        """Stand in for the backend client."""
        self.attempts_sent.append(request)
        if self.next_owner is not None:
            self.router.move_to(self.next_owner)
            self.next_owner = None
        end = self.always or (self.ends_with.pop(0) if self.ends_with else "answered")
        kind, _, reason = end.partition(":")
        if reason:
            return KINDS[kind](Reason(reason), "scripted")
        return Answered(200, {"Content-Type": "text/plain"}, self._body(kind == "cut"))

    async def _body(self, cut):
        yield b"x" * self.body_size
        if cut:
            raise BodyCutError("scripted")

    def attempts(self, *ends):
        self.ends_with = list(ends)

    def reply(self, reply):
        refusal = PermitReply(False, reason=reply, retry_after_ms=70)
        self._build(step=REPLIES.get(reply, refusal))

    def delay_ms(self, ms):
        self._build(delay_s=int(ms) / 1000)

    def no_owner(self):
        self._build(router=FakeRouter(server=None))

    def start(self, kind="single"):
        key = "k" if kind == "keyed" else ""
        request = caller_request(self.timers, repeatable=kind == "repeatable", idempotency_key=key)
        self.began = self.timers.now()
        self.task = self.loop.create_task(self._whole(request))
        return self.task

    async def _whole(self, request):
        outcome = await self.dispatcher.handle(request)
        if not isinstance(outcome, Answered):
            return describe(outcome)
        try:
            async for _ in outcome.body:
                pass
            return "answered"
        except BodyCutError:
            return "cut"

    def handle(self, kind):
        self._finish(self.start(kind))

    def handle_at_once(self):
        self.start()
        self.run(self.timers.settle())

    def handle_together(self, count):
        self._finish(*[self.start("repeatable") for _ in range(int(count))])

    def handle_in_turn(self, count):
        for _ in range(int(count)):
            self.handle("repeatable")

    def _finish(self, *tasks):
        while not all(task.done() for task in tasks) and self.timers.now() < self.began + 3:
            self.pass_ms(10)

    def leave(self):
        self.task.cancel()

    def start_reading(self):
        self.answer = self.run(self.dispatcher.handle(caller_request(self.timers)))
        self.run(anext(self.answer.body))

    def leave_answer(self):
        self.run(self.answer.body.aclose())

    def ends(self, *expected):
        assert self.task.result() == " ".join(expected), self.task.result()

    def sent_at_most(self, count):
        assert len(self.attempts_sent) <= int(count), len(self.attempts_sent)

    def went(self, *servers):
        assert [request.server.name for request in self.attempts_sent] == list(servers)

    def returned(self, *outcomes):
        found = [permit.outcome for permit in self.permits.returned]
        found += [str(permit.status) for permit in self.permits.returned if permit.status >= 500]
        assert found == list(outcomes), found

    def withdrawn(self):
        assert self.permits.cancelled == self.permits.asked != []

    def took(self, seconds):
        assert abs(self.timers.now() - self.began - float(seconds)) <= 0.05

    def kept(self, size):
        (permit,) = self.permits.returned
        if size == "none":
            assert permit.body == b""
            return
        assert permit.status == 200
        assert unpack_answer(permit.body) == ("text/plain", b"x" * int(size))

    def first_byte_within(self, ms):
        (request,) = self.attempts_sent
        left_s = request.first_byte_by - (self.began + 0.15)
        assert abs(left_s * 1000 - int(ms)) <= 1, left_s
