"""When callers that were refused should retry.

Load pattern: a burst that the servers cannot serve for some seconds; each
caller retries at most once.
"""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.job import Job

# Retries are spread between these fractions of the target latency, so that
# they do not arrive as another burst but mostly still in time.  Of a burst of
# twice the capacity 0.70 were in time; spread over 0.08 to 0.3 of the time that
# was left none of the retries could be, and 0.61 were (test_retry_times).
_MIN_SPREAD = 0.2
_MAX_SPREAD = 0.9
# Of the time until its deadline, a caller waits no longer than this fraction.
_REMAINING_FRACTION = 0.3
# Share of the servers' limits that is reserved for retries.
RETRY_SHARE = 0.35
MAX_RETRY_AFTER_MS = 60_000


def spread_retry_ms(job: Job, now_ms: int, draw: float) -> int:
    """Return after how many milliseconds a refused caller should retry.

    Parameters
    ----------
    draw : float
        Random number from 0 to 1 that places this caller in the spread.

    """
    left_ms = max(0, job.deadline_ms - now_ms)
    fraction = _MIN_SPREAD + (_MAX_SPREAD - _MIN_SPREAD) * draw
    wait_ms = min(left_ms * _REMAINING_FRACTION, job.route.target_ms * fraction)
    return max(1, round(wait_ms))


@dataclass(slots=True)
class RetrySchedule:
    """Retry times for a pool whose servers all have limits.

    Explanation
    -----------
    The times are spaced by the rate that the limits leave for retries.
    Retries that arrive together would mostly be refused again, and would
    take the permits of first tries.

    Parameters
    ----------
    next_ms : int
        Earliest time that is not assigned to a caller yet.
    rate : float
        Requests per second for which `next_ms` was computed.

    """

    next_ms: int = 0
    rate: float = 0

    def reserve(self, available_ms: int, rate: float) -> int:
        """Assign a retry time to one caller.

        Parameters
        ----------
        available_ms : int
            When the first server becomes available.
        rate : float
            Requests per second that this gateway may send, above 0.

        Examples
        --------
        >>> schedule = RetrySchedule()
        >>> [schedule.reserve(start_ms, 4) for start_ms in (1000, 1000, 1200)]
        [1000, 1714, 2428]

        """
        if rate != self.rate:
            self.rate = rate
            self.next_ms = available_ms
        reserved_ms = max(available_ms, self.next_ms)
        reserved_ms = min(reserved_ms, available_ms + MAX_RETRY_AFTER_MS)
        self.next_ms = reserved_ms + round(MS_PER_SECOND / (rate * RETRY_SHARE))
        return reserved_ms
