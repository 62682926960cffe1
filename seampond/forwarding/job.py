"""One request of a caller, as a gateway holds it."""

from dataclasses import dataclass

from seampond.forwarding.models import RequestKind, Route, Tenant
from seampond.forwarding.server_limit import Permit

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Prompt:
    """What a request asks of an engine, in tokens."""

    tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def total(self) -> int:
        """All tokens that count against a quota."""
        return self.tokens + self.answer_tokens


def parse_prompt(tokens: bytes, parts: bytes) -> Prompt:
    """Read the two headers that describe a prompt; zeros where unreadable.

    Examples
    --------
    >>> parse_prompt(b'1460,80', b'ab:800,cd:660').parts
    (('ab', 800), ('cd', 660))
    >>> parse_prompt(b'what', b'').total
    0

    """
    read, _, made = tokens.decode('latin-1').partition(',')
    prompt = Prompt(_whole(read), _whole(made))
    split = [part.partition(':') for part in parts.decode('latin-1').split(',')]
    prompt.parts = tuple(
        (name.strip(), _whole(size)) for name, _, size in split if name.strip()
    )
    return prompt


def _whole(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if stripped.isdecimal() else 0


@dataclass(slots=True)
class Job:
    """A request that was let in.

    Parameters
    ----------
    target : bytes
        Path and query, byte for byte as the caller sent them.
    max_wait_ms : int
        How long the caller said that it waits, from `arrived_ms`.
    deadline_ms : int
        When the final answer is due.
    is_retry : bool
        Whether the caller seems to have been turned away before.
    has_streamed : bool
        Whether the caller has a part of its stream.
    fingerprint : int
        The key of path, workspace and body, which a caller that comes again
        has in common with its first try.
    crash_count : int
        How many servers have ended under it, in this and earlier tries.
    is_concurrent_duplicate : bool
        Whether the same request is under way here and had no good answer.
    is_trial : bool
        Whether it has leave to be sent once although it is in quarantine.
    permit : Permit or None
        Its leave to be sent to the server where it has a place, if that one
        has a limit.

    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    tenant: Tenant | None
    pool: str
    priority: int
    arrived_ms: int
    max_wait_ms: int
    deadline_ms: int
    prompt: Prompt
    last_event: bytes = b''
    charged_units: float = 0
    attempts: int = 0
    may_have_run: bool = False
    is_retry: bool = False
    has_streamed: bool = False
    fingerprint: int = 0
    crash_count: int = 0
    is_concurrent_duplicate: bool = False
    is_trial: bool = False
    permit: Permit | None = None

    @property
    def session(self) -> str:
        """The last part of the prompt, which belongs to one session."""
        return self.prompt.parts[-1][0] if self.prompt.parts else ''

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RequestKind.stream
