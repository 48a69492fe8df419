"""Commands that grant key ranges to servers and release them."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import Any

from attrs import define

from hyssopwood.gateway.exchange import ExchangeBrokenError, NotSentError, ServerRequest
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.server_pool import ServerPool
from hyssopwood.keyspace.key_manager import CommandAnswer
from hyssopwood.keyspace.leases import COMMAND_TIMEOUT_S
from hyssopwood.keyspace.plan import KeyRange
from hyssopwood.platform.names import GRANT_PATH, HANDOVER, RELEASE_PATH, SERVER_LEAVING

_JSON = (b"Content-Type", b"application/json")


def _encode_command(path: str, keys: KeyRange, **more: Any) -> ServerRequest:
    # In these calls "from_revision" is the first key of the range, and "fence" its fencing token.
    body = {"from_revision": keys.first, "to": keys.last, "fence": keys.fence, **more}
    return ServerRequest(
        method=b"POST",
        target=path.encode(),
        headers=(_JSON,),
        body=json.dumps(body, separators=(",", ":")).encode(),
    )


def encode_grant(keys: KeyRange, lease_s: float, handover: str | None) -> ServerRequest:
    """Return the command that grants or renews the lease of a range for `lease_s` seconds."""
    if handover is None:
        return _encode_command(GRANT_PATH, keys, hold_s=lease_s)
    return _encode_command(GRANT_PATH, keys, hold_s=lease_s, handover=handover)


def encode_release(keys: KeyRange) -> ServerRequest:
    """Return the command that releases a range."""
    return _encode_command(RELEASE_PATH, keys)


@define
class PlatformKeyCommands:
    """Send commands to servers at their registered addresses."""

    _pool: ServerPool

    async def grant(
        self, server: ServerRecord, keys: KeyRange, lease_s: float, handover: str | None
    ) -> CommandAnswer:
        """Grant or renew a lease; a command without an answer in time is aborted."""
        return await self._send(server, encode_grant(keys, lease_s, handover), COMMAND_TIMEOUT_S)

    async def release(
        self, server: ServerRecord, keys: KeyRange, timeout_s: float
    ) -> CommandAnswer:
        """Release a range and wait until the server has finished its requests."""
        return await self._send(server, encode_release(keys), timeout_s)

    async def _send(
        self, server: ServerRecord, command: ServerRequest, timeout_s: float
    ) -> CommandAnswer:
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._pool.exchange(server, command)
        except NotSentError:
            return CommandAnswer(done=False, sent=False)
        except (ExchangeBrokenError, TimeoutError):
            self._pool.abort_idle(server)
            return CommandAnswer(done=False)
        if answer.stream is not None:
            # The headers contain all that is needed, so a large body isn't read.
            answer.stream.abandon()
        # The proof of release is passed to the next owner; the gateway doesn't interpret it.
        handover = answer.header(HANDOVER)
        return CommandAnswer(
            done=answer.status == HTTPStatus.OK,
            fenced=answer.status == HTTPStatus.CONFLICT,
            handover=None if handover is None else handover.decode("latin-1"),
            leaving=answer.header(SERVER_LEAVING) == b"1",
        )
