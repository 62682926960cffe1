"""Which requests a gateway still sends while it stops as planned."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal

# The balancer removes a stopping gateway within two seconds, but a retry may
# reach another one at once.
_RETRY_MS = 300
# Service times vary.
_SERVICE_FACTOR = 2


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The times of a planned stop.

    Parameters
    ----------
    accepts_until_ms : int
        Until when the balancer may still send callers here.
    close_ms : int
        When open requests get their last answer.

    """

    accepts_until_ms: int
    close_ms: int


def find_longest_service_ms(backends: Sequence[Backend], now_ms: int) -> float:
    """Return the longest recent service time of servers, 0 if unknown.

    Explanation
    -----------
    Requests that are not answered yet count as well, since a server may have
    slowed down.
    """
    longest_ms = max(
        (backend.speed.longest_service_ms for backend in backends), default=0
    )
    if not longest_ms:
        return 0
    unanswered_ms = (
        now_ms - since_ms
        for backend in backends
        for since_ms, _ in backend.unanswered.values()
    )
    return max(longest_ms, max(unanswered_ms, default=0))


class StopLimits:
    """Limits that a planned stop sets to requests.

    Explanation
    -----------
    Callers still send requests to a gateway that stops if no other one is
    ready, or until the balancer has noticed.  What a server cannot answer
    before the end must not be sent: the caller would not know whether it
    ran.

    Parameters
    ----------
    has_ready_peer : Callable[[], bool]
        Returns whether another gateway accepts callers.

    Attributes
    ----------
    stop : PlannedStop or None
        The planned stop that has begun, None otherwise.

    """

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        has_ready_peer: Callable[[], bool],
    ) -> None:
        """Start without a stop."""
        self.stop: PlannedStop | None = None
        self._clock = clock
        self._backends = backends
        self._has_ready_peer = has_ready_peer
        self._open: dict[asyncio.Timeout, Job] = {}

    def begin(self, stop: PlannedStop) -> None:
        """Begin to stop; open requests end with it at the latest."""
        self.stop = stop
        for timeout, job in self._open.items():
            if timeout.expired():
                # Its request ends in this moment.
                continue
            job.deadline_ms = min(job.deadline_ms, stop.close_ms)
            timeout.reschedule(self._to_loop_time(job.deadline_ms))

    def check(self, job: Job) -> None:
        """Check that a request can be sent and answered before the end.

        Explanation
        -----------
        The duration of a stream is unknown.  One that has begun here goes on
        at another server if its own breaks it off.

        Raises
        ------
        Refusal
            If it has to be sent elsewhere.

        """
        stop = self.stop
        if stop is None or job.has_streamed:
            return
        now_ms = self._clock.now()
        is_late = now_ms > stop.accepts_until_ms
        if not job.is_stream:
            is_late = now_ms + self._estimate_ms(job) > stop.close_ms
        if is_late:
            raise Refusal(
                Cause.stopping,
                step='stop',
                retry_after_ms=self._compute_retry_ms(stop),
            )

    @asynccontextmanager
    async def limit(self, job: Job) -> AsyncIterator[None]:
        """End a request at its deadline, or with the stop.

        Raises
        ------
        TimeoutError
            If the time is over.

        """
        if self.stop is not None:
            job.deadline_ms = min(job.deadline_ms, self.stop.close_ms)
        until = self._to_loop_time(job.deadline_ms)
        async with asyncio.timeout_at(until) as timeout:
            self._open[timeout] = job
            try:
                yield
            finally:
                self._open.pop(timeout)

    def _estimate_ms(self, job: Job) -> int:
        """Return how long the answer may take.

        Explanation
        -----------
        The target latency of a route is what its callers want, and its
        servers may need longer.
        """
        # The job's own deadline may be that of the stop already.
        timeout_ms = min(job.route.timeout_ms, job.max_wait_ms)
        remaining_ms = job.arrived_ms + timeout_ms - self._clock.now()
        longest_ms = find_longest_service_ms(
            self._backends.all_in_pool(job.pool), self._clock.now()
        )
        if not longest_ms:
            return remaining_ms
        service_ms = round(_SERVICE_FACTOR * longest_ms)
        return min(remaining_ms, max(job.route.target_ms, service_ms))

    def _compute_retry_ms(self, stop: PlannedStop) -> int:
        """Return when a caller that is refused may retry."""
        if self._has_ready_peer():
            return _RETRY_MS
        return max(_RETRY_MS, stop.close_ms - self._clock.now())

    def _to_loop_time(self, at_ms: int) -> float:
        """Return the time of the event loop at a time of the clock."""
        remaining_ms = max(0, at_ms - self._clock.now())
        return asyncio.get_running_loop().time() + remaining_ms / MS_PER_SECOND
