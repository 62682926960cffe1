"""Servers that end under a request, and callers that bring it again."""

import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import aiosonic

from seampond.backing.http import make_client
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
_CRASH_MS = 60
EVENT = b'id: 1\ndata: x\n\n'
LAST_CHUNK = b'0\r\n\r\n'
_DOWN_MS = 1000
_CLIENTS = 300
_ENDS = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)


@dataclass(frozen=True, slots=True)
class Delivery:
    """A request that reached a server, and when.

    Parameters
    ----------
    incarnation : int
        When the server had started, by the time of day.

    """

    at_ms: int
    server: str
    body: bytes
    request_id: str = ''
    incarnation: int = 0


@dataclass
class CrashingServer:
    """One server; it ends under some bodies and is back after a while.

    Parameters
    ----------
    id : str
        Its id, the same in each life.
    crashes_on : Callable[[bytes], bool]
        Tells of a body whether the server ends under it.
    resets_connections : bool
        Whether it resets every request that it has run, and lives on.
    crash_times_ms, caused_crash_times_ms : list[int]
        When it has ended, and when under a body that ends it.
    is_stream : bool
        Whether it answers with events, the first of them at once.
    service_ms : int
        How long a sound request runs.

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
    _open: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    @property
    def is_up(self) -> bool:
        """Whether it lives just now."""
        return self._listening is not None

    async def start(self) -> None:
        """Listen, at the same address in each life, and say so."""
        port = int(self._address.rpartition(':')[2] or 0)
        self._listening = await asyncio.start_server(
            self._serve, '127.0.0.1', port, reuse_address=True
        )
        host, port = self._listening.sockets[0].getsockname()[:2]
        self._address = f'{host}:{port}'
        self.started_ms = time.time_ns() // 1_000_000
        self.put_row()

    def put_row(self, **changes: Any) -> None:
        """Write its row, as it does itself."""
        content = {'born': self.started_ms} | self.row | changes
        put_server(self.store, self.id, self._address, **content)

    def crash(self) -> None:
        """End as a process that is killed, and come back later."""
        if self._listening is None:
            return
        self.crash_times_ms.append(self.clock.now())
        self._listening.close()
        self._listening = None
        for writer in list(self._open):
            writer.transport.abort()
        if self.may_restart:
            self._spawn(self._come_back())

    async def stop(self) -> None:
        """End for good."""
        self.may_restart = False
        self.crash()
        await cancel_all(list(self._tasks))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self) -> None:
        await self.clock.sleep(_DOWN_MS)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._open.add(writer)
        with suppress(*_ENDS):
            while True:
                await self._answer(await read_request(reader), writer)
        self._tasks.discard(task)
        self._open.discard(writer)
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
            await self.clock.sleep(_CRASH_MS)
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
    """A request of a caller: when it was sent and how it ended, 0 for a cut.

    Parameters
    ----------
    gateway : str
        Where the caller sent it.
    head_ms : int
        When the head of its answer had come.
    headers : Mapping[str, str]
        Of the answer, names in lower case.

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
    """Servers, callers, and what both have seen."""

    store: StandInStore
    clock: Clock
    servers: list[CrashingServer] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    caller_requests: list[CallerRequest] = field(default_factory=list)
    crashes_on: Callable[[bytes], bool] = CRASHING_BODY.__eq__
    timeout_ms: int = 1500
    _client: aiosonic.HTTPClient = field(
        default_factory=lambda: make_client(_CLIENTS, reuses=False)
    )
    _ids: Any = field(default_factory=itertools.count)

    @property
    def crash_times_ms(self) -> list[int]:
        """When servers have ended, the first first."""
        ends = (server.crash_times_ms for server in self.servers)
        return sorted(itertools.chain.from_iterable(ends))

    def count_late_sends(self, after_ms: int) -> int:
        """Count the sends of deadly bodies so long after the third end."""
        caused = (server.caused_crash_times_ms for server in self.servers)
        ends = sorted(itertools.chain.from_iterable(caused))
        if len(ends) < 3:
            return 0
        since_ms = ends[2] + after_ms
        return sum(
            one.at_ms > since_ms and self.crashes_on(one.body)
            for one in self.deliveries
        )

    def served_share(self, since_ms: int) -> float:
        """Give the part of the sound requests that got their answer."""
        sound = [
            one
            for one in self.caller_requests
            if one.at_ms >= since_ms and not self.crashes_on(one.body)
        ]
        return sum(one.status == 200 for one in sound) / len(sound)

    async def send_request(self, address: str, body: bytes) -> int:
        """Send a request as a caller; give the status, 0 if it was cut."""
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
        every_ms: int,
        for_ms: int,
    ) -> None:
        """Bring a request each so often, at the gateways in turn."""
        until_ms = self.clock.now() + for_ms
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if self.clock.now() >= until_ms:
                    return
                address = addresses[number % len(addresses)]
                group.create_task(self.send_request(address, make_body(number)))
                await self.clock.sleep(every_ms)


@asynccontextmanager
async def run_crashing_fleet(
    store: StandInStore, count: int, **row: Any
) -> AsyncIterator[CrashingFleet]:
    """Run servers that end under `CRASHING_BODY` until the end."""
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
    """Run servers until the end of the `with`."""
    for server in servers:
        await server.start()
    try:
        yield
    finally:
        for server in servers:
            await server.stop()
