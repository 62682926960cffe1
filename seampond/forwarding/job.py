"""A caller's request while a gateway handles it."""

from dataclasses import dataclass

from seampond.forwarding.counts import parse_count
from seampond.forwarding.models import RequestKind, Route, Tenant
from seampond.forwarding.server import Server
from seampond.forwarding.server_limit import Permit
from seampond.forwarding.stream_origins import Resumption, StreamOrigin

# More than any engine holds.
_TOKENS_MAX = 10_000_000

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Prompt:
    """The size of a request for an engine.

    Parameters
    ----------
    tokens, answer_tokens : int
        Tokens of the prompt, and at most of the answer.
    parts : tuple[tuple[str, int], ...]
        Name and tokens of each part of the prompt that a server may cache.

    """

    tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the parts that other requests may contain too.

        Examples
        --------
        >>> prompt = parse_prompt(b'15,1', b'ab:5,cd:5,ab:5,ef:5')
        >>> prompt.shared_parts
        ('ab', 'cd')

        """
        shared = dict(self.parts[:-1])
        return tuple(shared)

    @property
    def total(self) -> int:
        """All tokens that count against a quota."""
        return self.tokens + self.answer_tokens


def parse_prompt(tokens: bytes, parts: bytes) -> Prompt:
    """Parse the two headers that describe a prompt; zeros if malformed.

    Examples
    --------
    >>> parse_prompt(b'1460,80', b'ab:800,cd:660').parts
    (('ab', 800), ('cd', 660))
    >>> parse_prompt(b'what', b'').total
    0

    """
    prompt_size, _, answer_size = tokens.partition(b',')
    prompt = Prompt(_parse_tokens(prompt_size), _parse_tokens(answer_size))
    split = [part.partition(b':') for part in parts.split(b',')]
    prompt.parts = tuple(
        (name.strip().decode('latin-1'), _parse_tokens(size))
        for name, _, size in split
        if name.strip()
    )
    return prompt


def _parse_tokens(text: bytes) -> int:
    return parse_count(text, _TOKENS_MAX) or 0


@dataclass(slots=True)
class Job:
    """An admitted request.

    Parameters
    ----------
    target : bytes
        Path and query, byte for byte as the caller sent them.
    last_event : bytes
        Id of the last event that the caller has received.
    resumes : bytes
        Id of the request that brought the caller the first event of its
        stream, empty if the caller does not resume a stream.
    max_wait_ms : int
        How long the caller waits for the response, from `arrived_ms`.
    deadline_ms : int
        When the complete response is due.
    is_retry : bool
        Whether the caller seems to have been refused before.
    has_streamed : bool
        Whether the caller has received a part of its stream.
    fingerprint : int
        Hash of method, host, path, workspace and body, the same for a retry.
    part_fingerprints : tuple[int, ...]
        Hashes of the pool and of each shared part of its prompt.
    crash_count : int
        Number of servers that crashed while they ran it, earlier tries
        included.
    stored_trial : int or None
        Fingerprint whose trial was claimed in the store for it.
    is_concurrent_duplicate : bool
        Whether the same request is running in this gateway and has not
        succeeded yet.
    is_trial : bool
        Whether it may be sent once although it is in quarantine.
    permit : Permit or None
        Permit for the server where it has a slot, if that one has a limit.
    origin : StreamOrigin or None
        Where its stream began, None until the first event.
    resumption : Resumption or None
        How the origin became known, if the caller resumes a stream.

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
    resumes: bytes = b''
    charged_units: float = 0
    attempts: int = 0
    may_have_run: bool = False
    is_retry: bool = False
    has_streamed: bool = False
    fingerprint: int = 0
    part_fingerprints: tuple[int, ...] = ()
    crash_count: int = 0
    is_concurrent_duplicate: bool = False
    is_trial: bool = False
    stored_trial: int | None = None
    permit: Permit | None = None
    origin: StreamOrigin | None = None
    resumption: Resumption | None = None

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Of the request and its shared parts, the most specific first."""
        return (self.fingerprint, *reversed(self.part_fingerprints))

    @property
    def session(self) -> str:
        """The last part of the prompt, which is specific to one session."""
        return self.prompt.parts[-1][0] if self.prompt.parts else ''

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RequestKind.stream

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has received a part of the stream."""
        return self.has_streamed or (self.is_stream and bool(self.last_event))

    def may_run_on(self, server: Server) -> bool:
        """Return True if a server has the version that began the stream."""
        if self.origin is None:
            return True
        return self.origin == StreamOrigin(server.pool, server.version)
