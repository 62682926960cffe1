"""How long our own process did not run, while versions are compared."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from seampond.clock import Clock

_LOOK_MS = 10
# The timers of an event loop are late by a little at any time.
_LEAST_MS = 5
_KEPT = 512


@dataclass(slots=True)
class EventLoopStalls:
    """When the process did not run that should have, in its own time.

    Examples
    --------
    >>> stalls = EventLoopStalls()
    >>> stalls.record(1000, 1200)
    >>> stalls.total_ms(0, 2000), stalls.total_ms(1150, 2000)
    (200, 50)
    >>> stalls.total_ms(0, 9)
    0

    """

    spans: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=_KEPT)
    )

    def record(self, since_ms: int, until_ms: int) -> None:
        """Note a span in which it did not run."""
        self.spans.append((since_ms, until_ms))

    def total_ms(self, since_ms: int, until_ms: int) -> int:
        """Give for how long it did not run in a span."""
        parts = (
            min(until, until_ms) - max(since, since_ms)
            for since, until in self.spans
        )
        return sum(part for part in parts if part > 0)


async def record_stalls(
    stalls: EventLoopStalls, is_active: asyncio.Event, clock: Clock
) -> None:
    """Note stalls for as long as somebody wants to know."""
    while True:
        await is_active.wait()
        before_ms = clock.now()
        await clock.sleep(_LOOK_MS)
        due_ms = before_ms + _LOOK_MS
        now_ms = clock.now()
        if now_ms - due_ms >= _LEAST_MS:
            stalls.record(due_ms, now_ms)
