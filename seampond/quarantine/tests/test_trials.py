"""Claims of trials by gateways that share a table."""

import asyncio
import unittest
from collections.abc import Mapping
from dataclasses import replace
from unittest.mock import patch

from seampond.clock import ManualClock
from seampond.errors import ConflictError, UnknownOutcomeError
from seampond.quarantine import trials as trials_module
from seampond.quarantine.models import TrialRow
from seampond.quarantine.trials import TRIAL_PAUSES_MS, Trials
from seampond.watches import Page, StoreClock, make_version

_REQUEST = 7
_INCARNATION = 11


class InMemoryTable:
    """An in-memory table with the faults of a store."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[int, TrialRow] = {}
        self.era = 0
        self.is_down = False
        self.loses_replies = False
        self._version = 0

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Return all rows."""
        self._check(is_down=self.is_down)
        return dict(self.rows)

    async def write_trial(self, request: int, row: TrialRow) -> None:
        """Write a row if its version matches."""
        self._check(is_down=self.is_down)
        await asyncio.sleep(0)
        stored_row = self.rows.get(request, TrialRow())
        if stored_row.version != row.version:
            raise ConflictError('changed', step='t')
        self._version += 1
        version = make_version(self.era, self._version)
        self.rows[request] = replace(row, version=version)
        self._check(is_down=self.loses_replies)

    async def drop_trial(self, request: int, version: int) -> None:
        """Remove a row."""
        self._check(is_down=self.is_down)
        self.rows.pop(request, None)

    def _check(self, *, is_down: bool) -> None:
        if is_down:
            raise UnknownOutcomeError('no answer', step='t', peer='store')


class TrialsTest(unittest.IsolatedAsyncioTestCase):
    """Two gateways that share a table."""

    def setUp(self) -> None:
        """Create the table and two gateways."""
        self.clock = ManualClock(1000)
        self.table = InMemoryTable()
        self.survivors: set[int] = set()
        self.gateways = [self.make_trials() for _ in range(2)]

    def make_trials(self) -> Trials:
        """Return the trials of a gateway that has just started."""
        store_clock = StoreClock()
        store_clock.update(Page((), 1, 5000, 1000, 1000, is_snapshot=False))
        trials = Trials(store_clock, self.clock, self._has_survived)
        trials.table = self.table
        return trials

    async def test_one_gateway_claims_trial(self) -> None:
        """Guards against simultaneous trials at two gateways."""
        claims = [trials.claim(_REQUEST) for trials in self.gateways]
        self.assertEqual(sorted(await asyncio.gather(*claims)), [False, True])

    async def test_number_of_trials_is_limited(self) -> None:
        """Guards against more trials after restarts."""
        claimed = 0
        for _ in range(200):
            trials = self.make_trials()
            await trials.read()
            claimed += await trials.claim(_REQUEST)
            self.clock.advance(20_000)
        self.assertEqual(claimed, len(TRIAL_PAUSES_MS))
        self.assertIsNone(trials.wait_ms(_REQUEST))

    async def test_unread_table_prevents_claim(self) -> None:
        """Guards against a claim that ignores the stored trials."""
        self.assertTrue(await self.gateways[0].claim(_REQUEST))
        self.assertFalse(await self.gateways[1].claim(_REQUEST))
        self.assertEqual(self.gateways[1].wait_ms(_REQUEST), TRIAL_PAUSES_MS[1])

    async def test_trials_stay_counted_after_restore(self) -> None:
        """Guards against more trials after the store lost rows."""
        first_gateway = self.gateways[0]
        self.assertTrue(await first_gateway.claim(_REQUEST))
        earlier_rows = self.table.rows.copy()
        self.clock.advance(TRIAL_PAUSES_MS[1])
        self.assertTrue(await first_gateway.claim(_REQUEST))
        for rows in ({}, earlier_rows):
            self.table.rows = dict(rows)
            self.table.era += 1
            await first_gateway.read()
            self.assertEqual(
                first_gateway.wait_ms(_REQUEST), TRIAL_PAUSES_MS[2]
            )
        self.clock.advance(TRIAL_PAUSES_MS[2])
        self.assertTrue(await first_gateway.claim(_REQUEST))
        self.assertEqual(self.table.rows[_REQUEST].trials, 3)
        self.assertIsNone(first_gateway.wait_ms(_REQUEST))

    async def test_no_claim_without_reply(self) -> None:
        """Guards against a trial whose write may have failed."""
        self.table.loses_replies = True
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.table.loses_replies = False
        self.clock.advance(1000)
        self.assertFalse(await self.gateways[1].claim(_REQUEST))
        self.assertEqual(self.table.rows[_REQUEST].trials, 1)

    async def test_pause_after_failure(self) -> None:
        """Guards against callers that wait for a store that is down."""
        self.table.is_down = True
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.table.is_down = False
        self.assertFalse(await self.gateways[0].claim(_REQUEST))
        self.clock.advance(1000)
        self.assertTrue(await self.gateways[0].claim(_REQUEST))

    async def test_lifted_quarantine_resets_trials(self) -> None:
        """Guards against trials that stay counted after a success."""
        trials = self.gateways[0]
        self.assertTrue(await trials.claim(_REQUEST))
        trials.lift(_REQUEST, self.clock.now())
        await asyncio.sleep(0.01)
        self.assertEqual(self.table.rows, {})
        self.assertTrue(await trials.claim(_REQUEST))

    async def test_no_claim_without_table(self) -> None:
        """Guards against trials while the gateway starts or stops."""
        trials = self.make_trials()
        trials.table = None
        self.assertFalse(await trials.claim(_REQUEST))

    async def test_trial_that_was_not_sent_counts(self) -> None:
        """Its caller left, or its gateway ended, before a server had it."""
        await self._end_trials_without_result()
        self.assertEqual(self.table.rows[_REQUEST].trials, 1)

    async def test_trial_whose_server_goes_on_counts(self) -> None:
        """Its gateway ended, or its caller left, before there was a result."""
        self.survivors.add(_INCARNATION)
        await self._end_trials_without_result(_INCARNATION)
        self.assertEqual(self.table.rows[_REQUEST].trials, 1)

    async def test_trial_whose_server_is_unknown_does_not_count(self) -> None:
        """It may have crashed its server just before its gateway ended."""
        await self._end_trials_without_result(_INCARNATION)
        self.assertEqual(self.table.rows[_REQUEST].trials, 3)

    async def test_trial_of_a_server_without_a_start_does_not_count(
        self,
    ) -> None:
        """A later process of the server would look alike."""
        self.survivors.add(0)
        await self._end_trials_without_result(0)
        self.assertEqual(self.table.rows[_REQUEST].trials, 3)

    async def test_trial_counts_less_while_its_request_runs(self) -> None:
        """Its server may still crash under it."""
        trials = self.gateways[0]
        self.survivors.add(_INCARNATION)
        deadline_ms = self.clock.now() + 15_000
        self.assertTrue(await trials.claim(_REQUEST, deadline_ms))
        self.assertTrue(await trials.record_server(_REQUEST, _INCARNATION))
        self.clock.advance(12_000)
        self.assertTrue(await trials.claim(_REQUEST, deadline_ms + 12_000))
        self.assertEqual(self.table.rows[_REQUEST].trials, 2)

    async def test_row_stays_after_a_success_elsewhere(self) -> None:
        """The gateway that had it did not know the row, or has ended."""
        trials = self.gateways[0]
        self.assertTrue(await trials.claim(_REQUEST))
        with patch.object(trials_module, '_REMOVAL_DELAYS_MS', (0, 1)):
            trials.apply_successes({_REQUEST: self.clock.now()})
            self.assertFalse(trials.is_quarantined(_REQUEST))
            await asyncio.sleep(0.05)
        self.assertEqual(self.table.rows, {})

    async def test_row_of_a_later_trial_is_removed(self) -> None:
        """The success was before its claim."""
        trials = self.gateways[0]
        self.assertTrue(await trials.claim(_REQUEST))
        self.clock.advance(1000)
        trials.apply_successes({_REQUEST: self.clock.now() - 2000})
        self.assertTrue(trials.is_quarantined(_REQUEST))

    async def _end_trials_without_result(
        self, incarnation: int | None = None
    ) -> None:
        """Claim every trial that is due, each at a gateway that then ends."""
        for _ in range(60):
            trials = self.make_trials()
            await trials.read()
            deadline_ms = self.clock.now() + 15_000
            is_claimed = await trials.claim(_REQUEST, deadline_ms)
            if is_claimed and incarnation is not None:
                is_recorded = await trials.record_server(_REQUEST, incarnation)
                self.assertTrue(is_recorded)
            self.clock.advance(20_000)

    def _has_survived(self, incarnation: int, since_ms: int) -> bool:
        return incarnation in self.survivors
