"""Connections that carry the leader's grants, one per server, each with a number.

Whoever listens at a server's address carries a grant out, but a connection belongs to one process
for as long as it exists. A fencing token that is sent over one connection only is therefore held by
one process only, whatever starts at the address later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count

from attrs import define, field, frozen

from hyssopwood.errors import HyssopwoodError
from hyssopwood.gateway.exchange import (
    ExchangeBrokenError,
    NotSentError,
    ServerAnswer,
    ServerRequest,
)
from hyssopwood.gateway.server_connection import ServerConnection, connect
from hyssopwood.gateway.server_directory import ServerRecord


class ChannelReplacedError(HyssopwoodError):
    """Raised when nothing was sent because another channel than the wanted one is open."""

    exit_code = 7


@define(eq=False)
class _Channel:
    """A connection to one process; it carries one grant at a time."""

    number: int
    connection: ServerConnection
    lock: asyncio.Lock = field(factory=asyncio.Lock)


@frozen
class ChannelAnswer:
    """A server's answer and the number of the channel that it came over."""

    channel: int
    answer: ServerAnswer


async def _connect_directly(server: ServerRecord) -> ServerConnection:
    return await connect(server.address)


@define
class GrantChannels:
    """Open a channel for each incarnation of a server, and another one when it has ended."""

    _connect: Callable[[ServerRecord], Awaitable[ServerConnection]] = _connect_directly
    _channels: dict[tuple[str, int], _Channel] = field(factory=dict, init=False)
    _numbers: count[int] = field(factory=lambda: count(1), init=False)

    async def exchange(
        self, server: ServerRecord, request: ServerRequest, wanted: int | None, timeout_s: float
    ) -> ChannelAnswer:
        """Send a request over the wanted channel, or over any if None, and return the answer.

        Raises ChannelReplacedError if the wanted channel has ended and the server accepts another
        one, NotSentError if nothing was sent for another reason, and ExchangeBrokenError if
        something was.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                channel = await self._open(server)
                if wanted not in (None, channel.number):
                    raise ChannelReplacedError(f"channel {channel.number} is open")
                async with channel.lock:
                    if channel.connection.ended:
                        raise NotSentError("the channel has ended")
                    sent = True
                    answer = await channel.connection.exchange(server.address, request, None)
        except TimeoutError as error:
            if sent:
                raise ExchangeBrokenError("no answer in time") from error
            raise NotSentError("earlier grants occupy the channel") from error
        return ChannelAnswer(channel.number, answer)

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Close the channels to all incarnations except the given ones."""
        for incarnation in self._channels.keys() - incarnations:
            self._channels.pop(incarnation).connection.close()

    async def _open(self, server: ServerRecord) -> _Channel:
        """Return the server's channel, opening one if it has none."""
        channel = self._current(server)
        if channel is not None:
            return channel
        connection = await self._connect(server)
        # Another grant may have opened a channel meanwhile.
        channel = self._current(server)
        if channel is not None:
            connection.close()
            return channel
        channel = _Channel(next(self._numbers), connection)
        self._channels[server.incarnation] = channel
        return channel

    def _current(self, server: ServerRecord) -> _Channel | None:
        channel = self._channels.get(server.incarnation)
        return None if channel is None or channel.connection.ended else channel
