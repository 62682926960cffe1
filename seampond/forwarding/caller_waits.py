"""How long the callers of a route wait, and which have tried before."""

from dataclasses import dataclass

# A caller that waits for less than this fraction of the longest wait of its
# route has used up some of its time.
_RETRY_FRACTION = 0.97


@dataclass(slots=True)
class CallerWaits:
    """The waits that the callers of one route have stated.

    Explanation
    -----------
    Each attempt of a caller has its own request id.  But the callers of one
    route wait for about the same time, and a retry states only the time that
    is left.  That is a habit of callers: it orders their requests, and must
    not decide what a request may do.

    Parameters
    ----------
    longest_ms : int
        Longest wait stated so far.

    """

    longest_ms: int = 0

    def record(self, wait_ms: int) -> None:
        """Record the wait that a request states."""
        self.longest_ms = max(self.longest_ms, wait_ms)

    def is_retry(self, wait_ms: int) -> bool:
        """Return True if a caller seems to have been refused before.

        Examples
        --------
        >>> waits = CallerWaits()
        >>> waits.record(15_000)
        >>> waits.is_retry(9000), waits.is_retry(15_000)
        (True, False)

        """
        return wait_ms < self.longest_ms * _RETRY_FRACTION
