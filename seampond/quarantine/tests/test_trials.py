"""Leave for trials: a few in all, one at a time, from one table."""

import asyncio
import unittest
from collections.abc import Mapping

from seampond.clock import ManualClock
from seampond.errors import ConflictError, UnknownOutcomeError
from seampond.quarantine.models import TrialRow
from seampond.quarantine.trials import TRIAL_PAUSES_MS, Trials
from seampond.watches import Page, StoreClock, make_version

_REQUEST = 7


class TableInMemory:
    """A table as the store keeps it, with its troubles."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[int, TrialRow] = {}
        self.era = 0
        self.is_down = False
        self.loses_answers = False
        self._version = 0

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Give all rows."""
        self._check(is_down=self.is_down)
        return dict(self.rows)

    async def write_trial(self, request: int, row: TrialRow) -> None:
        """Write on the condition of a version."""
        self._check(is_down=self.is_down)
        await asyncio.sleep(0)
        known = self.rows.get(request, TrialRow())
        if known.version != row.version:
            raise ConflictError('changed', step='t')
        self._version += 1
        version = make_version(self.era, self._version)
        self.rows[request] = TrialRow(row.trials, row.at_ms, version)
        self._check(is_down=self.loses_answers)

    async def drop_trial(self, request: int, version: int) -> None:
        """Remove on the condition of a version."""
        self._check(is_down=self.is_down)
        self.rows.pop(request, None)

    def _check(self, *, is_down: bool) -> None:
        if is_down:
            raise UnknownOutcomeError('no answer', step='t', peer='store')


class TrialsTest(unittest.IsolatedAsyncioTestCase):
    """Two gateways before one table."""

    def setUp(self) -> None:
        """Open the table."""
        self.clock = ManualClock(1000)
        self.table = TableInMemory()
        self.gateways = [self.make_trials() for _ in range(2)]

    def make_trials(self) -> Trials:
        """Give the trials of a gateway that has just started."""
        store_clock = StoreClock()
        store_clock.update(Page((), 1, 5000, 1000, 1000, is_snapshot=False))
        trials = Trials(store_clock, self.clock)
        trials.table = self.table
        return trials

    async def test_one_of_all_has_leave(self) -> None:
        """Both ask at the same moment."""
        claims = [one.claim(_REQUEST) for one in self.gateways]
        self.assertEqual(sorted(await asyncio.gather(*claims)), [False, True])

    async def test_a_few_in_all_whoever_asks(self) -> None:
        """Also of gateways that start anew each time."""
        given = 0
        for _ in range(200):
            trials = self.make_trials()
            await trials.read()
            given += await trials.claim(_REQUEST)
            self.clock.advance(20_000)
        self.assertEqual(given, len(TRIAL_PAUSES_MS))
        self.assertIsNone(trials.wait_ms(_REQUEST))

    async def test_a_start_without_a_read_is_told_by_the_table(self) -> None:
        """Its claim rests on no row and fails; then it knows."""
        self.assertTrue(await self.gateways[0].claim(_REQUEST))
        self.assertFalse(await self.gateways[1].claim(_REQUEST))
        self.assertEqual(self.gateways[1].wait_ms(_REQUEST), TRIAL_PAUSES_MS[1])

    async def test_what_a_restore_has_lost_stays_tried(self) -> None:
        """The rows are gone, or tell less; the next trial writes them anew."""
        first = self.gateways[0]
        self.assertTrue(await first.claim(_REQUEST))
        earlier = self.table.rows.copy()
        self.clock.advance(TRIAL_PAUSES_MS[1])
        self.assertTrue(await first.claim(_REQUEST))
        for rows in ({}, earlier):
            self.table.rows = dict(rows)
            self.table.era += 1
            await first.read()
            self.assertEqual(first.wait_ms(_REQUEST), TRIAL_PAUSES_MS[2])
        self.clock.advance(TRIAL_PAUSES_MS[2])
        self.assertTrue(await first.claim(_REQUEST))
        self.assertEqual(self.table.rows[_REQUEST].trials, 3)
        self.assertIsNone(first.wait_ms(_REQUEST))

    async def test_no_leave_without_an_answer(self) -> None:
        """The write may be done: it counts, and nobody sends."""
        self.table.loses_answers = True
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.table.loses_answers = False
        self.clock.advance(1000)
        self.assertFalse(await self.gateways[1].claim(_REQUEST))
        self.assertEqual(self.table.rows[_REQUEST].trials, 1)

    async def test_no_calls_for_a_while_after_a_failure(self) -> None:
        """Each may take a second, and callers wait behind it."""
        self.table.is_down = True
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.table.is_down = False
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.clock.advance(1000)
        self.assertTrue(await self.gateways[0].claim(_REQUEST))

    async def test_lifted_quarantine_starts_anew(self) -> None:
        """A request that got its answer has no row."""
        trials = self.gateways[0]
        self.assertTrue(await trials.claim(_REQUEST))
        await trials.drop(_REQUEST)
        self.assertEqual(self.table.rows, {})
        self.assertTrue(await trials.claim(_REQUEST))

    async def test_without_a_table_nobody_has_leave(self) -> None:
        """As while the gateway starts or stops."""
        trials = self.make_trials()
        trials.table = None
        self.assertFalse(await trials.claim(_REQUEST))
