"""Orders to servers that hold keys: granting ranges and taking them back."""

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


def _order(path: str, keys: KeyRange, **more: Any) -> ServerRequest:
    # On this call "from_revision" is the first key of the range, and "fence" its token.
    body = {"from_revision": keys.first, "to": keys.last, "fence": keys.fence, **more}
    return ServerRequest(
        method=b"POST",
        target=path.encode(),
        headers=(_JSON,),
        body=json.dumps(body, separators=(",", ":")).encode(),
    )


def grant_order(keys: KeyRange, hold_s: float, handover: str | None) -> ServerRequest:
    """Return the order that grants a range, or renews it, for `hold_s` seconds."""
    if handover is None:
        return _order(GRANT_PATH, keys, hold_s=hold_s)
    return _order(GRANT_PATH, keys, hold_s=hold_s, handover=handover)


def release_order(keys: KeyRange) -> ServerRequest:
    """Return the order that takes a range back."""
    return _order(RELEASE_PATH, keys)


@define
class PlatformKeyOrders:
    """Send orders to servers at their own addresses."""

    _pool: ServerPool

    async def grant(
        self, server: ServerRecord, keys: KeyRange, lease_s: float, handover: str | None
    ) -> CommandAnswer:
        """Grant a range or renew it; bytes that aren't answered in time are dropped."""
        return await self._send(server, grant_order(keys, lease_s, handover), COMMAND_TIMEOUT_S)

    async def release(self, server: ServerRecord, keys: KeyRange, limit_s: float) -> CommandAnswer:
        """Take a range back and wait until its work has ended."""
        return await self._send(server, release_order(keys), limit_s)

    async def _send(
        self, server: ServerRecord, order: ServerRequest, limit_s: float
    ) -> CommandAnswer:
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._pool.exchange(server, order)
        except NotSentError:
            return CommandAnswer(done=False, sent=False)
        except (ExchangeBrokenError, TimeoutError):
            self._pool.abort_idle(server)
            return CommandAnswer(done=False)
        if answer.stream is not None:
            # The head says all; nothing of a large body is wanted.
            answer.stream.abandon()
        # Only the proof of release travels on; its value means nothing to the gateway.
        handover = answer.header(HANDOVER)
        return CommandAnswer(
            done=answer.status == HTTPStatus.OK,
            fenced=answer.status == HTTPStatus.CONFLICT,
            handover=None if handover is None else handover.decode("latin-1"),
            leaving=answer.header(SERVER_LEAVING) == b"1",
        )
