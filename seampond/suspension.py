"""Machines that are suspended for a while, and go on where they were."""

import asyncio
import logging
from collections.abc import Callable

from seampond import clock as clocks
from seampond.clock import NS_PER_MS, NS_PER_SECOND, Clock

_LOOK_MS = 1000
# Two clocks read one after the other differ by less.
_LEAST_MS = 50
_logger = logging.getLogger(__name__)


class SuspensionAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time of a suspension.

    Explanation
    -----------
    The timers of a usual loop stand still with the machine: a time-out of
    2 s ends 62 s after its start where 60 s of them were slept.  Here all
    that is overdue is done at the first wake-up, each timer once.
    """

    def time(self) -> float:
        """Give the seconds by which timers are due."""
        return clocks.read_steady_ns() / NS_PER_SECOND


def measure_suspended_ms() -> int:
    """Give how long the machine was suspended since its start."""
    away_ns = clocks.read_steady_ns() - clocks.read_awake_ns()
    return away_ns // NS_PER_MS


async def watch_suspension(note: Callable[[int], None], clock: Clock) -> None:
    """Tell of each suspension how long it was, in milliseconds."""
    if not clocks.COUNTS_SUSPENSION:
        _logger.warning(
            'no clock counts suspended time; the monotonic one is used'
        )
    before_ms = measure_suspended_ms()
    while True:
        await clock.sleep(_LOOK_MS)
        away_ms = measure_suspended_ms()
        if away_ms - before_ms >= _LEAST_MS:
            note(away_ms - before_ms)
            _logger.warning(
                'machine was suspended', extra={'ms': away_ms - before_ms}
            )
        before_ms = away_ms
