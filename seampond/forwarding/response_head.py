"""Response heads and errors of exchanges with servers."""

import enum
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND
from seampond.errors import EngineError

_KEEP_ALIVE_MARGIN_MS = 1200
_DEFAULT_IDLE_MS = 4000
_TIMEOUT_PREFIX = b'timeout='
_STATUSES_WITHOUT_BODY = (204, 304)


@enum.unique
class Cut(enum.Enum):
    """Where an answer was found to be cut; the value is a metric label."""

    inside_event = 'inside-event'
    before_first_event = 'before-first-event'
    server_lost = 'server-lost'
    event_order = 'event-order'
    not_event = 'not-event'
    no_memory = 'no-memory'


class ExchangeError(EngineError):
    """An exchange with a server failed.

    Parameters
    ----------
    was_sent : bool
        Whether the request may have reached the server.
    is_lost : bool
        Whether the connection was lost, as it is when a server crashes.
    is_orderly : bool
        Whether the connection was lost without a reset.
    cut : Cut or None
        Where the answer was cut, None if its connection shows an error.

    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        was_sent: bool = True,
        is_lost: bool = False,
        is_orderly: bool = False,
        cut: Cut | None = None,
    ) -> None:
        """Initialize the error."""
        super().__init__(message, step=step, peer=peer)
        self.was_sent = was_sent
        self.is_lost = is_lost
        self.is_orderly = is_orderly
        self.cut = cut


class ConnectTimeoutError(ExchangeError):
    """A server has neither accepted nor refused a connection in time."""


class AnswerSizeError(ExchangeError):
    """An answer is longer than allowed; its body was not read to the end."""


@enum.unique
class AnswerEnd(enum.Enum):
    """How the end of an answer is marked; the value is a metric label."""

    chunks = 'chunks'
    length = 'length'
    connection = 'connection'


@dataclass(slots=True)
class ResponseHead:
    """The status and headers of an answer, names in lower case."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    @property
    def content_length(self) -> int:
        """Size of the body in bytes, 0 if the head does not tell it.

        Examples
        --------
        >>> ResponseHead(200, [(b'content-length', b'12')]).content_length
        12

        """
        declared = self.get(b'content-length')
        return int(declared) if declared.isdigit() else 0

    @property
    def may_have_body(self) -> bool:
        """Whether answers of this status may have a body."""
        return self.status not in _STATUSES_WITHOUT_BODY

    @property
    def end(self) -> AnswerEnd:
        """How the end of the body is marked.

        Examples
        --------
        >>> ResponseHead(200, [(b'transfer-encoding', b'chunked')]).end.value
        'chunks'
        >>> ResponseHead(200).end.value
        'connection'

        """
        if self.has(b'transfer-encoding'):
            return AnswerEnd.chunks
        if not self.may_have_body or self.has(b'content-length'):
            return AnswerEnd.length
        return AnswerEnd.connection

    def get(self, name: bytes, default: bytes = b'') -> bytes:
        """Return the first value of a header."""
        for header, text in self.headers:
            if header == name:
                return text
        return default

    def has(self, name: bytes) -> bool:
        """Return whether a header is present."""
        return any(header == name for header, _ in self.headers)


def parse_keep_alive_ms(head: ResponseHead) -> int:
    """Return how long the connection may stay idle.

    Examples
    --------
    >>> head = ResponseHead(200, [(b'keep-alive', b'timeout=5, max=9')])
    >>> parse_keep_alive_ms(head)
    3800

    """
    for parameter in head.get(b'keep-alive').lower().split(b','):
        seconds = parameter.strip().removeprefix(_TIMEOUT_PREFIX)
        if seconds.isdigit() and parameter.strip() != seconds:
            return int(seconds) * MS_PER_SECOND - _KEEP_ALIVE_MARGIN_MS
    return _DEFAULT_IDLE_MS
