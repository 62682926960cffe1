"""Retry budgets per pool."""

from collections import Counter
from collections.abc import Callable

from seampond.clock import MS_PER_SECOND, Clock

_USABLE_SHARE = 0.8
# Leaves budget to resume the many streams that a server crash breaks.
_RETRY_SHARE = 0.8


class RetryBudget:
    """This gateway's share of the retry budget of all gateways.

    Explanation
    -----------
    In any window, all gateways together may make `ratio` retries for each
    first attempt and `allowance` more.  Each gateway counts its own first
    attempts and uses an equal part of the allowance, so that no messages are
    needed.

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
        self._retries: dict[str, Counter[int]] = {}

    def set_bounds(self, ratio: float, allowance: float) -> None:
        """Replace the bounds of the budget."""
        self._ratio = ratio
        self._allowance = allowance

    def record_first_attempt(self, pool: str) -> None:
        """Record the first attempt of a request."""
        self._increment(self._first_attempts, pool)

    def try_acquire(self, pool: str, *, is_resumed: bool = True) -> bool:
        """Spend one retry and return True if the budget allows it.

        Parameters
        ----------
        is_resumed : bool
            Whether the retry resumes a broken stream; other retries leave a
            part of the budget for these.

        """
        gateways = max(1, self._count_gateways())
        budget = self._ratio * self._sum(self._first_attempts, pool)
        budget += self._allowance / gateways
        share = _USABLE_SHARE if is_resumed else _USABLE_SHARE * _RETRY_SHARE
        if self._sum(self._retries, pool) + 1 > budget * share:
            return False
        self._increment(self._retries, pool)
        return True

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
