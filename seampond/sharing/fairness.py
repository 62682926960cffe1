"""Fair parts of one quota for more and less urgent work."""

import math
from dataclasses import dataclass

from seampond.clock import Clock

_DECAY_TIME_MS = 2000.0
_REFUSAL_MEMORY_MS = 1000


@dataclass(slots=True)
class Demand:
    """What one rank of work has asked of late, and what it was given.

    Parameters
    ----------
    requested, granted : float
        Requests, decaying with time.
    refused_units : float
        What the last refused request wanted.
    refused_ms : int or None
        When that was, None for never.

    """

    requested: float = 0
    granted: float = 0
    updated_ms: int = 0
    refused_units: float = 0
    refused_ms: int | None = None

    @property
    def granted_fraction(self) -> float:
        """The part of its requests that was given; 1 if it asked nothing."""
        return self.granted / self.requested if self.requested else 1.0

    def decay(self, now_ms: int) -> None:
        """Let what is past count for less."""
        factor = math.exp((self.updated_ms - now_ms) / _DECAY_TIME_MS)
        self.requested *= factor
        self.granted *= factor
        self.updated_ms = now_ms


class Fairness:
    """Keeps units of a scarce quota for the most urgent work.

    Explanation
    -----------
    Beyond a quota, small requests take whatever flows in before it is enough
    for a large one.  So once urgent work was refused, less urgent work
    has to leave enough for it, until the urgent has been given as large a
    part of what it asks.  Urgent work that asks no more holds nobody up for
    long.

    Examples
    --------
    >>> fairness = Fairness(Clock(lambda: 0))
    >>> fairness.record(0, 400, is_granted=False)
    >>> fairness.reserved_above(2), fairness.reserved_above(0)
    (400, 0)

    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing asked."""
        self._clock = clock
        self._by_rank: dict[int, Demand] = {}

    def record(self, rank: int, units: float, *, is_granted: bool) -> None:
        """Note a request of `rank`, and whether it was given."""
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
        """Give the units that a request of `rank` has to leave for others."""
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
