"""How far one request has come, and where its answer goes."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from seampond.forwarding.events import EventSplitter
from seampond.forwarding.job import Job
from seampond.forwarding.response_head import ResponseHead


class Sink(Protocol):
    """Where the answer goes."""

    has_started: bool

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Send the head; `length` is None for a stream."""

    async def send(self, payload: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the answer as whole."""


@enum.unique
class Outcome(enum.Enum):
    """How one attempt ended; the value is the label of the counter."""

    complete = 'whole'
    unreachable = 'unreached'
    rejected = 'rejected'
    failed = 'failed'
    in_doubt = 'in-doubt'


@dataclass(slots=True)
class BufferedAnswer:
    """A whole answer that is kept in case no better one comes."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class AttemptRecord:
    """What one send was decided by and how it went, for the log.

    Parameters
    ----------
    load : int
        What the server was thought to hold beside this request.
    slowdown : float
        How slow the server was thought to be.
    expected_first_byte_ms, first_byte_ms : int
        From the send to the first byte, as it was expected and as it was;
        -1 if none came.
    longest_gap_ms : int
        The longest pause between two parts of the answer.
    mean_gap_ms : float
        The mean time between two parts, 0 where few have come.
    duration_ms : int
        From the send to the end, however it ended.
    version : str
        The version of the server's software.

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
    outcome: str = 'open'

    def describe(self) -> dict[str, object]:
        """Give the fields of a log line."""
        told: dict[str, object] = {
            'server': self.server,
            'load': self.load,
            'pace': round(self.slowdown, 2),
            'expected_ms': self.expected_first_byte_ms,
            'first_ms': self.first_byte_ms,
            'pause_ms': self.longest_gap_ms,
            'outcome': self.outcome,
        }
        if self.version:
            told['version'] = self.version
        return told


@dataclass(slots=True)
class Progress:
    """What has happened so far to one request.

    Parameters
    ----------
    tried_servers : set[str]
        The servers that it was sent to.
    attempt_records : list[AttemptRecord]
        What was tried, for the log.
    fallback_answer : BufferedAnswer or None
        A server's failure, passed on if nothing better comes.

    """

    job: Job
    sink: Sink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    tried_servers: set[str] = field(default_factory=set)
    attempt_records: list[AttemptRecord] = field(default_factory=list)
    unreached_count: int = 0
    fallback_answer: BufferedAnswer | None = None
