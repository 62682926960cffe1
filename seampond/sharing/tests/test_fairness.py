"""What less urgent work leaves for the more urgent."""

import unittest

from seampond.clock import ManualClock
from seampond.sharing.fairness import Fairness


class FairnessTest(unittest.TestCase):
    """Which units are kept, from whom, and for how long."""

    def setUp(self) -> None:
        """Start with nothing asked."""
        self.clock = ManualClock()
        self.fairness = Fairness(self.clock)

    def test_refused_urgent_work_is_kept_for(self) -> None:
        """Work of the same rank and above is not held up by it."""
        self.fairness.record(1, 400, is_granted=False)
        self.assertEqual(
            [self.fairness.reserved_above(rank) for rank in range(4)],
            [0, 0, 400, 400],
        )

    def test_as_large_a_part_is_enough(self) -> None:
        """Urgent work that is served better than other work waits."""
        self.fairness.record(0, 400, is_granted=True)
        self.fairness.record(0, 400, is_granted=False)
        self.fairness.record(2, 10, is_granted=False)
        self.assertEqual(self.fairness.reserved_above(2), 0)
        self.fairness.record(2, 10, is_granted=True)
        self.assertEqual(self.fairness.reserved_above(2), 400)

    def test_who_asks_no_more_holds_nobody_up(self) -> None:
        """A refusal is forgotten after a second."""
        self.fairness.record(0, 400, is_granted=False)
        self.clock.advance(1001)
        self.assertEqual(self.fairness.reserved_above(2), 0)

    def test_the_past_counts_for_less(self) -> None:
        """What was given long ago is no reason to refuse now."""
        for _ in range(8):
            self.fairness.record(0, 400, is_granted=True)
        self.clock.advance(20_000)
        self.fairness.record(0, 400, is_granted=False)
        self.fairness.record(2, 10, is_granted=True)
        self.assertEqual(self.fairness.reserved_above(2), 400)
