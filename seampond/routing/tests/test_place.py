"""Placing: spill, shed order, deadlines, retries, whole answers."""

import asyncio
import unittest
from typing import Any

from seampond.clock import ManualClock
from seampond.errors import PromiseError
from seampond.links.messages import (
    Ask,
    Finish,
    Frame,
    Head,
    Reserve,
    TurnAway,
)
from seampond.requests import Reason, RefusedError, RunStatus, Ticket
from seampond.requests.work import AgentLost
from seampond.routing.answer import read_answer, run_request
from seampond.routing.candidates import choose_subset, find_home
from seampond.routing.peer import Peer
from seampond.routing.place import place
from seampond.routing.retries import RetryBudget
from seampond.routing.waiting import RoomSize, WaitingRoom
from seampond.testing.builders import (
    build_peer,
    build_placement,
    build_promises,
    build_ticket,
)


def reserves(peer: Peer) -> list[Reserve]:
    link: Any = peer.link
    found: list[Reserve] = link.sent_of(Reserve)
    return found


class PlaceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.peers = tuple(
            build_peer(f'backend-{number}') for number in range(5)
        )
        self.clock = ManualClock()
        self.build()

    def build(self, **changes: Any) -> None:
        self.placement = build_placement(self.clock, self.peers, **changes)
        self.dispatcher = self.placement.dispatcher

    def start(self, ticket: Ticket) -> 'asyncio.Task[str]':
        self.dispatcher.open(ticket)
        return asyncio.create_task(place(ticket, self.placement))

    def reserved_at(self) -> list[Peer]:
        return [peer for peer in self.peers if reserves(peer)]

    async def test_a_short_request_reserves_at_a_few_agents(self) -> None:
        task = self.start(build_ticket())
        await asyncio.sleep(0)
        holders = self.reserved_at()
        self.assertEqual(len(holders), 3)
        self.dispatcher.take(holders[1], Ask('r1', 1))
        self.assertEqual(await task, holders[1].name)

    async def test_a_long_prompt_waits_at_its_home_first(self) -> None:
        ticket = build_ticket(prefix='member-7', prompt_tokens=6000)
        task = self.start(ticket)
        await asyncio.sleep(0)
        home = find_home('member-7', self.peers)
        assert home is not None
        self.assertEqual(self.reserved_at(), [home])
        self.dispatcher.take(home, Ask('r1', 1))
        self.assertEqual(await task, home.name)

    async def test_every_refusal_adds_up_to_no_room(self) -> None:
        task = self.start(build_ticket())
        for _ in self.peers:
            await asyncio.sleep(0.01)
            for peer in self.reserved_at():
                away = TurnAway('r1', 1, 'no-room', 5, 7000)
                self.dispatcher.take(peer, away)
        with self.assertRaises(RefusedError) as caught:
            await task
        self.assertIs(caught.exception.reason, Reason.no_room)
        self.assertIs(caught.exception.run, RunStatus.never)
        self.assertEqual(caught.exception.retry_after_ms, 7000)

    async def test_no_agents_for_a_while_means_no_server(self) -> None:
        self.peers = ()
        self.build()
        task = self.start(build_ticket())
        await asyncio.sleep(0.1)
        self.assertFalse(task.done())
        self.clock.advance(self.placement.settings.server_wait_ms)
        with self.assertRaises(RefusedError) as caught:
            await task
        self.assertIs(caught.exception.reason, Reason.no_server)
        self.assertIs(caught.exception.run, RunStatus.never)

    async def test_an_agent_that_comes_up_in_time_is_asked(self) -> None:
        late = build_peer('late')
        self.peers = ()
        self.build()
        task = self.start(build_ticket())
        await asyncio.sleep(0.01)
        self.dispatcher.peers['late'] = late
        while not reserves(late):
            await asyncio.sleep(0.01)
        self.dispatcher.take(late, Ask('r1', 1))
        self.assertEqual(await task, 'late')

    async def test_a_new_incarnation_is_asked_again(self) -> None:
        peer = self.peers[0]
        self.peers = (peer,)
        self.build()
        task = self.start(build_ticket())
        await asyncio.sleep(0.01)
        self.dispatcher.take(peer, TurnAway('r1', 1, 'leaving', 5, 1000))
        peer.incarnation = 'incarnation-2'
        while len(reserves(peer)) < 2:
            await asyncio.sleep(0.01)
        self.dispatcher.take(peer, Ask('r1', 1))
        self.assertEqual(await task, peer.name)

    async def test_the_deadline_ends_the_wait_as_not_run(self) -> None:
        self.placement = build_placement(peers=self.peers)
        ticket = build_ticket(deadline_ms=0)
        self.dispatcher = self.placement.dispatcher
        with self.assertRaises(RefusedError) as caught:
            await self.start(ticket)
        self.assertIs(caught.exception.reason, Reason.deadline)

    async def test_a_full_entry_sheds_its_lowest_tier(self) -> None:
        self.build(waiting_max=1)
        low = self.start(build_ticket('low', tier=5))
        await asyncio.sleep(0)
        high = self.start(build_ticket('high', tier=1))
        with self.assertRaises(RefusedError) as caught:
            await low
        self.assertIs(caught.exception.reason, Reason.shed)
        holder = next(peer for peer in self.peers if 'high' in peer.reserved)
        self.dispatcher.take(holder, Ask('high', 1))
        self.assertTrue(await high)

    def test_bodies_are_bounded_in_bytes(self) -> None:
        room = WaitingRoom(RoomSize(100, 1000), build_promises())
        for number in range(4):
            low = build_ticket(f'low-{number}', tier=5, body=b'x' * 250)
            self.assertEqual(room.enter(low), [])
        high = build_ticket('high', tier=1, body=b'x' * 400)
        shed = [ticket.id for ticket in room.enter(high)]
        self.assertEqual(shed, ['low-3', 'low-2'])
        self.assertEqual(room.body_bytes, 900)
        late = build_ticket('late', tier=5, body=b'x' * 200)
        self.assertEqual(room.enter(late), [late])

    async def test_shedding_a_higher_tier_is_a_broken_promise(self) -> None:
        room = WaitingRoom(RoomSize(1, 1000), build_promises())
        room.enter(build_ticket('low', tier=5))
        high = build_ticket('high', tier=1)
        room._pick_victim = lambda newcomer: high  # type: ignore
        with self.assertRaises(PromiseError):
            room.enter(high)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.peer = build_peer('backend-1')
        self.placement = build_placement(peers=(self.peer,))
        self.ticket = build_ticket()
        self.ticket.holder = 'backend-1'

    async def read(self, *events: Any) -> list[Any]:
        for event in events:
            self.ticket.mailbox.put_nowait(event)
        promises = build_promises()
        answer = read_answer(self.ticket, self.placement, promises)
        return [part async for part in answer]

    async def test_a_whole_answer_passes(self) -> None:
        head, frame = Head('r1', 1, 200), Frame('r1', 1, 1, b'x')
        parts = await self.read(head, frame, Finish('r1', 1, 2, 'yes', ''))
        self.assertEqual(parts, [head, frame])

    async def test_repeated_frames_are_dropped(self) -> None:
        head, frame = Head('r1', 1, 200), Frame('r1', 1, 1, b'x')
        end = Finish('r1', 1, 2, 'yes', '')
        parts = await self.read(head, frame, head, frame, end)
        self.assertEqual(parts, [head, frame])

    async def test_a_missing_frame_is_an_error(self) -> None:
        with self.assertRaises(RefusedError):
            await self.read(Head('r1', 1, 200), Frame('r1', 1, 2, b'x'))

    async def test_a_clean_end_before_the_last_frame_breaks_a_promise(
        self,
    ) -> None:
        end = Finish('r1', 1, 2, 'yes', '')
        with self.assertRaises(PromiseError):
            await self.read(Head('r1', 1, 200), end)

    async def test_another_requests_frame_breaks_a_promise(self) -> None:
        with self.assertRaises(PromiseError):
            await self.read(Head('r2', 1, 200))

    async def test_a_lost_agent_may_have_run_it(self) -> None:
        with self.assertRaises(RefusedError) as caught:
            await self.read(AgentLost('backend-1'))
        self.assertIs(caught.exception.run, RunStatus.maybe)

    async def run_with(self, budget: RetryBudget, *finishes: Finish) -> Any:
        self.ticket.holder = ''
        self.placement.dispatcher.open(self.ticket)
        promises = build_promises()
        answer = run_request(self.ticket, self.placement, promises, budget)

        async def feed() -> None:
            for finish in finishes:
                while len(reserves(self.peer)) < finish.attempt:
                    await asyncio.sleep(0.001)
                ask = Ask('r1', finish.attempt)
                self.placement.dispatcher.take(self.peer, ask)
                self.placement.dispatcher.take(self.peer, finish)

        feeding = asyncio.create_task(feed())
        try:
            return [part async for part in answer]
        finally:
            feeding.cancel()

    async def test_what_was_not_run_is_tried_again(self) -> None:
        with self.assertRaises(RefusedError) as caught:
            await self.run_with(
                RetryBudget(1),
                Finish('r1', 1, 0, 'no', 'leaving'),
                Finish('r1', 2, 0, 'maybe', 'engine-failed'),
            )
        self.assertIs(caught.exception.reason, Reason.engine_failed)
        self.assertEqual(self.ticket.attempt, 2)

    async def test_what_may_have_run_is_never_tried_again(self) -> None:
        with self.assertRaises(RefusedError) as caught:
            await self.run_with(
                RetryBudget(1), Finish('r1', 1, 0, 'maybe', 'engine-failed')
            )
        self.assertIs(caught.exception.run, RunStatus.maybe)
        self.assertEqual(self.ticket.attempt, 1)

    async def test_an_empty_budget_ends_the_retries(self) -> None:
        budget = RetryBudget(0)
        self.assertEqual([budget.take() for _ in range(21)].count(True), 20)
        with self.assertRaises(RefusedError) as caught:
            await self.run_with(budget, Finish('r1', 1, 0, 'no', 'leaving'))
        self.assertIs(caught.exception.reason, Reason.retry_budget)
        self.assertIs(caught.exception.run, RunStatus.never)


class CandidatesTest(unittest.TestCase):
    def test_a_subset_is_the_same_for_the_same_owner(self) -> None:
        names = [f'backend-{number}' for number in range(500)]
        first = choose_subset('entry-1', names, 120)
        self.assertEqual(first, choose_subset('entry-1', reversed(names), 120))
        self.assertNotEqual(first, choose_subset('entry-2', names, 120))

    def test_a_lost_member_moves_only_its_own_keys(self) -> None:
        peers = [build_peer(f'backend-{number}') for number in range(10)]
        keys = [f'member-{number}' for number in range(200)]
        lost, *others = peers
        before = {key: find_home(key, peers) for key in keys}
        after = {key: find_home(key, others) for key in keys}
        moved = [key for key in keys if before[key] is not after[key]]
        owned = [key for key in keys if before[key] is lost]
        self.assertEqual(moved, owned)
