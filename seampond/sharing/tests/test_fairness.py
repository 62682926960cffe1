"""Tests of the units reserved for urgent requests."""

import unittest

from seampond.clock import ManualClock
from seampond.sharing.fairness import Fairness


class FairnessTest(unittest.TestCase):
    """Units reserved, for which ranks and for how long."""

    def setUp(self) -> None:
        """Start without any demand."""
        self.clock = ManualClock()
        self.fairness = Fairness(self.clock)

    def test_refused_units_are_reserved(self) -> None:
        """Requests of the same rank and above must not be held up."""
        self.fairness.record(1, 400, is_granted=False)
        self.assertEqual(
            [self.fairness.reserved_above(rank) for rank in range(4)],
            [0, 0, 400, 400],
        )

    def test_no_reservation_for_better_served_rank(self) -> None:
        """An urgent rank with more requests granted must not take all units."""
        self.fairness.record(0, 400, is_granted=True)
        self.fairness.record(0, 400, is_granted=False)
        self.fairness.record(2, 10, is_granted=False)
        self.assertEqual(self.fairness.reserved_above(2), 0)
        self.fairness.record(2, 10, is_granted=True)
        self.assertEqual(self.fairness.reserved_above(2), 400)

    def test_reservation_expires(self) -> None:
        """An old refusal must not hold up other requests."""
        self.fairness.record(0, 400, is_granted=False)
        self.clock.advance(1001)
        self.assertEqual(self.fairness.reserved_above(2), 0)

    def test_old_grants_decay(self) -> None:
        """Old grants of an urgent rank must not cancel its reservation."""
        for _ in range(8):
            self.fairness.record(0, 400, is_granted=True)
        self.clock.advance(20_000)
        self.fairness.record(0, 400, is_granted=False)
        self.fairness.record(2, 10, is_granted=True)
        self.assertEqual(self.fairness.reserved_above(2), 400)
