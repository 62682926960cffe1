"""Requests that wait for a slot on the servers of one pool."""

import asyncio
from dataclasses import dataclass, field

from seampond.forwarding.backend import Backend
from seampond.forwarding.headroom import Headroom
from seampond.forwarding.job import Job
from seampond.forwarding.retry_times import RetrySchedule
from seampond.forwarding.server import Server


@dataclass(slots=True)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    avoid : set[str]
        Servers that were tried for the request already.
    target_end_ms : float
        When the target latency of the request is exceeded.
    expires_ms : int
        When the request stops waiting.
    slot : asyncio.Future[Backend]
        The server with the slot, or the refusal.

    """

    job: Job
    avoid: set[str]
    target_end_ms: float
    expires_ms: int
    slot: 'asyncio.Future[Backend]'

    def may_use(self, server: Server) -> bool:
        """Return True if a server is neither avoided nor unable to resume."""
        if self.job.origin is not None:
            return self.job.may_run_on(server)
        return server.id not in self.avoid


@dataclass(slots=True)
class Queue:
    """Requests that wait for one pool, the most urgent first.

    Parameters
    ----------
    retry_schedule : RetrySchedule
        Retry times assigned to callers that were refused because of limits.
    next_check_ms : int or None
        When a permit may become valid, None if none is expected.

    """

    headroom: Headroom = field(default_factory=Headroom)
    waiters: list[Waiter] = field(default_factory=list)
    retry_schedule: RetrySchedule = field(default_factory=RetrySchedule)
    next_check_ms: int | None = None

    @property
    def lowest_tier(self) -> int:
        """The least urgent tier that waits, 0 for an empty queue."""
        return max((waiter.job.priority for waiter in self.waiters), default=0)

    def add(self, job: Job, avoid: set[str], expires_ms: int) -> Waiter:
        """Add a request in its order."""
        waiter = Waiter(
            job,
            avoid,
            job.arrived_ms + job.route.target_ms,
            expires_ms,
            asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        self.waiters.sort(key=_sort_key)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)


def _sort_key(waiter: Waiter) -> tuple[int, int, bool, bool, float]:
    job = waiter.job
    return (
        job.priority,
        job.route.priority,
        not job.is_resumed,
        not job.is_retry,
        waiter.target_end_ms,
    )
