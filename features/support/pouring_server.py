"""A server, in a process of its own, that answers each request with bytes without end.

Its argument is the form of the bytes. It prints its port.
"""

import asyncio
import sys

import uvloop

BLOCK_BYTES = 65_536
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
# Start of each kind of answer, and the bytes that are repeated after it.
FORMS = {
    "header lines": (ANSWER, b"X: y\r\n"),
    "header value": (ANSWER + b"X: ", b"y"),
    "header name": (ANSWER, b"y"),
    "status reason": (b"HTTP/1.1 200 ", b"y"),
    "no answer at all": (b"", b"\x00\xff\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "chunk extension": (ANSWER + CHUNKED + b"2;", b"y"),
    "chunk size": (ANSWER + CHUNKED, b"0"),
    "trailer lines": (ANSWER + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "trailer value": (ANSWER + CHUNKED + b"0\r\nX: ", b"y"),
    "body without a length": (ANSWER + b"Connection: close\r\n\r\n", b"y"),
    "body in chunks": (ANSWER + CHUNKED, b"4000\r\n" + b"y" * 0x4000 + b"\r\n"),
    "body in chunks of a byte": (ANSWER + CHUNKED, b"1\r\ny\r\n"),
    "body with a length": (ANSWER + b"Content-Length: 999999999999\r\n\r\n", b"y"),
    "body of a failure": (b"HTTP/1.1 500 E\r\nRequest-Id: r1\r\n\r\n", b"y"),
    "body of another answer": (OTHER + b"Content-Length: 999999999999\r\n\r\n", b"y"),
    "other answers": (b"", OTHER + b"Content-Length: 1\r\n\r\nx"),
    "the same answer": (b"", ANSWER + b"Content-Length: 16\r\n\r\n" + b"x" * 16),
}


async def _serve(form):
    begin, repeated = FORMS[form]
    block = repeated * max(1, BLOCK_BYTES // len(repeated))

    async def pour(reader, writer):
        try:
            # Requests and the first message of a relay differ; some bytes of either are enough.
            await reader.read(1)
            writer.write(begin)
            while True:
                writer.write(block)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(pour, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1]))
