"""The head of an answer, and what can go wrong with an exchange."""

from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND
from seampond.errors import EngineError

_KEEP_ALIVE_MARGIN_MS = 1200
_DEFAULT_IDLE_MS = 4000
_TIMEOUT_WORD = b'timeout='


class ExchangeError(EngineError):
    """An exchange with a server failed.

    Parameters
    ----------
    was_sent : bool
        Whether the request may have reached the server.
    is_lost : bool
        Whether the connection ended under it, as it does where the server
        ends.

    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        was_sent: bool = True,
        is_lost: bool = False,
    ) -> None:
        """Keep whether the request may have run."""
        super().__init__(message, step=step, peer=peer)
        self.was_sent = was_sent
        self.is_lost = is_lost


@dataclass(slots=True)
class ResponseHead:
    """The status and the headers of an answer, names in lower case."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    def get(self, name: bytes, default: bytes = b'') -> bytes:
        """Give the first value of a header."""
        for known, text in self.headers:
            if known == name:
                return text
        return default

    def has(self, name: bytes) -> bool:
        """Tell whether a header is there."""
        return any(known == name for known, _ in self.headers)


def parse_keep_alive_ms(head: ResponseHead) -> int:
    """Give how long the connection of this answer may rest.

    Examples
    --------
    >>> head = ResponseHead(200, [(b'keep-alive', b'timeout=5, max=9')])
    >>> parse_keep_alive_ms(head)
    3800

    """
    for word in head.get(b'keep-alive').lower().split(b','):
        seconds = word.strip().removeprefix(_TIMEOUT_WORD)
        if seconds.isdigit() and word.strip() != seconds:
            return int(seconds) * MS_PER_SECOND - _KEEP_ALIVE_MARGIN_MS
    return _DEFAULT_IDLE_MS
