"""Places on servers, and who waits, goes first or is turned away."""

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
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    NAMES,
    POOL,
    ZONE,
    build_backends,
    build_job,
    build_route,
    build_server,
    pick,
    until_true,
)

_STREAM = build_route(kind=RequestKind.stream, target_ms=1000)
_SLOW = build_route(target_ms=20_000)
_GRACE_MS = 1400


def build_scheduler(
    *slots: int, gateways: int = 1, **changes: Any
) -> tuple[Scheduler, list[Backend]]:
    """Give a scheduler before servers with these slots."""
    names = [f'i-{number}' for number, _ in enumerate(slots)]
    backends = build_backends(
        build_server(name, slots=size, **changes)
        for name, size in zip(names, slots, strict=True)
    )
    scheduler = Scheduler(
        backends, ZONE, Clock(), lambda: gateways, build_promises()
    )
    return scheduler, [pick(backends, name) for name in names]


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """One queue before some servers."""

    async def test_places_are_bounded_by_slots(self) -> None:
        """Beyond the slots a request waits and is turned away in time."""
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

    async def test_free_place_is_handed_to_the_highest_rank(self) -> None:
        """The higher rank goes first, whoever came first."""
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

    async def test_who_was_turned_away_goes_first(self) -> None:
        """Among equals, whoever came first: it would be lost otherwise."""
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
        await until_true(lambda: scheduler.waiting == len(tasks))
        scheduler.release(backend)
        self.assertIs(await tasks[1], backend)
        self.assertFalse(tasks[0].done())
        scheduler.release(backend)
        self.assertIs(await tasks[0], backend)

    async def test_broken_stream_goes_first_and_waits_longer(self) -> None:
        """Its caller has a part already, and the rest would be lost."""
        clock = ManualClock(10_000)
        backends = build_backends([build_server('i-0', slots=1)], clock)
        scheduler = Scheduler(
            backends, ZONE, clock, lambda: 1, build_promises()
        )
        backend = await scheduler.acquire(build_job(route=_STREAM), set())
        tasks = [
            asyncio.create_task(
                scheduler.acquire(
                    build_job(name, route=_STREAM, has_streamed=has_streamed),
                    set(),
                )
            )
            for name, has_streamed in (('fresh', False), ('begun', True))
        ]
        await until_true(lambda: scheduler.waiting == len(tasks))
        clock.advance(1000)
        await until_true(tasks[0].done)
        self.assertIsInstance(tasks[0].exception(), Refusal)
        scheduler.release(backend)
        self.assertIs(await tasks[1], backend)

    async def test_higher_rank_is_not_shed_while_lower_waits(self) -> None:
        """With one that gives up, all that rank below it are turned away."""
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

    async def test_leave_while_waiting_leaks_no_place(self) -> None:
        """A caller that leaves as its place comes gives it back."""
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

    async def test_leaving_server_gets_nothing(self) -> None:
        """A server that drains is no place."""
        scheduler, _ = build_scheduler(4, is_draining=True)
        with self.assertRaises(Refusal) as caught:
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )
        self.assertEqual(caught.exception.cause, Cause.no_server)

    async def test_loads_of_the_other_gateways_count(self) -> None:
        """A server full of others' requests is full, but for our share."""
        scheduler, (full, free) = build_scheduler(4, 4, gateways=2)
        full.remote_load = RemoteLoad(4, 0, Clock().now())
        placed = [await scheduler.acquire(build_job(), set()) for _ in range(4)]
        self.assertEqual(placed.count(free), 4)
        # Both are full now; half of each server is ours all the same.
        self.assertIs(await scheduler.acquire(build_job(), set()), full)

    async def test_many_gateways_do_not_overfill_a_server(self) -> None:
        """Each with a place beyond the slots would double what it holds."""
        scheduler, backends = build_scheduler(4, 4, gateways=8)
        now_ms = Clock().now()
        for backend in backends:
            backend.remote_load = RemoteLoad(6, 0, now_ms)
        with self.assertRaises(Refusal):
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )

    async def test_gateway_below_its_share_goes_before_the_full(self) -> None:
        """Who has nothing anywhere gets a place beyond the slots."""
        scheduler, backends = build_scheduler(4, 4, gateways=8)
        now_ms = Clock().now()
        for backend in backends:
            backend.remote_load = RemoteLoad(4, 0, now_ms)
        await scheduler.acquire(build_job(), set())
        with self.assertRaises(Refusal):
            await scheduler.acquire(
                build_job(route=build_route(target_ms=50)), set()
            )

    async def test_room_ends_before_the_slots_do(self) -> None:
        """With one place of four free there is none to spare."""
        scheduler, _ = build_scheduler(4)
        self.assertTrue(scheduler.has_spare_capacity(POOL))
        for _ in range(3):
            await scheduler.acquire(build_job(), set())
        self.assertFalse(scheduler.has_spare_capacity(POOL))

    async def test_less_urgent_work_leaves_places_free(self) -> None:
        """A server's last places are for urgent work of any gateway."""
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

    async def test_long_prompts_are_kept_apart(self) -> None:
        """What waits to be read on a server makes it the slower one."""
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

    async def test_own_zone_is_worth_a_little_delay(self) -> None:
        """Bytes between zones are priced; a full server is not preferred."""
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

    async def test_kept_prompt_draws_its_session(self) -> None:
        """A prompt goes where most of it has been read already."""
        scheduler, (_, keeper) = build_scheduler(8, 8)
        keeper.cached_parts = {'a': 3000, 'b': 5000}
        keeper.in_flight = 3
        prompt = Prompt(8000, 10, (('a', 3000), ('b', 5000)))
        job = build_job(route=_STREAM, prompt=prompt)
        self.assertIs(await scheduler.acquire(job, set()), keeper)

    async def test_answer_that_would_end_late_goes_to_a_fast_server(
        self,
    ) -> None:
        """A long answer is sent where it can be whole in time."""
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

    async def test_long_answer_goes_where_it_is_made_soon(self) -> None:
        """Also where its first event comes a little later."""
        scheduler, (slow, fast) = build_scheduler(8, 8)
        slow.speed.gap_ms = 20
        fast.speed.gap_ms = 10
        for known in (slow, fast):
            known.unanswered[b'r0'] = (Clock().now(), 0)
        fast.unanswered[b'r1'] = (Clock().now(), 2000)
        fast.in_flight = 2
        slow.in_flight = 2
        job = build_job(route=_STREAM, prompt=Prompt(100, 600))
        self.assertIs(await scheduler.acquire(job, set()), fast)
        short = build_job(route=_STREAM, prompt=Prompt(100, 4))
        self.assertIs(await scheduler.acquire(short, set()), slow)

    async def test_server_that_answers_nothing_is_left_alone(self) -> None:
        """One of ours that waits long there is a sign for the next."""
        scheduler, (silent, other) = build_scheduler(8, 8)
        silent.unanswered[b'r0'] = (Clock().now() - 2000, 0)
        other.in_flight = 6
        placed = [
            await scheduler.acquire(build_job(route=_STREAM), set())
            for _ in range(2)
        ]
        self.assertEqual(placed, [other, other])

    async def test_long_prompt_avoids_a_server_that_pauses(self) -> None:
        """Where a long prompt makes all streams late, it goes elsewhere."""
        scheduler, (pausing, other) = build_scheduler(8, 8)
        pausing.speed.record_pause(900)
        pausing.in_flight = 3
        other.in_flight = 5
        route = build_route(kind=RequestKind.stream, pause_ms=400)
        long = build_job(route=route, prompt=Prompt(6000, 10))
        self.assertIs(await scheduler.acquire(long, set()), other)
        short = build_job(route=route, prompt=Prompt(100, 10))
        self.assertIs(await scheduler.acquire(short, set()), pausing)

    async def test_wrong_belief_of_speed_locks_nobody_out(self) -> None:
        """Servers that are thought far too slow are tried all the same."""
        scheduler, backends = build_scheduler(8, 8)
        for backend in backends:
            backend.speed.gap_ms = 4000
        job = build_job(route=_STREAM, prompt=Prompt(600, 800))
        self.assertIn(await scheduler.acquire(job, set()), backends)

    async def test_idle_server_is_a_place_for_any_prompt(self) -> None:
        """What nothing waits for is never too slow to be tried."""
        scheduler, backends = build_scheduler(8)
        backends[0].speed.gap_ms = 400
        slow = build_route(kind=RequestKind.stream, target_ms=10)
        job = build_job(route=slow, prompt=Prompt(60_000, 10))
        self.assertIs(await scheduler.acquire(job, set()), backends[0])

    async def test_servers_whose_rows_lapsed_are_a_fallback(self) -> None:
        """A row may go while the store is down; its server may be well."""
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

    async def test_leaving_server_is_no_fallback(self) -> None:
        """A row that goes after `leaving` is gone for good."""
        clock = ManualClock(10_000)
        backends = Backends(clock, NAMES.request_id, grace_ms=1000)
        backends.replace_all([build_server('i-0', is_draining=True)])
        backends.replace_all([])
        self.assertEqual(backends.in_pool('llm'), [])


class NoticesTest(unittest.IsolatedAsyncioTestCase):
    """Servers that have said that they leave, or that they want rest."""

    def build(self, *slots: int) -> tuple[Scheduler, Backends]:
        """Give a scheduler before servers that may leave for 1.4 s."""
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

    async def place(self, scheduler: Scheduler, **changes: Any) -> str:
        """Place a request; give the server, or why there is none."""
        job = build_job(arrived_ms=self.clock.now(), **changes)
        placing = asyncio.create_task(scheduler.acquire(job, set()))
        await asyncio.sleep(0.01)
        self.clock.advance(250)
        try:
            return (await placing).server.id
        except Refusal as refusal:
            self.refusal = refusal
            return refusal.cause.value

    async def test_who_leaves_is_a_last_resort(self) -> None:
        """Nothing goes there while another server takes work, if full."""
        scheduler, backends = self.build(1, 1)
        backends.apply_signals(
            pick(backends, 'i-0'), ServerSignals(is_draining=True), 0
        )
        self.assertEqual(await self.place(scheduler), 'i-1')
        self.assertEqual(
            await self.place(scheduler), Cause.waited_too_long.value
        )
        backends.apply_signals(
            pick(backends, 'i-1'), ServerSignals(is_draining=True), 0
        )
        self.assertEqual(await self.place(scheduler), 'i-0')

    async def test_nothing_goes_there_that_it_may_not_end(self) -> None:
        """A stream that takes longer than it has left."""
        scheduler, backends = self.build(4)
        backends.apply_signals(
            pick(backends, 'i-0'), ServerSignals(is_draining=True), 0
        )
        short = Prompt(tokens=10, answer_tokens=10)
        long = Prompt(tokens=10, answer_tokens=900)
        self.assertEqual(
            await self.place(scheduler, route=_STREAM, prompt=short), 'i-0'
        )
        self.assertEqual(
            await self.place(scheduler, route=_STREAM, prompt=long),
            Cause.no_server.value,
        )

    async def test_all_at_rest_are_told_apart_at_once(self) -> None:
        """Who is turned away hears when the first has had its rest."""
        scheduler, backends = self.build(4, 4)
        backends.apply_signals(
            pick(backends, 'i-0'), ServerSignals(backoff_ms=5000), 0
        )
        backends.apply_signals(
            pick(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
        )
        job = build_job(arrived_ms=self.clock.now())
        with self.assertRaises(Refusal) as caught:
            await asyncio.wait_for(scheduler.acquire(job, set()), 1)
        self.assertEqual(caught.exception.cause, Cause.servers_backing_off)
        self.assertGreaterEqual(caught.exception.retry_after_ms, 3000)
        self.assertLessEqual(caught.exception.retry_after_ms, 4000)

    async def test_a_short_rest_is_waited_for(self) -> None:
        """It ends before the patience does."""
        scheduler, backends = self.build(4)
        backends.apply_signals(
            pick(backends, 'i-0'), ServerSignals(backoff_ms=100), 0
        )
        self.assertEqual(await self.place(scheduler), 'i-0')

    async def test_room_counts_who_may_be_sent_to(self) -> None:
        """Places of a server at rest are none."""
        scheduler, backends = self.build(2, 6)
        backend = pick(backends, 'i-0')
        backend.in_flight = 2
        self.assertTrue(scheduler.has_spare_capacity(POOL))
        backends.apply_signals(
            pick(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
        )
        self.assertFalse(scheduler.has_spare_capacity(POOL))

    async def test_one_finds_out_who_is_well_again(self) -> None:
        """Who may go on elsewhere, and first; the others go elsewhere."""
        scheduler, backends = self.build(4, 4)
        tired = pick(backends, 'i-1')
        backends.apply_signals(tired, ServerSignals(backoff_ms=100), 0)
        self.clock.advance(100)
        once = build_route(attempts=1)
        self.assertEqual(await self.place(scheduler, route=once), 'i-0')
        self.assertEqual(await self.place(scheduler), 'i-1')
        self.assertEqual(await self.place(scheduler), 'i-0')
        tired.signals.record_answer(self.clock.now())
        self.assertTrue(tired.is_usable(self.clock.now()))
