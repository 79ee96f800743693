"""A small HTTP/1.1 server and client over asyncio streams, for the stand-ins of the cases."""

import asyncio


class Message:
    """A request or a response with its whole body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_header(reader):
    """Reads a start line and the header fields; None if the connection ends before them."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunk(reader):
    """Reads one chunk of a body; empty at its regular end."""
    line = await reader.readuntil(b"\r\n")
    size = int(line.split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readuntil(b"\r\n")
    return data


async def read_message(reader):
    """Reads a message with a length or in chunks; None if the connection ends before it."""
    message = await read_header(reader)
    if message is None:
        return None
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            while data := await read_chunk(reader):
                message.body += data
        else:
            message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(start, headers, body=b""):
    """Encodes a message with a length."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 202: "Accepted", 201: "Created", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, headers=(), body=b""):
    """Encodes a response with a length."""
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


async def start_server(handler, port=0, host="127.0.0.1"):
    """Calls `handler(request, writer)` for each request; it writes the response itself and returns
    False if the connection is to be closed. Returns the server and its port."""

    async def serve(reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                if await handler(request, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def call(port, method, target, headers=(), body=b"", timeout=10.0, host="127.0.0.1"):
    """Sends a request on a new connection. Returns the response, or None without a whole one."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
        writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
        return await read_message(reader)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def status_of(message):
    """The status of a response; 0 without one."""
    return int(message.start.split(" ")[1]) if message is not None else 0
