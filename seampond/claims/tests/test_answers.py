"""Tests of stored answers, which a retry with the same key receives."""

import unittest

from seampond.backing.http_client import open_client
from seampond.backing.standin.models import Faults
from seampond.clock import Clock
from seampond.testing.caller import Caller, ChatRequest, Reply
from seampond.testing.fleets import open_fleet

DRAFT = ChatRequest('renewal-draft', max_tokens=3)
OTHER = ChatRequest('renewal-draft', max_tokens=4)


class KeptAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(open_fleet())
        self.client = await self.enterAsyncContext(open_client())

    async def send(self, entry: int, chat: ChatRequest = DRAFT) -> Reply:
        url = self.fleet.entries[entry].url
        caller = Caller(url, self.fleet.keys['renewals'], self.client)
        return await caller.chat(chat, idempotency_key='k1')

    async def wait_until_kept(self) -> None:
        objects = self.fleet.platform.platform.objects
        tables = self.fleet.platform.platform.tables
        while (
            not objects
            or tables.scan('claims', '', '~', 1)[0].content['state'] != 'done'
        ):
            await Clock().sleep(10)

    def runs(self) -> int:
        return sum(
            running.engine.runs.total() for running in self.fleet.engines
        )

    async def test_retry_through_another_entry_gets_the_answer(self) -> None:
        first = await self.send(0)
        await self.wait_until_kept()
        for agent, _ in enumerate(self.fleet.agents):
            await self.fleet.replace_agent(agent, planned=True)
        second = await self.send(1)
        self.assertEqual(second.body, first.body)
        self.assertNotEqual(second.request_id, first.request_id)
        self.assertEqual(second.original_id, first.request_id)
        self.assertEqual(self.runs(), 1)

    async def test_different_body_with_same_key_is_refused(self) -> None:
        await self.send(0)
        await self.wait_until_kept()
        reply = await self.send(1, OTHER)
        self.assertEqual(reply.error['reason'], 'claim-taken')
        self.assertEqual(self.runs(), 1)

    async def test_refusal_without_stored_answer_may_have_run(self) -> None:
        await self.send(0)
        await self.wait_until_kept()
        self.fleet.platform.platform.objects.clear()
        reply = await self.send(1)
        self.assertEqual(reply.error['reason'], 'claim-taken')
        self.assertEqual(reply.error['run'], 'maybe')

    async def test_store_outage_prevents_second_run(self) -> None:
        first = await self.send(0)
        self.assertTrue(first.is_ok)
        await self.wait_until_kept()
        self.fleet.platform.platform.faults = Faults(down=True)
        reply = await self.send(1)
        self.assertFalse(reply.is_ok)
        self.assertEqual(self.runs(), 1)
