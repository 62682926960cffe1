"""Those that wait for a place on the servers of one pool."""

import asyncio
from dataclasses import dataclass, field

from seampond.forwarding.backend import Backend
from seampond.forwarding.headroom import Headroom
from seampond.forwarding.job import Job
from seampond.forwarding.retry_times import RetrySchedule


@dataclass(slots=True)
class Waiter:
    """A request that waits for a place.

    Parameters
    ----------
    avoid : set[str]
        Servers that it was already sent to.
    due_ms : float
        When its answer should begin.
    until_ms : int
        Until when it waits.

    """

    job: Job
    avoid: set[str]
    due_ms: float
    until_ms: int
    slot: 'asyncio.Future[Backend]'


@dataclass(slots=True)
class Queue:
    """Those that wait for one pool, the most urgent first.

    Parameters
    ----------
    retry_schedule : RetrySchedule
        What those that limits turned away were told.
    next_check_ms : int or None
        When to look again for a permit, None where none may come.

    """

    headroom: Headroom = field(default_factory=Headroom)
    waiters: list[Waiter] = field(default_factory=list)
    retry_schedule: RetrySchedule = field(default_factory=RetrySchedule)
    next_check_ms: int | None = None

    @property
    def lowest_tier(self) -> int:
        """The lowest rank of a tenant that waits, 0 if nobody does."""
        return max((known.job.priority for known in self.waiters), default=0)

    def add(self, job: Job, avoid: set[str], until_ms: int) -> Waiter:
        """Let a request wait in its order."""
        waiter = Waiter(
            job,
            avoid,
            job.arrived_ms + job.route.target_ms,
            until_ms,
            asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        self.waiters.sort(key=_order)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Let a request wait no longer, if it still does."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)


def _order(waiter: Waiter) -> tuple[int, int, bool, bool, float]:
    job = waiter.job
    return (
        job.priority,
        job.route.priority,
        not job.has_streamed,
        not job.is_retry,
        waiter.due_ms,
    )
