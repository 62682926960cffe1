"""Tests of claims: at most one run per key under faults of the store."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from seampond.backing.standin import MemoryTables
from seampond.backing.tables import Check, Tables, Write
from seampond.claims import ClaimRefusedError, Claims
from seampond.clock import ManualClock
from seampond.errors import PlatformError, UnknownOutcomeError

KEY = 'front-desk/renewal/k1'


class SteppingClock(ManualClock):
    """Clock on which a sleep advances the time at once."""

    async def sleep(self, duration_ms: float) -> None:
        self.advance(round(duration_ms))


def losing_answers(memory: MemoryTables, count: int) -> Tables:
    """Lose the answers of the first `count` writes."""
    port = memory.as_tables()
    left = [count]

    async def transact(
        checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        await port.transact(checks, writes)
        if left[0]:
            left[0] -= 1
            raise UnknownOutcomeError('lost', step='transact')

    return replace(port, transact=transact)


def down(memory: MemoryTables) -> Tables:
    """Fail all writes."""

    async def transact(
        checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        raise PlatformError('down', step='transact')

    return replace(memory.as_tables(), transact=transact)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.memory = MemoryTables()
        self.clock = SteppingClock()

    def claims(
        self, tables: Tables | None = None, owner: str = 'a/1'
    ) -> Claims:
        return Claims(tables or self.memory.as_tables(), self.clock, owner)

    async def test_second_claim_is_refused_as_taken(self) -> None:
        await self.claims().make(KEY, 'r1', 1000)
        with self.assertRaises(ClaimRefusedError) as caught:
            await self.claims(owner='b/1').make(KEY, 'r2', 1000)
        self.assertTrue(caught.exception.is_taken)

    async def test_lost_answer_is_read_back(self) -> None:
        claims = self.claims(losing_answers(self.memory, 1))
        claim = await claims.make(KEY, 'r1', 1000)
        row = self.memory.read('claims', KEY)
        assert row is not None
        self.assertEqual(row.content['token'], claim.token)

    async def test_claim_times_out_while_store_is_down(self) -> None:
        with self.assertRaises(ClaimRefusedError) as caught:
            await self.claims(down(self.memory)).make(KEY, 'r1', 1000)
        self.assertFalse(caught.exception.is_taken)
        self.assertLess(self.clock.now(), 1200)

    async def test_abandoned_token_is_taken_over_by_same_agent(self) -> None:
        claims = self.claims()
        claims.abandon(await claims.make(KEY, 'r1', 1000))
        second = await claims.make(KEY, 'r2', 2000)
        row = self.memory.read('claims', KEY)
        assert row is not None
        self.assertEqual(row.content['token'], second.token)

    async def test_abandoned_token_blocks_other_agents(self) -> None:
        claims = self.claims()
        claims.abandon(await claims.make(KEY, 'r1', 1000))
        with self.assertRaises(ClaimRefusedError):
            await self.claims(owner='b/1').make(KEY, 'r2', 2000)

    async def test_conflict_without_row_does_not_loop(self) -> None:
        port = self.memory.as_tables()
        reads = []

        async def read(table: str, key: str) -> None:
            reads.append(key)
            self.assertLess(len(reads), 20)
            raise PlatformError('down', step='read')

        await self.claims().make(KEY, 'r1', 1000)
        with self.assertRaises(ClaimRefusedError):
            await self.claims(replace(port, read=read)).make(KEY, 'r2', 1000)
        self.assertGreater(len(reads), 0)
