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

    whole = 'whole'
    unreached = 'unreached'
    rejected = 'rejected'
    failed = 'failed'
    in_doubt = 'in-doubt'


@dataclass(slots=True)
class Answer:
    """A whole answer that is kept in case no better one comes."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class Try:
    """What one send was decided by and how it went, for the log.

    Parameters
    ----------
    load : int
        What the server was thought to hold beside this request.
    pace : float
        How slow the server was thought to be.
    expected_ms, first_ms : int
        From the send to the first byte, as it was expected and as it was;
        -1 if none came.
    pause_ms : int
        The longest pause between two parts of the answer.
    gap_ms : float
        The mean time between two parts, 0 where few have come.
    took_ms : int
        From the send to the end, however it ended.
    version : str
        The version of the server's software.

    """

    server: str
    load: int
    pace: float
    expected_ms: int
    first_ms: int = -1
    pause_ms: int = 0
    gap_ms: float = 0
    took_ms: int = 0
    version: str = ''
    outcome: str = 'open'

    def describe(self) -> dict[str, object]:
        """Give the fields of a log line."""
        told: dict[str, object] = {
            'server': self.server,
            'load': self.load,
            'pace': round(self.pace, 2),
            'expected_ms': self.expected_ms,
            'first_ms': self.first_ms,
            'pause_ms': self.pause_ms,
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
    tried : set[str]
        The servers that it was sent to.
    trail : list[Try]
        What was tried, for the log.
    kept : Answer or None
        A server's failure, passed on if nothing better comes.

    """

    job: Job
    sink: Sink
    splitter: EventSplitter = field(default_factory=EventSplitter)
    tried: set[str] = field(default_factory=set)
    trail: list[Try] = field(default_factory=list)
    unreached: int = 0
    kept: Answer | None = None
