"""Forms in which a relaying instance passes a server's bytes, and the server's end, on."""

from __future__ import annotations

import asyncio
from functools import singledispatch

from attrs import define

from hyssopwood.gateway.read_buffer import set_reset_on_close
from hyssopwood.gateway.relay_frames import Frame, FrameKind


@define
class FramedOutput:
    """Pass bytes on in frames."""

    transport: asyncio.Transport


@define
class PlainOutput:
    """Pass bytes on as they are, for builds up to 51457f8, which read no frames.

    They take an orderly close for the server's, so any other end must reset the connection, also if
    this process is killed.
    """

    transport: asyncio.Transport
    closes_when_sent: bool = False


def open_output(transport: asyncio.Transport, framed: bool) -> FramedOutput | PlainOutput:
    """Return the output to an instance that reads frames, or to one that doesn't."""
    if framed:
        return FramedOutput(transport)
    set_reset_on_close(transport, True)
    return PlainOutput(transport)


@singledispatch
def pass_bytes(output: object, data: bytes) -> None:
    """Pass a server's bytes on."""
    raise NotImplementedError(type(output))


@pass_bytes.register
def _(output: FramedOutput, data: bytes) -> None:
    output.transport.write(Frame(FrameKind.BYTES, data).encode())


@pass_bytes.register
def _(output: PlainOutput, data: bytes) -> None:
    output.transport.write(data)


@singledispatch
def pass_close(output: object) -> None:
    """Pass on that the server has closed the connection in order."""
    raise NotImplementedError(type(output))


@pass_close.register
def _(output: FramedOutput) -> None:
    output.transport.write(Frame(FrameKind.SERVER_CLOSED).encode())
    output.transport.close()


@pass_close.register
def _(output: PlainOutput) -> None:
    # The kernel sends what it has also if the process ends; what is buffered here would be lost.
    output.closes_when_sent = True
    output.transport.set_write_buffer_limits(high=0)
    if not output.transport.get_write_buffer_size():
        close_sent(output)


@singledispatch
def close_sent(output: object) -> None:
    """Close the connection if that waits until all bytes are sent, which they are now."""


@close_sent.register
def _(output: PlainOutput) -> None:
    if output.closes_when_sent and not output.transport.is_closing():
        set_reset_on_close(output.transport, False)
        output.transport.close()


@singledispatch
def announce_retirement(output: object) -> bool:
    """Ask the other instance for no further request; return whether its build can be asked."""
    return False


@announce_retirement.register
def _(output: FramedOutput) -> bool:
    output.transport.write(Frame(FrameKind.RETIRED).encode())
    return True
