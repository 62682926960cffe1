"""A request and its state while an entry holds it."""

import asyncio
from dataclasses import dataclass, field

from seampond.links.messages import Header, Message, TurnAway


@dataclass(frozen=True, slots=True)
class Work:
    """What a caller asked for, checked and ready to be placed.

    Parameters
    ----------
    id : str
        Unique; also in every answer.
    arrived_ms, deadline_ms : int
        In the entry's clock time.
    prompt_tokens : int
        Estimated.
    prefix : str
        Names the head of the prompt, for cache affinity; may be empty.
    claim_key : str
        Names work that may not be repeated; else empty.

    """

    id: str
    workspace: str
    template: str
    pool: str
    tier: int
    arrived_ms: int
    deadline_ms: int
    method: str
    path: str
    body: bytes
    headers: tuple[Header, ...] = ()
    prompt_tokens: int = 0
    prefix: str = ''
    claim_key: str = ''
    may_wait: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        return not self.claim_key


@dataclass(frozen=True, slots=True)
class GrantAccepted:
    """The grant was given to the agent of this name."""

    agent: str


@dataclass(frozen=True, slots=True)
class ReservationDeclined:
    """An agent will not take the reservation; it was not run."""

    agent: str
    incarnation: str = ''
    answer: TurnAway | None = None


@dataclass(frozen=True, slots=True)
class EvictedFromQueue:
    """The entry gave the place of this request to a higher tier."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The agent that holds the grant is gone: the fate is unknown."""

    agent: str


Event = (
    GrantAccepted | ReservationDeclined | EvictedFromQueue | AgentLost | Message
)


@dataclass(slots=True)
class Ticket:
    """The changing state of one request; one task reads its mailbox.

    Parameters
    ----------
    attempt : int
        Numbers the rounds of reservations; each has one grant at most.
    holder : str
        The agent that holds the grant; empty before.
    reserved : set[str]
        Agents that hold a reservation of this attempt.
    next_frame : int
        The number of the next frame of the answer.

    """

    work: Work
    attempt: int = 1
    holder: str = ''
    is_finished: bool = False
    reserved: set[str] = field(default_factory=set)
    next_frame: int = 0
    mailbox: 'asyncio.Queue[Event]' = field(default_factory=asyncio.Queue)

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.work.id

    @property
    def is_waiting(self) -> bool:
        """Whether it may still be granted."""
        return not self.holder and not self.is_finished
