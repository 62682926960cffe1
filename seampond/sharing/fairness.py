"""Fair parts of one quota for more and less urgent work."""

import math
from dataclasses import dataclass

from seampond.clock import Clock

_DECAY_MS = 2000.0
_REMEMBER_MS = 1000


@dataclass(slots=True)
class Demand:
    """What one rank of work has asked of late, and what it was given.

    Parameters
    ----------
    asked, given : float
        Requests, decaying with time.
    refused_units : float
        What the last refused request wanted.
    refused_ms : int or None
        When that was, None for never.

    """

    asked: float = 0
    given: float = 0
    noted_ms: int = 0
    refused_units: float = 0
    refused_ms: int | None = None

    @property
    def share(self) -> float:
        """The part of its requests that was given; 1 if it asked nothing."""
        return self.given / self.asked if self.asked else 1.0

    def decay(self, now_ms: int) -> None:
        """Let what is past count for less."""
        factor = math.exp((self.noted_ms - now_ms) / _DECAY_MS)
        self.asked *= factor
        self.given *= factor
        self.noted_ms = now_ms


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
    >>> fairness.note(0, 400, is_given=False)
    >>> fairness.kept_from(2), fairness.kept_from(0)
    (400, 0)

    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing asked."""
        self._clock = clock
        self._by_rank: dict[int, Demand] = {}

    def note(self, rank: int, units: float, *, is_given: bool) -> None:
        """Note a request of `rank`, and whether it was given."""
        now_ms = self._clock.now()
        known = self._by_rank.setdefault(rank, Demand())
        known.decay(now_ms)
        known.asked += 1
        if is_given:
            known.given += 1
        else:
            known.refused_units = units
            known.refused_ms = now_ms

    def kept_from(self, rank: int) -> float:
        """Give the units that a request of `rank` has to leave for others."""
        own = self._by_rank.get(rank, Demand(asked=1))
        since_ms = self._clock.now() - _REMEMBER_MS
        kept = [
            known.refused_units
            for other, known in self._by_rank.items()
            if other < rank
            and known.refused_ms is not None
            and known.refused_ms >= since_ms
            and known.share <= own.share
        ]
        return max(kept, default=0)
