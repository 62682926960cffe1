"""Tests of pauses between failed calls, on virtual time."""

import asyncio
import random
import unittest

from seampond.clock import Clock
from seampond.tasks import run_tasks
from seampond.testing.virtual_time import run_virtual
from seampond.watches import Page, StoreClock, TableFreshness
from seampond.watches.retry_pause import RetryPause

_DEADLINES_MS = (2000, 3000, 11_000)
_PROOF_GAP_MS = 1000
_FAILURES = 8
_SEEDS = 20


class Copy:
    """A copy that others prove, and the pauses of its failed calls."""

    def __init__(
        self, clock: Clock, deadline_ms: int, interval_factor: float = 1
    ) -> None:
        """Start with a proof."""
        self.clock = clock
        self.freshness = TableFreshness(
            clock, StoreClock(), lambda proved_ms: None
        )
        self.pause = RetryPause(
            clock,
            self.freshness,
            600,
            lambda: interval_factor,
            lambda: deadline_ms,
        )
        self.prove()

    def prove(self) -> None:
        """Prove the copy complete at this moment."""
        now_ms = self.clock.now()
        page = Page((), 1, now_ms, now_ms, now_ms, is_snapshot=False)
        self.freshness.check(page)
        self.freshness.apply_page(page)

    async def keep_proving(self) -> None:
        """Prove the copy again and again."""
        while True:
            self.prove()
            await self.clock.sleep(_PROOF_GAP_MS)

    async def fail_often(self) -> None:
        """Let the pause grow to its maximum."""
        for _ in range(_FAILURES):
            await self.pause.wait()


class RetryPauseTest(unittest.TestCase):
    """How long a process pauses while other processes prove its copy."""

    def test_pause_ends_before_its_last_proof_is_too_old(self) -> None:
        """A pause must not last because of proofs that come no more."""
        for deadline_ms in _DEADLINES_MS:
            for seed in range(_SEEDS):
                with self.subTest(deadline_ms=deadline_ms, seed=seed):
                    age_ms = self._play(seed, deadline_ms)
                    self.assertLess(age_ms, deadline_ms)

    def test_pause_without_proofs_follows_from_the_deadline(self) -> None:
        """In a large fleet too, what changes in it must be held in time."""
        for deadline_ms in _DEADLINES_MS:
            with self.subTest(deadline_ms=deadline_ms):
                pause_ms = self._measure_unproved_pause(deadline_ms)
                self.assertLess(pause_ms, deadline_ms / 2)

    def test_pause_goes_on_while_proofs_come(self) -> None:
        """A store that fails must not get a call for each proof."""
        lengths: list[int] = []

        async def run(clock: Clock) -> None:
            copy = Copy(clock, 3000)
            async with run_tasks(copy.keep_proving()):
                await copy.fail_often()
                since_ms = clock.now()
                await copy.fail_often()
                lengths.append(clock.now() - since_ms)

        random.seed(0)
        run_virtual(run)
        self.assertGreater(lengths[0] / _FAILURES, 2 * _PROOF_GAP_MS)

    def _measure_unproved_pause(self, deadline_ms: int) -> int:
        """Return the longest pause of a large fleet without proofs."""
        lengths: list[int] = []

        async def run(clock: Clock) -> None:
            copy = Copy(clock, deadline_ms, interval_factor=11)
            await clock.sleep(deadline_ms)
            await copy.fail_often()
            for _ in range(_SEEDS):
                since_ms = clock.now()
                await copy.pause.wait()
                lengths.append(clock.now() - since_ms)

        random.seed(0)
        run_virtual(run)
        return max(lengths)

    def _play(self, seed: int, deadline_ms: int) -> int:
        """Return the age of the last proof at the end of the next pause."""
        ages: list[int] = []

        async def run(clock: Clock) -> None:
            copy = Copy(clock, deadline_ms)
            async with run_tasks(copy.keep_proving()):
                await copy.fail_often()
                await asyncio.sleep(0)
            await clock.sleep(random.uniform(0, _PROOF_GAP_MS))
            await copy.pause.wait()
            ages.append(clock.now() - copy.freshness.proved_ms)

        random.seed(seed)
        run_virtual(run)
        return ages[0]
