"""Versions of a store that was restored from an older copy of itself.

Its numbers are given out again for other contents, so a version that was read
before is no condition, and no place to go on from, after it.
"""

import asyncio
import unittest
from contextlib import AsyncExitStack

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.clock import Clock
from seampond.errors import ConflictError, PlatformError, UnknownOutcomeError
from seampond.platform.store import RowTransaction, Store
from seampond.testing.scripted import (
    Received,
    run_scripted,
    write_answer,
)
from seampond.testing.store import StandInStore, run_store
from seampond.watches import (
    HistoryGoneError,
    era_of,
    make_version,
    revision_of,
)

_TABLE = 't'
_ROW = (_TABLE, 'k')
_ERAS = st.integers(0, 1000)
_NUMBERS = st.integers(0, (1 << 40) - 1)


class VersionTest(unittest.TestCase):
    """An era and a number in one."""

    @settings(derandomize=True)
    @given(_ERAS, _NUMBERS, _ERAS, _NUMBERS)
    def test_versions_compare_by_their_era_first(
        self, era: int, number: int, other_era: int, other: int
    ) -> None:
        """And give both back."""
        one, two = make_version(era, number), make_version(other_era, other)
        self.assertEqual(one < two, (era, number) < (other_era, other))
        self.assertEqual((era_of(one), revision_of(one)), (era, number))


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """One client of a store that goes back."""

    async def asyncSetUp(self) -> None:
        """Write a row, note the moment, and write it again."""
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.store: StandInStore = await stack.enter_async_context(run_store())
        self.store.era = 1
        self.client = Store(self.store.address, Clock())
        self.addCleanup(self.client.close)
        self.store.put(_TABLE, 'k', 1)
        await asyncio.sleep(0.02)
        self.copied_ms = self.store.clock.now()
        await asyncio.sleep(0.02)
        self.store.put(_TABLE, 'k', 2)
        self.page = await self.client.read(_TABLE)

    def go_back(self) -> None:
        """Restore the copy, and give the number out for another content."""
        self.store.go_back(self.copied_ms)
        self.store.put(_TABLE, 'k', 3)

    async def test_no_change_goes_on_from_an_earlier_era(self) -> None:
        """Neither before nor after the client has heard of the new one."""
        self.go_back()
        for _ in range(2):
            with self.assertRaises(HistoryGoneError):
                await self.client.read_changes(_TABLE, self.page.version, 0)
        page = await self.client.read(_TABLE)
        self.assertGreater(page.version, self.page.version)
        self.assertGreater(page.rows[0].version, self.page.rows[0].version)

    async def test_no_write_rests_on_an_earlier_era(self) -> None:
        """It is not sent; one that crossed the restore is in doubt."""
        change = RowTransaction({_ROW: self.page.rows[0].version}, {_ROW: b'4'})
        self.go_back()
        with self.assertRaises(UnknownOutcomeError):
            await self.client.commit(change)
        calls = len(self.store.calls)
        with self.assertRaises(ConflictError):
            await self.client.commit(change)
        self.assertEqual(len(self.store.calls), calls)

    async def test_errors_tell_the_era_too(self) -> None:
        """Also 503 and 410."""
        self.go_back()
        before = self.client.era
        self.store.is_down = True
        with self.assertRaises(PlatformError):
            await self.client.read(_TABLE)
        self.assertEqual(self.client.era, before + 1)

    async def test_an_answer_of_an_earlier_era_is_none(self) -> None:
        """It may come late, over a connection that was there before."""
        eras = ['4', '3']

        async def answer(
            request: Received, writer: asyncio.StreamWriter
        ) -> None:
            body = b'{"rows": [], "ver": 9, "now_ms": 5}'
            headers = {'Store-Era': eras.pop(0)}
            writer.write(write_answer(200, headers, body))

        async with run_scripted(answer) as server:
            client = Store(server.address, Clock())
            self.addCleanup(client.close)
            await client.read(_TABLE)
            with self.assertRaises(PlatformError):
                await client.read(_TABLE)

    async def test_without_a_word_of_an_era_all_is_as_before(self) -> None:
        """Versions are the store's own numbers."""
        self.store.era = 0
        client = Store(self.store.address, Clock())
        self.addCleanup(client.close)
        page = await client.read(_TABLE)
        self.assertEqual(page.version, self.store.version)
        self.assertEqual(client.era, 0)
