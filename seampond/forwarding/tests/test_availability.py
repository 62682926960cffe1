"""How requests wait for servers with limits."""

import asyncio
import unittest

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server_limit import Permit
from seampond.forwarding.server_signals import ServerSignals
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    NAMES,
    POOL,
    ZONE,
    build_job,
    build_route,
    build_server,
    get_backend,
)

_LATER_MS = 60_000
_SOON_S = 0.05


class _FakePermits:
    """Issue permits when a test says so."""

    def __init__(self) -> None:
        self.permit_count = 0
        self.permit_ms = 0
        self.requested: list[str] = []
        self.reservations: list[str] = []
        self.retry_ms: dict[str, int] = {}

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Return True if there is a permit."""
        return self.permit_count > 0

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit:
        """Return a permit."""
        self.permit_count -= 1
        return Permit(0, 1 << 60)

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Record the request as pending."""
        self.requested.append(backend.server.id)
        backend.signals.limit.requested_ms = Clock().now()

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Return what the test has set."""
        return self.permit_ms

    def probe_limit(self, backend: Backend) -> None:
        """Do nothing."""

    async def reserve(self, backend: Backend) -> int | None:
        """Return what the test has set."""
        self.reservations.append(backend.server.id)
        return self.retry_ms.get(backend.server.id)


class AvailabilityTest(unittest.IsolatedAsyncioTestCase):
    """One pool of servers, of which some have limits."""

    def setUp(self) -> None:
        """Start with two servers with limits."""
        self.clock = Clock()
        self.backends = Backends(self.clock, NAMES.request_id)
        self.backends.replace_all(build_server(f'i-{one}') for one in (1, 2))
        self.scheduler = Scheduler(
            self.backends, ZONE, self.clock, lambda: 1, build_promises()
        )
        self.permits = _FakePermits()
        self.scheduler.availability.permits = self.permits
        for backend in self.backends:
            self.signal(backend, ServerSignals(limit=2))

    def signal(self, backend: Backend, signals: ServerSignals) -> None:
        """Apply the signals of a response."""
        self.backends.apply_signals(backend, signals, self.clock.now())

    def schedule(
        self, request_id: str, **changes: int
    ) -> 'asyncio.Task[Backend]':
        """Schedule a request."""
        job = build_job(request_id, **changes)
        return asyncio.create_task(self.scheduler.acquire(job, set()))

    def answer(self, permit_count: int) -> None:
        """Answer all pending requests for permits."""
        for backend in self.backends:
            backend.signals.limit.requested_ms = None
        self.permits.permit_count = permit_count
        self.scheduler.process_queue(POOL)

    async def check_refused(self, task: 'asyncio.Task[Backend]') -> Refusal:
        """Check that a request is soon refused because of limits."""
        with self.assertRaises(Refusal) as caught:
            async with asyncio.timeout(_SOON_S):
                await task
        self.assertIs(caught.exception.cause, Cause.servers_limited)
        return caught.exception

    async def test_limited_servers_are_no_spare_capacity(self) -> None:
        """For what a workspace requests beyond its rate."""
        self.assertFalse(self.scheduler.has_spare_capacity(POOL))
        # Later than the report of the limit.
        await asyncio.sleep(_SOON_S)
        self.signal(get_backend(self.backends, 'i-1'), ServerSignals())
        self.assertTrue(self.scheduler.has_spare_capacity(POOL))

    async def test_each_waiter_requests_one_permit(self) -> None:
        """Guards against another request while the first is pending."""
        tasks = [self.schedule(f'r{one}') for one in range(3)]
        await asyncio.sleep(_SOON_S)
        self.assertEqual(sorted(self.permits.requested), ['i-1', 'i-2'])
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        self.answer(0)
        for task in tasks:
            await self.check_refused(task)

    async def test_most_urgent_gets_the_permit(self) -> None:
        """In any order of arrival; the other is refused with a retry time."""
        route = build_route(priority=0)
        plain = self.schedule('r1')
        urgent = asyncio.create_task(
            self.scheduler.acquire(build_job('r2', route=route), set())
        )
        await asyncio.sleep(_SOON_S / 2)
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        self.answer(1)
        await urgent
        refusal = await self.check_refused(plain)
        self.assertGreaterEqual(refusal.retry_after_ms, _LATER_MS - 100)

    async def test_hopeless_request_is_refused_at_once(self) -> None:
        """Guards against waiting for a permit that cannot come in time."""
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        await self.check_refused(self.schedule('r1'))
        self.assertEqual(self.permits.requested, [])

    async def test_retry_time_is_reserved(self) -> None:
        """Guards against times that other gateways assign too."""
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        self.permits.retry_ms = {'i-1': 700, 'i-2': 700}
        refusal = await self.check_refused(self.schedule('r1'))
        self.assertEqual(refusal.retry_after_ms, 700)
        self.assertEqual(len(self.permits.reservations), 1)

    async def test_lost_issuer_is_skipped(self) -> None:
        """Another server's issuer reserves a permit."""
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        self.permits.retry_ms = {'i-2': 700}
        for _ in range(10):
            refusal = await self.check_refused(self.schedule('r1'))
            self.assertEqual(refusal.retry_after_ms, 700)

    async def test_no_reservation_while_all_are_full(self) -> None:
        """Guards against a message for each caller of a long overload."""
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        for backend in self.backends:
            backend.signals.limit.reservations_full_until_ms = (
                self.clock.now() + _LATER_MS
            )
        refusal = await self.check_refused(self.schedule('r1'))
        self.assertEqual(refusal.retry_after_ms, MAX_RETRY_AFTER_MS)
        self.assertEqual(self.permits.reservations, [])

    async def test_nothing_is_reserved_under_a_limit_of_zero(
        self,
    ) -> None:
        """Guards against delaying the probes that find a lifted limit."""
        await asyncio.sleep(_SOON_S)
        for backend in self.backends:
            self.signal(backend, ServerSignals(limit=0))
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        await self.check_refused(self.schedule('r1'))
        self.assertEqual(self.permits.reservations, [])

    async def test_server_without_a_limit_is_waited_for(self) -> None:
        """It is full, and may have a free slot in time."""
        self.backends.replace_all(build_server(f'i-{one}') for one in (1, 2, 3))
        full = get_backend(self.backends, 'i-3')
        full.in_flight = full.server.slots
        self.permits.permit_ms = self.clock.now() + _LATER_MS
        task = self.schedule('r1')
        await asyncio.sleep(_SOON_S)
        self.assertFalse(task.done())
        self.scheduler.release(full)
        self.assertEqual((await task).server.id, 'i-3')

    async def test_back_off_applies_beside_a_limit(self) -> None:
        """Neither a permit nor the end of the back-off is enough alone."""
        for backend in self.backends:
            self.signal(backend, ServerSignals(limit=2, backoff_ms=_LATER_MS))
        self.permits.permit_count = 5
        await self.check_refused(self.schedule('r1'))

    async def test_draining_server_needs_a_permit_too(self) -> None:
        """It is used while it drains if no other server is left."""
        self.backends.grace_ms = _LATER_MS
        for backend in self.backends:
            self.signal(backend, ServerSignals(limit=2, is_draining=True))
        job = build_job('r1')
        waiting = asyncio.create_task(self.scheduler.acquire(job, set()))
        await asyncio.sleep(_SOON_S / 2)
        self.assertFalse(waiting.done())
        self.answer(1)
        await waiting
        self.assertIsNotNone(job.permit)

    async def test_server_without_a_limit_clears_the_permit(self) -> None:
        """Guards against a permit kept from an earlier server."""
        job = build_job('r1')
        self.permits.permit_count = 1
        await self.scheduler.acquire(job, set())
        self.assertIsNotNone(job.permit)
        self.backends.replace_all([build_server('i-9')])
        await self.scheduler.acquire(job, set())
        self.assertIsNone(job.permit)
