"""How long the callers of a route wait, and since when one has been trying."""

from dataclasses import dataclass

# A caller that waits for less than this fraction of the longest wait of its
# route has used up some of its time.
_RETRY_FRACTION = 0.97
# Retries alone may have arrived so far if there were fewer requests.
_REQUESTS_MIN = 8
_TRANSFER_MS = 1000
# No caller tries for longer.
MAX_AGE_MS = 60_000


@dataclass(slots=True)
class CallerWaits:
    """The waits that the callers of one route have stated.

    Explanation
    -----------
    Each attempt of a caller has its own request id.  But the callers of one
    route wait for about the same time, and a retry states only the time that
    is left.

    Parameters
    ----------
    longest_ms : int
        Longest wait stated so far.
    request_count : int
        Number of requests so far.

    """

    longest_ms: int = 0
    request_count: int = 0

    def record(self, wait_ms: int) -> None:
        """Record the wait that a request states."""
        self.longest_ms = max(self.longest_ms, wait_ms)
        self.request_count += 1

    def is_retry(self, wait_ms: int) -> bool:
        """Return True if a caller seems to have been refused before."""
        return wait_ms < self.longest_ms * _RETRY_FRACTION

    def max_age_ms(self, wait_ms: int, timeout_ms: int) -> int:
        """Return for how long a caller may have been trying.

        Parameters
        ----------
        wait_ms : int
            Wait that its request states.
        timeout_ms : int
            Longest time of one attempt on the route.

        Examples
        --------
        >>> waits = CallerWaits()
        >>> waits.max_age_ms(9000, 15_000)
        60000
        >>> for _ in range(8):
        ...     waits.record(15_000)
        >>> waits.max_age_ms(9000, 15_000)
        7000

        """
        if self.request_count < _REQUESTS_MIN:
            return MAX_AGE_MS
        longest_ms = max(self.longest_ms, timeout_ms)
        return min(MAX_AGE_MS, longest_ms - wait_ms + _TRANSFER_MS)
