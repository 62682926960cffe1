"""Tests of clocks that run at different rates."""

import itertools
import random
import unittest
from collections.abc import Iterator

from seampond.clock import MS_PER_DAY, MS_PER_SECOND, ManualClock
from seampond.errors import PlatformError
from seampond.watches import (
    FreshnessProof,
    Page,
    StoreClock,
    TableFreshness,
    make_version,
)

_OFFSET_MS = 1_000_000
_RATES = (0.9995, 0.9998, 1.0, 1.0002, 1.0005)


def _ignore(proved_ms: int) -> None:
    """Take no notice of a proof."""


class StoreSimulation:
    """Calls to a store whose clock runs at `rate` times the local one."""

    def __init__(self, rate: float) -> None:
        """Start with the clocks at their beginning."""
        self.rate = rate
        self.rng = random.Random(7)

    def read_store(self, true_ms: float) -> int:
        """Return what the store's clock shows at a moment."""
        return int(_OFFSET_MS + true_ms * self.rate)

    def calls(
        self, gap_ms: float, until_ms: float
    ) -> Iterator[tuple[Page, float]]:
        """Yield answers and the moments at which the store gave them."""
        now_ms: float = 0
        while now_ms < until_ms:
            answered_ms = now_ms + self.rng.expovariate(0.5)
            received_ms = answered_ms + self.rng.expovariate(0.5)
            store_ms = self.read_store(answered_ms)
            page = Page((), 1, store_ms, int(now_ms), int(received_ms), False)
            yield page, answered_ms
            now_ms = received_ms + self.rng.uniform(0, 2 * gap_ms)


class ClockRatesTest(unittest.TestCase):
    """Clocks of the store and of this machine over more than a day."""

    def test_honest_answer_is_not_rejected(self) -> None:
        """Guards against bounds that the clocks have drifted out of."""
        for rate, gap_ms in itertools.product(_RATES, (0.5, 3000, 3_600_000)):
            until_ms = min(1.2 * MS_PER_DAY, gap_ms * 40_000)
            clock = StoreClock()
            with self.subTest(rate=rate, gap_ms=gap_ms):
                for page, _ in StoreSimulation(rate).calls(gap_ms, until_ms):
                    clock.update(page)

    def test_proof_does_not_seem_fresher_than_it_is(self) -> None:
        """Guards against an offset that is outdated for a faster store."""
        for rate, gap_ms in itertools.product(_RATES, (2, 3000)):
            until_ms = min(1.2 * MS_PER_DAY, gap_ms * 40_000)
            with self.subTest(rate=rate, gap_ms=gap_ms):
                self._check_proofs(StoreSimulation(rate), gap_ms, until_ms)

    def test_store_time_is_not_early(self) -> None:
        """Guards against a trial that seems to be older than it is."""
        clock = StoreClock()
        simulation = StoreSimulation(1.0005)
        for page, _ in simulation.calls(60_000, MS_PER_DAY):
            clock.update(page)
            later_ms = page.received_ms + 30_000
            actual_ms = simulation.read_store(later_ms)
            self.assertGreaterEqual(clock.to_store_ms(later_ms), actual_ms)
            self.assertLess(clock.to_store_ms(later_ms), actual_ms + 200)

    def test_answer_to_an_earlier_call_is_rejected(self) -> None:
        """Guards against bounds so wide that a stale answer passes."""
        for rate in _RATES:
            clock = StoreClock()
            simulation = StoreSimulation(rate)
            for page, _ in simulation.calls(900, MS_PER_DAY / 10):
                clock.update(page)
            sent_ms = page.received_ms + MS_PER_SECOND
            late = Page((), 1, page.store_ms, sent_ms, sent_ms + 9, False)
            with self.subTest(rate=rate), self.assertRaises(PlatformError):
                clock.update(late)

    def _check_proofs(
        self, simulation: StoreSimulation, gap_ms: float, until_ms: float
    ) -> None:
        """Check the age of proofs that other machines give."""
        freshness = TableFreshness(ManualClock(), StoreClock(), _ignore)
        last_ms: float = 0
        for page, answered_ms in simulation.calls(gap_ms, until_ms):
            if last_ms:
                moment_ms = simulation.rng.uniform(last_ms, page.sent_ms)
                store_ms = simulation.read_store(moment_ms)
                freshness.apply_proof(FreshnessProof(0, store_ms))
                self.assertLessEqual(freshness.proved_ms, moment_ms)
                self.assertGreater(freshness.proved_ms, moment_ms - 100)
            freshness.check(page)
            freshness.apply_page(page)
            self.assertLessEqual(freshness.proved_ms, answered_ms)
            last_ms = answered_ms


class OtherClockTest(unittest.TestCase):
    """A store whose clock is no longer the one that was known."""

    def setUp(self) -> None:
        """Hold a copy that was read before the change."""
        self.clock = ManualClock(50_000)
        self.store_clock = StoreClock()
        self.freshness = TableFreshness(self.clock, self.store_clock, _ignore)
        self._hold(make_version(1, 5), 900_000, 49_000)

    def test_restored_store_may_have_a_slower_clock(self) -> None:
        """Guards against a restored store whose answers are all rejected."""
        self._hold(make_version(2, 3), 7000, 60_000)
        self.assertEqual(self.freshness.proved_ms, 60_000)

    def test_proof_by_the_clock_of_an_earlier_era_is_ignored(self) -> None:
        """Guards against a proof that is converted by another clock."""
        self.store_clock.update(
            Page((), make_version(2, 3), 7000, 60_000, 60_000, False)
        )
        self.freshness.apply_proof(FreshnessProof(make_version(1, 5), 960_000))
        self.assertEqual(self.freshness.proved_ms, 49_000)

    def test_answer_of_an_earlier_era_is_rejected(self) -> None:
        """Guards against an answer that another connection brings late."""
        self._hold(make_version(2, 3), 7000, 60_000)
        with self.assertRaises(PlatformError):
            self._hold(make_version(1, 6), 912_000, 61_000)

    def test_local_clock_that_stood_still_gives_no_later_proof(self) -> None:
        """Guards against proofs from the future after a suspension."""
        self._hold(make_version(1, 5), 4_500_000, 51_000)
        self.assertEqual(self.freshness.proved_ms, 51_000)

    def _hold(self, version: int, store_ms: int, local_ms: int) -> None:
        page = Page((), version, store_ms, local_ms, local_ms, False)
        self.freshness.check(page)
        self.freshness.apply_page(page)
