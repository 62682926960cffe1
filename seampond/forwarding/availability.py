"""When servers become available that back off or have a limit."""

import random
from collections.abc import Iterable, Sequence

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.permits import NO_PERMIT_SOURCE, PermitSource
from seampond.forwarding.queues import Queue, Waiter
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS
from seampond.forwarding.server_limit import Permit

# How much sooner less urgent requests give up waiting for a permit, relative
# to the fraction of slots that they leave free.  Permits go in the order of
# asking, so requests that wait less get none while others wait longer.
_WAIT_REDUCTION = 2.0
# The issuer of a server's permits may be gone, or its reply lost.
_RESERVE_ATTEMPTS = 2


class Availability:
    """Availability of servers that back off or have a limit.

    Attributes
    ----------
    permits : PermitSource
        Source of permits for servers with a limit.

    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without a source of permits."""
        self.permits: PermitSource = NO_PERMIT_SOURCE
        self._clock = clock
        self._rng = rng

    def is_available(self, backend: Backend, *, for_retry: bool) -> bool:
        """Return True if a server with a free slot may be sent to now."""
        if not backend.signals.limit.is_set:
            return True
        if self.permits.may_send(backend, for_retry=for_retry):
            return True
        self.permits.probe_limit(backend)
        return False

    def acquire_permit(self, backend: Backend, job: Job) -> Permit | None:
        """Acquire a permit if the server has a limit."""
        if backend.signals.limit.is_set:
            return self.permits.acquire(backend, for_retry=job.is_retry)
        return None

    def available_ms(self, backend: Backend, *, for_retry: bool = False) -> int:
        """Return when a server ends its back-off and permits are expected."""
        available_ms = backend.signals.backoff_until_ms
        if backend.signals.limit.is_set:
            permit_ms = self.permits.available_ms(backend, for_retry=for_retry)
            available_ms = max(available_ms, permit_ms)
        return available_ms

    def earliest_available_ms(self, backends: Iterable[Backend]) -> int | None:
        """Return when the first of some servers becomes available.

        Returns
        -------
        int or None
            None if one needs no permit now, or if none is serving.

        """
        now_ms = self._clock.now()
        unavailable = []
        for backend in backends:
            if backend.is_draining or not backend.may_serve(now_ms):
                continue
            if backend.may_send_without_permit(now_ms):
                return None
            unavailable.append(backend)
        if not unavailable:
            return None
        return max(now_ms, min(map(self.available_ms, unavailable)))

    def total_rate(self, backends: Iterable[Backend]) -> float:
        """Return the sum of the servers' limits in requests per second."""
        return sum(backend.signals.limit.rate or 0 for backend in backends)

    async def reserve(self, backends: Iterable[Backend]) -> int | None:
        """Reserve a permit for the retry of a refused caller.

        Parameters
        ----------
        backends : Iterable[Backend]
            Servers of which none is available.

        Returns
        -------
        int or None
            Milliseconds until the retry, None if no server has a limit or
            no issuer replied in time.

        """
        now_ms = self._clock.now()
        # Under a limit of 0, permits are issued only to probe the limit.
        limited = [
            backend
            for backend in backends
            if backend.signals.limit.rate
            and backend.may_serve(now_ms)
            and not backend.is_draining
        ]
        open_limits = [
            backend
            for backend in limited
            if backend.signals.limit.reservations_full_until_ms <= now_ms
        ]
        if limited and not open_limits:
            return MAX_RETRY_AFTER_MS
        self._rng.shuffle(open_limits)
        for backend in open_limits[:_RESERVE_ATTEMPTS]:
            wait_ms = await self.permits.reserve(backend)
            if wait_ms is not None:
                return wait_ms
        return None

    def request_permits(
        self, queue: Queue, backends: Sequence[Backend]
    ) -> None:
        """Request permits for waiters that no expected permit serves.

        Parameters
        ----------
        backends : Sequence[Backend]
            Servers with a free slot.

        """
        now_ms = self._clock.now()
        limited = [
            backend for backend in backends if backend.signals.limit.is_set
        ]
        if not limited:
            return
        for waiter in _skip_first(
            queue.waiters, _count_expected(limited, now_ms)
        ):
            max_wait_ms = self._permit_wait_ms(queue, waiter, now_ms)
            best = self._choose_backend(limited, waiter, now_ms + max_wait_ms)
            if best is not None:
                self.permits.request(
                    best, max_wait_ms, for_retry=waiter.job.is_retry
                )

    def find_hopeless(
        self, queue: Queue, backends: Sequence[Backend]
    ) -> list[Waiter]:
        """Return the waiters that no permit can serve in time."""
        now_ms = self._clock.now()
        serving = [
            backend
            for backend in backends
            if backend.may_serve(now_ms) and not backend.is_draining
        ]
        if not serving or any(
            backend.may_send_without_permit(now_ms) for backend in serving
        ):
            return []
        first_ms = {
            for_retry: min(
                self.available_ms(backend, for_retry=for_retry)
                for backend in serving
            )
            for for_retry in (False, True)
        }
        expected = _count_expected(serving, now_ms)
        return [
            waiter
            for waiter in _skip_first(queue.waiters, expected)
            if first_ms[waiter.job.is_retry]
            > now_ms + self._permit_wait_ms(queue, waiter, now_ms)
        ]

    def next_check_ms(self, backends: Iterable[Backend]) -> int | None:
        """Return when a permit may become valid, None if none is expected."""
        now_ms = self._clock.now()
        times = (
            backend.signals.limit.next_event_ms(now_ms) for backend in backends
        )
        return min(
            (time_ms for time_ms in times if time_ms is not None), default=None
        )

    def _choose_backend(
        self, limited: Iterable[Backend], waiter: Waiter, latest_ms: int
    ) -> Backend | None:
        """Return the server available first, None if none is in time."""
        best: tuple[int, float, Backend] | None = None
        for backend in limited:
            limit = backend.signals.limit
            if limit.requested_ms is not None:
                continue
            if not waiter.may_use(backend.server):
                continue
            available_ms = self.permits.available_ms(
                backend, for_retry=waiter.job.is_retry
            )
            candidate = (available_ms, self._rng.random(), backend)
            if available_ms <= latest_ms and (best is None or candidate < best):
                best = candidate
        return best[2] if best else None

    def _permit_wait_ms(self, queue: Queue, waiter: Waiter, now_ms: int) -> int:
        """Return how long a request may wait for a permit."""
        fraction = 1 - _WAIT_REDUCTION * queue.headroom.reserved_fraction(
            waiter.job
        )
        return round(max(0, waiter.expires_ms - now_ms) * fraction)


def _count_expected(limited: Iterable[Backend], now_ms: int) -> int:
    return sum(
        backend.signals.limit.count_expected(now_ms) for backend in limited
    )


def _skip_first(waiters: Sequence[Waiter], count: int) -> list[Waiter]:
    """Return the pending waiters after the first `count`."""
    pending = [waiter for waiter in waiters if not waiter.slot.done()]
    return pending[count:]
