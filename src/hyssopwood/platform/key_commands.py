"""Commands that grant key ranges to servers and release them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from attrs import define, field

from hyssopwood.gateway.exchange import (
    ExchangeBrokenError,
    NotSentError,
    ServerAnswer,
    ServerRequest,
)
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.keyspace.grant_channels import ChannelReplacedError, GrantChannels
from hyssopwood.keyspace.key_manager import CommandAnswer
from hyssopwood.keyspace.leases import COMMAND_TIMEOUT_S
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.platform.names import (
    ANSWERED_BY,
    GRANT_PATH,
    HANDOVER,
    RELEASE_PATH,
    REQUEST_ID,
    SERVER_LEAVING,
    SIGNATURE,
)

# Releases whose repeated answers are detected; a leader moves a few hundred ranges in a minute.
MAX_REMEMBERED_PROOFS = 1024
_JSON = (b"Content-Type", b"application/json")


def _encode_command(server: str, path: str, keys: KeyRange, **more: Any) -> ServerRequest:
    """Return a command that every process but the named server refuses."""
    # In these calls "from_revision" is the first key of the range, and "fence" its fencing token.
    body = {"from_revision": keys.first, "to": keys.last, "fence": keys.fence, **more}
    return ServerRequest(
        method=b"POST",
        target=path.encode(),
        headers=(_JSON, (b"Target-Instance", server.encode())),
        body=json.dumps(body, separators=(",", ":")).encode(),
    )


def encode_grant(
    server: str, keys: KeyRange, lease_s: float, handover: str | None
) -> ServerRequest:
    """Return the command that grants or renews the lease of a range for `lease_s` seconds."""
    if handover is None:
        return _encode_command(server, GRANT_PATH, keys, hold_s=lease_s)
    return _encode_command(server, GRANT_PATH, keys, hold_s=lease_s, handover=handover)


def encode_release(server: str, keys: KeyRange) -> ServerRequest:
    """Return the command that releases a range."""
    return _encode_command(server, RELEASE_PATH, keys)


def encode_status_check(server: str, health_path: str) -> ServerRequest:
    """Return a status check that every process but the named server refuses."""
    target = (b"Target-Instance", server.encode())
    return ServerRequest(method=b"GET", target=health_path.encode(), headers=(target,), body=b"")


def _is_done(answer: ServerAnswer, is_release: bool) -> bool:
    """Return whether a command was carried out.

    Answers to commands have no id, so one to a request, or to a command of the other kind, must not
    count: servers may write answers more than once. Only answers to releases contain a proof.
    """
    if answer.status != HTTPStatus.OK or (answer.header(HANDOVER) is not None) != is_release:
        return False
    return answer.header(REQUEST_ID) is None and answer.header(SIGNATURE) is None


def _decode_answer(
    server: str, answer: ServerAnswer, is_release: bool, channel: int | None = None
) -> CommandAnswer:
    if answer.stream is not None:
        # The headers contain all that is needed, so a large body isn't read.
        answer.stream.abandon()
    # The proof of release is passed to the next owner; the gateway doesn't interpret it.
    handover = answer.header(HANDOVER)
    replaced_by = None
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        answered_by = (answer.header(ANSWERED_BY) or b"").decode("latin-1")
        replaced_by = answered_by if answered_by not in ("", server) else None
    return CommandAnswer(
        done=_is_done(answer, is_release),
        fenced=answer.status == HTTPStatus.CONFLICT,
        handover=None if handover is None else handover.decode("latin-1"),
        leaving=replaced_by is None and answer.header(SERVER_LEAVING) == b"1",
        channel=channel,
        replaced_by=replaced_by,
    )


@define
class _ReleaseProofs:
    """Recent proofs of release, to detect a server's repeated answer to an earlier release."""

    _released: dict[str, tuple[str, int, int]] = field(factory=dict, init=False)

    def is_repeated(self, answer: CommandAnswer, server: str, keys: KeyRange) -> bool:
        """Return whether an answer has the proof of another release, and remember its proof."""
        if not answer.done or answer.handover is None:
            return False
        release = (server, keys.first, keys.last)
        if len(self._released) >= MAX_REMEMBERED_PROOFS:
            del self._released[next(iter(self._released))]
        return self._released.setdefault(answer.handover, release) != release


@define
class PlatformKeyCommands:
    """Send commands to servers at their registered addresses."""

    _pool: ServerPool
    _channels: GrantChannels
    _proofs: _ReleaseProofs = field(factory=_ReleaseProofs, init=False)

    async def grant(
        self,
        server: ServerRecord,
        keys: KeyRange,
        lease_s: float,
        handover: str | None,
        channel: int | None,
    ) -> CommandAnswer:
        """Grant or renew a lease; a command without an answer in time is aborted."""
        command = encode_grant(server.server, keys, lease_s, handover)
        try:
            answered = await self._channels.exchange(server, command, channel, COMMAND_TIMEOUT_S)
        except ChannelReplacedError:
            return CommandAnswer(done=False, sent=False, channel_ended=True)
        except NotSentError:
            return CommandAnswer(done=False, sent=False)
        except ExchangeBrokenError:
            return CommandAnswer(done=False)
        return _decode_answer(server.server, answered.answer, False, answered.channel)

    async def release(
        self,
        server: ServerRecord,
        keys: KeyRange,
        timeout_s: float,
        before_sending: Callable[[], None],
    ) -> CommandAnswer:
        """Release a range and wait until the server has finished its requests."""
        command = encode_release(server.server, keys)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._pool.exchange(server, command, before_sending)
        except NotSentError:
            return CommandAnswer(done=False, sent=False)
        except (ExchangeBrokenError, TimeoutError):
            self._pool.abort_idle(server)
            return CommandAnswer(done=False)
        decoded = _decode_answer(server.server, answer, True)
        if self._proofs.is_repeated(decoded, server.server, keys):
            self._pool.abort_idle(server)
            return CommandAnswer(done=False)
        return decoded

    async def identify(self, server: ServerRecord, health_path: str) -> str | None:
        """Return the id of the server that answers at a server's address, or None if none does."""
        check = encode_status_check(server.server, health_path)
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                answer = await self._pool.exchange(server, check)
        except (NotSentError, ExchangeBrokenError, TimeoutError):
            self._pool.abort_idle(server)
            return None
        if answer.stream is not None:
            answer.stream.abandon()
        if answer.header(REQUEST_ID) is not None or answer.header(SIGNATURE) is not None:
            # The answer belongs to a request.
            return None
        answered_by = answer.header(ANSWERED_BY)
        return None if not answered_by else answered_by.decode("latin-1")
