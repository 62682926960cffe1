"""What a server says of itself in the head of an answer."""

import re
import time
from dataclasses import dataclass
from datetime import UTC
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import HeaderNames
from seampond.forwarding.response_head import ResponseHead

_RETRY_AFTER = b'retry-after'
_YES = b'1'
_DECIMAL = re.compile(r'\d+\.?\d*|\.\d+', re.ASCII)
# A longer time is a slip of its writer: it would shut a server out for good.
BACKOFF_MAX_MS = 300_000
# No server takes more: a number of some hundred digits is infinite.
LIMIT_MAX_PER_SECOND = 1_000_000.0


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What one answer says of its server.

    Parameters
    ----------
    is_draining : bool
        Whether the server leaves.
    backoff_ms : int
        For how long it wants nothing from us, 0 for no such wish.
    limit : float or None
        The requests a second that it takes from all gateways together.
    is_own : bool
        Whether that server has answered.

    """

    is_draining: bool = False
    backoff_ms: int = 0
    limit: float | None = None
    is_own: bool = True


def parse_signals(head: ResponseHead, names: HeaderNames) -> ServerSignals:
    """Read what an answer says of its server.

    Explanation
    -----------
    A misdirected request was answered by another server than the one that
    was asked; its words are not that one's.

    Examples
    --------
    >>> from seampond.testing.gateways import NAMES
    >>> head = ResponseHead(503, [(b'retry-after', b'2.5')])
    >>> parse_signals(head, NAMES).backoff_ms
    2500

    """
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return ServerSignals(is_own=False)
    is_draining = any(
        name == names.leaving and text.strip() == _YES
        for name, text in head.headers
    )
    backoff_ms = 0
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        backoff_ms = max(
            (
                parse_retry_after_ms(text.decode('latin-1'), time.time())
                for name, text in head.headers
                if name == _RETRY_AFTER
            ),
            default=0,
        )
    return ServerSignals(
        is_draining, backoff_ms, _read_limit(head, names.limit)
    )


def parse_retry_after_ms(text: str, now_s: float) -> int:
    """Give how long a server wants rest, 0 for no time that can be read.

    Parameters
    ----------
    text : str
        Seconds, fractions included, or a date of HTTP.
    now_s : float
        The time of day in seconds, for a date.

    Examples
    --------
    >>> parse_retry_after_ms(' 0.5 ', 0), parse_retry_after_ms('-3', 0)
    (500, 0)
    >>> parse_retry_after_ms('Thu, 01 Jan 1970 00:00:07 GMT', 5)
    2000

    """
    stripped = text.strip()
    # Several headers of one name may have been joined on their way.
    parts = [part.strip() for part in stripped.split(',')]
    if all(map(_DECIMAL.fullmatch, parts)):
        seconds = max(map(float, parts))
    else:
        seconds = _seconds_until(stripped, now_s)
    # Bounded first: a number of some hundred digits is infinite.
    most_s = BACKOFF_MAX_MS / MS_PER_SECOND
    return round(min(max(seconds, 0), most_s) * MS_PER_SECOND)


def _read_limit(head: ResponseHead, wanted: bytes) -> float | None:
    """Give the lowest limit that an answer names."""
    limits = [
        parse_limit(text.decode('latin-1'))
        for name, text in head.headers
        if name == wanted
    ]
    named = [limit for limit in limits if limit is not None]
    return min(named, default=None)


def parse_limit(text: str) -> float | None:
    """Give the requests a second that a server takes, None where unreadable.

    Examples
    --------
    >>> parse_limit(' 1.5 '), parse_limit('4, 2'), parse_limit('-1')
    (1.5, 2.0, None)

    """
    # Several headers of one name may have been joined on their way.
    parts = [part.strip() for part in text.split(',')]
    named = [float(part) for part in parts if _DECIMAL.fullmatch(part)]
    return min([*named, LIMIT_MAX_PER_SECOND]) if named else None


def _seconds_until(date: str, now_s: float) -> float:
    try:
        moment = parsedate_to_datetime(date)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        return moment.timestamp() - now_s
    except (ValueError, TypeError, OverflowError):
        # No date either; a wish that cannot be read is none.
        return 0
