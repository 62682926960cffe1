"""Slots that less urgent requests leave free for more urgent ones."""

import zlib
from dataclasses import dataclass, field

from seampond.forwarding.job import Job

_FRACTION_PER_STEP = 0.1
_MAX_FRACTION = 0.25
# One request in so many reserves nothing.
_EXEMPT_EVERY = 5


@dataclass(slots=True)
class Headroom:
    """The priorities that a pool has seen, and what each leaves free.

    Explanation
    -----------
    A queue orders only the requests that wait in one gateway.  Slots that
    less urgent requests leave free on each server are available to urgent
    requests of any gateway.  The tenant's tier ranks above the kind of
    request, and no request leaves fewer slots free than a more urgent one.
    Some requests of every rank are exempt, so that none starves where urgent
    requests alone would fill the pool.

    Parameters
    ----------
    tiers, kinds : set[int]
        Priorities of tenants and of routes seen so far, 0 the highest.

    """

    tiers: set[int] = field(default_factory=set)
    kinds: set[int] = field(default_factory=set)

    def record(self, job: Job) -> None:
        """Record the priorities of a request."""
        self.tiers.add(job.priority)
        self.kinds.add(job.route.priority)

    def count_reserved(self, job: Job, slots: int) -> int:
        """Return how many of a server's slots a request leaves free."""
        return round(self.reserved_fraction(job) * slots)

    def reserved_fraction(self, job: Job) -> float:
        """Return the fraction of slots that a request leaves free."""
        if job.is_resumed or not zlib.crc32(job.request_id) % _EXEMPT_EVERY:
            return 0
        return min(_MAX_FRACTION, self._steps(job) * _FRACTION_PER_STEP)

    def _steps(self, job: Job) -> int:
        """Return how many ranks a request is below the most urgent one.

        Explanation
        -----------
        Of several tiers the highest reserves nothing for any kind.
        """
        kind = sorted(self.kinds).index(job.route.priority)
        tier = sorted(self.tiers).index(job.priority)
        if len(self.tiers) > 1:
            if not tier:
                return 0
            tier -= 1
        return tier * len(self.kinds) + kind
