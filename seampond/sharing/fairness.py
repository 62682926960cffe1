"""Fair sharing of one quota between more and less urgent requests."""

import math
from dataclasses import dataclass

from seampond.clock import Clock

_DECAY_TIME_MS = 2000.0
_REFUSAL_MEMORY_MS = 1000


@dataclass(slots=True)
class Demand:
    """Recent requests of one rank, and how many of them were granted.

    Parameters
    ----------
    requested, granted : float
        Exponentially decaying numbers of requests.
    updated_ms : int
        Time of the last decay.
    refused_units : float
        Units of the last refused request.
    refused_ms : int or None
        Time of that refusal, None if there was none.

    """

    requested: float = 0
    granted: float = 0
    updated_ms: int = 0
    refused_units: float = 0
    refused_ms: int | None = None

    @property
    def granted_fraction(self) -> float:
        """Fraction of requests that was granted; 1 if there were none."""
        return self.granted / self.requested if self.requested else 1.0

    def decay(self, now_ms: int) -> None:
        """Decay the numbers up to `now_ms`."""
        factor = math.exp((self.updated_ms - now_ms) / _DECAY_TIME_MS)
        self.requested *= factor
        self.granted *= factor
        self.updated_ms = now_ms


class Fairness:
    """Reserves units of an exhausted quota for the most urgent requests.

    Explanation
    -----------
    Small requests would otherwise use up each refill before it suffices for a
    large one.  After an urgent request was refused, less urgent ones must
    leave enough units for it until the urgent rank has had an equal fraction
    of its requests granted.  A reservation expires after a short time.

    Examples
    --------
    >>> fairness = Fairness(Clock(lambda: 0))
    >>> fairness.record(0, 400, is_granted=False)
    >>> fairness.reserved_above(2), fairness.reserved_above(0)
    (400, 0)

    """

    def __init__(self, clock: Clock) -> None:
        """Start without any demand."""
        self._clock = clock
        self._by_rank: dict[int, Demand] = {}

    def record(self, rank: int, units: float, *, is_granted: bool) -> None:
        """Record a request of `rank` and whether it was granted."""
        now_ms = self._clock.now()
        demand = self._by_rank.setdefault(rank, Demand())
        demand.decay(now_ms)
        demand.requested += 1
        if is_granted:
            demand.granted += 1
        else:
            demand.refused_units = units
            demand.refused_ms = now_ms

    def reserved_above(self, rank: int) -> float:
        """Return the units reserved for ranks more urgent than `rank`."""
        own = self._by_rank.get(rank, Demand(requested=1))
        since_ms = self._clock.now() - _REFUSAL_MEMORY_MS
        reserved = [
            demand.refused_units
            for other_rank, demand in self._by_rank.items()
            if other_rank < rank
            and demand.refused_ms is not None
            and demand.refused_ms >= since_ms
            and demand.granted_fraction <= own.granted_fraction
        ]
        return max(reserved, default=0)
