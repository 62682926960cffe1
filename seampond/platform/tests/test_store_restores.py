"""Tests of versions after the store was restored from a backup.

A restored store reuses version numbers, so a version that was read before the
restore must neither satisfy a condition nor be a position in the feed.
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
    ReceivedRequest,
    format_response,
    run_scripted,
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
_REVISIONS = st.integers(0, (1 << 40) - 1)


class VersionTest(unittest.TestCase):
    """An era and a revision combined into one version."""

    @settings(derandomize=True)
    @given(_ERAS, _REVISIONS, _ERAS, _REVISIONS)
    def test_versions_compare_by_era_first(
        self, era: int, revision: int, other_era: int, other: int
    ) -> None:
        """The era and the revision can be read back."""
        first, second = (
            make_version(era, revision),
            make_version(other_era, other),
        )
        self.assertEqual(first < second, (era, revision) < (other_era, other))
        self.assertEqual((era_of(first), revision_of(first)), (era, revision))


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """One client of a store that is restored."""

    async def asyncSetUp(self) -> None:
        """Write a row, record the time of the backup, and write it again."""
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.store: StandInStore = await stack.enter_async_context(run_store())
        self.store.era = 1
        self.client = Store(self.store.address, Clock())
        self.addCleanup(self.client.close)
        self.store.put(_TABLE, 'k', 1)
        await asyncio.sleep(0.02)
        self.backup_ms = self.store.clock.now()
        await asyncio.sleep(0.02)
        self.store.put(_TABLE, 'k', 2)
        self.page = await self.client.read(_TABLE)

    def restore_store(self) -> None:
        """Restore the backup and reuse the revision for another content."""
        self.store.restore_backup(self.backup_ms)
        self.store.put(_TABLE, 'k', 3)

    async def test_feed_does_not_resume_from_an_earlier_era(self) -> None:
        """Neither before nor after the client knows the new era."""
        self.restore_store()
        for _ in range(2):
            with self.assertRaises(HistoryGoneError):
                await self.client.read_changes(_TABLE, self.page.version, 0)
        page = await self.client.read(_TABLE)
        self.assertGreater(page.version, self.page.version)
        self.assertGreater(page.rows[0].version, self.page.rows[0].version)

    async def test_write_does_not_expect_an_earlier_era(self) -> None:
        """It is not sent; the outcome is unknown if it crossed the restore."""
        transaction = RowTransaction(
            {_ROW: self.page.rows[0].version}, {_ROW: b'4'}
        )
        self.restore_store()
        with self.assertRaises(UnknownOutcomeError):
            await self.client.commit(transaction)
        calls = len(self.store.calls)
        with self.assertRaises(ConflictError):
            await self.client.commit(transaction)
        self.assertEqual(len(self.store.calls), calls)

    async def test_error_answers_update_the_era(self) -> None:
        """An answer with status 503 carries the era as well."""
        self.restore_store()
        before = self.client.era
        self.store.is_down = True
        with self.assertRaises(PlatformError):
            await self.client.read(_TABLE)
        self.assertEqual(self.client.era, before + 1)

    async def test_answer_of_an_earlier_era_is_rejected(self) -> None:
        """A late answer must not bring back the state before the restore."""
        eras = ['4', '3']

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            body = b'{"rows": [], "ver": 9, "now_ms": 5}'
            headers = {'Store-Era': eras.pop(0)}
            writer.write(format_response(200, headers, body))

        async with run_scripted(answer) as server:
            client = Store(server.address, Clock())
            self.addCleanup(client.close)
            await client.read(_TABLE)
            with self.assertRaises(PlatformError):
                await client.read(_TABLE)

    async def test_versions_without_eras_are_revisions(self) -> None:
        """A store that sends no era is still supported."""
        self.store.era = 0
        client = Store(self.store.address, Clock())
        self.addCleanup(client.close)
        page = await client.read(_TABLE)
        self.assertEqual(page.version, self.store.version)
        self.assertEqual(client.era, 0)
