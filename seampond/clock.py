"""Monotonic clocks in milliseconds."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

MS_PER_SECOND = 1000
MS_PER_MINUTE = 60_000
MS_PER_DAY = 86_400_000
NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
_MILLION = 1_000_000
# How much faster or slower the clock of another machine may run, in millionths:
# the most that time synchronisation slews.
_MAX_RATE_DIFFERENCE = 500


# CLOCK_MONOTONIC stops while the machine is suspended, so that proofs, leases
# and quota windows would seem younger than they are.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
COUNTS_SUSPENSION = _CLOCK_ID != time.CLOCK_MONOTONIC


def read_steady_ns() -> int:
    """Return monotonic nanoseconds, including suspended time."""
    return time.clock_gettime_ns(_CLOCK_ID)


def read_awake_ns() -> int:
    """Return monotonic nanoseconds without suspended time."""
    return time.monotonic_ns()


def least_local_ms(remote_ms: int) -> int:
    """Return the least local time that passes in a time of another machine.

    Parameters
    ----------
    remote_ms : int
        Milliseconds by the other machine's clock; negative if counted back, so
        that the result is the earliest local moment in either direction.

    Examples
    --------
    >>> [least_local_ms(remote_ms) for remote_ms in (20_010, 0, -19_990)]
    [20000, 0, -20000]

    """
    sign = 1 if remote_ms > 0 else -1
    rate = _MILLION + sign * _MAX_RATE_DIFFERENCE
    return remote_ms * _MILLION // rate


def least_remote_ms(local_ms: int) -> int:
    """Return the least time of another machine that passes in a local time.

    Parameters
    ----------
    local_ms : int
        Milliseconds by the local clock; negative if counted back, so that the
        result is the earliest remote moment in either direction.

    Examples
    --------
    >>> [least_remote_ms(local_ms) for local_ms in (20_000, 0, -20_000)]
    [19990, 0, -20010]

    """
    sign = 1 if local_ms > 0 else -1
    rate = _MILLION - sign * _MAX_RATE_DIFFERENCE
    return local_ms * rate // _MILLION


def _read_steady_ms() -> int:
    return read_steady_ns() // NS_PER_MS


@dataclass(frozen=True)
class Clock:
    """A monotonic clock and the matching sleep.

    Explanation
    -----------
    Modules get their clock passed in, so that tests can use a
    :class:`ManualClock`.  Suspended time is included if the platform has a
    clock that counts it.

    Parameters
    ----------
    now : Callable[[], int]
        Returns milliseconds since an arbitrary moment; never decreases.

    Examples
    --------
    >>> clock = Clock()
    >>> clock.now() <= clock.now()
    True

    """

    now: Callable[[], int] = _read_steady_ms

    async def sleep(self, duration_ms: float) -> None:
        """Sleep for `duration_ms` milliseconds."""
        await asyncio.sleep(duration_ms / MS_PER_SECOND)


class ManualClock(Clock):
    """A clock that only moves when it is advanced.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now()
    250

    """

    def __init__(self, start_ms: int = 0) -> None:
        """Start at `start_ms`."""
        self._at_ms = start_ms
        super().__init__(now=lambda: self._at_ms)

    def advance(self, duration_ms: int) -> None:
        """Advance the time by `duration_ms` milliseconds."""
        self.__dict__['_at_ms'] = self._at_ms + duration_ms
