"""Handling of suspended machines."""

import asyncio
import logging
from collections.abc import Callable

from seampond import clock as clocks
from seampond.clock import NS_PER_MS, NS_PER_SECOND, Clock

_POLL_INTERVAL_MS = 1000
# Exceeds the time between the readings of the two clocks.
_MIN_SUSPENSION_MS = 50
_logger = logging.getLogger(__name__)


class SuspensionAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count suspended time.

    Explanation
    -----------
    Timers of the default loop stop during a suspension.  Here all overdue
    timers expire once at the first wake-up.
    """

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        return clocks.read_steady_ns() / NS_PER_SECOND


def measure_suspended_ms() -> int:
    """Return how long the machine was suspended since its start."""
    suspended_ns = clocks.read_steady_ns() - clocks.read_awake_ns()
    return suspended_ns // NS_PER_MS


async def watch_suspension(
    on_suspension: Callable[[int], None], clock: Clock
) -> None:
    """Report the duration of each suspension in milliseconds."""
    if not clocks.COUNTS_SUSPENSION:
        _logger.warning(
            'no clock counts suspended time; the monotonic one is used'
        )
    before_ms = measure_suspended_ms()
    while True:
        await clock.sleep(_POLL_INTERVAL_MS)
        suspended_ms = measure_suspended_ms()
        if suspended_ms - before_ms >= _MIN_SUSPENSION_MS:
            on_suspension(suspended_ms - before_ms)
            _logger.warning(
                'machine was suspended', extra={'ms': suspended_ms - before_ms}
            )
        before_ms = suspended_ms
