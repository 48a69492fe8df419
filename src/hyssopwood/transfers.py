"""Progress and figures of answers that take time to arrive."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from attrs import frozen

MS_PER_S = 1000
# Bytes that an answer or a message must bring in each span in which its connection would otherwise
# count as silent. Its whole time isn't limited, as that depends on its size and on the machine's
# link; the narrowest one, of 5 Mbit/s, carries over twenty times as much in 0.6 s.
PROGRESS_BYTES = 16_384


def _ignore() -> None:
    pass


_on_progress: ContextVar[Callable[[], None]] = ContextVar("on_progress", default=_ignore)


@contextmanager
def watch_progress(on_progress: Callable[[], None]) -> Iterator[None]:
    """Call a function when an answer begins to arrive in a call that is made within."""
    token = _on_progress.set(on_progress)
    try:
        yield
    finally:
        _on_progress.reset(token)


def report_progress() -> None:
    """Tell whoever watches the current call that its answer has begun to arrive."""
    _on_progress.get()()


@frozen
class Transfer:
    """How an answer arrived: the call, the time to its first byte and to its last, and its size."""

    call: str = ""
    waited_s: float = 0.0
    received_s: float = 0.0
    size_bytes: int = 0

    @property
    def waited_ms(self) -> int:
        """Return the time from the call to the first byte, for log lines."""
        return round(self.waited_s * MS_PER_S)

    @property
    def received_ms(self) -> int:
        """Return the time from the first byte to the last one that came, for log lines."""
        return round(self.received_s * MS_PER_S)
