"""HTTP/1.1 servers and clients on loopback, and a TCP proxy that holds, drops or resets."""
import asyncio

import cbor

HOST = "127.0.0.1"


class Held(Exception):
    """Raised by a handler that never answers."""


async def read_message(reader):
    """Reads one request or response; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def close(writer):
    try:
        writer.transport.abort()
    except Exception:
        pass


async def serve(handler, port=0):
    """Serves `handler(method, path, body)`, which returns a status and a value for the body."""

    async def connection(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                try:
                    status, value = await handler(method, path, body)
                except Held:
                    await asyncio.sleep(3600)
                    return
                data = b"" if value is None else cbor.encode(value)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    server = await asyncio.start_server(connection, HOST, port, limit=1 << 20, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A client's connection, which stays open until one side closes it."""

    def __init__(self, port):
        self.port, self.streams = port, None

    async def _exchange(self, method, path, data):
        if self.streams is None:
            self.streams = await asyncio.open_connection(HOST, self.port, limit=1 << 24)
        reader, writer = self.streams
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{self.port}\r\n"
            f"Content-Type: application/cbor\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        line, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, body

    async def call(self, method, path, data=b"", timeout=5.0):
        """Returns status, headers and body; raises on a failure or without an answer in time."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, data), timeout)
        except BaseException:
            self.close()
            raise

    def close(self):
        if self.streams is not None:
            close(self.streams[1])
            self.streams = None


async def call_once(port, method, path, value=None, timeout=5.0, data=None):
    """One request on a connection of its own. Returns the status (0: no answer) and the decoded body."""
    connection = Connection(port)
    if data is None:
        data = b"" if value is None else cbor.encode(value)
    try:
        status, _, body = await connection.call(method, path, data, timeout)
    except (OSError, asyncio.TimeoutError, ConnectionError, ValueError):
        return 0, None
    finally:
        connection.close()
    try:
        return status, cbor.decode(body) if body else None
    except ValueError:
        return status, None


class Link:
    """A TCP proxy to a port. While it is cut it passes nothing on, says nothing and keeps connections open."""

    def __init__(self, target):
        self.target, self.cut, self.port = target, False, None
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        server = await asyncio.start_server(self._accept, HOST, 0, backlog=256)
        self.server, self.port = server, server.sockets[0].getsockname()[1]
        return self

    def set_cut(self, cut):
        self.cut = cut
        self.open.clear() if cut else self.open.set()

    async def _pipe(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def _accept(self, reader, writer):
        await self.open.wait()
        try:
            there = await asyncio.open_connection(HOST, self.target)
        except OSError:
            close(writer)
            return
        try:
            await asyncio.gather(self._pipe(reader, there[1]), self._pipe(there[0], writer))
        except asyncio.CancelledError:
            pass
