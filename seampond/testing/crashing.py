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
    Received,
    read_request,
    reset,
    write_answer,
    write_chunks,
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
    life : int
        When the server had started, by the time of day.

    """

    at_ms: int
    server: str
    body: bytes
    request_id: str = ''
    life: int = 0


@dataclass
class CrashingServer:
    """One server; it ends under some bodies and is back after a while.

    Parameters
    ----------
    id : str
        Its id, the same in each life.
    is_deadly : Callable[[bytes], bool]
        Tells of a body whether the server ends under it.
    resets : bool
        Whether it resets every request that it has run, and lives on.
    ends_ms, caused_ms : list[int]
        When it has ended, and when under a body that ends it.
    is_stream : bool
        Whether it answers with events, the first of them at once.
    run_ms : int
        How long a sound request runs.

    """

    id: str
    store: StandInStore
    clock: Clock
    is_deadly: Callable[[bytes], bool]
    note: Callable[[Delivery], None]
    ends_ms: list[int] = field(default_factory=list)
    caused_ms: list[int] = field(default_factory=list)
    resets: bool = False
    is_stream: bool = False
    run_ms: int = 50
    is_back: bool = True
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
        self.ends_ms.append(self.clock.now())
        self._listening.close()
        self._listening = None
        for writer in list(self._open):
            writer.transport.abort()
        if self.is_back:
            self._spawn(self._come_back())

    async def stop(self) -> None:
        """End for good."""
        self.is_back = False
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

    def _note(self, request: Received) -> Delivery:
        sent = Delivery(
            self.clock.now(),
            self.id,
            request.body,
            request.get(ID_HEADER),
            self.started_ms,
        )
        self.note(sent)
        return sent

    async def _answer(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        self._note(request)
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        if self.is_stream:
            writer.write(write_chunks(headers, EVENT))
        if self.is_deadly(request.body):
            await self.clock.sleep(_CRASH_MS)
            if self._listening is not None:
                self.caused_ms.append(self.clock.now())
            self.crash()
            return
        await self.clock.sleep(self.run_ms)
        if self.resets:
            reset(writer)
        elif self.is_stream:
            writer.write(LAST_CHUNK)
        else:
            writer.write(write_answer(200, headers, b'whole'))
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
    sent: list[Delivery] = field(default_factory=list)
    asked: list[CallerRequest] = field(default_factory=list)
    deadly: Callable[[bytes], bool] = CRASHING_BODY.__eq__
    patience_ms: int = 1500
    _client: aiosonic.HTTPClient = field(
        default_factory=lambda: make_client(_CLIENTS, reuses=False)
    )
    _ids: Any = field(default_factory=itertools.count)

    @property
    def ends_ms(self) -> list[int]:
        """When servers have ended, the first first."""
        ends = (server.ends_ms for server in self.servers)
        return sorted(itertools.chain.from_iterable(ends))

    def count_late_sends(self, after_ms: int) -> int:
        """Count the sends of deadly bodies so long after the third end."""
        caused = (server.caused_ms for server in self.servers)
        ends = sorted(itertools.chain.from_iterable(caused))
        if len(ends) < 3:
            return 0
        since_ms = ends[2] + after_ms
        return sum(
            one.at_ms > since_ms and self.deadly(one.body) for one in self.sent
        )

    def served_share(self, since_ms: int) -> float:
        """Give the part of the sound requests that got their answer."""
        sound = [
            one
            for one in self.asked
            if one.at_ms >= since_ms and not self.deadly(one.body)
        ]
        return sum(one.status == 200 for one in sound) / len(sound)

    async def ask(self, address: str, body: bytes) -> int:
        """Send a request as a caller; give the status, 0 if it was cut."""
        request_id = f'r{next(self._ids)}'
        asked = CallerRequest(self.clock.now(), body, address, request_id)
        self.asked.append(asked)
        headers = {
            'Host': HOST,
            ID_HEADER: request_id,
            'Authorization': f'Token {KEY}',
        }
        with suppress(Exception):
            async with asyncio.timeout(self.patience_ms / MS_PER_SECOND):
                response = await self._client.request(
                    f'http://{address}/x/y',
                    method='POST',
                    headers=headers,
                    data=body,
                )
                asked.head_ms = self.clock.now()
                asked.headers = {
                    name.lower(): text
                    for name, text in response.headers.items()
                }
                asked.content = await response.content()
                asked.status = response.status_code
        return asked.status

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
                group.create_task(self.ask(address, make_body(number)))
                await self.clock.sleep(every_ms)


@asynccontextmanager
async def run_crashing_fleet(
    store: StandInStore, count: int, **row: Any
) -> AsyncIterator[CrashingFleet]:
    """Run servers that end under `CRASHING_BODY` until the end."""
    clock = Clock()
    fleet = CrashingFleet(store, clock)

    def is_deadly(body: bytes) -> bool:
        return fleet.deadly(body)

    fleet.servers.extend(
        CrashingServer(
            f'i-{number}',
            store,
            clock,
            is_deadly,
            fleet.sent.append,
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
