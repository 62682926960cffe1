"""Servers that crash on some requests, and their callers."""

import asyncio
import enum
import itertools
import math
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import aiosonic

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    KEY,
    PARTS_HEADER,
    STAMP_HEADER,
    TOKENS_HEADER,
    put_server,
)
from seampond.tasks import cancel_all
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunked_response,
    format_response,
    format_unframed_response,
    read_request,
    reset_connection,
)
from seampond.testing.store import StandInStore

CRASHING_BODY = b'ends its server'
_CRASH_DELAY_MS = 60
EVENT = b'id: 1\ndata: x\n\n'
_SECOND_EVENT = b'id: 2\ndata: x\n\n'
LAST_CHUNK = b'0\r\n\r\n'
_DOWNTIME_MS = 1000
_PART_TOKENS = 100
_ANSWER_TOKENS = 10
_CLIENT_CONNECTIONS = 300
_DISCONNECT_ERRORS = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    OSError,
)


Parts = tuple[str, ...]


@enum.unique
class AnswerStyle(enum.Enum):
    """How much of an answer a server writes before it may crash."""

    whole = 'whole'
    half_body = 'half a body'
    unframed_body = 'half a body without length or chunks'
    stream = 'chunked stream'
    unframed_stream = 'stream without length or chunks'
    half_event = 'the same, an event and a half'


@dataclass(frozen=True, slots=True)
class Content:
    """What a caller asks.

    Parameters
    ----------
    parts : tuple[str, ...]
        Names of the parts of the prompt, empty for none.

    """

    body: bytes
    parts: Parts = ()


@dataclass(frozen=True, slots=True)
class Delivery:
    """A request that a server received.

    Parameters
    ----------
    incarnation : int
        Start time of the server, in milliseconds since the epoch.
    is_crashing : bool
        Whether it crashes the server.

    """

    at_ms: int
    server: str
    body: bytes
    request_id: str = ''
    incarnation: int = 0
    is_crashing: bool = False


@dataclass
class CrashingServer:
    """A server that crashes on some request bodies and restarts.

    Parameters
    ----------
    id : str
        Server id, kept across restarts.
    crashes_on : Callable[[Content], bool]
        Whether a request crashes the server.
    resets_connections : bool
        Whether it runs each request, then resets the connection.
    crash_times_ms : list[int]
        Times of all crashes.
    caused_crash_times_ms : list[int]
        Times of the crashes caused by a request.
    style : AnswerStyle
        How it answers; the first event of a stream is sent at once.
    service_ms : int
        Service time of a request that does not crash the server.
    connections_max : int
        Connections that it accepts, 0 for any number.
    reset_count : int
        Connections that it has reset since they were too many.

    """

    id: str
    store: StandInStore
    clock: Clock
    crashes_on: Callable[[Content], bool]
    on_delivery: Callable[[Delivery], None]
    crash_times_ms: list[int] = field(default_factory=list)
    caused_crash_times_ms: list[int] = field(default_factory=list)
    resets_connections: bool = False
    style: AnswerStyle = AnswerStyle.whole
    service_ms: int = 50
    may_restart: bool = True
    connections_max: int = 0
    reset_count: int = 0
    row: dict[str, Any] = field(default_factory=dict)
    started_ms: int = 0
    _address: str = ''
    _listening: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    @property
    def is_up(self) -> bool:
        """Whether the server is running."""
        return self._listening is not None

    async def start(self) -> None:
        """Listen on the address of the first start and write the row."""
        port = int(self._address.rpartition(':')[2] or 0)
        self._listening = await asyncio.start_server(
            self._serve, '127.0.0.1', port, reuse_address=True
        )
        host, port = self._listening.sockets[0].getsockname()[:2]
        self._address = f'{host}:{port}'
        # On virtual time two starts may fall into one millisecond.
        now_ms = time.time_ns() // 1_000_000
        self.started_ms = max(now_ms, self.started_ms + 1)
        self.put_row()

    def put_row(self, **changes: Any) -> None:
        """Write the server's row to the store."""
        content = {'born': self.started_ms} | self.row | changes
        put_server(self.store, self.id, self._address, **content)

    def crash(self) -> None:
        """Abort all connections and restart later, as after a kill."""
        if self._listening is None:
            return
        self.crash_times_ms.append(self.clock.now())
        self._listening.close()
        self._listening = None
        for writer in list(self._writers):
            writer.transport.abort()
        if self.may_restart:
            self._spawn(self._restart())

    async def stop(self) -> None:
        """Stop without a restart."""
        self.may_restart = False
        self.crash()
        await cancel_all(list(self._tasks))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await self.clock.sleep(_DOWNTIME_MS)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            # The kernel had accepted the connection before the crash.
            writer.transport.abort()
            return
        if self.connections_max and len(self._writers) >= self.connections_max:
            self.reset_count += 1
            reset_connection(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        with suppress(*_DISCONNECT_ERRORS):
            while True:
                await self._answer(await read_request(reader), writer)
        self._tasks.discard(task)
        self._writers.discard(writer)
        writer.close()

    def _record_delivery(self, request: ReceivedRequest) -> Delivery:
        delivery = Delivery(
            self.clock.now(),
            self.id,
            request.body,
            request.get(ID_HEADER),
            self.started_ms,
            self.crashes_on(read_content(request)),
        )
        self.on_delivery(delivery)
        return delivery

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        delivery = self._record_delivery(request)
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        writer.write(_format_beginning(self.style, headers))
        if delivery.is_crashing:
            await self.clock.sleep(_CRASH_DELAY_MS)
            if self._listening is not None:
                self.caused_crash_times_ms.append(self.clock.now())
            self.crash()
            return
        await self.clock.sleep(self.service_ms)
        if self.resets_connections:
            reset_connection(writer)
            return
        writer.write(_format_rest(self.style, headers))
        await writer.drain()
        if self.style in _UNFRAMED_STYLES:
            writer.close()


_UNFRAMED_STYLES = (
    AnswerStyle.unframed_stream,
    AnswerStyle.half_event,
    AnswerStyle.unframed_body,
)
_WHOLE_BODY = b'whole'
_HALF = 7


def _format_beginning(style: AnswerStyle, headers: Mapping[str, str]) -> bytes:
    """Return what a server writes at once."""
    if style is AnswerStyle.half_body:
        head = format_response(200, headers, length=len(_WHOLE_BODY))
        return head + _WHOLE_BODY[:2]
    if style is AnswerStyle.unframed_body:
        return format_unframed_response(headers, _WHOLE_BODY[:2])
    if style is AnswerStyle.stream:
        return format_chunked_response(headers, EVENT)
    if style is AnswerStyle.unframed_stream:
        return format_unframed_response(headers, EVENT)
    if style is AnswerStyle.half_event:
        return format_unframed_response(headers, EVENT + _SECOND_EVENT[:_HALF])
    return b''


def _format_rest(style: AnswerStyle, headers: Mapping[str, str]) -> bytes:
    """Return what a server writes after its service time."""
    if style in {AnswerStyle.half_body, AnswerStyle.unframed_body}:
        return _WHOLE_BODY[2:]
    if style is AnswerStyle.stream:
        return LAST_CHUNK
    if style is AnswerStyle.unframed_stream:
        return b''
    if style is AnswerStyle.half_event:
        return _SECOND_EVENT[_HALF:]
    return format_response(200, headers, _WHOLE_BODY)


def read_content(request: ReceivedRequest) -> Content:
    """Return what a request asks."""
    return Content(request.body, _parse_parts(request.get(PARTS_HEADER)))


def _parse_parts(header: str) -> Parts:
    """Return the names of the parts of a prompt."""
    parts = [part.partition(':')[0] for part in header.split(',')]
    return tuple(part for part in parts if part)


def _format_tokens(parts: Parts) -> str:
    """Return the header with the tokens of a prompt and of its answer."""
    tokens = _PART_TOKENS * len(parts)
    return f'{tokens},{_ANSWER_TOKENS}'


def _format_parts(parts: Parts) -> str:
    """Return the header that describes the parts of a prompt."""
    return ','.join(f'{part}:{_PART_TOKENS}' for part in parts)


@dataclass
class CallerRequest:
    """A caller's request and its outcome.

    Parameters
    ----------
    gateway : str
        Address of the gateway.
    status : int
        Status of the response, 0 if it was not received whole.
    head_ms : int
        When the response head was received.
    headers : Mapping[str, str]
        Response headers, with lower-case names.

    """

    at_ms: int
    body: bytes
    is_crashing: bool = False
    gateway: str = ''
    request_id: str = ''
    status: int = 0
    content: bytes = b''
    head_ms: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)


def _has_crashing_body(content: Content) -> bool:
    return content.body == CRASHING_BODY


@dataclass
class CrashingFleet:
    """Servers that may crash, and records of requests on both sides."""

    store: StandInStore
    clock: Clock
    servers: list[CrashingServer] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    caller_requests: list[CallerRequest] = field(default_factory=list)
    crashes_on: Callable[[Content], bool] = _has_crashing_body
    timeout_ms: int = 1500
    _client: aiosonic.HTTPClient = field(
        default_factory=lambda: make_client(
            _CLIENT_CONNECTIONS, reuse_connections=False
        )
    )
    _ids: Any = field(default_factory=itertools.count)

    @property
    def crash_times_ms(self) -> list[int]:
        """Sorted times of the crashes of all servers."""
        crash_lists = (server.crash_times_ms for server in self.servers)
        return sorted(itertools.chain.from_iterable(crash_lists))

    @property
    def caused_crash_times_ms(self) -> list[int]:
        """Sorted times of the crashes that requests have caused."""
        caused = (server.caused_crash_times_ms for server in self.servers)
        return sorted(itertools.chain.from_iterable(caused))

    @property
    def crashing_deliveries(self) -> list[Delivery]:
        """Deliveries of requests that crash servers."""
        return [
            delivery for delivery in self.deliveries if delivery.is_crashing
        ]

    def count_late_sends(self, after_ms: int, crashes: int = 3) -> int:
        """Count crashing requests delivered too long after some crashes."""
        times_ms = self.caused_crash_times_ms
        if len(times_ms) < crashes:
            return 0
        since_ms = times_ms[crashes - 1] + after_ms
        return sum(
            delivery.at_ms > since_ms for delivery in self.crashing_deliveries
        )

    def served_share(self, since_ms: int, until_ms: float = math.inf) -> float:
        """Return the share of non-crashing requests that were answered."""
        harmless = [
            request
            for request in self.caller_requests
            if since_ms <= request.at_ms < until_ms and not request.is_crashing
        ]
        return sum(request.status == 200 for request in harmless) / len(
            harmless
        )

    async def send_request(
        self, address: str, body: bytes, parts: Parts = ()
    ) -> int:
        """Send a request; return the status, 0 if the response was cut."""
        request_id = f'r{next(self._ids)}'
        request = CallerRequest(
            self.clock.now(),
            body,
            self.crashes_on(Content(body, parts)),
            address,
            request_id,
        )
        self.caller_requests.append(request)
        headers = {
            'Host': HOST,
            ID_HEADER: request_id,
            'Authorization': f'Token {KEY}',
        }
        if parts:
            headers[PARTS_HEADER] = _format_parts(parts)
            headers[TOKENS_HEADER] = _format_tokens(parts)
        with suppress(Exception):
            async with asyncio.timeout(self.timeout_ms / MS_PER_SECOND):
                response = await self._client.request(
                    f'http://{address}/x/y',
                    method='POST',
                    headers=headers,
                    data=body,
                )
                request.head_ms = self.clock.now()
                request.headers = {
                    name.lower(): text
                    for name, text in response.headers.items()
                }
                request.content = await response.content()
                request.status = response.status_code
        return request.status

    async def send_sharing(self, address: str, part: str, number: int) -> int:
        """Send a request that shares the first part of its prompt."""
        return await self.send_request(
            address, b'draft %d' % number, (part, f'own-{number}')
        )

    async def send_in_turn(
        self, addresses: Sequence[str], part: str, count: int
    ) -> list[int]:
        """Send such requests to each gateway, one after the other."""
        return [
            await self.send_sharing(address, part, 100 + number)
            for number in range(count)
            for address in addresses
        ]

    async def send_requests(
        self,
        addresses: Sequence[str],
        make_content: Callable[[int], Content],
        interval_ms: int,
        for_ms: int,
    ) -> None:
        """Send requests at a fixed interval to the gateways in turn."""
        until_ms = self.clock.now() + for_ms
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if self.clock.now() >= until_ms:
                    return
                address = addresses[number % len(addresses)]
                content = make_content(number)
                group.create_task(
                    self.send_request(address, content.body, content.parts)
                )
                await self.clock.sleep(interval_ms)


@asynccontextmanager
async def run_crashing_fleet(
    store: StandInStore, count: int, **row: Any
) -> AsyncIterator[CrashingFleet]:
    """Run a fleet of servers that crash on `CRASHING_BODY`."""
    clock = Clock()
    fleet = CrashingFleet(store, clock)

    def crashes_on(content: Content) -> bool:
        return fleet.crashes_on(content)

    fleet.servers.extend(
        CrashingServer(
            f'i-{number}',
            store,
            clock,
            crashes_on,
            fleet.deliveries.append,
            row=row,
        )
        for number in range(count)
    )
    async with run_servers(fleet.servers):
        yield fleet


@asynccontextmanager
async def run_servers(servers: Sequence[CrashingServer]) -> AsyncIterator[None]:
    """Run servers; stop them at the end."""
    for server in servers:
        await server.start()
    try:
        yield
    finally:
        for server in servers:
            await server.stop()
