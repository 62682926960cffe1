"""Places for requests on servers, and the queue of those that wait."""

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
from seampond.forwarding.retry_times import spread_retry_ms
from seampond.forwarding.scoring import Score, score_backend
from seampond.forwarding.versions import ANY_VERSION, VersionPolicy
from seampond.promises import Promises, Rule

# A refusal within a quarter of the target leaves time for another try.
_PATIENCE = 0.21
# A caller bears a gap of two seconds in its stream.
_RESUME_PATIENCE_MS = 1500
_LOOK_AGAIN_MS = 100
_QUEUE_MAX = 500
_EXTRA_PLACES = 2
# Below this part of their slots the servers of a pool have room to spare.
_ROOM_PART = 0.75
# How many servers of a pool are looked at for one request.
_LOOKED_AT = 48
_STEP = 'place'

RetryAfterFunction = Callable[[Job, int, float], int]


class Scheduler:
    """Gives each request a place on a server, the most urgent first.

    Explanation
    -----------
    Who ranks higher goes first, then the more urgent kind of work, then
    streams that were broken off, then who was turned away before, then who is
    due first.  Nobody waits longer than a quarter of the target, but for
    those streams; with one that has to give up, all that rank below it are
    turned away, and so is the last of a queue that is full.

    Parameters
    ----------
    count_gateways : Callable[[], int]
        How many gateways share the servers.
    versions : VersionPolicy
        Which versions of the servers' software a request may go to.
    compute_retry_ms : RetryAfterFunction
        After how long who is turned away should come back, by the request,
        the time and a number drawn from 0 to 1.

    Attributes
    ----------
    availability : Availability
        Tells when servers that rest or name a limit take requests.

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
        """Start with nobody waiting."""
        self._backends = backends
        self._zone = zone
        self._clock = clock
        self._count_gateways = count_gateways
        self._promises = promises
        self._versions = versions
        self._compute_retry_ms = compute_retry_ms
        self._queues: dict[str, Queue] = {}
        self._rng = random.Random()
        self.availability = Availability(clock, self._rng)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(queue.waiters) for queue in self._queues.values())

    def has_spare_capacity(self, pool: str) -> bool:
        """Whether the servers of a pool have places that nobody waits for."""
        queue = self._queues.get(pool)
        if queue is not None and queue.waiters:
            return False
        now_ms = self._clock.now()
        known = [
            one
            for one in self._draw(pool)
            if one.may_send_without_permit(now_ms)
        ]
        slots = sum(backend.server.slots for backend in known)
        loads = (backend.load(now_ms) for backend in known)
        return sum(loads) < slots * _ROOM_PART

    async def acquire(self, job: Job, avoid: set[str]) -> Backend:
        """Wait for a place on a server.

        Parameters
        ----------
        avoid : set[str]
            Servers that this request was already sent to.

        Returns
        -------
        Backend
            With the request counted as running there.

        Raises
        ------
        Refusal
            If there is none in time; the request was not sent.

        """
        queue = self._queues.setdefault(job.pool, Queue())
        queue.headroom.record(job)
        if not queue.waiters:
            backend = self._find(job, avoid)
            if backend is not None:
                return self._occupy(backend, job)
        waiter = queue.add(job, avoid, self._give_patience(job))
        self._shed_last(queue)
        try:
            return await self._wait(waiter)
        except asyncio.CancelledError:
            if waiter.slot.done() and not waiter.slot.cancelled():
                if waiter.slot.exception() is None:
                    self.release(waiter.slot.result())
            raise
        except Refusal as refusal:
            queue.remove(waiter)
            refusal.retry_after_ms = await self.reserve_retry_ms(job)
            raise
        finally:
            queue.remove(waiter)

    def release(self, backend: Backend) -> None:
        """Give a place back and hand it on."""
        backend.record_release()
        self.assign_slots(backend.server.pool)

    def assign_slots(self, pool: str) -> None:
        """Give free places of a pool to those that wait."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        if not queue.waiters:
            return
        known = self._list_open(pool)
        for waiter in list(queue.waiters):
            if not known:
                return
            if waiter.slot.done():
                continue
            backend = self._find(waiter.job, waiter.avoid, known)
            if backend is not None:
                queue.waiters.remove(waiter)
                waiter.slot.set_result(self._occupy(backend, waiter.job))

    def process_queues(self) -> None:
        """Look at every queue again, after the servers have changed."""
        for pool in self._queues:
            self.process_queue(pool)

    def process_queue(self, pool: str) -> None:
        """Ask for permits, give free places, end waits that are in vain."""
        queue = self._queues.get(pool)
        if queue is None or not queue.waiters:
            return
        now_ms = self._clock.now()
        known = self._draw(pool)
        queue.next_check_ms = None
        if not any(backend.is_restricted(now_ms) for backend in known):
            self.assign_slots(pool)
            return
        capacity = self._measure_capacity(pool, 0)
        self.availability.request_permits(
            queue, [one for one in known if capacity.accepts(one, now_ms)]
        )
        self.assign_slots(pool)
        queue.next_check_ms = self.availability.next_check_ms(known)
        for waiter in self.availability.find_hopeless(queue, known):
            self._end_wait(queue, waiter)

    async def reserve_retry_ms(self, job: Job) -> int:
        """Give when a request should come back, and have a permit kept for it.

        Explanation
        -----------
        Only where all servers have given what their limits allow.  Where who
        keeps their buckets does not answer, the time is no more than likely.
        """
        known = self._backends.in_pool(job.pool)
        if self.availability.earliest_available_ms(known) is not None:
            wait_ms = await self.availability.reserve(known)
            if wait_ms is not None:
                return wait_ms
        return self.compute_retry_after_ms(job)

    def compute_retry_after_ms(self, job: Job) -> int:
        """Give when a request that is turned away should come back.

        Explanation
        -----------
        Where all servers rest or have given what their limits allow, not
        before the first of them opens: who came sooner would be turned away
        once more.  From a rest they come back spread over the target, as they
        do elsewhere; with limits no faster than these allow.
        """
        now_ms, draw = self._clock.now(), self._rng.random()
        known = self._backends.in_pool(job.pool)
        available_ms = self.availability.earliest_available_ms(known)
        if available_ms is None:
            return self._compute_retry_ms(job, now_ms, draw)
        rate = self.availability.total_rate(known) / max(
            1, self._count_gateways()
        )
        if rate:
            queue = self._queues.setdefault(job.pool, Queue())
            later_ms = queue.retry_schedule.reserve(available_ms, rate) - now_ms
        else:
            later_ms = available_ms - now_ms + round(draw * job.route.target_ms)
        return max(1, later_ms)

    def _occupy(self, backend: Backend, job: Job) -> Backend:
        job.permit = self.availability.acquire_permit(backend, job)
        backend.record_dispatch()
        self._versions.record_placement(backend)
        return backend

    def _find(
        self, job: Job, avoid: set[str], known: list[Backend] | None = None
    ) -> Backend | None:
        """Give the server that suits a request best, None for no place.

        Parameters
        ----------
        known : list[Backend] or None
            The servers to choose from, None for the pool's.

        """
        if known is None:
            known = self._draw(job.pool)
        capacity = self._measure_capacity(job.pool, self._free_part(job))
        for group in self._versions.group(job, known):
            found = self._find_best(job, avoid, group, capacity)
            if found is not None:
                return found
        return None

    def _find_best(
        self,
        job: Job,
        avoid: set[str],
        known: Sequence[Backend],
        capacity: CapacityLimits,
    ) -> Backend | None:
        """Give the best of some servers, None if none has a place."""
        now_ms = self._clock.now()
        speed = self._backends.pool_speed(job.pool)
        best: Score | None = None
        found = None
        for backend in known:
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

    def _draw(self, pool: str) -> list[Backend]:
        """Give the servers of a pool to look at, some of them if many.

        Explanation
        -----------
        One that has said that it leaves is a last resort, for a part of the
        time to drain, and for what should end in that time: where all servers
        of a pool said so at one moment and others came 3 s later, 0.85 of the
        requests of 7 s were answered, 0.69 if they got nothing at once.

        A look at all of 372 servers took 58 ms for each request, at 48 of them
        12 ms, both under the profiler (`bin/profile`).
        """
        known = self._backends.in_pool(pool)
        if len(known) > _LOOKED_AT:
            known = self._rng.sample(known, _LOOKED_AT)
        if not any(backend.takes_work for backend in known):
            return known
        return [backend for backend in known if not backend.signals.is_draining]

    def _list_open(self, pool: str) -> list[Backend]:
        """Give the servers that have a place for some request.

        Explanation
        -----------
        With many that wait and no place free, each of them would look at each
        server anew at every end of a request.
        """
        now_ms = self._clock.now()
        capacity = self._measure_capacity(pool, 0)
        return [
            backend
            for backend in self._draw(pool)
            if capacity.accepts(backend, now_ms)
            and self.availability.is_available(backend, for_retry=True)
        ]

    def _free_part(self, job: Job) -> float:
        return self._queues[job.pool].headroom.reserved_fraction(job)

    def _measure_capacity(
        self, pool: str, reserved_fraction: float
    ) -> CapacityLimits:
        now_ms = self._clock.now()
        known = self._backends.in_pool(pool)
        known = [one for one in known if one.may_send_without_permit(now_ms)]
        gateways = max(1, self._count_gateways())
        places = sum(backend.server.slots for backend in known)
        own = sum(backend.in_flight for backend in known)
        # Whether we have less than an equal part of the pool's places.
        extra = _EXTRA_PLACES if own < places // gateways else 0
        return CapacityLimits(
            gateways,
            self._backends.connection_limit(pool),
            reserved_fraction,
            extra,
        )

    def _shed_last(self, queue: Queue) -> None:
        if len(queue.waiters) > _QUEUE_MAX:
            last = queue.waiters[-1]
            self._shed(queue, lambda known: known is last)

    def _shed(self, queue: Queue, is_shed: Callable[[Waiter], bool]) -> None:
        """Turn away all waiters that `is_shed` names."""
        victims = [known for known in queue.waiters if is_shed(known)]
        for victim in victims:
            queue.waiters.remove(victim)
            if not victim.slot.done():
                refusal = Refusal(Cause.overload, step=_STEP)
                victim.slot.set_exception(refusal)

    def _give_patience(self, job: Job) -> int:
        """Give until when a request waits for a place."""
        max_wait_ms = _PATIENCE * job.route.target_ms
        if job.has_streamed:
            max_wait_ms = _RESUME_PATIENCE_MS
        return min(job.deadline_ms, self._clock.now() + round(max_wait_ms))

    async def _wait(self, waiter: Waiter) -> Backend:
        pool = waiter.job.pool
        while True:
            # A pause of a server may have ended, or a report grown old.
            self.process_queue(pool)
            left_ms = waiter.expires_ms - self._clock.now()
            if left_ms <= 0 and not waiter.slot.done():
                raise self._give_up(waiter.job)
            step_ms = max(1, min(left_ms, self._next_look_ms(pool)))
            await asyncio.wait((waiter.slot,), timeout=step_ms / MS_PER_SECOND)
            if waiter.slot.done():
                return waiter.slot.result()

    def _next_look_ms(self, pool: str) -> int:
        """Give after how long a place may be free that nobody tells of."""
        next_ms = self._queues[pool].next_check_ms
        if next_ms is None:
            return _LOOK_AGAIN_MS
        return min(_LOOK_AGAIN_MS, next_ms - self._clock.now())

    def _end_wait(self, queue: Queue, waiter: Waiter) -> None:
        """Turn away at once who waits in vain, and who ranks below it."""
        if waiter.slot.done():
            return
        job = waiter.job
        self._shed(queue, lambda known: known.job.priority > job.priority)
        known = self._backends.in_pool(job.pool)
        is_limited = any(one.signals.limit.is_set for one in known)
        cause = (
            Cause.servers_limited if is_limited else Cause.servers_backing_off
        )
        waiter.slot.set_exception(Refusal(cause, step=_STEP))

    def _give_up(self, job: Job) -> Refusal:
        """End the wait of a request; who ranks below it waits no longer."""
        queue = self._queues[job.pool]
        self._shed(queue, lambda known: known.job.priority > job.priority)
        is_in_order = queue.lowest_tier <= job.priority
        self._promises.check(Rule.shed_order, is_in_order, step=_STEP)
        has_server = any(
            backend.takes_work for backend in self._backends.in_pool(job.pool)
        )
        cause = Cause.waited_too_long if has_server else Cause.no_server
        return Refusal(cause, step=_STEP)
