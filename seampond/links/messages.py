"""The typed messages between an entry and an agent."""

from dataclasses import dataclass, field

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Message:
    """Base of all messages."""


@dataclass(frozen=True, slots=True)
class Hello(Message):
    """The first message of each side: who it is."""

    name: str
    incarnation: str
    nonce: bytes
    version: int = PROTOCOL_VERSION
    pool: str = ''
    hall: str = ''
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Proof(Message):
    """Shows that the sender knows the shared secret."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class About(Message):
    """A message about one attempt at one request."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reserve(About):
    """Entry to agent: a request would like to run here."""

    tier: int
    remaining_ms: int
    prompt_tokens: int = 0
    prefix: str = ''


@dataclass(frozen=True, slots=True)
class Withdraw(About):
    """Entry to agent: forget the reservation."""


@dataclass(frozen=True, slots=True)
class Ask(About):
    """Agent to entry: there is room for this reservation now."""


@dataclass(frozen=True, slots=True)
class Grant(About):
    """Entry to agent: the request is yours, here is its body."""

    remaining_ms: int
    method: str
    path: str
    body: bytes
    repeatable: bool
    claim_key: str = ''
    headers: tuple[Header, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Deny(About):
    """Entry to agent: the request went elsewhere or is over."""


@dataclass(frozen=True, slots=True)
class TurnAway(About):
    """Agent to entry: no room for the reservation; it was not run."""

    reason: str
    floor: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Head(About):
    """Agent to entry: status and headers; counts as frame 0."""

    status: int
    headers: tuple[Header, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Frame(About):
    """Agent to entry: a numbered piece of the answer."""

    number: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Finish(About):
    """Agent to entry: the end; `count` frames, the head included."""

    count: int
    run: str
    reason: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Cancel(About):
    """Entry to agent: nobody waits for this answer any more."""


@dataclass(frozen=True, slots=True)
class Resume(About):
    """Entry to agent, on a new link: go on from frame `next`."""

    next: int


@dataclass(frozen=True, slots=True)
class Received(About):
    """Entry to agent: the whole answer is here, drop your copy."""


@dataclass(frozen=True, slots=True)
class Pulse(Message):
    """The heartbeat of both sides, with load and generation."""

    running: int = 0
    slots: int = 0
    queued: int = 0
    floor: int = 0
    leaving: bool = False
    generation: int = 0
    backlog_ms: int = 0
