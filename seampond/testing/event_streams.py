"""Server processes that stream events, and a caller that checks each one."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND
from seampond.platform.names import HEADERS
from seampond.platform.tests.rows import HOST, KEY, put_server
from seampond.testing.event_server import ServerPlan, make_command
from seampond.testing.store import StandInStore

_HEAD_END = b'\r\n\r\n'
_CALLER_WAIT_MS = 5000
_READ_BYTES = 65_536
_CHUNKING_VERSION = 'HTTP/1.1'
_ID_HEADER = HEADERS.request_id.decode()
_DEADLINE_HEADER = HEADERS.deadline.decode()
_LAST_EVENT_HEADER = HEADERS.last_event.decode()


@dataclass
class ServerProcess:
    """A server process that can be killed and started again."""

    plan: ServerPlan
    process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Its address."""
        port = self.plan.port
        return f'127.0.0.1:{port}'

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            *make_command(self.plan), stdout=asyncio.subprocess.PIPE
        )
        assert self.process.stdout is not None
        await self.process.stdout.readline()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process; its system closes the connections."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


@asynccontextmanager
async def run_server(
    store: StandInStore, plan: ServerPlan
) -> AsyncIterator[ServerProcess]:
    """Run a listed server; kill it at the end."""
    server = ServerProcess(plan)
    await server.start()
    put_server(store, plan.id, server.address)
    try:
        yield server
    finally:
        await server.kill()


@dataclass
class ReceivedStream:
    """What a caller received of a stream.

    Parameters
    ----------
    numbers : list[int]
        Number of each event.
    runs : list[str]
        The run that made each event.
    is_complete : bool
        Whether the last answer ended with its last chunk, or without chunks
        with the orderly end of its connection.
    is_chunked : bool
        Whether the caller knows chunks.

    """

    status: int = 0
    numbers: list[int] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    is_complete: bool = False
    is_chunked: bool = True

    def find_wrong(self, events: int) -> str:
        """Return how it breaks the order of events, empty if it does not.

        Examples
        --------
        >>> ReceivedStream(200, [1, 2, 2, 3]).find_wrong(6)
        'events [1, 2, 2, 3]'
        >>> ReceivedStream(200, [1, 2], is_complete=True).find_wrong(6)
        'complete after 2 of 6'

        """
        if self.numbers != list(range(1, len(self.numbers) + 1)):
            return f'events {self.numbers}'
        if self.is_complete and len(self.numbers) != events:
            received = len(self.numbers)
            return f'complete after {received} of {events}'
        return ''

    def record(self, event: bytes) -> None:
        """Record an event."""
        number, _, text = event.partition(b'\ndata: ')
        self.numbers.append(int(number.removeprefix(b'id: ')))
        self.runs.append(json.loads(text)['run'])


def _encode_request(request_id: str, last_event: int, version: str) -> bytes:
    headers = {
        'Host': HOST,
        _ID_HEADER: request_id,
        _DEADLINE_HEADER: str(_CALLER_WAIT_MS),
        'Authorization': f'Token {KEY}',
        'Content-Length': str(len(request_id)),
    }
    if last_event:
        headers[_LAST_EVENT_HEADER] = str(last_event)
    lines = [f'POST /x/y {version}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join(lines).encode() + _HEAD_END + request_id.encode()


async def _read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of an answer, the last one is empty."""
    payload = b'x'
    while payload:
        size = int(await reader.readuntil(b'\r\n'), 16)
        payload = (await reader.readexactly(size + 2))[:-2]
        yield payload


async def _read_to_end(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield what arrives until the orderly end of the connection."""
    payload = b'x'
    while payload:
        payload = await reader.read(_READ_BYTES)
        yield payload


async def receive_stream(
    address: str,
    stream: ReceivedStream,
    request_id: str,
    version: str = _CHUNKING_VERSION,
) -> None:
    """Ask for a stream, or for the rest of it, and record its events."""
    last_event = stream.numbers[-1] if stream.numbers else 0
    request = _encode_request(request_id, last_event, version)
    stream.is_chunked = version == _CHUNKING_VERSION
    with suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(_CALLER_WAIT_MS / MS_PER_SECOND):
            await _exchange(address, request, stream)


async def _exchange(
    address: str, request: bytes, stream: ReceivedStream
) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        await _record_answer(reader, stream)
    finally:
        writer.transport.abort()


async def _record_answer(
    reader: asyncio.StreamReader, stream: ReceivedStream
) -> None:
    head = await reader.readuntil(_HEAD_END)
    stream.status = int(head.split(b' ')[1])
    if stream.status == 200:
        await _record_events(reader, stream)


async def _record_events(
    reader: asyncio.StreamReader, stream: ReceivedStream
) -> None:
    pending = b''
    read_payloads = _read_chunks if stream.is_chunked else _read_to_end
    async for payload in read_payloads(reader):
        *events, pending = (pending + payload).split(b'\n\n')
        for event in events:
            stream.record(event)
    stream.is_complete = not pending
