"""How many second sends a gateway may make for a pool."""

from collections import Counter
from collections.abc import Callable

from seampond.clock import MS_PER_SECOND, Clock

_SAFE_PART = 0.8
# A crash breaks many streams at once; the rest of the budget is theirs.
_FRESH_PART = 0.8


class RetryBudget:
    """This gateway's share of a budget that all gateways keep together.

    Explanation
    -----------
    The bound holds over all gateways in any window: a share of the fresh
    requests and a fixed allowance.  Each gateway keeps to the share of its
    own fresh requests and to an equal part of the allowance, so the sum
    holds without a message.

    Parameters
    ----------
    ratio : float
        Second sends for each fresh request.
    allowance : float
        Second sends in a window for all gateways together.
    window_ms : int
        The length of the window.
    count_gateways : Callable[[], int]
        How many gateways there may be.

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
        """Start with nothing spent."""
        self._ratio = ratio
        self._allowance = allowance
        self._seconds = -(-window_ms // MS_PER_SECOND)
        self._count_gateways = count_gateways
        self._clock = clock
        self._fresh: dict[str, Counter[int]] = {}
        self._repeats: dict[str, Counter[int]] = {}

    def set_bounds(self, ratio: float, allowance: float) -> None:
        """Take other bounds from now on."""
        self._ratio = ratio
        self._allowance = allowance

    def record_first_attempt(self, pool: str) -> None:
        """Note the first send of a request."""
        self._note(self._fresh, pool)

    def try_acquire(self, pool: str, *, is_resumed: bool = True) -> bool:
        """Take one second send, if the budget has room for it.

        Parameters
        ----------
        is_resumed : bool
            Whether it takes up a stream that was broken off; other sends
            leave a part of the budget for these.

        """
        gateways = max(1, self._count_gateways())
        room = self._ratio * self._sum(self._fresh, pool)
        room += self._allowance / gateways
        part = _SAFE_PART if is_resumed else _SAFE_PART * _FRESH_PART
        if self._sum(self._repeats, pool) + 1 > room * part:
            return False
        self._note(self._repeats, pool)
        return True

    def _note(self, counts: dict[str, Counter[int]], pool: str) -> None:
        second = self._clock.now() // MS_PER_SECOND
        counts.setdefault(pool, Counter())[second] += 1

    def _sum(self, counts: dict[str, Counter[int]], pool: str) -> int:
        by_second = counts.get(pool)
        if by_second is None:
            return 0
        oldest = self._clock.now() // MS_PER_SECOND - self._seconds
        old = [known for known in by_second if known < oldest]
        for second in old:
            by_second.pop(second)
        return by_second.total()
