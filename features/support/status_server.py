"""A server that answers with any characters as the status, in one of several framings."""

import asyncio

LARGE = b"x" * 200_000
SMALL = b"{}"


def encode_answer(status, form, request_id):
    """Return the bytes of an answer in a form: whole, chunked, large, or after interim answers."""
    head = b"HTTP/1.1 " + status + b" Status\r\n"
    if request_id:
        head += b"Response-Signature: s\r\nRequest-Id: " + request_id + b"\r\n"
    if form == "chunked":
        chunk = b"%x\r\n%b\r\n" % (len(SMALL), SMALL)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    if form == "large in chunks":
        chunk = b"%x\r\n%b\r\n" % (len(LARGE), LARGE)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    body = LARGE if form == "large" else SMALL
    answer = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    return interim + interim + answer if form == "after interim" else answer


class StatusServer:
    """Answer each request with the status; with `answered`, only the first one of all servers.

    Servers that share the list `answered` answer all requests after the first one with 200.
    """

    def __init__(self, status, form="whole", answered=None):
        self._status = status.encode()
        self._form = form
        self._answered = answered
        self.requests = 0
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
                )
                await reader.readexactly(int(fields.get(b"content-length", 0)))
                self.requests += 1
                writer.write(self._encode(fields.get(b"request-id")))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    def _encode(self, request_id):
        if not self._answered:
            if self._answered is not None:
                self._answered.append(request_id)
            return encode_answer(self._status, self._form, request_id)
        return encode_answer(b"200", "whole", request_id)
