"""Session lease and fenced grants of a backend server."""

from __future__ import annotations

from typing import Any

from attrs import define

from hyssopwood_standins.recorder import Recorder


class RefusedError(Exception):
    """Raised when a command is refused; `reason` goes into the answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@define
class Holding:
    """A partition that the server holds."""

    token: int
    granted_at: float


class Grants:
    """Hold partitions under one session lease.

    Times are time.monotonic(); `clock_offset_s` makes the server's own clock differ from it, so
    that a coordinator can't mistake its clock for the server's. Without the fencing check the
    server obeys every coordinator, its lease never lapses and no token is compared.
    """

    def __init__(self, recorder: Recorder, fencing: bool, clock_offset_s: float = 0.0) -> None:
        self.epoch = 0
        self.coordinator = ""
        self._recorder = recorder
        self._fencing = fencing
        self._clock_offset_s = clock_offset_s
        self._lease_until = float("-inf")
        self._holdings: dict[str, Holding] = {}
        self._lapsed_at: dict[tuple[str, int], float] = {}

    @property
    def lease_until(self) -> float:
        return self._lease_until

    def clock_ms(self, now: float) -> float:
        """Return the server's own clock."""
        return (now + self._clock_offset_s) * 1000

    def held_partitions(self) -> list[dict[str, Any]]:
        """Return the JSON form of the partitions held."""
        return [{"partition": name, "token": item.token} for name, item in self._holdings.items()]

    def expire(self, now: float) -> None:
        """Drop every grant when the lease has lapsed, at the time when it lapsed.

        A process that was stopped calls this after it woke up, so the time recorded is the
        lease's end and not `now`.
        """
        if not self._fencing or now < self._lease_until:
            return
        for partition, holding in self._holdings.items():
            self._record("lapsed", self._lease_until, partition, holding.token)
            self._lapsed_at[(partition, holding.token)] = self._lease_until
        self._holdings.clear()

    def renew(self, epoch: int, coordinator: str, lease_until_ms: float, now: float) -> None:
        """Open or renew the session; raise RefusedError for a stale epoch."""
        self.expire(now)
        self._check_epoch(epoch)
        self.epoch = epoch
        self.coordinator = coordinator
        lease_until = lease_until_ms / 1000 - self._clock_offset_s
        self._lease_until = max(self._lease_until, lease_until)
        # A process that is killed while it is stopped can't record its lapse.
        self._recorder.write("renewed", now, lease_until=self._lease_until, epoch=epoch)

    def change(self, epoch: int, grant: dict[str, int], release: list[str], now: float) -> None:
        """Release and grant partitions; raise RefusedError for a stale epoch or no lease."""
        self.expire(now)
        self._check_epoch(epoch)
        if self._fencing and now >= self._lease_until:
            raise RefusedError("no-lease")
        self.epoch = epoch
        for partition in release:
            self._release(partition, now)
        for partition, token in grant.items():
            self._grant(partition, token, now)

    def refusal_reason(self, partition: str, token: int | None, now: float) -> str | None:
        """Return why a request must not run, or None when it may."""
        self.expire(now)
        if not self._fencing:
            return None
        holding = self._holdings.get(partition)
        if holding is None:
            return "not-held"
        return None if holding.token == token else "token-mismatch"

    def lapsed_since(self, partition: str, token: int | None, started: float) -> float | None:
        """Return when the grant lapsed if it did so after `started`."""
        lapsed = self._lapsed_at.get((partition, token if token is not None else -1))
        return lapsed if lapsed is not None and lapsed >= started else None

    def _check_epoch(self, epoch: int) -> None:
        if self._fencing and epoch < self.epoch:
            raise RefusedError("stale-epoch")

    def _grant(self, partition: str, token: int, now: float) -> None:
        holding = self._holdings.get(partition)
        if holding is None:
            self._holdings[partition] = Holding(token, now)
            self._record("granted", now, partition, token)
        elif token > holding.token or not self._fencing:
            holding.token = token
            self._record("token_changed", now, partition, token)

    def _release(self, partition: str, now: float) -> None:
        holding = self._holdings.pop(partition, None)
        if holding is not None:
            self._record("released", now, partition, holding.token)

    def _record(self, kind: str, t: float, partition: str, token: int) -> None:
        self._recorder.write(kind, t, partition=partition, token=token, epoch=self.epoch)
