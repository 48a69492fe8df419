"""Which instances are passed over because they left messages unanswered.

It answers a cut that lasts: each request that asks an instance behind it waits for a time limit
before the next one is asked, so a third of the instances cut off delayed a fifth of all requests.
One request at a time shows whether the instance is back, less and less often; any message of it
shows so at once.
"""

from __future__ import annotations

from attrs import define, field

from hyssopwood.timers import Timers

# First and longest time for which a silent instance is passed over; it doubles in between.
INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
# Time in which a request that is sent to find out has shown the outcome; the others wait for it.
PROBE_TIMEOUT_S = 0.4


@define
class _Silence:
    pause_s: float
    until: float


@define
class SilentPeers:
    """Remember instances that didn't answer, by address."""

    _timers: Timers
    _silences: dict[str, _Silence] = field(factory=dict, init=False)

    def may_ask(self, address: str) -> bool:
        """Return whether to ask now; after a pause one caller is let through to find out."""
        silence = self._silences.get(address)
        if silence is None:
            return True
        now = self._timers.now()
        if now < silence.until:
            return False
        silence.until = now + PROBE_TIMEOUT_S
        return True

    def record_silence(self, address: str) -> None:
        """Note that an instance left messages unanswered."""
        now = self._timers.now()
        existing = self._silences.get(address)
        if existing is None:
            self._silences[address] = _Silence(INITIAL_PAUSE_S, now + INITIAL_PAUSE_S)
        elif now + PROBE_TIMEOUT_S >= existing.until:
            # Requests that were on their way together count once.
            existing.pause_s = min(MAX_PAUSE_S, existing.pause_s * 2)
            existing.until = now + existing.pause_s

    def record_message(self, address: str) -> None:
        """Note a message of an instance."""
        self._silences.pop(address, None)
