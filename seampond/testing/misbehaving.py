"""Callers that send bytes without end, or do not read their answers."""

import asyncio
import enum
import re
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from types import MappingProxyType

from seampond.platform.tests.rows import HOST, ID_HEADER, KEY

_BLOCK_BYTES = 65_536
_LARGE_BYTES = 4_194_304
_STALL_S = 1
_RETRIES_MAX = 20
_BYTES_PER_KIB = 1024
# Keeps answers in the socket's buffers.
_READER_LIMIT = 1024
_TEXT = b'x' * 1022
_HEADER_LINE = b'x: %b\r\n' % _TEXT
_REQUEST_LINE = b'POST /x/y HTTP/1.1\r\n'
_HOST_LINE = b'host: %b\r\n' % HOST.encode()
_CHUNKED = b'%b%btransfer-encoding: chunked\r\n\r\n' % (
    _REQUEST_LINE,
    _HOST_LINE,
)


@enum.unique
class Flood(enum.Enum):
    """What a caller sends without end."""

    header_lines = 'header lines'
    short_header_lines = 'header lines of one byte'
    header_value = 'one header line'
    header_name = 'the name of a header'
    request_line = 'a request line'
    empty_lines = 'empty lines before a request'
    trailer_lines = 'trailers of a body'
    trailer_value = 'one trailer'
    late_trailer = 'one trailer behind a large body'
    chunk_extension = 'the extension of a chunk'
    body = 'a body'
    bare_requests = 'requests without the usual headers'
    closing_requests = 'requests that ask for the end of the connection'
    requests = 'requests that a server answers'


_PIECES = MappingProxyType(
    {
        Flood.header_lines: (_REQUEST_LINE, _HEADER_LINE),
        Flood.short_header_lines: (_REQUEST_LINE, b'a:\r\n'),
        Flood.header_value: (b'%bx: ' % _REQUEST_LINE, _TEXT),
        Flood.header_name: (_REQUEST_LINE, _TEXT),
        Flood.request_line: (b'POST /', _TEXT),
        Flood.empty_lines: (b'', b'\r\n'),
        Flood.trailer_lines: (b'%b0\r\n' % _CHUNKED, _HEADER_LINE),
        Flood.trailer_value: (b'%b0\r\nx: ' % _CHUNKED, _TEXT),
        Flood.late_trailer: (
            b'%b400000\r\n%b\r\n0\r\nx: ' % (_CHUNKED, bytes(_LARGE_BYTES)),
            _TEXT,
        ),
        Flood.chunk_extension: (b'%b1;x=' % _CHUNKED, _TEXT),
        Flood.body: (_CHUNKED, b'3fe\r\n%b\r\n' % _TEXT),
        Flood.bare_requests: (b'', b'GET / HTTP/1.1\r\n\r\n'),
        Flood.closing_requests: (
            b'',
            b'GET / HTTP/1.1\r\nconnection: close\r\n\r\n',
        ),
    }
)


def make_request(request_id: str, body: bytes = b'ask') -> bytes:
    """Return a request that the configuration allows."""
    head = '\r\n'.join(
        (
            'POST /x/y HTTP/1.1',
            f'Host: {HOST}',
            f'{ID_HEADER}: {request_id}',
            f'Authorization: Token {KEY}',
            f'Content-Length: {len(body)}',
        )
    )
    return b'%b\r\n\r\n%b' % (head.encode(), body)


def make_blocks(flood: Flood) -> Callable[[], Iterable[bytes]]:
    """Return a function that yields what a connection sends."""
    if flood is Flood.requests:
        return _make_requests
    first, repeated = _PIECES[flood]
    block = repeated * (_BLOCK_BYTES // len(repeated))

    def yield_blocks() -> Iterable[bytes]:
        yield first
        while True:
            yield block

    return yield_blocks


def _make_requests() -> Iterable[bytes]:
    for number in count():
        yield b''.join(
            make_request(f'ahead-{number}-{index}') for index in range(256)
        )


def read_memory(process_id: int, entry: str = 'VmHWM') -> int:
    """Return an entry of the status of a process in bytes.

    Parameters
    ----------
    entry : str
        The peak of the resident memory by default.

    """
    status = Path(f'/proc/{process_id}/status').read_text(encoding='utf-8')
    found = re.search(rf'{entry}:\s+(\d+) kB', status)
    assert found is not None
    return int(found[1]) * _BYTES_PER_KIB


def count_descriptors(process_id: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{process_id}/fd').iterdir()))


@dataclass
class Crowd:
    """Connections to one address whose callers read no answer.

    Attributes
    ----------
    longest_bytes : int
        Most bytes that one connection took.

    """

    address: str
    longest_bytes: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def flood(
        self, make: Callable[[], Iterable[bytes]], volume: int
    ) -> None:
        """Send `volume` bytes, on new connections after one is closed.

        Explanation
        -----------
        It ends earlier when the other side no longer reads; the connection
        stays open.
        """
        sent = 0
        while sent < volume:
            writer = await self.connect()
            taken = await self._send(writer, make(), volume - sent)
            if taken is None:
                return
            sent += taken

    async def hold(self, payload: bytes) -> None:
        """Send some bytes and keep the connection."""
        writer = await self.connect()
        await self._send(writer, (payload,), len(payload))

    async def connect(self) -> asyncio.StreamWriter:
        """Open a connection."""
        host, _, port = self.address.rpartition(':')
        _, writer = await asyncio.open_connection(
            host, int(port), limit=_READER_LIMIT
        )
        self._writers.add(writer)
        return writer

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
        for writer in self._writers:
            with suppress(OSError):
                await writer.wait_closed()
        self._writers.clear()

    async def _send(
        self, writer: asyncio.StreamWriter, blocks: Iterable[bytes], most: int
    ) -> int | None:
        """Return how many bytes were sent, None if they are not read."""
        sent = 0
        for block in blocks:
            try:
                async with asyncio.timeout(_STALL_S):
                    writer.write(block)
                    await writer.drain()
            except TimeoutError:
                return None
            except ConnectionError:
                self._writers.discard(writer)
                writer.transport.abort()
                break
            sent += len(block)
            self.longest_bytes = max(self.longest_bytes, sent)
            if sent >= most:
                break
        # A connection that takes no byte must not be tried for ever.
        return max(1, sent)


@asynccontextmanager
async def gather_crowd(address: str) -> AsyncIterator[Crowd]:
    """Close the connections of a crowd at the end of the `with`."""
    crowd = Crowd(address)
    try:
        yield crowd
    finally:
        await crowd.close()


async def ask(address: str, request_id: str) -> tuple[int, bytes]:
    """Send one request as a sound caller does; return status and body.

    Explanation
    -----------
    It is sent again after a refusal that allows it, and when the connection
    was closed.
    """
    status, body = 0, b''
    for number in range(_RETRIES_MAX):
        with suppress(OSError, asyncio.IncompleteReadError):
            status, body, pause_s = await _exchange(
                address, make_request(f'{request_id}-{number}')
            )
            if status not in {429, 503}:
                break
            await asyncio.sleep(pause_s)
    return status, body


async def _exchange(address: str, request: bytes) -> tuple[int, bytes, float]:
    """Return the status and body of an answer, and its Retry-After."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await _read_answer(reader, writer, request)
    finally:
        writer.transport.abort()


async def _read_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
) -> tuple[int, bytes, float]:
    writer.write(request)
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.lower().split(b'\r\n')[:-2]
    pairs = [line.partition(b':') for line in lines]
    headers = {name: text.strip() for name, _, text in pairs}
    body = await reader.readexactly(int(headers[b'content-length']))
    pause_s = float(headers.get(b'retry-after', b'0'))
    return int(first.split(b' ')[1]), body, pause_s
