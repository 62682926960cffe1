"""Assignment of requests to servers, and queues for those that wait."""

import asyncio
import random
from collections.abc import Callable, Sequence

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.availability import Availability
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.capacity import CapacityLimits
from seampond.forwarding.job import Job
from seampond.forwarding.queues import Queue, Waiter
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.resumption import (
    ResumeTargets,
    compute_resume_wait_ms,
    select_avoided,
)
from seampond.forwarding.retry_times import spread_retry_ms
from seampond.forwarding.scoring import Score, score_backend
from seampond.forwarding.versions import ANY_VERSION, VersionPolicy
from seampond.promises import Promises, Rule

# Fraction of the target latency: a refusal within a quarter of it leaves time
# for a retry.
_MAX_WAIT_FRACTION = 0.21
_CHECK_INTERVAL_MS = 100
_MAX_QUEUE_LENGTH = 500
_EXTRA_SLOTS = 2
# Below this fraction of their slots the servers have spare capacity.
_SPARE_FRACTION = 0.75
# Bounds the work for one request in a large pool.
_MAX_CANDIDATES = 48
# Causes that do not pass with time, so that no time to come back is named.
_FINAL_CAUSES = (Cause.version_gone, Cause.version_unknown)
_STEP = 'place'

RetryAfterFunction = Callable[[Job, int, float], int]


def _ignore_pool(pool: str) -> None:
    """Ignore the pool."""


class Scheduler:
    """Assign a slot on a server to each request, the most urgent first.

    Explanation
    -----------
    Requests are ordered by tier, then by the priority of their route, then
    interrupted streams come first, then retries, then those whose target
    latency ends first.  Only interrupted streams wait longer than a fraction
    of the target latency.  When a request times out, all requests of lower
    tiers are refused with it; so is the last request of a full queue.

    Parameters
    ----------
    count_gateways : Callable[[], int]
        Return the number of gateways that share the servers.
    versions : VersionPolicy
        Selects the versions of the servers' software for a request.
    compute_retry_ms : RetryAfterFunction
        Return after how many milliseconds a refused caller should retry, by
        request, current time and a random number from 0 to 1.

    Attributes
    ----------
    availability : Availability
        Availability of servers that back off or have a limit.
    on_waiting : Callable[[str], None]
        Called with a pool for whose servers a request waits.

    """

    def __init__(
        self,
        backends: Backends,
        zone: str,
        clock: Clock,
        count_gateways: Callable[[], int],
        promises: Promises,
        versions: VersionPolicy = ANY_VERSION,
        compute_retry_ms: RetryAfterFunction = spread_retry_ms,
    ) -> None:
        """Start with empty queues."""
        self._backends = backends
        self._zone = zone
        self._clock = clock
        self._count_gateways = count_gateways
        self._promises = promises
        self._versions = versions
        self._compute_retry_ms = compute_retry_ms
        self._queues: dict[str, Queue] = {}
        self._rng = random.Random()
        self._resume_targets = ResumeTargets(backends, versions, clock)
        self.availability = Availability(clock, self._rng)
        self.on_waiting: Callable[[str], None] = _ignore_pool

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return sum(len(queue.waiters) for queue in self._queues.values())

    def has_spare_capacity(self, pool: str) -> bool:
        """Return True if a pool has an empty queue and many free slots."""
        queue = self._queues.get(pool)
        if queue is not None and queue.waiters:
            return False
        now_ms = self._clock.now()
        candidates = [
            backend
            for backend in self._draw_candidates(pool)
            if backend.may_send_without_permit(now_ms)
        ]
        slots = sum(backend.server.slots for backend in candidates)
        loads = (backend.load(now_ms) for backend in candidates)
        return sum(loads) < slots * _SPARE_FRACTION

    async def acquire(self, job: Job, avoid: set[str]) -> Backend:
        """Wait for a slot on a server.

        Parameters
        ----------
        avoid : set[str]
            Servers that were tried for the request already.

        Returns
        -------
        Backend
            The server, on which the request is counted as running.

        Raises
        ------
        Refusal
            If no slot is free in time; the request was not sent.

        """
        queue = self._queues.setdefault(job.pool, Queue())
        queue.headroom.record(job)
        self._resume_targets.check(job)
        if not queue.waiters:
            backend = self._find_backend(job, avoid)
            if backend is not None:
                return self._claim_slot(backend, job)
        waiter = queue.add(job, avoid, self._wait_until_ms(job))
        self._shed_overflow(queue)
        try:
            return await self._wait(waiter)
        except asyncio.CancelledError:
            self._release_unused(waiter)
            raise
        except Refusal as refusal:
            queue.remove(waiter)
            if refusal.cause not in _FINAL_CAUSES:
                refusal.retry_after_ms = await self.reserve_retry_ms(job)
            raise
        finally:
            queue.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Release a slot and assign it to the next waiter."""
        backend.record_release()
        self.assign_slots(backend.server.pool)

    def assign_slots(self, pool: str) -> None:
        """Assign free slots of a pool to queued requests."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        if not queue.waiters:
            return
        candidates = self._list_open_backends(pool)
        for waiter in list(queue.waiters):
            # The sample of a large pool may hold no server of its version.
            is_bound = waiter.job.origin is not None
            if waiter.slot.done() or not (candidates or is_bound):
                continue
            backend = self._find_backend(
                waiter.job, waiter.avoid, None if is_bound else candidates
            )
            if backend is not None:
                queue.waiters.remove(waiter)
                waiter.slot.set_result(self._claim_slot(backend, waiter.job))

    def process_queues(self) -> None:
        """Process every queue, after the servers have changed."""
        for pool in self._queues:
            self.process_queue(pool)

    def process_queue(self, pool: str) -> None:
        """Request permits, assign free slots and end hopeless waits."""
        queue = self._queues.get(pool)
        if queue is None or not queue.waiters:
            return
        now_ms = self._clock.now()
        candidates = self._draw_candidates(pool)
        queue.next_check_ms = None
        if not any(backend.is_restricted(now_ms) for backend in candidates):
            self.assign_slots(pool)
            return
        capacity = self._capacity_limits(pool, 0)
        self.availability.request_permits(
            queue,
            [
                backend
                for backend in candidates
                if capacity.accepts(backend, now_ms)
            ],
        )
        self.assign_slots(pool)
        queue.next_check_ms = self.availability.next_check_ms(candidates)
        for waiter in self.availability.find_hopeless(queue, candidates):
            self._refuse_hopeless(queue, waiter)

    async def reserve_retry_ms(self, job: Job) -> int:
        """Return when a refused caller should retry, and reserve a permit.

        Explanation
        -----------
        A permit is reserved only where limits or back-off make all servers
        unavailable.  If no issuer replies, the time is an estimate.
        """
        candidates = self._backends.in_pool(job.pool)
        if self.availability.earliest_available_ms(candidates) is not None:
            wait_ms = await self.availability.reserve(candidates)
            if wait_ms is not None:
                return wait_ms
        return self.compute_retry_after_ms(job)

    def compute_retry_after_ms(self, job: Job) -> int:
        """Return after how many milliseconds a refused caller should retry.

        Explanation
        -----------
        Where all servers back off or have exhausted their limits, no caller
        retries before the first becomes available.  After that, retries are
        spread over the target latency, or spaced by the limits if there are
        any.
        """
        now_ms, draw = self._clock.now(), self._rng.random()
        candidates = self._backends.in_pool(job.pool)
        available_ms = self.availability.earliest_available_ms(candidates)
        if available_ms is None:
            return self._compute_retry_ms(job, now_ms, draw)
        own_rate = self.availability.total_rate(candidates) / max(
            1, self._count_gateways()
        )
        if own_rate:
            queue = self._queues.setdefault(job.pool, Queue())
            later_ms = (
                queue.retry_schedule.reserve(available_ms, own_rate) - now_ms
            )
        else:
            later_ms = available_ms - now_ms + round(draw * job.route.target_ms)
        return max(1, later_ms)

    def _release_unused(self, waiter: Waiter) -> None:
        """Release the slot of a waiter that was cancelled."""
        if not waiter.slot.done() or waiter.slot.cancelled():
            return
        if waiter.slot.exception() is None:
            self.release(waiter.slot.result())

    def _claim_slot(self, backend: Backend, job: Job) -> Backend:
        job.permit = self.availability.acquire_permit(backend, job)
        backend.record_dispatch()
        self._versions.record_placement(backend)
        return backend

    def _find_backend(
        self, job: Job, avoid: set[str], candidates: list[Backend] | None = None
    ) -> Backend | None:
        """Return the best server for a request, None if none has a slot.

        Parameters
        ----------
        candidates : list[Backend] or None
            The servers to choose from, None to draw from the pool.

        """
        if job.origin is not None:
            candidates = self._resume_targets.sample(
                job, self._rng, _MAX_CANDIDATES
            )
            avoid = select_avoided(avoid, candidates)
        elif candidates is None:
            candidates = self._draw_candidates(job.pool)
        capacity = self._capacity_limits(
            job.pool, self._queues[job.pool].headroom.reserved_fraction(job)
        )
        for group in self._versions.group(job, candidates):
            found = self._find_best_of(job, avoid, group, capacity)
            if found is not None:
                return found
        return None

    def _find_best_of(
        self,
        job: Job,
        avoid: set[str],
        candidates: Sequence[Backend],
        capacity: CapacityLimits,
    ) -> Backend | None:
        """Return the best of some servers, None if none has a slot."""
        now_ms = self._clock.now()
        speed = self._backends.pool_speed(job.pool)
        best: Score | None = None
        found = None
        for backend in candidates:
            if backend.server.id in avoid or not capacity.accepts(
                backend, now_ms
            ):
                continue
            if not self.availability.is_available(
                backend, for_retry=job.is_retry
            ):
                continue
            score = score_backend(backend, job, speed, self._zone, now_ms)
            if score and (best is None or score < best):
                best, found = score, backend
        return found

    def _draw_candidates(self, pool: str) -> list[Backend]:
        """Return the candidates of a pool, a random sample if it is large.

        Explanation
        -----------
        Servers that have announced that they drain are a last resort while
        they still serve.  Where all servers of a pool drain at once, requests
        need not wait for their replacements.
        """
        candidates = self._backends.in_pool(pool)
        if len(candidates) > _MAX_CANDIDATES:
            candidates = self._rng.sample(candidates, _MAX_CANDIDATES)
        if not any(backend.takes_work for backend in candidates):
            return candidates
        return [
            backend for backend in candidates if not backend.signals.is_draining
        ]

    def _list_open_backends(self, pool: str) -> list[Backend]:
        """Return the servers that have a slot for some request.

        Explanation
        -----------
        Saves each waiter a search of all servers where no slot is free.
        """
        now_ms = self._clock.now()
        capacity = self._capacity_limits(pool, 0)
        return [
            backend
            for backend in self._draw_candidates(pool)
            if capacity.accepts(backend, now_ms)
            and self.availability.is_available(backend, for_retry=True)
        ]

    def _capacity_limits(
        self, pool: str, reserved_fraction: float
    ) -> CapacityLimits:
        now_ms = self._clock.now()
        candidates = self._backends.in_pool(pool)
        candidates = [
            backend
            for backend in candidates
            if backend.may_send_without_permit(now_ms)
        ]
        gateways = max(1, self._count_gateways())
        slots = sum(backend.server.slots for backend in candidates)
        own = sum(backend.in_flight for backend in candidates)
        # Only for a gateway below its equal share of the slots.
        extra_slots = _EXTRA_SLOTS if own < slots // gateways else 0
        return CapacityLimits(
            gateways,
            self._backends.connection_limit(pool),
            reserved_fraction,
            extra_slots,
        )

    def _shed_overflow(self, queue: Queue) -> None:
        if len(queue.waiters) > _MAX_QUEUE_LENGTH:
            last = queue.waiters[-1]
            self._shed(queue, lambda waiter: waiter is last)

    def _shed(self, queue: Queue, is_shed: Callable[[Waiter], bool]) -> None:
        """Refuse all waiters that `is_shed` selects."""
        victims = [waiter for waiter in queue.waiters if is_shed(waiter)]
        for victim in victims:
            queue.waiters.remove(victim)
            if not victim.slot.done():
                refusal = Refusal(Cause.overload, step=_STEP)
                victim.slot.set_exception(refusal)

    def _wait_until_ms(self, job: Job) -> int:
        """Return until when a request may wait for a slot."""
        max_wait_ms = _MAX_WAIT_FRACTION * job.route.target_ms
        if job.is_resumed:
            max_wait_ms = compute_resume_wait_ms(job.route)
        return min(job.deadline_ms, self._clock.now() + round(max_wait_ms))

    async def _wait(self, waiter: Waiter) -> Backend:
        pool = waiter.job.pool
        while True:
            # A pause of a server may have ended, or a load report expired.
            self.process_queue(pool)
            if not waiter.slot.done():
                self.on_waiting(pool)
                self._resume_targets.check(waiter.job)
            left_ms = waiter.expires_ms - self._clock.now()
            if left_ms <= 0 and not waiter.slot.done():
                raise self._time_out(waiter.job)
            step_ms = max(1, min(left_ms, self._next_check_delay_ms(pool)))
            await asyncio.wait((waiter.slot,), timeout=step_ms / MS_PER_SECOND)
            if waiter.slot.done():
                return waiter.slot.result()

    def _next_check_delay_ms(self, pool: str) -> int:
        """Return after how long to look for free slots without an event."""
        next_ms = self._queues[pool].next_check_ms
        if next_ms is None:
            return _CHECK_INTERVAL_MS
        return min(_CHECK_INTERVAL_MS, next_ms - self._clock.now())

    def _refuse_hopeless(self, queue: Queue, waiter: Waiter) -> None:
        """Refuse a hopeless waiter and all of lower tiers."""
        if waiter.slot.done():
            return
        job = waiter.job
        self._shed(queue, lambda other: other.job.priority > job.priority)
        candidates = self._backends.in_pool(job.pool)
        is_limited = any(backend.signals.limit.is_set for backend in candidates)
        cause = (
            Cause.servers_limited if is_limited else Cause.servers_backing_off
        )
        waiter.slot.set_exception(Refusal(cause, step=_STEP))

    def _time_out(self, job: Job) -> Refusal:
        """Return the refusal of a timed-out request; shed lower tiers."""
        queue = self._queues[job.pool]
        self._shed(queue, lambda other: other.job.priority > job.priority)
        is_in_order = queue.lowest_tier <= job.priority
        self._promises.check(Rule.shed_order, is_in_order, step=_STEP)
        has_server = any(
            backend.takes_work for backend in self._backends.in_pool(job.pool)
        )
        cause = Cause.waited_too_long if has_server else Cause.no_server
        return Refusal(cause, step=_STEP)
