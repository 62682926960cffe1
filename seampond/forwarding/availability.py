"""Servers that rest or name a limit, and those that wait for them to open."""

import random
from collections.abc import Iterable, Sequence

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.permits import NO_PERMIT_SOURCE, PermitSource
from seampond.forwarding.queues import Queue, Waiter
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS
from seampond.forwarding.server_limit import Permit

# What a request leaves to more urgent ones of its time to wait, for each part
# of a server's places that it leaves free: in the order of asking, those that
# wait less get nothing while others wait longer.
_LEAVES = 2.0
# Who keeps the bucket of a server may be gone, or the answer lost.
_RESERVE_TRIES = 2


class Availability:
    """When the servers of a pool open that are closed to us.

    Attributes
    ----------
    permits : PermitSource
        Gives leave to send to servers that name a limit.

    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without anybody who gives permits."""
        self.permits: PermitSource = NO_PERMIT_SOURCE
        self._clock = clock
        self._rng = rng

    def is_available(self, backend: Backend, *, for_retry: bool) -> bool:
        """Whether a server takes a request that has a place there now."""
        if not backend.signals.limit.is_set:
            return True
        if self.permits.may_send(backend, for_retry=for_retry):
            return True
        self.permits.probe_limit(backend)
        return False

    def acquire_permit(self, backend: Backend, job: Job) -> Permit | None:
        """Take up a permit, where a server names a limit."""
        if backend.signals.limit.is_set:
            return self.permits.acquire(backend, for_retry=job.is_retry)
        return None

    def available_ms(self, backend: Backend, *, for_retry: bool = False) -> int:
        """Give when a server opens that rests or names a limit."""
        available_ms = backend.signals.backoff_until_ms
        if backend.signals.limit.is_set:
            permit_ms = self.permits.available_ms(backend, for_retry=for_retry)
            available_ms = max(available_ms, permit_ms)
        return available_ms

    def earliest_available_ms(self, known: Iterable[Backend]) -> int | None:
        """Give when the first of some servers opens.

        Returns
        -------
        int or None
            None if one is not closed, or if there is none.

        """
        now_ms = self._clock.now()
        closed = []
        for backend in known:
            if backend.is_draining or not backend.may_serve(now_ms):
                continue
            if backend.may_send_without_permit(now_ms):
                return None
            closed.append(backend)
        if not closed:
            return None
        return max(now_ms, min(map(self.available_ms, closed)))

    def total_rate(self, known: Iterable[Backend]) -> float:
        """Give what servers take together by their limits, 0 without any."""
        return sum(backend.signals.limit.rate or 0 for backend in known)

    async def reserve(self, known: Iterable[Backend]) -> int | None:
        """Have a permit kept for a caller that is turned away.

        Parameters
        ----------
        known : Iterable[Backend]
            Servers of which none is open.

        Returns
        -------
        int or None
            After how many milliseconds the caller should come back; None
            where no server names a limit or nobody answers in time.

        """
        now_ms = self._clock.now()
        # What goes to a server that takes nothing only finds out if it does.
        limited = [
            one
            for one in known
            if one.signals.limit.rate
            and one.may_serve(now_ms)
            and not one.is_draining
        ]
        free = [
            one
            for one in limited
            if one.signals.limit.reservations_full_until_ms <= now_ms
        ]
        if limited and not free:
            return MAX_RETRY_AFTER_MS
        self._rng.shuffle(free)
        for backend in free[:_RESERVE_TRIES]:
            wait_ms = await self.permits.reserve(backend)
            if wait_ms is not None:
                return wait_ms
        return None

    def request_permits(self, queue: Queue, known: Sequence[Backend]) -> None:
        """Ask for permits for those that wait and have none coming.

        Parameters
        ----------
        known : Sequence[Backend]
            The servers that have a place.

        """
        now_ms = self._clock.now()
        limited = [one for one in known if one.signals.limit.is_set]
        if not limited:
            return
        for waiter in _without(queue.waiters, _count_coming(limited, now_ms)):
            max_wait_ms = self._bear_ms(queue, waiter, now_ms)
            best = self._choose(limited, waiter, now_ms + max_wait_ms)
            if best is not None:
                self.permits.request(
                    best, max_wait_ms, for_retry=waiter.job.is_retry
                )

    def find_hopeless(
        self, queue: Queue, known: Sequence[Backend]
    ) -> list[Waiter]:
        """Give those that wait for what cannot come in time."""
        now_ms = self._clock.now()
        serving = [
            one
            for one in known
            if one.may_serve(now_ms) and not one.is_draining
        ]
        if not serving or any(
            one.may_send_without_permit(now_ms) for one in serving
        ):
            return []
        first_ms = {
            for_retry: min(
                self.available_ms(one, for_retry=for_retry) for one in serving
            )
            for for_retry in (False, True)
        }
        coming = _count_coming(serving, now_ms)
        return [
            waiter
            for waiter in _without(queue.waiters, coming)
            if first_ms[waiter.job.is_retry]
            > now_ms + self._bear_ms(queue, waiter, now_ms)
        ]

    def next_check_ms(self, known: Iterable[Backend]) -> int | None:
        """Give when to look again for a permit, None where none may come."""
        now_ms = self._clock.now()
        times = (one.signals.limit.next_event_ms(now_ms) for one in known)
        return min((one for one in times if one is not None), default=None)

    def _choose(
        self, limited: Iterable[Backend], waiter: Waiter, latest_ms: int
    ) -> Backend | None:
        """Give the server that opens first of those that do in time."""
        best: tuple[int, float, Backend] | None = None
        for backend in limited:
            limit = backend.signals.limit
            if limit.requested_ms is not None:
                continue
            if backend.server.id in waiter.avoid:
                continue
            available_ms = self.permits.available_ms(
                backend, for_retry=waiter.job.is_retry
            )
            drawn = (available_ms, self._rng.random(), backend)
            if available_ms <= latest_ms and (best is None or drawn < best):
                best = drawn
        return best[2] if best else None

    def _bear_ms(self, queue: Queue, waiter: Waiter, now_ms: int) -> int:
        """Give how long a request waits for a permit at the most."""
        part = 1 - _LEAVES * queue.headroom.reserved_fraction(waiter.job)
        return round(max(0, waiter.expires_ms - now_ms) * part)


def _count_coming(limited: Iterable[Backend], now_ms: int) -> int:
    return sum(one.signals.limit.count_expected(now_ms) for one in limited)


def _without(waiters: Sequence[Waiter], first: int) -> list[Waiter]:
    """Give those that wait, but for the first of them."""
    waiting = [waiter for waiter in waiters if not waiter.slot.done()]
    return waiting[first:]
