"""Callers that check each event of their streams."""

import asyncio
import itertools
import json
import random
import re
from collections.abc import AsyncIterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from http import HTTPStatus

from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.names import HEADERS
from seampond.platform.tests.rows import HOST, ID_HEADER, KEY
from seampond.testing.soak_draws import (
    draw_stated_wait,
    draws_name,
    is_partial_event,
)
from seampond.testing.streaming import StatedWait

_HEAD_END = b'\r\n\r\n'
_EVENT_END = b'\n\n'
_WAIT_MS = 5000
# Callers give up a stream after such a gap.
_GAP_MAX_MS = 3200
_ATTEMPTS_MAX = 4
_RETRY_PAUSE_MS = 50
_POLL_S = 0.005
# Callers wait at most for this share of the time that they have left.
_RETRY_AFTER_SHARE = 0.33
_RETURNS_MS = (0, 0, 100, 400, 2500)
_ONCE_PROBABILITY = 0.3
_CUT_PROBABILITY = 0.3
_OVERLAP_PROBABILITY = 0.1
_REFUSALS = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
_EVENT = re.compile(rb'id: \d+\ndata: [ -~]+')
_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class ReceivedEvent:
    """An event as a caller received it."""

    number: int
    run: str
    stream: str


def parse_event(text: bytes) -> ReceivedEvent:
    """Return the parts of an event."""
    number, _, line = text.partition(b'\ndata: ')
    fields = json.loads(line)
    return ReceivedEvent(
        int(number.removeprefix(b'id: ')), fields['run'], fields['stream']
    )


@dataclass(slots=True)
class EventAttempt:
    """One request of a caller for a stream, and what it brought.

    Parameters
    ----------
    last_event : int
        Number of the event from which it resumes the stream, 0 for none.
    has_arrived : bool
        Whether a gateway has accepted its connection.
    is_complete : bool
        Whether its answer ended well.
    cut_bytes : int
        Bytes after the last whole event.
    garbage : list[bytes]
        What arrived between or after events.

    """

    request_id: str
    gateway: str
    at_ms: int
    last_event: int = 0
    has_arrived: bool = False
    status: int = 0
    events: list[ReceivedEvent] = field(default_factory=list)
    is_complete: bool = False
    cut_bytes: int = 0
    retry_after_ms: int | None = None
    garbage: list[bytes] = field(default_factory=list)

    @property
    def runs(self) -> set[str]:
        """The runs that made its events."""
        return {event.run for event in self.events}

    @property
    def newest(self) -> int:
        """Number of the last event that its caller holds."""
        return self.events[-1].number if self.events else self.last_event

    def find_wrong(self, stream: str, event_count: int) -> set[str]:
        """Return the kinds of faults of its events and of its end.

        Examples
        --------
        >>> attempt = EventAttempt('r1', 'g', 0, last_event=1, status=200)
        >>> attempt.events.append(ReceivedEvent(3, 'i-1-0', 's'))
        >>> attempt.is_complete = True
        >>> sorted(attempt.find_wrong('s', 4))
        ['early', 'missing']

        """
        wrong = {
            kind
            for kind in map(self._find_step, self._numbers(), self._expected())
            if kind
        }
        if any(event.stream != stream for event in self.events):
            wrong.add('other')
        if self._has_returned_run():
            wrong.add('joined')
        if self.garbage:
            wrong.add('garbage')
        if self.is_complete and (self.newest < event_count or self.cut_bytes):
            wrong.add('early')
        return wrong

    def describe(self) -> str:
        """Return its request, its gateway, its events and its end."""
        events = [(event.number, event.run) for event in self.events]
        return (
            f'{self.request_id} at {self.at_ms} via {self.gateway} after '
            f'{self.last_event}: {self.status} {events} cut {self.cut_bytes} '
            f'complete {self.is_complete} garbage {self.garbage}'
        )

    def record(self, events: Sequence[bytes], remainder: bytes) -> None:
        """Record events, and the bytes that follow them."""
        for text in events:
            if _EVENT.fullmatch(text):
                self.events.append(parse_event(text))
            else:
                self.garbage.append(text)
        self.cut_bytes = len(remainder)
        if not is_partial_event(remainder):
            self.garbage.append(remainder)

    def _numbers(self) -> list[int]:
        return [event.number for event in self.events]

    def _expected(self) -> list[int]:
        return [
            self.last_event + 1,
            *(number + 1 for number in self._numbers()),
        ]

    def _find_step(self, number: int, expected: int) -> str:
        if number > expected:
            return 'missing'
        if number == expected:
            return ''
        return 'twice' if number == expected - 1 else 'back'

    def _has_returned_run(self) -> bool:
        """Return True if a run brings events after that of another one."""
        runs = itertools.groupby(event.run for event in self.events)
        return len(list(runs)) > len(self.runs)


@dataclass(slots=True)
class EventStream:
    """What one caller received of a stream, over all its attempts.

    Parameters
    ----------
    name : str
        The body of its requests; each of its events carries it.
    may_resume : bool
        Whether its route lets it be resumed.

    """

    name: str
    may_resume: bool
    attempts: list[EventAttempt] = field(default_factory=list)

    @property
    def has_arrived(self) -> bool:
        """Whether a gateway has accepted a connection for it."""
        return any(attempt.has_arrived for attempt in self.attempts)

    @property
    def has_begun(self) -> bool:
        """Whether an event has come."""
        return any(attempt.events for attempt in self.attempts)

    @property
    def is_complete(self) -> bool:
        """Whether one of its answers ended well."""
        return any(attempt.is_complete for attempt in self.attempts)

    @property
    def is_taken_up(self) -> bool:
        """Whether a later attempt or run went on with it."""
        resumed = any(
            attempt.last_event and attempt.events for attempt in self.attempts
        )
        return resumed or len(self._runs()) > 1

    @property
    def newest(self) -> int:
        """Number of the last event that its caller holds."""
        newest = (attempt.newest for attempt in self.attempts)
        return max(newest, default=0)

    @property
    def first_request(self) -> str:
        """Id of the request that brought the first event."""
        begun = [attempt for attempt in self.attempts if attempt.events]
        return begun[0].request_id

    def find_wrong(self, event_count: int) -> set[str]:
        """Return the kinds of faults of its attempts."""
        wrong = set().union(
            *(
                attempt.find_wrong(self.name, event_count)
                for attempt in self.attempts
            )
        )
        if not self.may_resume and len(self._runs()) > 1:
            wrong.add('joined')
        runs = [attempt.runs for attempt in self.attempts]
        if sum(map(len, runs)) > len(self._runs()):
            wrong.add('joined')
        return wrong

    def describe(self) -> str:
        """Return its attempts."""
        attempts = '; '.join(attempt.describe() for attempt in self.attempts)
        return f'{self.name} may resume {self.may_resume}: {attempts}'

    def _runs(self) -> set[str]:
        return set().union(*(attempt.runs for attempt in self.attempts))


@dataclass(frozen=True, slots=True)
class EventPlan:
    """How a caller loses its connection and comes back.

    Parameters
    ----------
    cut_after : int
        Number of events after which it comes back, 0 for never.
    keeps_first : bool
        Whether it goes on reading the first answer meanwhile.
    return_ms : int
        Time until it comes back.
    stated_wait : StatedWait
        Which wait it states.
    names_first : bool
        Whether it names the request that brought the first event.

    """

    may_resume: bool = True
    cut_after: int = 0
    keeps_first: bool = False
    return_ms: int = 0
    stated_wait: StatedWait = StatedWait.rest
    names_first: bool = True


def draw_plan(rng: random.Random, event_count: int) -> EventPlan:
    """Return a plan that depends on the seed."""
    may_resume = rng.random() >= _ONCE_PROBABILITY
    is_cut = may_resume and rng.random() < _CUT_PROBABILITY
    return EventPlan(
        may_resume,
        rng.randrange(1, event_count + 1) if is_cut else 0,
        rng.random() < _OVERLAP_PROBABILITY / _CUT_PROBABILITY,
        rng.choice(_RETURNS_MS),
    )


@dataclass
class EventCallers:
    """Callers that use open connections until these are closed.

    Parameters
    ----------
    draws : random.Random or None
        What draws the wait that each caller states, None for the rest of it.

    """

    clock: Clock
    event_count: int
    draws: random.Random | None = None
    streams: list[EventStream] = field(default_factory=list)
    _idle: dict[str, list[_Streams]] = field(default_factory=dict)

    async def send_streams(
        self,
        addresses: Sequence[str],
        rng: random.Random,
        interval_ms: int,
        for_ms: int,
    ) -> None:
        """Open streams at a fixed interval."""
        until_ms = self.clock.now() + for_ms
        async with asyncio.TaskGroup() as group:
            while self.clock.now() < until_ms:
                order = rng.sample(addresses, len(addresses))
                plan = self._draw_plan(rng)
                group.create_task(self.send_stream(order, plan))
                await self.clock.sleep(interval_ms)
        for _, writer in itertools.chain.from_iterable(self._idle.values()):
            writer.transport.abort()

    async def send_stream(
        self, addresses: Sequence[str], plan: EventPlan
    ) -> None:
        """Open a stream and come back at the next gateways."""
        stream = EventStream(f's{len(self.streams)}', plan.may_resume)
        self.streams.append(stream)
        order = itertools.islice(itertools.cycle(addresses), _ATTEMPTS_MAX)
        async with asyncio.TaskGroup() as group:
            for address in order:
                attempt = self._make_attempt(stream, address)
                is_first = len(stream.attempts) == 1
                cut_after = plan.cut_after if is_first else 0
                reading = group.create_task(
                    self._read(stream, attempt, cut_after, plan)
                )
                await _wait_for_return(reading, attempt, cut_after)
                if self._is_over(stream, attempt):
                    break
                pause_ms = plan.return_ms if cut_after else _RETRY_PAUSE_MS
                await self.clock.sleep(attempt.retry_after_ms or pause_ms)

    def _draw_plan(self, rng: random.Random) -> EventPlan:
        plan = draw_plan(rng, self.event_count)
        if self.draws is None:
            return plan
        return replace(
            plan,
            stated_wait=draw_stated_wait(self.draws),
            names_first=draws_name(self.draws),
        )

    def _is_over(self, stream: EventStream, attempt: EventAttempt) -> bool:
        waited_ms = self.clock.now() - stream.attempts[0].at_ms
        if attempt.is_complete or waited_ms >= _WAIT_MS:
            return True
        is_refused = attempt.status in _REFUSALS
        if is_refused and attempt.retry_after_ms is None:
            return True
        most_ms = _RETRY_AFTER_SHARE * (_WAIT_MS - waited_ms)
        if (attempt.retry_after_ms or 0) > most_ms:
            return True
        return not stream.may_resume and not is_refused

    def _make_attempt(self, stream: EventStream, address: str) -> EventAttempt:
        number = len(stream.attempts)
        attempt = EventAttempt(
            f'{stream.name}-{number}', address, self.clock.now(), stream.newest
        )
        stream.attempts.append(attempt)
        return attempt

    async def _read(
        self,
        stream: EventStream,
        attempt: EventAttempt,
        cut_after: int,
        plan: EventPlan,
    ) -> None:
        """Send a request and read its answer, or a part of it."""
        stop_after = 0 if plan.keeps_first else cut_after
        with suppress(OSError, EOFError, TimeoutError):
            reader, writer = await self._connect(attempt.gateway)
            attempt.has_arrived = True
            is_reusable = False
            try:
                writer.write(self._encode(stream, attempt, plan))
                is_reusable = await _read_answer(reader, attempt, stop_after)
            finally:
                if is_reusable:
                    idle = self._idle.setdefault(attempt.gateway, [])
                    idle.append((reader, writer))
                else:
                    writer.transport.abort()

    async def _connect(self, gateway: str) -> _Streams:
        """Return an idle connection, or open one."""
        idle = self._idle.get(gateway, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.transport.abort()
        host, _, port = gateway.rpartition(':')
        async with asyncio.timeout(_GAP_MAX_MS / MS_PER_SECOND):
            return await asyncio.open_connection(host, int(port))

    def _encode(
        self, stream: EventStream, attempt: EventAttempt, plan: EventPlan
    ) -> bytes:
        waited_ms = attempt.at_ms - stream.attempts[0].at_ms
        headers = {
            'Host': HOST,
            ID_HEADER: attempt.request_id,
            'Authorization': f'Token {KEY}',
            'Content-Length': str(len(stream.name)),
        }
        stated_ms = plan.stated_wait.compute_ms(_WAIT_MS, waited_ms)
        if stated_ms:
            headers[HEADERS.deadline.decode()] = str(stated_ms)
        if attempt.last_event:
            headers[HEADERS.last_event.decode()] = str(attempt.last_event)
        if attempt.last_event and plan.names_first:
            headers[HEADERS.resumes.decode()] = stream.first_request
        path = '/x/y' if stream.may_resume else '/once/y'
        lines = [f'POST {path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        head = '\r\n'.join(lines).encode()
        return head + _HEAD_END + stream.name.encode()


async def _wait_for_return(
    reading: 'asyncio.Task[None]', attempt: EventAttempt, cut_after: int
) -> None:
    """Wait for the end of an attempt, or for the events to come back after."""
    while not reading.done():
        if cut_after and len(attempt.events) >= cut_after:
            return
        await asyncio.wait([reading], timeout=_POLL_S)


async def _read_answer(
    reader: asyncio.StreamReader, attempt: EventAttempt, stop_after: int
) -> bool:
    """Read an answer; return whether its connection may be used again."""
    async with asyncio.timeout(_GAP_MAX_MS / MS_PER_SECOND):
        head = await reader.readuntil(_HEAD_END)
    first, *lines = head.decode('latin-1').lower().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines if line)
    attempt.status = int(first.split(' ')[1])
    seconds = headers.get('retry-after')
    if seconds is not None:
        attempt.retry_after_ms = round(float(seconds) * MS_PER_SECOND)
    pending = b''
    async for payload in _read_payloads(reader, headers):
        if attempt.status != HTTPStatus.OK:
            continue
        *events, pending = (pending + payload).split(_EVENT_END)
        attempt.record(events, pending)
        if stop_after and len(attempt.events) >= stop_after:
            return False
    attempt.is_complete = attempt.status == HTTPStatus.OK
    return headers.get('connection') != 'close'


async def _read_payloads(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they come."""
    left = int(headers.get('content-length', '0'))
    is_chunked = 'transfer-encoding' in headers
    while left or is_chunked:
        async with asyncio.timeout(_GAP_MAX_MS / MS_PER_SECOND):
            if is_chunked:
                payload = await _read_chunk(reader)
                is_chunked = bool(payload)
            else:
                payload = await _read_some(reader, left)
                left -= len(payload)
        yield payload


async def _read_some(reader: asyncio.StreamReader, most: int) -> bytes:
    payload = await reader.read(most)
    if not payload:
        raise EOFError
    return payload


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    size = int(await reader.readuntil(b'\r\n'), 16)
    return (await reader.readexactly(size + 2))[:-2]
