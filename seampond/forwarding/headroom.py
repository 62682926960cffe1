"""Places that less urgent work leaves free for more urgent work."""

import zlib
from dataclasses import dataclass, field

from seampond.forwarding.job import Job

_PART_A_STEP = 0.1
_PART_MAX = 0.25
_FREE_IN = 5


@dataclass(slots=True)
class Headroom:
    """The ranks of work that a pool has seen, and what each leaves free.

    Explanation
    -----------
    Gateways do not see each other's queues, so rank in a queue orders only
    what waits in one of them.  A place that less urgent work leaves free on
    each server is there for urgent work of any gateway.  The tier goes before
    the kind of work: nothing leaves less free than what ranks above it.
    One request in five leaves nothing free, so that no rank is starved where
    the urgent work alone would fill the pool.

    Parameters
    ----------
    tiers, kinds : set[int]
        The ranks seen, 0 the highest.

    """

    tiers: set[int] = field(default_factory=set)
    kinds: set[int] = field(default_factory=set)

    def record(self, job: Job) -> None:
        """Note the ranks of a request."""
        self.tiers.add(job.priority)
        self.kinds.add(job.route.priority)

    def count_reserved(self, job: Job, slots: int) -> int:
        """Give how many of a server's slots a request leaves free."""
        return round(self.reserved_fraction(job) * slots)

    def reserved_fraction(self, job: Job) -> float:
        """Give the part of a server's slots that a request leaves free."""
        if job.has_streamed or not zlib.crc32(job.request_id) % _FREE_IN:
            return 0
        return min(_PART_MAX, self._steps(job) * _PART_A_STEP)

    def _steps(self, job: Job) -> int:
        """Give how many steps of rank a request is below the highest.

        Explanation
        -----------
        The highest of several tiers leaves nothing free, whatever its kind.
        """
        kind = sorted(self.kinds).index(job.route.priority)
        tier = sorted(self.tiers).index(job.priority)
        if len(self.tiers) > 1:
            if not tier:
                return 0
            tier -= 1
        return tier * len(self.kinds) + kind
