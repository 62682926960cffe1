"""Slots on servers, and which requests wait, go first or are refused."""

import asyncio
import unittest
from typing import Any

from seampond.clock import Clock, ManualClock
from seampond.forwarding.backend import Backend, RemoteLoad
from seampond.forwarding.backends import Backends
from seampond.forwarding.job import Prompt
from seampond.forwarding.models import RequestKind
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server_signals import ServerSignals
from seampond.forwarding.stream_origins import StreamOrigin
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    NAMES,
    POOL,
    ZONE,
    build_backends,
    build_job,
    build_route,
    build_server,
    get_backend,
    wait_until,
)

_STREAM = build_route(kind=RequestKind.stream, target_ms=1000)
_SLOW = build_route(target_ms=20_000)
_GRACE_MS = 1400


def build_scheduler(
    *slots: int, gateways: int = 1, **changes: Any
) -> tuple[Scheduler, list[Backend]]:
    """Return a scheduler and its servers with these numbers of slots."""
    names = [f'i-{number}' for number, _ in enumerate(slots)]
    backends = build_backends(
        build_server(name, slots=size, **changes)
        for name, size in zip(names, slots, strict=True)
    )
    scheduler = Scheduler(
        backends, ZONE, Clock(), lambda: gateways, build_promises()
    )
    return scheduler, [get_backend(backends, name) for name in names]


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """One queue for some servers."""

    async def test_requests_are_bounded_by_slots(self) -> None:
        """Guards against overfilled servers and against waits without end."""
        scheduler, _ = build_scheduler(2)
        for _ in range(2):
            await scheduler.acquire(build_job(), set())
        with self.assertRaises(Refusal) as caught:
            await scheduler.acquire(
                build_job(route=build_route(target_ms=100)), set()
            )
        self.assertEqual(caught.exception.cause, Cause.waited_too_long)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertEqual(scheduler.waiting, 0)

    async def test_free_slot_goes_to_highest_tier(self) -> None:
        """Guards against a queue in order of arrival."""
        scheduler, (backend,) = build_scheduler(1)
        await scheduler.acquire(build_job(route=_SLOW), set())
        served: list[int] = []

        async def wait(priority: int) -> None:
            job = build_job(route=_SLOW, priority=priority)
            await scheduler.acquire(job, set())
            served.append(priority)

        tasks = [asyncio.create_task(wait(rank)) for rank in (2, 1, 0)]
        await asyncio.sleep(0)
        for _ in tasks:
            scheduler.release(backend)
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        self.assertEqual(served, [0, 1, 2])

    async def test_retry_goes_before_first_try(self) -> None:
        """Guards against refusing a caller twice."""
        scheduler, (backend,) = build_scheduler(1)
        await scheduler.acquire(build_job(route=_SLOW), set())
        tasks = [
            asyncio.create_task(
                scheduler.acquire(
                    build_job(name, route=_SLOW, is_retry=is_retry), set()
                )
            )
            for name, is_retry in (('first', False), ('again', True))
        ]
        await wait_until(lambda: scheduler.waiting == len(tasks))
        scheduler.release(backend)
        self.assertIs(await tasks[1], backend)
        self.assertFalse(tasks[0].done())
        scheduler.release(backend)
        self.assertIs(await tasks[0], backend)

    async def test_interrupted_stream_goes_first_and_waits_longer(self) -> None:
        """Guards against losing the rest of a stream that has started."""
        clock = ManualClock(10_000)
        backends = build_backends([build_server('i-0', slots=1)], clock)
        scheduler = Scheduler(
            backends, ZONE, clock, lambda: 1, build_promises()
        )
        backend = await scheduler.acquire(build_job(route=_STREAM), set())
        tasks = [
            asyncio.create_task(
                scheduler.acquire(
                    build_job(
                        name,
                        route=_STREAM,
                        has_streamed=origin is not None,
                        origin=origin,
                    ),
                    set(),
                )
            )
            for name, origin in (
                ('fresh', None),
                ('begun', StreamOrigin(POOL, '')),
            )
        ]
        await wait_until(lambda: scheduler.waiting == len(tasks))
        clock.advance(1000)
        await wait_until(tasks[0].done)
        self.assertIsInstance(tasks[0].exception(), Refusal)
        scheduler.release(backend)
        self.assertIs(await tasks[1], backend)

    async def test_timeout_sheds_lower_tiers(self) -> None:
        """Guards against refusing a higher tier while a lower one waits."""
        scheduler, _ = build_scheduler(1)
        await scheduler.acquire(build_job(route=_SLOW), set())
        low = asyncio.create_task(
            scheduler.acquire(build_job(route=_SLOW, priority=2), set())
        )
        await asyncio.sleep(0)
        with self.assertRaises(Refusal):
            hasty = build_route(target_ms=100)
            await scheduler.acquire(build_job(route=hasty, priority=1), set())
        with self.assertRaises(Refusal) as caught:
            await low
        self.assertEqual(caught.exception.cause, Cause.overload)

    async def test_cancelled_wait_leaks_no_slot(self) -> None:
        """Guards against a slot lost when a caller goes as it is assigned."""
        scheduler, (backend,) = build_scheduler(1)
        await scheduler.acquire(build_job(route=_SLOW), set())
        waiting = asyncio.create_task(
            scheduler.acquire(build_job(route=_SLOW), set())
        )
        await asyncio.sleep(0)
        scheduler.release(backend)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(backend.in_flight, 0)
        self.assertEqual(scheduler.waiting, 0)

    async def test_draining_server_gets_nothing(self) -> None:
        """Guards against requests to a server whose row says it drains."""
        scheduler, _ = build_scheduler(4, is_draining=True)
        with self.assertRaises(Refusal) as caught:
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )
        self.assertEqual(caught.exception.cause, Cause.no_server)

    async def test_remote_load_counts(self) -> None:
        """A server full of other gateways' requests has only the own share."""
        scheduler, (full, free) = build_scheduler(4, 4, gateways=2)
        full.remote_load = RemoteLoad(4, 0, Clock().now())
        placed = [await scheduler.acquire(build_job(), set()) for _ in range(4)]
        self.assertEqual(placed.count(free), 4)
        # Both are full now, but half of each server is the own share.
        self.assertIs(await scheduler.acquire(build_job(), set()), full)

    async def test_many_gateways_do_not_overfill_a_server(self) -> None:
        """Guards against an extra slot for each gateway without a bound."""
        scheduler, backends = build_scheduler(4, 4, gateways=8)
        now_ms = Clock().now()
        for backend in backends:
            backend.remote_load = RemoteLoad(6, 0, now_ms)
        with self.assertRaises(Refusal):
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )

    async def test_gateway_below_its_share_gets_an_extra_slot(self) -> None:
        """Guards against starving a gateway that has no requests anywhere."""
        scheduler, backends = build_scheduler(4, 4, gateways=8)
        now_ms = Clock().now()
        for backend in backends:
            backend.remote_load = RemoteLoad(4, 0, now_ms)
        await scheduler.acquire(build_job(), set())
        with self.assertRaises(Refusal):
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )

    async def test_spare_capacity_ends_before_the_slots_do(self) -> None:
        """With one slot of four free there is no spare capacity."""
        scheduler, _ = build_scheduler(4)
        self.assertTrue(scheduler.has_spare_capacity(POOL))
        for _ in range(3):
            await scheduler.acquire(build_job(), set())
        self.assertFalse(scheduler.has_spare_capacity(POOL))

    async def test_less_urgent_requests_leave_slots_free(self) -> None:
        """A server's last slots are for urgent requests of any gateway."""
        scheduler, _ = build_scheduler(10)
        urgent = build_route(priority=0)
        other = build_route(priority=2, target_ms=50)
        await scheduler.acquire(build_job(route=urgent), set())
        placed = 0
        with self.assertRaises(Refusal):
            for placed in range(20):
                await scheduler.acquire(
                    build_job(route=other, priority=0), set()
                )
        self.assertEqual(placed, 8)
        await scheduler.acquire(build_job(route=urgent), set())

    async def test_pending_prompt_tokens_slow_a_server(self) -> None:
        """Guards against queueing behind a long prompt."""
        scheduler, backends = build_scheduler(8, 8)
        job = build_job(route=_STREAM, prompt=Prompt(20_000, 10))
        first = await scheduler.acquire(job, set())
        first.unanswered[b'r1'] = (Clock().now(), 20_000)
        others = [
            await scheduler.acquire(
                build_job(route=_STREAM, prompt=Prompt(500, 10)), set()
            )
            for _ in range(3)
        ]
        self.assertNotIn(first, others)

    async def test_own_zone_is_preferred_up_to_a_point(self) -> None:
        """Traffic between zones costs, but a full server is not preferred."""
        servers = [
            build_server('near', slots=8),
            build_server('far', slots=8, zone='b'),
        ]
        backends = build_backends(servers)
        scheduler = Scheduler(
            backends, ZONE, Clock(), lambda: 1, build_promises()
        )
        placed = [
            await scheduler.acquire(build_job(route=_STREAM), set())
            for _ in range(12)
        ]
        names = [backend.server.id for backend in placed]
        self.assertEqual(set(names[:4]), {'near'})
        self.assertIn('far', names[:10])

    async def test_cached_prompt_attracts_its_session(self) -> None:
        """A prompt goes where most of it is cached."""
        scheduler, (_, caching) = build_scheduler(8, 8)
        caching.cached_parts = {'a': 3000, 'b': 5000}
        caching.in_flight = 3
        prompt = Prompt(8000, 10, (('a', 3000), ('b', 5000)))
        job = build_job(route=_STREAM, prompt=prompt)
        self.assertIs(await scheduler.acquire(job, set()), caching)

    async def test_late_answer_goes_to_a_fast_server(
        self,
    ) -> None:
        """A long answer goes where it can be complete by its deadline."""
        scheduler, (slow, fast) = build_scheduler(8, 8)
        slow.speed.gap_ms = 60
        fast.speed.gap_ms = 10
        fast.in_flight = 5
        route = build_route(kind=RequestKind.stream, timeout_ms=5000)
        prompt = Prompt(100, 800)
        for _ in range(2):
            placed = await scheduler.acquire(
                build_job(route=route, prompt=prompt), set()
            )
            self.assertIs(placed, fast)

    async def test_long_answer_goes_where_generation_is_fast(self) -> None:
        """Even if the first event comes a little later there."""
        scheduler, (slow, fast) = build_scheduler(8, 8)
        slow.speed.gap_ms = 20
        fast.speed.gap_ms = 10
        for backend in (slow, fast):
            backend.unanswered[b'r0'] = (Clock().now(), 0)
        fast.unanswered[b'r1'] = (Clock().now(), 2000)
        fast.in_flight = 2
        slow.in_flight = 2
        job = build_job(route=_STREAM, prompt=Prompt(100, 600))
        self.assertIs(await scheduler.acquire(job, set()), fast)
        short = build_job(route=_STREAM, prompt=Prompt(100, 4))
        self.assertIs(await scheduler.acquire(short, set()), slow)

    async def test_silent_server_is_avoided(self) -> None:
        """Guards against sending to a server that keeps a request waiting."""
        scheduler, (silent, other) = build_scheduler(8, 8)
        silent.unanswered[b'r0'] = (Clock().now() - 2000, 0)
        other.in_flight = 6
        placed = [
            await scheduler.acquire(build_job(route=_STREAM), set())
            for _ in range(2)
        ]
        self.assertEqual(placed, [other, other])

    async def test_long_prompt_avoids_a_pausing_server(self) -> None:
        """Guards against long prompts that make other streams late."""
        scheduler, (pausing, other) = build_scheduler(8, 8)
        pausing.speed.record_pause(900)
        pausing.in_flight = 3
        other.in_flight = 5
        route = build_route(kind=RequestKind.stream, pause_ms=400)
        long = build_job(route=route, prompt=Prompt(6000, 10))
        self.assertIs(await scheduler.acquire(long, set()), other)
        short = build_job(route=route, prompt=Prompt(100, 10))
        self.assertIs(await scheduler.acquire(short, set()), pausing)

    async def test_slow_estimates_rule_out_no_idle_server(self) -> None:
        """Guards against estimates that no response can correct."""
        scheduler, backends = build_scheduler(8, 8)
        for backend in backends:
            backend.speed.gap_ms = 4000
        job = build_job(route=_STREAM, prompt=Prompt(600, 800))
        self.assertIn(await scheduler.acquire(job, set()), backends)

    async def test_idle_server_takes_any_prompt(self) -> None:
        """Guards against refusing a long prompt for its target latency."""
        scheduler, backends = build_scheduler(8)
        backends[0].speed.gap_ms = 400
        slow = build_route(kind=RequestKind.stream, target_ms=10)
        job = build_job(route=slow, prompt=Prompt(60_000, 10))
        self.assertIs(await scheduler.acquire(job, set()), backends[0])

    async def test_servers_with_lapsed_rows_are_a_fallback(self) -> None:
        """Guards against refusals while the store is unreachable."""
        clock = ManualClock(10_000)
        servers = [build_server('i-0'), build_server('i-1')]
        backends = Backends(clock, NAMES.request_id, grace_ms=1000)
        backends.replace_all(servers)
        scheduler = Scheduler(
            backends, ZONE, clock, lambda: 1, build_promises()
        )
        backends.replace_all([])
        placed = await scheduler.acquire(build_job(), set())
        self.assertIn(placed.server.id, {'i-0', 'i-1'})
        backends.update(servers[1:], [])
        for _ in range(4):
            placed = await scheduler.acquire(build_job(), set())
            self.assertEqual(placed.server.id, 'i-1')
        backends.replace_all([])
        clock.advance(1001)
        with self.assertRaises(Refusal):
            await scheduler.acquire(
                build_job(route=build_route(target_ms=1), arrived_ms=0), set()
            )

    async def test_draining_server_is_no_fallback(self) -> None:
        """A row that goes after `leaving` does not come back."""
        clock = ManualClock(10_000)
        backends = Backends(clock, NAMES.request_id, grace_ms=1000)
        backends.replace_all([build_server('i-0', is_draining=True)])
        backends.replace_all([])
        self.assertEqual(backends.in_pool('llm'), [])


class SignalsTest(unittest.IsolatedAsyncioTestCase):
    """Servers that have signalled that they drain or back off."""

    def build(self, *slots: int) -> tuple[Scheduler, Backends]:
        """Return a scheduler and servers that may drain for 1.4 s."""
        self.clock = ManualClock(1000)
        backends = Backends(self.clock, NAMES.request_id, _GRACE_MS)
        backends.update(
            [
                build_server(f'i-{number}', slots=size)
                for number, size in enumerate(slots)
            ],
            [],
        )
        scheduler = Scheduler(
            backends, ZONE, self.clock, lambda: 1, build_promises()
        )
        return scheduler, backends

    async def schedule(self, scheduler: Scheduler, **changes: Any) -> str:
        """Schedule a request; return the server id or the cause of refusal."""
        job = build_job(arrived_ms=self.clock.now(), **changes)
        scheduling = asyncio.create_task(scheduler.acquire(job, set()))
        await asyncio.sleep(0.01)
        self.clock.advance(250)
        try:
            return (await scheduling).server.id
        except Refusal as refusal:
            self.refusal = refusal
            return refusal.cause.value

    async def test_draining_server_is_a_last_resort(self) -> None:
        """Nothing goes there while another server serves, even a full one."""
        scheduler, backends = self.build(1, 1)
        backends.apply_signals(
            get_backend(backends, 'i-0'), ServerSignals(is_draining=True), 0
        )
        self.assertEqual(await self.schedule(scheduler), 'i-1')
        self.assertEqual(
            await self.schedule(scheduler), Cause.waited_too_long.value
        )
        backends.apply_signals(
            get_backend(backends, 'i-1'), ServerSignals(is_draining=True), 0
        )
        self.assertEqual(await self.schedule(scheduler), 'i-0')

    async def test_draining_server_gets_nothing_it_cannot_finish(self) -> None:
        """Guards against a stream that is cut at the end of the drain time."""
        scheduler, backends = self.build(4)
        backends.apply_signals(
            get_backend(backends, 'i-0'), ServerSignals(is_draining=True), 0
        )
        short = Prompt(tokens=10, answer_tokens=10)
        long = Prompt(tokens=10, answer_tokens=900)
        self.assertEqual(
            await self.schedule(scheduler, route=_STREAM, prompt=short), 'i-0'
        )
        self.assertEqual(
            await self.schedule(scheduler, route=_STREAM, prompt=long),
            Cause.no_server.value,
        )

    async def test_refused_at_once_while_all_back_off(self) -> None:
        """The retry time is the end of the first back-off."""
        scheduler, backends = self.build(4, 4)
        backends.apply_signals(
            get_backend(backends, 'i-0'), ServerSignals(backoff_ms=5000), 0
        )
        backends.apply_signals(
            get_backend(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
        )
        job = build_job(arrived_ms=self.clock.now())
        with self.assertRaises(Refusal) as caught:
            await asyncio.wait_for(scheduler.acquire(job, set()), 1)
        self.assertEqual(caught.exception.cause, Cause.servers_backing_off)
        self.assertGreaterEqual(caught.exception.retry_after_ms, 3000)
        self.assertLessEqual(caught.exception.retry_after_ms, 4000)

    async def test_short_back_off_is_waited_for(self) -> None:
        """It ends before the request would stop waiting."""
        scheduler, backends = self.build(4)
        backends.apply_signals(
            get_backend(backends, 'i-0'), ServerSignals(backoff_ms=100), 0
        )
        self.assertEqual(await self.schedule(scheduler), 'i-0')

    async def test_spare_capacity_leaves_out_back_off(self) -> None:
        """Slots of a server that backs off do not count."""
        scheduler, backends = self.build(2, 6)
        backend = get_backend(backends, 'i-0')
        backend.in_flight = 2
        self.assertTrue(scheduler.has_spare_capacity(POOL))
        backends.apply_signals(
            get_backend(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
        )
        self.assertFalse(scheduler.has_spare_capacity(POOL))

    async def test_one_request_probes_after_back_off(self) -> None:
        """Only one that may be sent again; the others go elsewhere."""
        scheduler, backends = self.build(4, 4)
        recovering = get_backend(backends, 'i-1')
        backends.apply_signals(recovering, ServerSignals(backoff_ms=100), 0)
        self.clock.advance(100)
        once = build_route(attempts=1)
        self.assertEqual(await self.schedule(scheduler, route=once), 'i-0')
        self.assertEqual(await self.schedule(scheduler), 'i-1')
        self.assertEqual(await self.schedule(scheduler), 'i-0')
        recovering.signals.record_answer(self.clock.now())
        self.assertTrue(recovering.is_usable(self.clock.now()))
