"""Session with one backend server: lease in the server's clock, grants, read-back."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, frozen

from hyssopwood.control_channel import ControlChannel
from hyssopwood.errors import (
    BackendServerError,
    BackendServerUnavailableError,
    ProtocolError,
    StaleEpochError,
)
from hyssopwood.events import Event, emit
from hyssopwood.settings import Timing
from hyssopwood.timers import Timers
from hyssopwood.voting import CLOCK_RATE_MARGIN

# Covers the resolution of the two clocks; the clock rate has a margin of its own.
LEASE_MARGIN_S = 0.01
NO_LEASE = 0
HTTP_OK = 200
HTTP_CONFLICT = 409


class CommandRefusedError(BackendServerError):
    """Raised when a backend server refuses a command although the epoch is the newest."""


@frozen
class ServerReport:
    """Hold a session answer with the times of its request and its receipt."""

    incarnation: str
    clock_ms: float
    epoch: int
    holds: Mapping[str, int]
    running: int
    slots: int
    sent_at: float
    received_at: float


def lease_margin_s(lease_s: float, clock_age_s: float) -> float:
    """Return how much later than `lease_s` after sending a lease may end."""
    return LEASE_MARGIN_S + CLOCK_RATE_MARGIN * (lease_s + clock_age_s)


@define
class Doubt:
    """A grant without an answer: it may still lie unread in an older connection's buffers."""

    incarnation: str
    settled_from: float = math.inf


class Session:
    """Renew the lease of one backend server and change its grants.

    One command is outstanding at a time. A lease is extended only over the connection that
    delivered the server's clock, so that the clock can't belong to an earlier process.
    """

    def __init__(
        self,
        channel: ControlChannel,
        coordinator: str,
        epoch: int,
        timers: Timers,
        timing: Timing,
        require: Callable[[], None],
        doubts: dict[str, Doubt] | None = None,
    ) -> None:
        self._channel = channel
        self._coordinator = coordinator
        self._epoch = epoch
        self._timers = timers
        self._lease_s = timing.lease_ms / 1000
        self._message_life_s = timing.max_message_life_ms / 1000
        self._require = require
        self._report: ServerReport | None = None
        self._incarnation = ""
        self._lapsed_at = -math.inf
        self._doubts = {} if doubts is None else doubts

    @property
    def report(self) -> ServerReport | None:
        """Return the last session answer."""
        return self._report

    def lapsed_at(self) -> float:
        """Return the time from which no lease that was sent can be in force."""
        return self._lapsed_at

    def in_doubt(self, partition: str) -> bool:
        """Return whether a grant of the partition may still reach the server."""
        return partition in self._doubts

    async def renew(self) -> ServerReport:
        """Extend the lease; raise BackendServerError or ProtocolError when it fails."""
        base = self._report
        if base is None or self._timers.now() - base.received_at > self._lease_s:
            base = await self._read_clock()
        # Checked after the wait: the lease may have lapsed and the partitions have moved on.
        if self._doubts and self._timers.now() >= self._lapsed_at:
            base = await self._settle_doubts(base)
        try:
            return await self._extend(base)
        except BackendServerUnavailableError:
            # The clock belongs to the connection that is gone.
            self._report = None
            raise

    async def change(self, grant: Mapping[str, int], release: tuple[str, ...]) -> Mapping[str, int]:
        """Grant and release partitions; return what the server holds afterwards."""
        body = {
            "epoch": self._epoch,
            "grant": [{"partition": name, "token": token} for name, token in grant.items()],
            "release": list(release),
        }
        try:
            data = await self._post("/hyssopwood/grants", body, same_connection=True)
            return _holds(data)
        except (StaleEpochError, CommandRefusedError):
            raise
        except BaseException:
            self._report = None
            self._doubt(grant)
            raise

    async def close(self) -> None:
        """Close the connection; the lease runs out by itself."""
        await self._channel.close()

    async def _read_clock(self) -> ServerReport:
        return await self._exchange(NO_LEASE, same_connection=False)

    async def _extend(self, base: ServerReport) -> ServerReport:
        now = self._timers.now()
        clock_age_s = now - base.received_at
        until_ms = base.clock_ms + (clock_age_s + self._lease_s) * 1000
        end = now + self._lease_s + lease_margin_s(self._lease_s, clock_age_s)
        self._lapsed_at = max(self._lapsed_at, end)
        return await self._exchange(until_ms, same_connection=True)

    async def _settle_doubts(self, report: ServerReport) -> ServerReport:
        """Without a lease, wait until a grant that is still on its way has been refused."""
        while self._doubts:
            await self._timers.sleep(self._message_life_s)
            report = await self._read_clock()
        return report

    async def _exchange(self, lease_until_ms: float, same_connection: bool) -> ServerReport:
        body = {
            "epoch": self._epoch,
            "coordinator": self._coordinator,
            "lease_until_ms": lease_until_ms,
        }
        sent_at = self._timers.now()
        data = await self._post("/hyssopwood/session", body, same_connection)
        report = _report(data, sent_at, self._timers.now())
        self._note(report)
        return report

    def _note(self, report: ServerReport) -> None:
        self._report = report
        self._incarnation = report.incarnation
        for partition, doubt in list(self._doubts.items()):
            if report.incarnation != doubt.incarnation or report.sent_at >= doubt.settled_from:
                del self._doubts[partition]
            elif doubt.settled_from == math.inf:
                doubt.settled_from = report.received_at + self._message_life_s

    def _doubt(self, grant: Mapping[str, int]) -> None:
        if grant:
            emit(Event.GRANT_UNCERTAIN, partitions=",".join(grant))
        for partition in grant:
            self._doubts[partition] = Doubt(self._incarnation)

    async def _post(self, path: str, body: Any, same_connection: bool) -> Any:
        self._require()
        status, data = await self._channel.post(path, body, same_connection)
        if status == HTTP_OK:
            return data
        if status != HTTP_CONFLICT or not isinstance(data, dict):
            raise BackendServerUnavailableError(f"backend server answered with status {status}")
        newest = data.get("epoch")
        if isinstance(newest, int) and newest > self._epoch:
            raise StaleEpochError(f"epoch {self._epoch} is older than {newest}")
        raise CommandRefusedError(f"backend server refused: {data.get('reason')!r:.60}")


def _report(data: Any, sent_at: float, received_at: float) -> ServerReport:
    try:
        return ServerReport(
            str(data["incarnation"]),
            float(data["clock_ms"]),
            int(data["epoch"]),
            _holds(data),
            int(data["running"]),
            int(data["slots"]),
            sent_at,
            received_at,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed session answer: {error!r}") from error


def _holds(data: Any) -> Mapping[str, int]:
    try:
        return {str(item["partition"]): int(item["token"]) for item in data["holds"]}
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed list of grants: {error!r}") from error
