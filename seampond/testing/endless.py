"""Servers that send bytes without end, and gateways measured before them."""

import asyncio
import enum
import re
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiosonic

from seampond.backing.http_client import open_client
from seampond.clock import MS_PER_SECOND
from seampond.platform.names import HEADERS
from seampond.platform.tests.rows import HOST, KEY
from seampond.testing.caller import CALL_ERRORS
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunk,
    format_chunked_response,
    format_unframed_response,
)

_ID_HEADER = HEADERS.request_id.decode()
_STAMP_HEADER = HEADERS.stamp.decode()
_LINE = b'x' * 1022
_BLOCK_BYTES = 1_048_576
_INTERVAL_S = 0.008
_TRICKLE_BYTES = 65_536
_TRICKLE_LINE_BYTES = 4096
_TRICKLE_INTERVAL_S = 0.05
_SHORT_LINES = 512
_TINY_CHUNKS = 2048
_SAMPLE_S = 0.02
_BYTES_PER_KIB = 1024
_BYTES_PER_MIB = 1_048_576


@enum.unique
class Endless(enum.Enum):
    """What a server sends without end."""

    garbage = 'bytes in place of a head'
    header_lines = 'header lines'
    header_value = 'one header line'
    interim_heads = 'heads of 1xx'
    body = 'a whole body'
    event = 'one event of a stream'
    trailers = 'trailers of a body'
    chunk_extension = 'the extension of a chunk'
    surplus = 'bytes after a whole answer'


def _make_pieces(
    kind: Endless, head: bytes, answer: bytes
) -> tuple[bytes, bytes]:
    """Return what is sent first and what is repeated after it."""
    line = b'x: %b\r\n' % _LINE
    return {
        Endless.garbage: (b'', _LINE),
        Endless.header_lines: (b'HTTP/1.1 200 OK\r\n', line),
        Endless.header_value: (b'HTTP/1.1 200 OK\r\nx: ', _LINE),
        Endless.interim_heads: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        Endless.body: (head, format_chunk(_LINE)),
        Endless.event: (head, format_chunk(b'data: %b\n' % _LINE)),
        Endless.trailers: (b'%b0\r\n' % head, line),
        Endless.chunk_extension: (b'%b1;x=' % head, _LINE),
        Endless.surplus: (answer, _LINE),
    }[kind]


def format_head(request: ReceivedRequest) -> bytes:
    """Return the head of a chunked answer to a request."""
    return format_chunked_response(_make_headers(request))


def _make_headers(request: ReceivedRequest) -> dict[str, str]:
    return {_ID_HEADER: request.get(_ID_HEADER), _STAMP_HEADER: 's'}


async def send_endless(
    kind: Endless,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    answer: bytes = b'',
) -> None:
    """Answer with bytes without end, until the connection is closed.

    Parameters
    ----------
    answer : bytes
        A whole answer, which surplus bytes follow.

    """
    first, repeated = _make_pieces(kind, format_head(request), answer)
    writer.write(first)
    block = repeated * (_BLOCK_BYTES // len(repeated))
    while True:
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(_INTERVAL_S)


@enum.unique
class Trickle(enum.Enum):
    """What a server sends slowly and does not end."""

    unframed_body = 'a body without a length'
    chunked_body = 'a body in chunks'
    event = 'one event of a stream'
    header_lines = 'header lines'
    short_lines = 'header lines of a few bytes'
    tiny_chunks = 'a body in chunks of a few bytes'


def _make_trickle(
    kind: Trickle, request: ReceivedRequest
) -> tuple[bytes, bytes]:
    """Return what is sent first and what is repeated after it."""
    head = format_head(request)
    block = b'x' * _TRICKLE_BYTES
    unframed = format_unframed_response(_make_headers(request), b'')
    return {
        Trickle.unframed_body: (unframed, block),
        Trickle.chunked_body: (head, format_chunk(block)),
        Trickle.event: (head + format_chunk(b'data: '), format_chunk(block)),
        Trickle.header_lines: (
            b'HTTP/1.1 200 OK\r\n',
            b'x: %b\r\n' % block[:_TRICKLE_LINE_BYTES],
        ),
        Trickle.short_lines: (
            b'HTTP/1.1 200 OK\r\n',
            b'ab: cd\r\n' * _SHORT_LINES,
        ),
        Trickle.tiny_chunks: (head, format_chunk(b'xy') * _TINY_CHUNKS),
    }[kind]


async def send_trickle(
    kind: Trickle, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer with a piece at each interval until the connection is closed."""
    first, repeated = _make_trickle(kind, request)
    writer.write(first)
    while True:
        writer.write(repeated)
        await writer.drain()
        await asyncio.sleep(_TRICKLE_INTERVAL_S)


def read_memory_mib(process_id: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = Path(f'/proc/{process_id}/status').read_text()
    found = re.search(r'VmRSS:\s+(\d+)', status)
    assert found is not None
    return int(found[1]) * _BYTES_PER_KIB / _BYTES_PER_MIB


@dataclass
class EndlessReport:
    """What callers and the gateway's system saw.

    Parameters
    ----------
    before_mib, peak_mib : float
        Resident memory of the gateway before the load, and its maximum.
    asked, served : set[str]
        Ids of the requests, and of those that got the expected answer.
    longest_ms : float
        Longest time that a request took.

    """

    before_mib: float
    peak_mib: float = 0
    asked: set[str] = field(default_factory=set)
    served: set[str] = field(default_factory=set)
    longest_ms: float = 0

    @property
    def growth_mib(self) -> float:
        """By how much the memory of the gateway grew."""
        return self.peak_mib - self.before_mib


async def _ask(
    client: aiosonic.HTTPClient,
    url: str,
    request_id: str,
    body: bytes,
    answer: bytes,
) -> bool:
    """Return whether a request is answered as expected."""
    headers = {
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        _ID_HEADER: request_id,
    }
    try:
        response = await client.post(url, headers=headers, data=body)
        received = await response.content()
    except CALL_ERRORS:
        return False
    return bool(response.status_code == 200 and received == answer)


async def measure_gateway(
    address: str,
    process_id: int,
    answer: bytes,
    *,
    callers: int,
    seconds: float,
    body: bytes = b'asked',
) -> EndlessReport:
    """Send requests to a gateway and measure its memory meanwhile.

    Parameters
    ----------
    answer : bytes
        The body that each request should get.
    body : bytes
        The body of each request.

    """
    report = EndlessReport(read_memory_mib(process_id))
    until_s = time.monotonic() + seconds

    async def call(client: aiosonic.HTTPClient) -> None:
        while time.monotonic() < until_s:
            request_id = f'r{len(report.asked)}'
            report.asked.add(request_id)
            since_s = time.monotonic()
            url = f'http://{address}/x/y'
            if await _ask(client, url, request_id, body, answer):
                report.served.add(request_id)
            took_ms = (time.monotonic() - since_s) * MS_PER_SECOND
            report.longest_ms = max(report.longest_ms, took_ms)

    async with open_client(callers) as client:
        calls = [asyncio.create_task(call(client)) for _ in range(callers)]
        while not all(task.done() for task in calls):
            memory_mib = read_memory_mib(process_id)
            report.peak_mib = max(report.peak_mib, memory_mib)
            await asyncio.sleep(_SAMPLE_S)
        await asyncio.gather(*calls)
    return report


def compute_served_share(report: EndlessReport, requests: set[str]) -> float:
    """Return the share of some requests that were served."""
    return len(report.served & requests) / max(1, len(requests))
