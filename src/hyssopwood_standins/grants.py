"""Session lease and fenced grants of a backend server."""

from __future__ import annotations

from typing import Any

from attrs import define

from hyssopwood_standins.recorder import Recorder


class RefusedError(Exception):
    """Raised when a command is refused; `reason` is sent in the answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@define
class Grant:
    """The grant of a partition to the server."""

    token: int
    granted_at: float


class Grants:
    """Own partitions under a single session lease.

    Times are time.monotonic(). `clock_offset_s` shifts the server's own clock from it, so that a
    coordinator that uses its own clock in place of the server's fails. Without the fencing check
    the server accepts every coordinator, its lease never lapses and tokens aren't compared.
    """

    def __init__(self, recorder: Recorder, fencing: bool, clock_offset_s: float = 0.0) -> None:
        self.epoch = 0
        self.coordinator = ""
        self._recorder = recorder
        self._fencing = fencing
        self._clock_offset_s = clock_offset_s
        self._lease_until = float("-inf")
        self._grants: dict[str, Grant] = {}
        self._lapsed_at: dict[tuple[str, int], float] = {}

    @property
    def lease_until(self) -> float:
        return self._lease_until

    def clock_ms(self, now: float) -> float:
        """Return the time of the server's own clock."""
        return (now + self._clock_offset_s) * 1000

    def held_partitions(self) -> list[dict[str, Any]]:
        """Return the partitions held, in JSON form."""
        return [{"partition": name, "token": item.token} for name, item in self._grants.items()]

    def expire(self, now: float) -> None:
        """Drop every grant if the lease has lapsed.

        The end of the lease is recorded rather than `now`, because a process that was stopped
        calls this only after it has resumed.
        """
        if not self._fencing or now < self._lease_until:
            return
        for partition, grant in self._grants.items():
            self._record("lapsed", self._lease_until, partition, grant.token)
            self._lapsed_at[(partition, grant.token)] = self._lease_until
        self._grants.clear()

    def renew(self, epoch: int, coordinator: str, lease_until_ms: float, now: float) -> None:
        """Open or renew the session; raise RefusedError on a stale epoch."""
        self.expire(now)
        self._check_epoch(epoch)
        self.epoch = epoch
        self.coordinator = coordinator
        lease_until = lease_until_ms / 1000 - self._clock_offset_s
        self._lease_until = max(self._lease_until, lease_until)
        # The report needs the lease's end: a process killed while stopped can't record the lapse.
        self._recorder.write("renewed", now, lease_until=self._lease_until, epoch=epoch)

    def change(self, epoch: int, grant: dict[str, int], release: list[str], now: float) -> None:
        """Release and grant partitions; raise RefusedError on a stale epoch or a lapsed lease."""
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
        """Return why a request must be refused, or None if it may run."""
        self.expire(now)
        if not self._fencing:
            return None
        grant = self._grants.get(partition)
        if grant is None:
            return "not-held"
        return None if grant.token == token else "token-mismatch"

    def lapsed_since(self, partition: str, token: int | None, started: float) -> float | None:
        """Return when the grant lapsed, or None if it has not lapsed since `started`."""
        lapsed_at = self._lapsed_at.get((partition, token if token is not None else -1))
        return lapsed_at if lapsed_at is not None and lapsed_at >= started else None

    def _check_epoch(self, epoch: int) -> None:
        if self._fencing and epoch < self.epoch:
            raise RefusedError("stale-epoch")

    def _grant(self, partition: str, token: int, now: float) -> None:
        grant = self._grants.get(partition)
        if grant is None:
            self._grants[partition] = Grant(token, now)
            self._record("granted", now, partition, token)
        elif token > grant.token or not self._fencing:
            grant.token = token
            self._record("token_changed", now, partition, token)

    def _release(self, partition: str, now: float) -> None:
        grant = self._grants.pop(partition, None)
        if grant is not None:
            self._record("released", now, partition, grant.token)

    def _record(self, kind: str, t: float, partition: str, token: int) -> None:
        self._recorder.write(kind, t, partition=partition, token=token, epoch=self.epoch)
