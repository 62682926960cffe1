"""An HTTP server that answers as a test says, also wrongly."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from seampond.tasks import cancel_all

_END = b'\r\n\r\n'
_ENDS = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    ConnectionError,
)
_NO_LINGER = struct.pack('ii', 1, 0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it came."""

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def get(self, name: str) -> str:
        """Give the first value of a header, empty if there is none."""
        wanted = name.lower().encode()
        for known, text in self.headers:
            if known.lower() == wanted:
                return text.decode('latin-1')
        return ''


RequestHandler = Callable[
    [ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


@dataclass
class ScriptedServer:
    """Where it listens, what came, and which connections broke.

    Parameters
    ----------
    disconnect_count : int
        Connections that the other side has ended.

    """

    address: str = ''
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    disconnect_count: int = 0


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Break a connection with a reset, not with a clean end."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request, with a body of a told length."""
    head = await reader.readuntil(_END)
    first, *lines = head[: -len(_END)].split(b'\r\n')
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
    """Serve on a free port of loopback until the end of the `with`."""
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
        except _ENDS:
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
    """Give the bytes of an answer, with a length that may be wrong."""
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    size = len(body) if length is None else length
    lines.append(f'Content-Length: {size}')
    head = '\r\n'.join(lines).encode()
    return b''.join((head, _END, body))


def format_chunked_response(
    headers: Mapping[str, str], *chunks: bytes
) -> bytes:
    """Give a chunked answer; an empty last chunk ends it."""
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    parts = ['\r\n'.join(lines).encode(), _END]
    parts.extend(map(format_chunk, chunks))
    return b''.join(parts)


def format_chunk(chunk: bytes) -> bytes:
    """Give the bytes of one chunk; an empty one ends an answer."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)
