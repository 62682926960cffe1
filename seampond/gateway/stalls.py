"""Times at which the event loop was stalled."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from seampond.clock import Clock

_CHECK_INTERVAL_MS = 10
# Shorter delays are ordinary timer jitter.
_MIN_STALL_MS = 5
_SPANS_MAX = 512


@dataclass(slots=True)
class EventLoopStalls:
    """Records the time spans in which the event loop was stalled.

    Explanation
    -----------
    Stalls are subtracted from latencies that rollouts compare: an answer that
    waits in the gateway's own socket is not a slow one.

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
        default_factory=lambda: deque(maxlen=_SPANS_MAX)
    )

    def record(self, since_ms: int, until_ms: int) -> None:
        """Record a span in which the event loop was stalled."""
        self.spans.append((since_ms, until_ms))

    def total_ms(self, since_ms: int, until_ms: int) -> int:
        """Return how long the event loop was stalled in a span."""
        overlaps = (
            min(until, until_ms) - max(since, since_ms)
            for since, until in self.spans
        )
        return sum(overlap for overlap in overlaps if overlap > 0)


async def record_stalls(
    stalls: EventLoopStalls, is_active: asyncio.Event, clock: Clock
) -> None:
    """Record stalls while `is_active` is set, until cancelled."""
    while True:
        await is_active.wait()
        before_ms = clock.now()
        await clock.sleep(_CHECK_INTERVAL_MS)
        due_ms = before_ms + _CHECK_INTERVAL_MS
        now_ms = clock.now()
        if now_ms - due_ms >= _MIN_STALL_MS:
            stalls.record(due_ms, now_ms)
