"""An HTTP server with scripted, possibly invalid, responses."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from seampond.tasks import cancel_all

_HEAD_END = b'\r\n\r\n'
_DISCONNECT_ERRORS = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    ConnectionError,
)
_NO_LINGER = struct.pack('ii', 1, 0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received by the server."""

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def get(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        lower_name = name.lower().encode()
        for header, text in self.headers:
            if header.lower() == lower_name:
                return text.decode('latin-1')
        return ''


RequestHandler = Callable[
    [ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


@dataclass
class ScriptedServer:
    """Address, received requests and connection counts of a server.

    Parameters
    ----------
    disconnect_count : int
        Connections that ended while the server read or responded.

    """

    address: str = ''
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    disconnect_count: int = 0


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request; its body needs a Content-Length header."""
    head = await reader.readuntil(_HEAD_END)
    first, *lines = head[: -len(_HEAD_END)].split(b'\r\n')
    method, target, _ = first.split(b' ')
    pairs = [line.partition(b':') for line in lines]
    headers = tuple((name, text.strip()) for name, _, text in pairs)
    body = b''
    for name, text in headers:
        if name.lower() == b'content-length':
            body = await reader.readexactly(int(text))
    return ReceivedRequest(method.decode(), target, headers, body)


@asynccontextmanager
async def run_scripted(handle: RequestHandler) -> AsyncIterator[ScriptedServer]:
    """Run a server on a free loopback port."""
    server = ScriptedServer()
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        server.connections += 1
        try:
            while True:
                request = await read_request(reader)
                server.received.append(request)
                await handle(request, writer)
                await writer.drain()
        except _DISCONNECT_ERRORS:
            server.disconnect_count += 1
        finally:
            writer.close()

    listening = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()[:2]
    server.address = f'{host}:{port}'
    try:
        yield server
    finally:
        listening.close()
        await cancel_all(tasks)


def format_response(
    status: int,
    headers: Mapping[str, str],
    body: bytes = b'',
    *,
    length: int | None = None,
) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    length : int or None
        Content-Length to send, None for the length of `body`.

    """
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    size = len(body) if length is None else length
    lines.append(f'Content-Length: {size}')
    head = '\r\n'.join(lines).encode()
    return b''.join((head, _HEAD_END, body))


def format_unframed_response(headers: Mapping[str, str], body: bytes) -> bytes:
    """Return a response that ends when its connection does."""
    lines = ['HTTP/1.1 200 OK', 'Connection: close']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return b''.join(('\r\n'.join(lines).encode(), _HEAD_END, body))


def format_chunked_response(
    headers: Mapping[str, str], *chunks: bytes
) -> bytes:
    """Return a chunked response; it ends if the last chunk is empty."""
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    parts = ['\r\n'.join(lines).encode(), _HEAD_END]
    parts.extend(map(format_chunk, chunks))
    return b''.join(parts)


def format_chunk(chunk: bytes) -> bytes:
    """Return one encoded chunk; an empty chunk ends the response."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)
