"""When a caller that was turned away should come back.

Load pattern: a burst that the servers cannot take for some seconds; each caller
asks a second time at the most.
"""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.job import Job

# Parts of the target between which those that were turned away are spread, so
# that they do not come back as the burst that they were.  Most of them can be
# in time still, which counts from the first try.  Spread over 0.08 to 0.3 of
# the time left none could: of the callers of a burst of twice what the servers
# take 0.61 were in time, 0.70 now, and 0.23 late, 0.07 now (mean of six seeds,
# test_returning.py).
_LEAST_PART = 0.2
_MOST_PART = 0.9
# A caller heeds no later time.
_LEFT_PART = 0.3
# Of what limits allow, what is kept for those that were told to come back.
RETRY_SHARE = 0.35
MAX_RETRY_AFTER_MS = 60_000


def spread_retry_ms(job: Job, now_ms: int, draw: float) -> int:
    """Give after how many milliseconds a caller should come back.

    Parameters
    ----------
    draw : float
        From 0 to 1, drawn for the caller.

    """
    left_ms = max(0, job.deadline_ms - now_ms)
    part = _LEAST_PART + (_MOST_PART - _LEAST_PART) * draw
    wait_ms = min(left_ms * _LEFT_PART, job.route.target_ms * part)
    return max(1, round(wait_ms))


@dataclass(slots=True)
class RetrySchedule:
    """When callers of a pool whose servers all name limits may come back.

    Explanation
    -----------
    Told a time soon, as elsewhere, all come back together to what the limits
    do not allow: of twice as many callers as two gateways may send, half of
    those that came back were turned away once more, and of those that came for
    the first time nearly all.

    Parameters
    ----------
    next_ms : int
        The first time that nobody was told.
    rate : float
        The requests a second by which the times were told.

    """

    next_ms: int = 0
    rate: float = 0

    def reserve(self, available_ms: int, rate: float) -> int:
        """Give a time that no other caller is told.

        Parameters
        ----------
        available_ms : int
            The first moment at which a request may be sent.
        rate : float
            The requests a second that we may send, more than none.

        Examples
        --------
        >>> schedule = RetrySchedule()
        >>> [schedule.reserve(start_ms, 4) for start_ms in (1000, 1000, 1200)]
        [1000, 1714, 2428]

        """
        if rate != self.rate:
            self.rate = rate
            self.next_ms = available_ms
        booked_ms = max(available_ms, self.next_ms)
        booked_ms = min(booked_ms, available_ms + MAX_RETRY_AFTER_MS)
        self.next_ms = booked_ms + round(MS_PER_SECOND / (rate * RETRY_SHARE))
        return booked_ms
