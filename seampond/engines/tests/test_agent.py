"""The agent: asks, grants, refusals, runs, planned stop."""

import asyncio
import unittest
from typing import Any

from seampond.backing.standin import MemoryTables
from seampond.claims import Claim, Claims
from seampond.clock import ManualClock
from seampond.engines import Agent
from seampond.engines.call import BackendError
from seampond.engines.entries import EntryPeer
from seampond.engines.runner import Runner
from seampond.engines.runs import Run, Stage
from seampond.errors import PromiseError
from seampond.links.messages import (
    Ask,
    Cancel,
    Deny,
    Finish,
    Frame,
    Head,
    Pulse,
    Received,
    Resume,
    TurnAway,
    Withdraw,
)
from seampond.metrics import AgentMetrics
from seampond.requests import Reason
from seampond.testing.builders import (
    FakeLink,
    answer_with,
    build_agent_settings,
    build_grant,
    build_objects,
    build_promises,
    build_reserve,
)

ORPHAN_MS = build_agent_settings().orphan_ms


class AgentTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.memory = MemoryTables()
        self.build(answer_with(b'a', b'b'))

    def build(self, carry_out: Any, **backend: Any) -> None:
        settings = build_agent_settings(**backend)
        metrics = AgentMetrics()
        promises = build_promises()
        claims = Claims(self.memory.as_tables(), self.clock, 'backend-1/1')
        self.runner = Runner(
            settings,
            self.clock,
            promises,
            metrics,
            claims,
            build_objects(),
            carry_out,
        )
        self.agent = Agent(settings, self.clock, promises, metrics, self.runner)
        self.entry = self.connect()
        self.link = self.link_of(self.entry)

    def link_of(self, entry: EntryPeer) -> FakeLink:
        link: Any = entry.link
        assert isinstance(link, FakeLink)
        return link

    def connect(self) -> EntryPeer:
        link: Any = FakeLink()
        entry = EntryPeer('entry-1', 'i1', link)
        self.agent.came_up(entry)
        return entry

    def take(self, *messages: Any) -> None:
        for message in messages:
            self.agent.take(self.entry, message)

    async def settle(self) -> None:
        while self.runner._tasks:
            await asyncio.sleep(0)

    def finish(self) -> Finish:
        finish: Finish = self.link.sent_of(Finish)[-1]
        return finish

    async def test_it_asks_while_slots_are_free(self) -> None:
        self.take(build_reserve('r1'), build_reserve('r2'))
        self.assertEqual(self.link.sent_of(Ask), [Ask('r1', 1)])
        self.take(Deny('r1', 1))
        self.assertEqual(self.link.sent_of(Ask)[-1], Ask('r2', 1))

    async def test_a_granted_request_runs_and_its_answer_is_counted(
        self,
    ) -> None:
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.assertEqual(len(self.link.sent_of(Head)), 1)
        self.assertEqual(
            [frame.number for frame in self.link.sent_of(Frame)], [1, 2]
        )
        self.assertEqual((self.finish().count, self.finish().run), (3, 'yes'))

    async def test_a_grant_without_an_ask_is_refused_as_not_run(self) -> None:
        self.take(build_grant())
        self.assertEqual(self.finish().run, 'no')
        self.assertEqual(self.finish().reason, 'ask-expired')

    async def test_a_grant_after_a_freeze_is_refused_as_not_run(self) -> None:
        self.take(build_reserve())
        self.clock.advance(60_000)
        self.take(build_grant())
        self.assertEqual(self.finish().run, 'no')
        self.assertEqual(self.runner.runs, {})

    async def test_a_grant_after_its_refusal_is_never_run(self) -> None:
        self.take(Resume('r1', 1, 0))
        self.assertEqual(self.finish().run, 'no')
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.assertEqual(self.runner.runs, {})

    async def test_a_withdrawn_reservation_is_forgotten(self) -> None:
        self.take(build_reserve('r1'), build_reserve('r2'))
        self.take(Withdraw('r2', 1), Deny('r1', 1))
        self.assertEqual(self.link.sent_of(Ask), [Ask('r1', 1)])

    async def test_a_late_reservation_is_turned_away(self) -> None:
        self.take(build_reserve('r1'), build_reserve('r2', remaining_ms=5))
        self.clock.advance(10)
        self.take(Deny('r1', 1))
        self.assertEqual(self.link.sent_of(TurnAway)[0].reason, 'deadline')

    async def test_a_leaving_agent_takes_no_work(self) -> None:
        self.take(build_reserve('r1'), build_reserve('r2'))
        self.agent.leave()
        self.take(build_reserve('r3'), build_grant('r1'))
        turned = [turn.id for turn in self.link.sent_of(TurnAway)]
        self.assertEqual(turned, ['r2', 'r3'])
        self.assertEqual(self.finish().reason, 'leaving')
        self.assertTrue(self.link.sent_of(Pulse)[-1].leaving)
        self.assertEqual(self.runner.runs, {})

    async def test_it_is_idle_only_when_answers_were_received(self) -> None:
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.assertFalse(self.agent.is_idle)
        self.take(Received('r1', 1))
        self.assertTrue(self.agent.is_idle)

    async def test_it_is_idle_only_when_its_asks_were_answered(self) -> None:
        """Guards against an end before the grants that are on their way."""
        self.take(build_reserve())
        self.agent.leave()
        self.clock.advance(60_000)
        self.agent.tidy()
        self.assertFalse(self.agent.is_idle)
        self.take(build_grant())
        self.assertEqual(self.finish().run, 'no')
        self.assertTrue(self.agent.is_idle)

    async def test_it_is_idle_after_a_denied_ask(self) -> None:
        """Guards against a stop that waits for an answer it has had."""
        self.take(build_reserve())
        self.agent.leave()
        self.clock.advance(60_000)
        self.agent.tidy()
        self.take(Deny('r1', 1))
        self.assertTrue(self.agent.is_idle)

    async def test_it_is_idle_only_when_a_cut_link_is_back(self) -> None:
        """Guards against an end before a lost grant is known as not run."""
        self.take(build_reserve())
        self.agent.leave()
        self.agent.went_down(self.entry)
        self.assertFalse(self.agent.is_idle)
        self.entry = self.connect()
        self.link = self.link_of(self.entry)
        self.take(Resume('r1', 1, 0))
        self.assertEqual(self.finish().run, 'no')
        self.take(Pulse())
        self.assertTrue(self.agent.is_idle)

    async def test_it_waits_in_vain_for_an_entry_only_for_a_while(self) -> None:
        """Guards against a stop that waits for an entry that is gone."""
        self.take(build_reserve('r1'), build_grant('r1'), build_reserve('r2'))
        await self.settle()
        self.agent.leave()
        self.agent.went_down(self.entry)
        self.clock.advance(ORPHAN_MS - 1)
        self.assertFalse(self.agent.is_idle)
        self.clock.advance(2)
        self.assertTrue(self.agent.is_idle)

    async def test_it_is_idle_only_when_a_cut_answer_was_received(self) -> None:
        """Guards against an end before the answers that a cut held up."""
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.agent.leave()
        self.agent.went_down(self.entry)
        self.assertFalse(self.agent.is_idle)
        entry = self.connect()
        self.agent.take(entry, Resume('r1', 1, 0))
        self.assertFalse(self.agent.is_idle)
        self.agent.take(entry, Received('r1', 1))
        self.assertTrue(self.agent.is_idle)

    async def test_a_cut_link_resumes_without_loss_or_repeat(self) -> None:
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.agent.went_down(self.entry)
        entry = self.connect()
        link = self.link_of(entry)
        self.agent.take(entry, Resume('r1', 1, 2))
        self.assertEqual(link.sent_of(Head), [])
        self.assertEqual([frame.number for frame in link.sent_of(Frame)], [2])
        self.assertEqual(link.sent_of(Finish)[0].count, 3)

    async def test_a_forgotten_run_is_not_called_not_run(self) -> None:
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.clock.advance(600_000)
        self.agent.tidy()
        self.assertEqual(self.runner.runs, {})
        # An entry that was frozen since asks for the rest.
        self.take(Resume('r1', 1, 0))
        self.assertEqual(self.finish().run, 'maybe')

    async def test_a_server_that_was_not_reached_is_not_run(self) -> None:
        async def refuse(run: Run) -> None:
            raise BackendError(
                'refused',
                reason=Reason.engine_unreachable,
                was_sent=False,
                peer='engine',
            )

        self.build(refuse)
        self.take(build_reserve(), build_grant())
        await self.settle()
        self.assertEqual(self.finish().run, 'no')
        self.take(build_reserve(attempt=2), build_grant(attempt=2))
        await self.settle()
        self.assertEqual(self.finish().attempt, 2)

    async def test_a_cancelled_run_stops_and_counts_its_waste(self) -> None:
        async def hang(run: Run) -> None:
            await asyncio.Event().wait()

        self.build(hang)
        self.take(build_reserve(prompt_tokens=70), build_grant())
        await asyncio.sleep(0)
        self.take(Cancel('r1', 1))
        await self.settle()
        self.assertIs(self.runner.runs['r1'].stage, Stage.ended)
        self.assertEqual(self.runner.slots.running, 0)
        wasted = self.agent._metrics.prompt_tokens.labels('wasted')
        self.assertEqual(wasted._value.get(), 70)

    async def test_a_swallowed_cancellation_is_repeated(self) -> None:
        async def swallow(run: Run) -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                # As the HTTP client does when data comes at that moment.
                await asyncio.Event().wait()

        self.build(swallow)
        self.take(build_reserve(), build_grant())
        await asyncio.sleep(0)
        self.take(Cancel('r1', 1))
        await asyncio.sleep(0)
        self.assertEqual(self.runner.slots.running, 1)
        self.agent.tidy()
        await asyncio.sleep(0)
        self.assertEqual(self.runner.slots.running, 0)

    async def test_unrepeatable_work_outlives_its_caller(self) -> None:
        go_on = asyncio.Event()

        async def wait(run: Run) -> None:
            run.add_head(200, ())
            await go_on.wait()

        self.build(wait)
        grant = build_grant(repeatable=False, claim_key='w/t/k')
        self.take(build_reserve(), grant)
        while self.runner.runs['r1'].stage is Stage.granted:
            await asyncio.sleep(0)
        self.take(Cancel('r1', 1))
        go_on.set()
        await self.settle()
        row = self.memory.read('claims', 'w/t/k')
        assert row is not None
        self.assertEqual(row.content['state'], 'done')

    async def test_a_second_claim_for_one_key_does_not_run(self) -> None:
        grant = build_grant(repeatable=False, claim_key='w/t/k')
        self.take(build_reserve(), grant)
        await self.settle()
        second = build_grant(
            'r2', repeatable=False, claim_key='w/t/k', body=b'other'
        )
        self.take(build_reserve('r2'), second)
        await self.settle()
        self.assertEqual(self.finish().run, 'maybe')
        self.assertEqual(self.finish().reason, 'claim-taken')

    async def test_a_retry_of_a_done_claim_replays_its_answer(self) -> None:
        for name in ('r1', 'r2'):
            grant = build_grant(name, repeatable=False, claim_key='w/t/k')
            self.take(build_reserve(name), grant)
            await self.settle()
        payloads = [frame.payload for frame in self.link.sent_of(Frame)]
        self.assertEqual(payloads, [b'a', b'b', b'ab'])
        self.assertEqual((self.finish().id, self.finish().run), ('r2', 'yes'))
        self.assertIs(self.runner.runs['r2'].stage, Stage.ended)

    async def test_an_orphan_is_cancelled_after_a_while(self) -> None:
        async def hang(run: Run) -> None:
            await asyncio.Event().wait()

        self.build(hang)
        self.take(build_reserve(), build_grant())
        await asyncio.sleep(0)
        self.agent.went_down(self.entry)
        self.clock.advance(1)
        self.agent.tidy()
        self.assertEqual(self.runner.slots.running, 1)
        self.clock.advance(60_000)
        self.agent.tidy()
        await self.settle()
        self.assertEqual(self.runner.slots.running, 0)

    async def test_a_second_start_is_a_broken_promise(self) -> None:
        self.take(build_reserve(), build_grant())
        with self.assertRaises(PromiseError):
            self.runner.start(self.runner.runs['r1'])

    async def test_a_second_dispatch_is_a_broken_promise(self) -> None:
        run = Run(build_grant(), 'entry-1', 10_000, None)
        run.stage = Stage.dispatched
        with self.assertRaises(PromiseError):
            await self.runner._dispatch_in_time(run, None)

    async def test_an_unclaimed_dispatch_is_a_broken_promise(self) -> None:
        grant = build_grant(repeatable=False, claim_key='w/t/k')
        run = Run(grant, 'entry-1', 10_000, None)
        with self.assertRaises(PromiseError):
            await self.runner._dispatch_in_time(run, Claim('other', 't'))

    async def test_work_while_leaving_is_a_broken_promise(self) -> None:
        self.agent.leave()
        with self.assertRaises(PromiseError):
            self.runner.start(Run(build_grant(), 'entry-1', 10_000, None))

    async def test_not_run_after_frames_is_a_broken_promise(self) -> None:
        run = Run(build_grant(), 'entry-1', 10_000, None)
        run.add_head(200, ())
        with self.assertRaises(PromiseError):
            self.runner._end_cancelled(run)
