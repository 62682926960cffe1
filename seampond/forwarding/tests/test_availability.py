"""How requests wait for servers whose limits let few of them in."""

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
    pick,
)

_LATER_MS = 60_000
_SOON_S = 0.05


class _Giver:
    """Gives permits when a test says so."""

    def __init__(self) -> None:
        self.given = 0
        self.opens_at_ms = 0
        self.asked: list[str] = []
        self.reserving: list[str] = []
        self.returns_ms: dict[str, int] = {}

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Whether there is one."""
        return self.given > 0

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit:
        """Take one."""
        self.given -= 1
        return Permit(0, 1 << 60)

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Note who is asked, and wait for the answer."""
        self.asked.append(backend.server.id)
        backend.signals.limit.requested_ms = Clock().now()

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Give what the test says."""
        return self.opens_at_ms

    def probe_limit(self, backend: Backend) -> None:
        """Do not."""

    async def reserve(self, backend: Backend) -> int | None:
        """Give what the test says."""
        self.reserving.append(backend.server.id)
        return self.returns_ms.get(backend.server.id)


class OpeningsTest(unittest.IsolatedAsyncioTestCase):
    """One pool of servers, of which some name limits."""

    def setUp(self) -> None:
        """Know two servers with limits."""
        self.clock = Clock()
        self.backends = Backends(self.clock, NAMES.request_id)
        self.backends.replace_all(build_server(f'i-{one}') for one in (1, 2))
        self.scheduler = Scheduler(
            self.backends, ZONE, self.clock, lambda: 1, build_promises()
        )
        self.giver = _Giver()
        self.scheduler.availability.permits = self.giver
        for backend in self.backends:
            self.say(backend, ServerSignals(limit=2))

    def say(self, backend: Backend, words: ServerSignals) -> None:
        """Let a server say something of itself."""
        self.backends.apply_signals(backend, words, self.clock.now())

    def place(self, request_id: str, **changes: int) -> 'asyncio.Task[Backend]':
        """Let a request wait for a place."""
        job = build_job(request_id, **changes)
        return asyncio.create_task(self.scheduler.acquire(job, set()))

    def answer(self, given: int) -> None:
        """Let the owner answer all that were asked."""
        for backend in self.backends:
            backend.signals.limit.requested_ms = None
        self.giver.given = given
        self.scheduler.process_queue(POOL)

    async def check_refused(self, task: 'asyncio.Task[Backend]') -> Refusal:
        """Check that a request was turned away for the limits, and soon."""
        with self.assertRaises(Refusal) as caught:
            async with asyncio.timeout(_SOON_S):
                await task
        self.assertIs(caught.exception.cause, Cause.servers_limited)
        return caught.exception

    async def test_limited_servers_are_no_room(self) -> None:
        """For what a workspace asks beyond its rate."""
        self.assertFalse(self.scheduler.has_spare_capacity(POOL))
        # Later than the word of the limit.
        await asyncio.sleep(_SOON_S)
        self.say(pick(self.backends, 'i-1'), ServerSignals())
        self.assertTrue(self.scheduler.has_spare_capacity(POOL))

    async def test_each_that_waits_asks_once(self) -> None:
        """As long as no answer has come."""
        tasks = [self.place(f'r{one}') for one in range(3)]
        await asyncio.sleep(_SOON_S)
        self.assertEqual(sorted(self.giver.asked), ['i-1', 'i-2'])
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        self.answer(0)
        for task in tasks:
            await self.check_refused(task)

    async def test_most_urgent_gets_the_permit(self) -> None:
        """Whoever came first; the other hears when there is one."""
        route = build_route(priority=0)
        plain = self.place('r1')
        urgent = asyncio.create_task(
            self.scheduler.acquire(build_job('r2', route=route), set())
        )
        await asyncio.sleep(_SOON_S / 2)
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        self.answer(1)
        await urgent
        refusal = await self.check_refused(plain)
        self.assertGreaterEqual(refusal.retry_after_ms, _LATER_MS - 100)

    async def test_wait_that_cannot_end_is_no_wait(self) -> None:
        """It is known before that no permit comes in time."""
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        await self.check_refused(self.place('r1'))
        self.assertEqual(self.giver.asked, [])

    async def test_time_to_come_back_is_reserved(self) -> None:
        """Guards against times that other gateways tell too."""
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        self.giver.returns_ms = {'i-1': 700, 'i-2': 700}
        refusal = await self.check_refused(self.place('r1'))
        self.assertEqual(refusal.retry_after_ms, 700)
        self.assertEqual(len(self.giver.reserving), 1)

    async def test_owner_that_is_gone_is_passed_over(self) -> None:
        """Another server's owner reserves a time."""
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        self.giver.returns_ms = {'i-2': 700}
        for _ in range(10):
            refusal = await self.check_refused(self.place('r1'))
            self.assertEqual(refusal.retry_after_ms, 700)

    async def test_no_time_is_asked_for_where_none_is_left(self) -> None:
        """Guards against a message for each caller of a long overload."""
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        for backend in self.backends:
            backend.signals.limit.reservations_full_until_ms = (
                self.clock.now() + _LATER_MS
            )
        refusal = await self.check_refused(self.place('r1'))
        self.assertEqual(refusal.retry_after_ms, MAX_RETRY_AFTER_MS)
        self.assertEqual(self.giver.reserving, [])

    async def test_nothing_is_reserved_at_a_server_that_takes_nothing(
        self,
    ) -> None:
        """Guards against a limit that is over and found out late."""
        await asyncio.sleep(_SOON_S)
        for backend in self.backends:
            self.say(backend, ServerSignals(limit=0))
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        await self.check_refused(self.place('r1'))
        self.assertEqual(self.giver.reserving, [])

    async def test_a_server_without_a_limit_is_waited_for(self) -> None:
        """It is full, and may have a place in time."""
        self.backends.replace_all(build_server(f'i-{one}') for one in (1, 2, 3))
        full = pick(self.backends, 'i-3')
        full.in_flight = full.server.slots
        self.giver.opens_at_ms = self.clock.now() + _LATER_MS
        task = self.place('r1')
        await asyncio.sleep(_SOON_S)
        self.assertFalse(task.done())
        self.scheduler.release(full)
        self.assertEqual((await task).server.id, 'i-3')

    async def test_rest_goes_beside_a_limit(self) -> None:
        """Neither a permit nor the end of the rest is enough alone."""
        for backend in self.backends:
            self.say(backend, ServerSignals(limit=2, backoff_ms=_LATER_MS))
        self.giver.given = 5
        await self.check_refused(self.place('r1'))

    async def test_server_that_leaves_needs_a_permit_too(self) -> None:
        """Where all others have gone, for a part of the time to drain."""
        self.backends.grace_ms = _LATER_MS
        for backend in self.backends:
            self.say(backend, ServerSignals(limit=2, is_draining=True))
        job = build_job('r1')
        waiting = asyncio.create_task(self.scheduler.acquire(job, set()))
        await asyncio.sleep(_SOON_S / 2)
        self.assertFalse(waiting.done())
        self.answer(1)
        await waiting
        self.assertIsNotNone(job.permit)

    async def test_request_without_a_limit_has_no_permit(self) -> None:
        """Nor does it keep one of an earlier place."""
        job = build_job('r1')
        self.giver.given = 1
        await self.scheduler.acquire(job, set())
        self.assertIsNotNone(job.permit)
        self.backends.replace_all([build_server('i-9')])
        await self.scheduler.acquire(job, set())
        self.assertIsNone(job.permit)
