"""Signals on its state that a server sends in response headers."""

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
_DRAINING_VALUE = b'1'
_DECIMAL = re.compile(r'\d+\.?\d*|\.\d+', re.ASCII)
# Bounds erroneous values, which would exclude a server for good.
BACKOFF_MAX_MS = 300_000
# Replaces infinity, which numbers with hundreds of digits parse to.
LIMIT_MAX_PER_SECOND = 1_000_000.0


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """The signals in one answer.

    Parameters
    ----------
    is_draining : bool
        Whether the server is draining.
    backoff_ms : int
        How long the server wants no requests, 0 for no back-off.
    limit : float or None
        Requests a second that it accepts from all gateways together.
    is_own : bool
        Whether the answer came from the server that the request was sent to.

    """

    is_draining: bool = False
    backoff_ms: int = 0
    limit: float | None = None
    is_own: bool = True


def parse_signals(head: ResponseHead, names: HeaderNames) -> ServerSignals:
    """Return the signals in the head of an answer.

    Explanation
    -----------
    A misdirected request was answered by another server, so its headers are
    ignored.

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
        name == names.leaving and text.strip() == _DRAINING_VALUE
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
        is_draining, backoff_ms, _parse_lowest_limit(head, names.limit)
    )


def parse_retry_after_ms(text: str, now_s: float) -> int:
    """Return the back-off of a Retry-After header, 0 if it is invalid.

    Parameters
    ----------
    text : str
        Seconds, possibly with a fraction, or an HTTP date.
    now_s : float
        Current Unix time in seconds.

    Examples
    --------
    >>> parse_retry_after_ms(' 0.5 ', 0), parse_retry_after_ms('-3', 0)
    (500, 0)
    >>> parse_retry_after_ms('Thu, 01 Jan 1970 00:00:07 GMT', 5)
    2000

    """
    stripped = text.strip()
    # Proxies may join several headers of one name.
    parts = [part.strip() for part in stripped.split(',')]
    if all(map(_DECIMAL.fullmatch, parts)):
        seconds = max(map(float, parts))
    else:
        seconds = _seconds_until(stripped, now_s)
    # Bounded before rounding, which fails for infinity.
    max_s = BACKOFF_MAX_MS / MS_PER_SECOND
    return round(min(max(seconds, 0), max_s) * MS_PER_SECOND)


def _parse_lowest_limit(head: ResponseHead, header: bytes) -> float | None:
    """Return the lowest limit in the headers of an answer."""
    limits = [
        parse_limit(text.decode('latin-1'))
        for name, text in head.headers
        if name == header
    ]
    named = [limit for limit in limits if limit is not None]
    return min(named, default=None)


def parse_limit(text: str) -> float | None:
    """Return a limit in requests a second, None if it is invalid.

    Examples
    --------
    >>> parse_limit(' 1.5 '), parse_limit('4, 2'), parse_limit('-1')
    (1.5, 2.0, None)

    """
    # Proxies may join several headers of one name.
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
        # Invalid headers are ignored.
        return 0
