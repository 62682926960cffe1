"""Retry budgets per pool."""

from collections import Counter
from collections.abc import Callable

from seampond.clock import MS_PER_SECOND, Clock

_USABLE_SHARE = 0.8
# Of what a gateway has left, for its own requests may be cut next.
_LENT_SHARE = 0.5
# Leaves budget to resume the many streams that a server crash breaks.
_RETRY_SHARE = 0.8


class RetryBudget:
    """This gateway's share of the retry budget of all gateways.

    Explanation
    -----------
    In any window, all gateways together may make `ratio` retries for each
    first attempt and `allowance` more.  Each gateway counts its own first
    attempts and uses an equal part of the allowance.  It may lend retries to
    other gateways, which count here.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    allowance : float
        Further retries of all gateways together in a window.
    window_ms : int
        Length of the window.
    count_gateways : Callable[[], int]
        Returns the highest number of gateways that may be running.

    Examples
    --------
    >>> budget = RetryBudget(0.2, 10, 10_000, lambda: 2, Clock(lambda: 0))
    >>> [budget.try_acquire('llm') for _ in range(6)].count(True)
    4
    >>> taken = [budget.try_acquire('api', is_resumed=False) for _ in 'abcdef']
    >>> taken.count(True)
    3
    >>> budget.try_acquire('api')
    True

    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_ms: int,
        count_gateways: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Initialize an unused budget."""
        self._ratio = ratio
        self._allowance = allowance
        self._seconds = -(-window_ms // MS_PER_SECOND)
        self._count_gateways = count_gateways
        self._clock = clock
        self._first_attempts: dict[str, Counter[int]] = {}
        self._streams: dict[str, Counter[int]] = {}
        self._retries: dict[str, Counter[int]] = {}

    def set_bounds(self, ratio: float, allowance: float) -> None:
        """Replace the bounds of the budget."""
        self._ratio = ratio
        self._allowance = allowance

    def record_first_attempt(
        self, pool: str, *, is_stream: bool = True
    ) -> None:
        """Record the first attempt of a request."""
        self._increment(self._first_attempts, pool)
        if is_stream:
            self._increment(self._streams, pool)

    def try_acquire(self, pool: str, *, is_resumed: bool = True) -> bool:
        """Spend one retry and return True if the budget allows it.

        Parameters
        ----------
        is_resumed : bool
            Whether the retry resumes a broken stream; other retries leave a
            part of the budget for these.

        """
        share = _USABLE_SHARE
        if not is_resumed and self._may_break_streams(pool):
            share *= _RETRY_SHARE
        if self._remaining(pool, share) < 1:
            return False
        self._increment(self._retries, pool)
        return True

    def lend(self, pool: str) -> bool:
        """Spend one retry for another gateway and return True if possible.

        Examples
        --------
        >>> clock = Clock(lambda: 0)
        >>> budget = RetryBudget(0.2, 10, 10_000, lambda: 2, clock)
        >>> [budget.lend('llm') for _ in range(6)].count(True)
        4

        """
        share = _USABLE_SHARE
        if self._sum(self._streams, pool):
            share *= _RETRY_SHARE
        remaining = self._remaining(pool, share)
        if self._sum(self._first_attempts, pool):
            remaining *= _LENT_SHARE
        if remaining < 1:
            return False
        self._increment(self._retries, pool)
        return True

    def _remaining(self, pool: str, share: float) -> float:
        """Return how many retries are left of a share of the budget."""
        gateways = max(1, self._count_gateways())
        budget = self._ratio * self._sum(self._first_attempts, pool)
        budget += self._allowance / gateways
        return budget * share - self._sum(self._retries, pool)

    def _may_break_streams(self, pool: str) -> bool:
        """Whether streams of a pool may have to be resumed."""
        has_attempts = self._sum(self._first_attempts, pool) > 0
        return not has_attempts or self._sum(self._streams, pool) > 0

    def _increment(self, counts: dict[str, Counter[int]], pool: str) -> None:
        second = self._clock.now() // MS_PER_SECOND
        counts.setdefault(pool, Counter())[second] += 1

    def _sum(self, counts: dict[str, Counter[int]], pool: str) -> int:
        by_second = counts.get(pool)
        if by_second is None:
            return 0
        oldest = self._clock.now() // MS_PER_SECOND - self._seconds
        expired = [second for second in by_second if second < oldest]
        for second in expired:
            by_second.pop(second)
        return by_second.total()
