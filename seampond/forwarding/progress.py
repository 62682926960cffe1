"""State of a request across its attempts."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from seampond.forwarding.answer_memory import AnswerMemory
from seampond.forwarding.event_order import EventOrder, EventSteps
from seampond.forwarding.events import Events, EventSplitter
from seampond.forwarding.job import Job
from seampond.forwarding.response_head import Cut, ResponseHead


class Sink(Protocol):
    """Receives the answer to a request."""

    has_started: bool

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Send the head; `length` is None for a stream."""

    async def send(self, payload: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Mark the answer as complete."""


@enum.unique
class Outcome(enum.Enum):
    """How an attempt ended; the value is a metric label."""

    complete = 'whole'
    unreachable = 'unreached'
    rejected = 'rejected'
    failed = 'failed'
    in_doubt = 'in-doubt'


@enum.unique
class RetrySource(enum.Enum):
    """Whose budget a retry was spent from; the value is a metric label."""

    own = 'own'
    lent = 'lent'
    exhausted = 'exhausted'


@dataclass(slots=True, eq=False)
class BufferedAnswer:
    """A complete answer, kept in case every other attempt fails.

    Parameters
    ----------
    peer : str
        Address of the server that sent it.
    is_lost : bool
        Whether it has given way to other answers.

    """

    head: ResponseHead
    body: bytes
    peer: str = ''
    is_lost: bool = False

    @property
    def held_bytes(self) -> int:
        """What it holds."""
        return len(self.body)

    def give_way(self) -> None:
        """Give up the answer, since memory is short."""
        self.body = b''
        self.is_lost = True


@dataclass(slots=True)
class AttemptRecord:
    """Estimates and measurements of one attempt, for the log.

    Parameters
    ----------
    load : int
        Estimated number of other requests on the server.
    slowdown : float
        Estimated slowness of the server relative to its pool.
    expected_first_byte_ms, first_byte_ms : int
        Estimated and measured time from the send to the first byte; the
        latter is -1 if none was received.
    longest_gap_ms : int
        Longest time between two chunks of the answer.
    mean_gap_ms : float
        Mean time between two chunks, 0 if too few were received.
    duration_ms : int
        Time from the start of the attempt to its end.
    version : str
        Version of the server's software.
    end : str
        How the end of the answer was marked, empty without an answer.
    first_event, last_event : str
        Ids of the first and last event that the attempt brought.
    cut : Cut or None
        Where the answer was found to be cut, None if it was not.

    """

    server: str
    load: int
    slowdown: float
    expected_first_byte_ms: int
    first_byte_ms: int = -1
    longest_gap_ms: int = 0
    mean_gap_ms: float = 0
    duration_ms: int = 0
    version: str = ''
    end: str = ''
    first_event: str = ''
    last_event: str = ''
    cut: Cut | None = None
    outcome: str = 'open'

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        fields: dict[str, object] = {
            'server': self.server,
            'load': self.load,
            'pace': round(self.slowdown, 2),
            'expected_ms': self.expected_first_byte_ms,
            'first_ms': self.first_byte_ms,
            'pause_ms': self.longest_gap_ms,
            'outcome': self.outcome,
        }
        if self.version:
            fields['version'] = self.version
        if self.end:
            fields['end'] = self.end
        if self.last_event:
            fields['events'] = f'{self.first_event}-{self.last_event}'
        if self.cut is not None:
            fields['cut'] = self.cut.value
        return fields

    def record_events(self, events: Events) -> None:
        """Record events that are passed on."""
        ids = [event_id.decode('latin-1') for event_id in events.ids]
        if ids:
            self.first_event = self.first_event or ids[0]
            self.last_event = ids[-1]


@dataclass(slots=True)
class Progress:
    """State of one request across its attempts.

    Parameters
    ----------
    order : EventOrder
        Checks the order of the events of all attempts.
    last_id : bytes
        Id of the last event that the caller has received.
    passed_on : bytes
        Id of the last event that was passed on, empty for none.
    tried_servers : set[str]
        Ids of the servers that have been tried.
    attempt_records : list[AttemptRecord]
        Records of the attempts for the log.
    fallback_answer : BufferedAnswer or None
        A server's error answer, relayed if no other attempt succeeds.
    unreached_count : int
        Number of attempts in which the request was not sent.
    retry_sources : list[RetrySource]
        For each retry that was wanted, where it came from.

    """

    job: Job
    sink: Sink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    order: EventOrder = field(default_factory=lambda: EventOrder(EventSteps()))
    last_id: bytes = b''
    passed_on: bytes = b''
    tried_servers: set[str] = field(default_factory=set)
    attempt_records: list[AttemptRecord] = field(default_factory=list)
    unreached_count: int = 0
    retry_sources: list[RetrySource] = field(default_factory=list)
    fallback_answer: BufferedAnswer | None = None

    def begin_stream(self, steps: EventSteps) -> None:
        """Continue after the last event that the caller has received.

        Explanation
        -----------
        Where a stream may not be resumed, servers do not read which event
        that was.
        """
        self.last_id = self.job.last_event
        self.splitter.is_established = bool(self.last_id)
        follows = self.last_id if self.job.route.may_resume else b''
        self.order = EventOrder(steps, follows)

    def keep_fallback(
        self, answer: BufferedAnswer, memory: AnswerMemory
    ) -> None:
        """Keep an error answer in place of the one before."""
        self.drop_fallback(memory)
        self.fallback_answer = answer
        memory.update(answer)

    def drop_fallback(self, memory: AnswerMemory) -> None:
        """Give back the memory of the error answer that is kept."""
        if self.fallback_answer is not None:
            memory.remove(self.fallback_answer)

    def begin_run(self) -> None:
        """Begin another run of the request."""
        self.splitter.restart()
        self.order.begin_run()

    def record_events(self, events: Events) -> None:
        """Record events that are passed on to the caller."""
        if events.ids:
            self.last_id = events.ids[-1]
            self.passed_on = self.last_id
        self.attempt_records[-1].record_events(events)
