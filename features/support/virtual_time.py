"""An event loop in virtual time, and simulated processes and networks that run on it."""

import asyncio

# Each iteration of the loop advances the clock by at least this, so that a wait shorter than the
# clock's resolution still ends.
MIN_STEP_S = 1e-7


class _JumpingSelector:
    def __init__(self, loop, selector):
        self._loop = loop
        self._selector = selector

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("deadlock: no task is runnable and no timer is pending")
        self._loop.virtual_time += max(MIN_STEP_S, timeout)
        return self._selector.select(0)

    def __getattr__(self, name):
        return getattr(self._selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self):
        self.virtual_time = 1000.0
        super().__init__()
        self._selector = _JumpingSelector(self, self._selector)

    def time(self):
        return self.virtual_time


class SimulatedProcess:
    """A process with its own clock rate and offset that can be paused, resumed and killed."""

    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.alive = True
        self._rate = 1 + rng.uniform(-0.004, 0.004)
        self._offset = rng.uniform(0, 10_000)
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def paused(self):
        return not self._resumed.is_set()

    def pause(self):
        self._resumed.clear()

    def resume(self):
        self._resumed.set()

    async def wait_while_paused(self):
        while self.paused:
            await self._resumed.wait()

    def now(self):
        return asyncio.get_running_loop().time() * self._rate + self._offset

    def loop_time(self, process_time):
        """Convert a time of the process's clock to the event loop's time."""
        return (process_time - self._offset) / self._rate

    def wall_ms(self):
        return int(self.now() * 1000)

    async def sleep(self, seconds):
        await asyncio.sleep(max(0.0, seconds / self._rate))
        await self.wait_while_paused()

    def call_later(self, seconds, callback):
        async def call():
            await self.sleep(seconds)
            callback()

        return asyncio.ensure_future(call())

    async def ticks(self, interval_s):
        due = self.now()
        while True:
            yield self.now()
            due = max(due + interval_s, self.now())
            await self.sleep(due - self.now())


class SimulatedNetwork:
    """Deliver messages between named processes, with delays, losses and one-way blocks."""

    def __init__(self, rng):
        self.rng = rng
        self.blocked = set()
        self.loss_rate = 0.0
        self.slow_share = 0.02

    def block(self, one, other):
        self.blocked |= {(one, other), (other, one)}

    def unblock(self, one, other):
        self.blocked -= {(one, other), (other, one)}

    def heal(self):
        self.blocked.clear()
        self.loss_rate = 0.0

    def accepts(self, source, target):
        return (source, target) not in self.blocked and self.rng.random() >= self.loss_rate

    async def deliver(self, source, target):
        """Wait for a message's delay and return whether it arrived."""
        if not self.accepts(source, target):
            return False
        slow = self.rng.random() < self.slow_share
        await asyncio.sleep(self.rng.uniform(0.01, 0.08) if slow else self.rng.uniform(2e-4, 2e-3))
        return (source, target) not in self.blocked
