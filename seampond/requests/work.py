"""A validated request and its state while an entry serves it."""

import asyncio
from dataclasses import dataclass, field

from seampond.links.messages import Header, Message, TurnAway


@dataclass(frozen=True, slots=True)
class Work:
    """A validated request that is ready for dispatch.

    Parameters
    ----------
    id : str
        Unique; returned to the caller in every answer.
    arrived_ms, deadline_ms : int
        By the entry's clock.
    prompt_tokens : int
        Estimated from the length of the prompt.
    prefix : str
        Hash of the start of the prompt, for cache affinity; may be empty.
    claim_key : str
        Identifies work that must run at most once; empty if idempotent.
    may_wait : bool
        Whether it waits, instead of being refused, if no agent accepts it.

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
        """Whether the request may safely run more than once."""
        return not self.claim_key


@dataclass(frozen=True, slots=True)
class GrantAccepted:
    """The named agent asked for the grant and received it."""

    agent: str


@dataclass(frozen=True, slots=True)
class ReservationDeclined:
    """An agent declined the reservation; the request was not run."""

    agent: str
    incarnation: str = ''
    answer: TurnAway | None = None


@dataclass(frozen=True, slots=True)
class EvictedFromQueue:
    """A request of a higher tier took the queue slot."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The agent that holds the grant was lost; it may have run."""

    agent: str


Event = (
    GrantAccepted | ReservationDeclined | EvictedFromQueue | AgentLost | Message
)


@dataclass(slots=True)
class Ticket:
    """The mutable state of one request; one task reads its mailbox.

    Parameters
    ----------
    attempt : int
        Number of the reservation round; a round has at most one grant.
    holder : str
        The agent that holds the grant; empty until it is granted.
    reserved : set[str]
        Names of the agents that hold a reservation of this attempt.
    next_frame : int
        The expected number of the next frame of the answer.

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
        """The request id."""
        return self.work.id

    @property
    def is_waiting(self) -> bool:
        """Whether the request is neither granted nor finished."""
        return not self.holder and not self.is_finished
