"""A small HTTP/1.1 server and client over asyncio for the stand-ins."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers, or None when the peer has closed the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0].strip(), 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


def head_text(first_line, headers):
    return (first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode("latin-1")


class Responder:
    """Writes the response to one request."""

    def __init__(self, writer):
        self.writer = writer

    async def send(self, status, body=b"", headers=(), reason="OK"):
        if isinstance(body, str):
            body = body.encode()
        fields = list(headers) + [("Content-Length", len(body))]
        self.writer.write(head_text(f"HTTP/1.1 {status} {reason}", fields) + body)
        await self.writer.drain()

    async def begin_stream(self, headers):
        self.writer.write(head_text("HTTP/1.1 200 OK", list(headers) + [("Transfer-Encoding", "chunked")]))
        await self.writer.drain()

    async def chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()

    async def end_stream(self):
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


async def serve(host, port, handler):
    """Calls `handler(request, responder, reader)` for each request."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await handler(Request(method, target, head[1], body), Responder(writer), reader)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22, backlog=512)


async def call(host, port, method, target, headers=(), body=b"", timeout=5.0):
    """Makes one call over a connection of its own. Returns the status, the headers and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            named = any(name.lower() == "host" for name, _ in headers)
            fields = ([] if named else [("Host", f"{host}:{port}")]) + list(headers)
            if body or method not in ("GET", "DELETE"):
                fields.append(("Content-Length", len(body)))
            writer.write(head_text(f"{method} {target} HTTP/1.1", fields) + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without a response")
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1], True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
