"""Tests of rate limits shared by entries, with a bounded burst."""

import unittest

from seampond.clock import ManualClock
from seampond.limits import Limiter
from seampond.templates import Parameters

RATE = 10


class LimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.limiter = Limiter(self.clock)
        self.parameters = Parameters(
            tier=1, requests_per_s=RATE, tokens_per_s=1000
        )

    def admit(self, entries: int = 1, tokens: int = 0) -> int:
        return self.limiter.admit(
            'gym', 'draft', self.parameters, tokens=tokens, entries=entries
        )

    def admitted_in(self, seconds: int, entries: int) -> int:
        count = 0
        for _ in range(seconds * 100):
            self.clock.advance(10)
            count += self.admit(entries) == 0
        return count

    def test_steady_load_gets_the_paid_rate(self) -> None:
        self.admitted_in(10, 1)
        self.assertAlmostEqual(self.admitted_in(60, 1), 600, delta=6)

    def test_each_of_three_entries_grants_a_third(self) -> None:
        self.admitted_in(10, 3)
        self.assertAlmostEqual(self.admitted_in(60, 3), 200, delta=4)

    def test_a_dead_entry_leaves_its_share_to_the_others(self) -> None:
        self.admitted_in(10, 3)
        self.assertAlmostEqual(self.admitted_in(60, 2), 300, delta=4)

    def test_wait_time_of_refusal_suffices(self) -> None:
        waits = [self.admit() for _ in range(3 * RATE)]
        wait_ms = max(waits)
        self.assertGreater(wait_ms, 0)
        self.clock.advance(wait_ms)
        self.assertEqual(self.admit(), 0)

    def test_prompt_beyond_burst_is_admitted_and_charged(self) -> None:
        self.assertEqual(self.admit(tokens=50_000), 0)
        self.assertGreater(self.admit(tokens=1), 40_000)
