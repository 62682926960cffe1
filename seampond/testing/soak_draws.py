"""What callers state and what servers send in a soak, drawn by seed."""

import itertools
import random
import re
from collections.abc import Iterator, Sequence
from dataclasses import replace

from seampond.testing.streaming import CallerPlan, StatedWait

GarbagePlan = tuple[bytes, ...]

_UNNAMED_PROBABILITY = 0.2
_WAITS_MS = (5000, 12_000)
_ATTEMPTS = (3, 8)
# The end of each line, and of the last one.  No blank line is inside, since
# what is before it may be an event.
_LINE_ENDS = (
    (b'\n', b'\n'),
    (b'\r\n', b'\r\n'),
    (b'\r', b'\r'),
    (b'', b''),
    (b'\r\n', b'\r\n\r\n'),
    (b'\n', b'\n\n'),
    (b'\r', b'\r\r'),
)
_GARBAGE_TEXTS = (
    b'\x00\xff!garbage!%bzz',
    b'zz%bzz',
    b'no-field-of-events: zz',
    b'id: 5%bdata: \xff',
    b'HTTP/1.1 200 OK%bContent-Length: 0',
)
_RESET_PROBABILITY = 0.3
_GARBAGE_COUNT = 5
_PARTIAL_EVENT = re.compile(rb'(?:i|id|id:|id: \d*|id: \d+\n[ -~]*\n?)?')


def is_partial_event(text: bytes) -> bool:
    r"""Return whether some bytes may be the beginning of an event.

    Examples
    --------
    >>> is_partial_event(b'id: 3\ndata: v')
    True
    >>> is_partial_event(b'zz\r\r')
    False

    """
    return _PARTIAL_EVENT.fullmatch(text) is not None


def draw_stated_wait(rng: random.Random) -> StatedWait:
    """Return which wait a caller states."""
    return rng.choice(tuple(StatedWait))


def draws_name(rng: random.Random) -> bool:
    """Return whether a caller names the request that began its stream."""
    return rng.random() >= _UNNAMED_PROBABILITY


def draw_callers(
    rng: random.Random, plans: Sequence[CallerPlan]
) -> list[CallerPlan]:
    """Return the plans with what their callers state."""
    return [
        replace(
            plan,
            stated_wait=draw_stated_wait(rng),
            names_first=draws_name(rng),
            wait_ms=rng.choice(_WAITS_MS),
            attempts_max=rng.choice(_ATTEMPTS),
        )
        for plan in plans
    ]


def draw_garbage(rng: random.Random) -> bytes:
    """Return bytes that are no event, with any kind of line end."""
    line_end, last_end = rng.choice(_LINE_ENDS)
    text = rng.choice(_GARBAGE_TEXTS)
    return text.replace(b'%b', line_end) + last_end


def draw_garbages(rng: random.Random) -> Iterator[GarbagePlan]:
    """Yield what servers break streams off with, empty for a reset."""
    while True:
        count = 0 if rng.random() < _RESET_PROBABILITY else _GARBAGE_COUNT
        yield tuple(draw_garbage(rng) for _ in itertools.repeat(None, count))
