"""Servers whose streams name their version, and callers that resume them."""

import asyncio
import enum
import itertools
import re
from collections.abc import AsyncIterator, Iterable, Iterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.names import DRAINING_STATE, HEADERS
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    KEY,
    STAMP_HEADER,
    drop_server,
)
from seampond.testing.crashing import (
    Content,
    CrashingServer,
    Delivery,
)
from seampond.testing.event_server import (
    Framing,
    encode_event,
    format_end,
    format_head,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    reset_connection,
)
from seampond.testing.store import StandInStore

EVENT_COUNT = 12
_EVENT_INTERVAL_MS = 70
_EVENTS_BEFORE_BREAK = 4
_SLOTS = 8
_DRAIN_MS = 1000
# Callers give up a stream after such a gap.
_GAP_MAX_MS = 3200
_LAST_EVENT_HEADER = HEADERS.last_event.decode()
_RESUMES_HEADER = HEADERS.resumes.decode()
_DEADLINE_HEADER = HEADERS.deadline.decode()
_INSTANCE_HEADER = HEADERS.expect_instance.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_HEAD_END = b'\r\n\r\n'
_EVENT = re.compile(rb'id: \d+\ndata: \w+')


@dataclass
class StreamingServer(CrashingServer):
    """A server that streams events that name its version.

    Parameters
    ----------
    break_every : int
        Of the streams that start, it resets the connection of every n-th
        after some events, 0 for none.
    is_draining : bool
        Whether its row says that it drains.
    framing : Framing
        How it marks the ends of its answers.
    event_interval_ms : int
        Time from each event to the next.
    garbage : Sequence[bytes]
        What it sends in turn before it closes a connection, empty if it
        resets connections instead.

    """

    break_every: int = 0
    is_draining: bool = False
    framing: Framing = Framing.chunks
    started_count: int = 0
    event_interval_ms: int = _EVENT_INTERVAL_MS
    garbage: Sequence[bytes] = ()

    @property
    def version(self) -> str:
        """The version of its software."""
        return str(self.row['version'])

    @property
    def takes_work(self) -> bool:
        """Whether it is running and not draining."""
        return self.is_up and not self.is_draining

    async def leave(self, drain_ms: int = _DRAIN_MS) -> None:
        """Drain as its row says, then end and remove the row."""
        self.is_draining = True
        self.put_row(state=DRAINING_STATE)
        await self.clock.sleep(drain_ms)
        self.may_restart = False
        self.crash()
        drop_server(self.store, self.id)

    def end_streams(self) -> None:
        """Reset the connections of all open streams."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._record_delivery(request)
        headers = {ID_HEADER: request.get(ID_HEADER)}
        if request.get(_INSTANCE_HEADER) != self.id:
            headers[_NOT_RUN_HEADER] = '1'
            writer.write(
                format_response(HTTPStatus.MISDIRECTED_REQUEST, headers)
            )
            return
        last = int(request.get(_LAST_EVENT_HEADER) or 0)
        is_broken = not last and self._must_break()
        headers[STAMP_HEADER] = self.id
        events = [
            _make_event(number, self.version)
            for number in range(last + 1, EVENT_COUNT + 1)
        ]
        size = sum(map(len, events))
        writer.write(format_head(self.framing, headers, size))
        for sent, event in enumerate(events, start=1):
            await self.clock.sleep(self.event_interval_ms)
            writer.write(encode_event(event, self.framing))
            if is_broken and sent == _EVENTS_BEFORE_BREAK:
                await self._break(writer)
                return
        writer.write(format_end(self.framing))
        await writer.drain()
        if self.framing is Framing.close:
            writer.close()

    async def _break(self, writer: asyncio.StreamWriter) -> None:
        if not self.garbage:
            await writer.drain()
            reset_connection(writer)
            return
        number = self.started_count // self.break_every
        garbage = self.garbage[number % len(self.garbage)]
        writer.write(encode_event(garbage, self.framing))
        await writer.drain()
        writer.close()

    def _must_break(self) -> bool:
        self.started_count += 1
        return bool(
            self.break_every and not self.started_count % self.break_every
        )


@dataclass(slots=True)
class StreamAttempt:
    """One request of a caller for a stream.

    Parameters
    ----------
    status : int
        Status of the response, 0 if there was none.
    event_count : int
        Number of events that it brought.
    last_event : int
        Id of the event from which it resumes the stream, 0 for none.
    serving : int
        Number of servers of the stream's version that took work when it was
        sent, for a request that resumes a stream.
    ended_ms : int
        When it ended.
    is_named : bool
        Whether it names the request that began the stream.
    cut_text : bytes
        What came after the last whole event.

    """

    request_id: str
    gateway: str
    at_ms: int
    last_event: int = 0
    status: int = 0
    event_count: int = 0
    serving: int = 0
    ended_ms: int = 0
    retry_after_ms: int | None = None
    is_named: bool = False
    cut_text: bytes = b''


@dataclass(slots=True)
class StreamRecord:
    """What one caller received of a stream.

    Parameters
    ----------
    numbers, versions : list
        Number and server version of each event.
    begun_ms : int
        When the first event arrived.
    garbage : list[bytes]
        What arrived between events.

    """

    # Distinct, so that a broken stream does not put others in quarantine.
    body: bytes
    attempts: list[StreamAttempt] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    is_complete: bool = False
    first_request: str = ''
    begun_ms: int = 0
    garbage: list[bytes] = field(default_factory=list)

    @property
    def is_joined(self) -> bool:
        """Whether it holds events of two versions."""
        return len(set(self.versions)) > 1

    def describe(self) -> str:
        """Return the ids of the requests and the version of each event."""
        ids = [attempt.request_id for attempt in self.attempts]
        return (
            f'requests {ids}, versions {self.versions}, '
            f'numbers {self.numbers}, garbage {self.garbage}'
        )

    @property
    def is_in_order(self) -> bool:
        """Whether it holds each event up to the last one once."""
        return self.numbers == list(range(1, len(self.numbers) + 1))

    @property
    def is_cut(self) -> bool:
        """Whether it was complete before its last event."""
        return self.is_complete and EVENT_COUNT not in self.numbers


@enum.unique
class StatedWait(enum.Enum):
    """Which wait a caller states in each of its attempts."""

    nothing = 'nothing'
    rest = 'rest'
    whole = 'whole'
    more = 'more'

    def compute_ms(self, wait_ms: int, waited_ms: int) -> int:
        """Return the wait that a caller states, 0 for none."""
        return {
            StatedWait.nothing: 0,
            StatedWait.rest: max(1, wait_ms - waited_ms),
            StatedWait.whole: wait_ms,
            StatedWait.more: wait_ms + waited_ms,
        }[self]


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """How a caller loses its connection and resumes its stream.

    Parameters
    ----------
    cut_after : int
        Number of events after which it loses its connection, 0 for never.
    cuts : int
        How often it does.
    return_ms : int
        Time until it resumes the stream.
    names_first : bool
        Whether it names the request that brought the first event.
    wait_ms : int
        How long it waits for the whole stream.
    stated_wait : StatedWait
        Which wait it states.
    attempts_max : int
        How many attempts it makes.
    retry_pause_ms : int
        Time until the next attempt where the answer names none.

    """

    cut_after: int = 0
    cuts: int = 1
    return_ms: int = 0
    names_first: bool = True
    wait_ms: int = 5000
    stated_wait: StatedWait = StatedWait.rest
    attempts_max: int = 3
    retry_pause_ms: int = 50


@dataclass
class StreamingFleet:
    """Servers of several versions, and records of callers' streams.

    Parameters
    ----------
    framings : Iterator[Framing]
        How the next servers mark the ends of their answers.
    garbages : Iterator[Sequence[bytes]]
        What the next servers break streams off with.

    """

    store: StandInStore
    clock: Clock
    framings: Iterator[Framing] = field(
        default_factory=lambda: itertools.repeat(Framing.chunks)
    )
    garbages: Iterator[Sequence[bytes]] = field(
        default_factory=lambda: itertools.repeat(())
    )
    servers: list[StreamingServer] = field(default_factory=list)
    records: list[StreamRecord] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    _ids: Any = field(default_factory=itertools.count)
    _server_ids: Any = field(default_factory=itertools.count)

    @property
    def joined(self) -> list[StreamRecord]:
        """Streams that hold events of two versions."""
        return [record for record in self.records if record.is_joined]

    @property
    def disordered(self) -> list[StreamRecord]:
        """Streams that lack an event or hold one twice."""
        return [record for record in self.records if not record.is_in_order]

    @property
    def cut(self) -> list[StreamRecord]:
        """Streams that were complete before their last event."""
        return [record for record in self.records if record.is_cut]

    def count_serving(self, version: str) -> int:
        """Count the servers of a version that take work."""
        return sum(
            server.takes_work and server.version == version
            for server in self.servers
        )

    def resumptions(self, serving: int = 1) -> list[StreamAttempt]:
        """Return the requests that resume a stream whose version serves.

        Parameters
        ----------
        serving : int
            Least number of servers of the version.

        """
        return [
            attempt
            for attempt in self._attempts()
            if attempt.last_event and attempt.serving >= serving
        ]

    def resumed_share(self, serving: int = 2) -> float:
        """Return the share of the streams taken up that went on."""
        resumed = self.resumptions(serving)
        return sum(attempt.event_count > 0 for attempt in resumed) / len(
            resumed
        )

    def started_share(self) -> float:
        """Return the share of the new streams that began."""
        fresh = [
            attempt for attempt in self._attempts() if not attempt.last_event
        ]
        return sum(attempt.event_count > 0 for attempt in fresh) / len(fresh)

    async def add_servers(
        self, count: int, version: str, **changes: Any
    ) -> list[StreamingServer]:
        """Start servers of a version."""
        added = [
            StreamingServer(
                f'i-{next(self._server_ids)}',
                self.store,
                self.clock,
                _never,
                self.deliveries.append,
                row={'version': version, 'slots': _SLOTS},
                may_restart=False,
                framing=next(self.framings),
                **{'garbage': next(self.garbages), **changes},
            )
            for _ in range(count)
        ]
        for server in added:
            await server.start()
        self.servers.extend(added)
        return added

    async def release(
        self, version: str, interval_ms: int, drain_ms: int = _DRAIN_MS
    ) -> None:
        """Replace all servers one by one by servers of another version."""
        async with asyncio.TaskGroup() as group:
            replaced = [
                server
                for server in self.servers
                if server.takes_work and server.version != version
            ]
            for server in replaced:
                await self.add_servers(
                    1, version, break_every=server.break_every
                )
                await self.clock.sleep(interval_ms)
                group.create_task(server.leave(drain_ms))

    async def send_streams(
        self,
        addresses: Sequence[str],
        plan: CallerPlan,
        interval_ms: int,
        for_ms: int,
    ) -> None:
        """Open streams at a fixed interval at the gateways in turn."""
        until_ms = self.clock.now() + for_ms
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if self.clock.now() >= until_ms:
                    return
                start = number % len(addresses)
                order = [*addresses[start:], *addresses[:start]]
                group.create_task(self.send_stream(order, plan))
                await self.clock.sleep(interval_ms)

    async def send_stream(
        self, addresses: Sequence[str], plan: CallerPlan
    ) -> StreamRecord:
        """Open a stream and resume it at the next gateways."""
        record = StreamRecord(b'%d' % len(self.records))
        self.records.append(record)
        for address in itertools.islice(
            itertools.cycle(addresses), plan.attempts_max
        ):
            attempt = self._make_attempt(record, address, plan)
            cut_after = 0
            if len(record.attempts) <= plan.cuts:
                cut_after = plan.cut_after
            await self._read_stream(record, attempt, cut_after, plan)
            attempt.ended_ms = self.clock.now()
            if record.is_complete or _is_final(attempt):
                break
            pause_ms = plan.return_ms if cut_after else plan.retry_pause_ms
            pause_ms = attempt.retry_after_ms or pause_ms
            until_ms = record.attempts[0].at_ms + plan.wait_ms
            if attempt.ended_ms + pause_ms >= until_ms:
                break
            await self.clock.sleep(pause_ms)
        return record

    def _attempts(self) -> Iterable[StreamAttempt]:
        for record in self.records:
            yield from record.attempts

    def _make_attempt(
        self, record: StreamRecord, address: str, plan: CallerPlan
    ) -> StreamAttempt:
        attempt = StreamAttempt(
            f'r{next(self._ids)}',
            address,
            self.clock.now(),
            record.numbers[-1] if record.numbers else 0,
            is_named=plan.names_first,
        )
        if record.versions:
            attempt.serving = self.count_serving(record.versions[0])
        record.attempts.append(attempt)
        return attempt

    async def _read_stream(
        self,
        record: StreamRecord,
        attempt: StreamAttempt,
        cut_after: int,
        plan: CallerPlan,
    ) -> None:
        host, _, port = attempt.gateway.rpartition(':')
        with suppress(OSError, EOFError, TimeoutError):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(_encode_request(record, attempt, plan))
                await self._read_answer(reader, record, attempt, cut_after)
            finally:
                writer.transport.abort()

    async def _read_answer(
        self,
        reader: asyncio.StreamReader,
        record: StreamRecord,
        attempt: StreamAttempt,
        cut_after: int,
    ) -> None:
        async with asyncio.timeout(_GAP_MAX_MS / MS_PER_SECOND):
            head = await reader.readuntil(_HEAD_END)
        _parse_head(head, attempt)
        if attempt.status != HTTPStatus.OK:
            return
        pending = b''
        while True:
            async with asyncio.timeout(_GAP_MAX_MS / MS_PER_SECOND):
                payload = await _read_chunk(reader)
            if not payload:
                record.is_complete = True
                return
            *events, pending = (pending + payload).split(b'\n\n')
            attempt.cut_text = pending
            for event in events:
                record.begun_ms = record.begun_ms or self.clock.now()
                _record_event(event, record, attempt)
            if cut_after and attempt.event_count >= cut_after:
                return


def _never(content: Content) -> bool:
    """Return False for every request."""
    return False


def _make_event(number: int, version: str) -> bytes:
    return b'id: %d\ndata: %b\n\n' % (number, version.encode())


def _is_final(attempt: StreamAttempt) -> bool:
    """Return True if a refusal names no time to come back."""
    is_refusal = attempt.status == HTTPStatus.SERVICE_UNAVAILABLE
    return is_refusal and attempt.retry_after_ms is None


def _encode_request(
    record: StreamRecord, attempt: StreamAttempt, plan: CallerPlan
) -> bytes:
    headers = {
        'Host': HOST,
        ID_HEADER: attempt.request_id,
        'Authorization': f'Token {KEY}',
        'Content-Length': str(len(record.body)),
    }
    waited_ms = attempt.at_ms - record.attempts[0].at_ms
    stated_ms = plan.stated_wait.compute_ms(plan.wait_ms, waited_ms)
    if stated_ms:
        headers[_DEADLINE_HEADER] = str(stated_ms)
    if attempt.last_event:
        headers[_LAST_EVENT_HEADER] = str(attempt.last_event)
        if plan.names_first:
            headers[_RESUMES_HEADER] = record.first_request
    lines = ['POST /x/y HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join(lines).encode() + _HEAD_END + record.body


def _parse_head(head: bytes, attempt: StreamAttempt) -> None:
    first, *lines = head.decode('latin-1').split('\r\n')
    attempt.status = int(first.split(' ')[1])
    for line in lines:
        name, _, text = line.partition(':')
        if name.lower() == 'retry-after':
            attempt.retry_after_ms = round(float(text) * MS_PER_SECOND)


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int(await reader.readuntil(b'\r\n'), 16)
    payload = await reader.readexactly(size + 2)
    return payload[:-2]


def _record_event(
    event: bytes, record: StreamRecord, attempt: StreamAttempt
) -> None:
    number, _, version = event.partition(b'\n')
    if not _EVENT.fullmatch(event):
        record.garbage.append(event)
        return
    if not record.numbers:
        record.first_request = attempt.request_id
    record.numbers.append(int(number.removeprefix(b'id: ')))
    record.versions.append(version.removeprefix(b'data: ').decode())
    attempt.event_count += 1


@asynccontextmanager
async def run_streaming(store: StandInStore) -> AsyncIterator[StreamingFleet]:
    """Run a fleet without servers; stop those that are added."""
    fleet = StreamingFleet(store, Clock())
    try:
        yield fleet
    finally:
        for server in fleet.servers:
            await server.stop()
