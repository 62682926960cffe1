"""Servers that crash on some requests, and their callers."""

import asyncio
import itertools
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
    STAMP_HEADER,
    put_server,
)
from seampond.tasks import cancel_all
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunked_response,
    format_response,
    read_request,
    reset_connection,
)
from seampond.testing.store import StandInStore

CRASHING_BODY = b'ends its server'
_CRASH_DELAY_MS = 60
EVENT = b'id: 1\ndata: x\n\n'
LAST_CHUNK = b'0\r\n\r\n'
_DOWNTIME_MS = 1000
_CLIENT_CONNECTIONS = 300
_DISCONNECT_ERRORS = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Delivery:
    """A request that a server received.

    Parameters
    ----------
    incarnation : int
        Start time of the server, in milliseconds since the epoch.

    """

    at_ms: int
    server: str
    body: bytes
    request_id: str = ''
    incarnation: int = 0


@dataclass
class CrashingServer:
    """A server that crashes on some request bodies and restarts.

    Parameters
    ----------
    id : str
        Server id, kept across restarts.
    crashes_on : Callable[[bytes], bool]
        Whether a request body crashes the server.
    resets_connections : bool
        Whether it runs each request, then resets the connection.
    crash_times_ms : list[int]
        Times of all crashes.
    caused_crash_times_ms : list[int]
        Times of the crashes caused by a request body.
    is_stream : bool
        Whether it answers with an event stream whose first event is sent
        at once.
    service_ms : int
        Service time of a request that does not crash the server.

    """

    id: str
    store: StandInStore
    clock: Clock
    crashes_on: Callable[[bytes], bool]
    on_delivery: Callable[[Delivery], None]
    crash_times_ms: list[int] = field(default_factory=list)
    caused_crash_times_ms: list[int] = field(default_factory=list)
    resets_connections: bool = False
    is_stream: bool = False
    service_ms: int = 50
    may_restart: bool = True
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
        )
        self.on_delivery(delivery)
        return delivery

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._record_delivery(request)
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        if self.is_stream:
            writer.write(format_chunked_response(headers, EVENT))
        if self.crashes_on(request.body):
            await self.clock.sleep(_CRASH_DELAY_MS)
            if self._listening is not None:
                self.caused_crash_times_ms.append(self.clock.now())
            self.crash()
            return
        await self.clock.sleep(self.service_ms)
        if self.resets_connections:
            reset_connection(writer)
        elif self.is_stream:
            writer.write(LAST_CHUNK)
        else:
            writer.write(format_response(200, headers, b'whole'))
        await writer.drain()


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
    gateway: str = ''
    request_id: str = ''
    status: int = 0
    content: bytes = b''
    head_ms: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass
class CrashingFleet:
    """Servers that may crash, and records of requests on both sides."""

    store: StandInStore
    clock: Clock
    servers: list[CrashingServer] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    caller_requests: list[CallerRequest] = field(default_factory=list)
    crashes_on: Callable[[bytes], bool] = CRASHING_BODY.__eq__
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

    def count_late_sends(self, after_ms: int) -> int:
        """Count crashing requests delivered too long after the third crash."""
        caused = (server.caused_crash_times_ms for server in self.servers)
        times_ms = sorted(itertools.chain.from_iterable(caused))
        if len(times_ms) < 3:
            return 0
        since_ms = times_ms[2] + after_ms
        return sum(
            delivery.at_ms > since_ms and self.crashes_on(delivery.body)
            for delivery in self.deliveries
        )

    def served_share(self, since_ms: int) -> float:
        """Return the share of non-crashing requests that were answered."""
        harmless = [
            request
            for request in self.caller_requests
            if request.at_ms >= since_ms and not self.crashes_on(request.body)
        ]
        return sum(request.status == 200 for request in harmless) / len(
            harmless
        )

    async def send_request(self, address: str, body: bytes) -> int:
        """Send a request; return the status, 0 if the response was cut."""
        request_id = f'r{next(self._ids)}'
        request = CallerRequest(self.clock.now(), body, address, request_id)
        self.caller_requests.append(request)
        headers = {
            'Host': HOST,
            ID_HEADER: request_id,
            'Authorization': f'Token {KEY}',
        }
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

    async def send_requests(
        self,
        addresses: Sequence[str],
        make_body: Callable[[int], bytes],
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
                group.create_task(self.send_request(address, make_body(number)))
                await self.clock.sleep(interval_ms)


@asynccontextmanager
async def run_crashing_fleet(
    store: StandInStore, count: int, **row: Any
) -> AsyncIterator[CrashingFleet]:
    """Run a fleet of servers that crash on `CRASHING_BODY`."""
    clock = Clock()
    fleet = CrashingFleet(store, clock)

    def crashes_on(body: bytes) -> bool:
        return fleet.crashes_on(body)

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
