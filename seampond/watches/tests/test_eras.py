"""What proves a table to be current when its store has been restored."""

import unittest

from seampond.clock import Clock
from seampond.watches import (
    FreshnessProof,
    Page,
    StoreClock,
    TableFreshness,
    make_version,
)

_BEFORE = make_version(1, 900)
_AFTER = make_version(2, 7)


class ErasTest(unittest.TestCase):
    """A belief that was read whole after a restore."""

    def setUp(self) -> None:
        """Hold what the restored store had."""
        self.proved: list[int] = []
        self.freshness = TableFreshness(
            Clock(lambda: 1000), StoreClock(), self.proved.append
        )
        page = Page((), _AFTER, 5000, 500, 500, is_snapshot=True)
        self.freshness.check(page)
        self.freshness.apply_page(page)

    def test_a_proof_of_before_proves_nothing(self) -> None:
        """What was the newest change then may be lost."""
        self.freshness.apply_proof(FreshnessProof(_BEFORE, 5100))
        self.assertEqual(self.proved, [])
        self.assertFalse(self.freshness.is_behind)

    def test_a_proof_of_after_proves(self) -> None:
        """Its number is smaller, and its era is ours."""
        self.freshness.apply_proof(FreshnessProof(_AFTER, 5100))
        self.assertEqual(len(self.proved), 1)

    def test_a_later_era_is_news(self) -> None:
        """Whatever its number."""
        self.freshness.apply_proof(FreshnessProof(make_version(3, 1), 5100))
        self.assertTrue(self.freshness.is_behind)
