"""Tests of freshness proofs across a restore of the store."""

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
    """A snapshot that was read after a restore."""

    def setUp(self) -> None:
        """Apply a snapshot of the restored store."""
        self.proved: list[int] = []
        self.freshness = TableFreshness(
            Clock(lambda: 1000), StoreClock(), self.proved.append
        )
        page = Page((), _AFTER, 5000, 500, 500, is_snapshot=True)
        self.freshness.check(page)
        self.freshness.apply_page(page)

    def test_proof_of_earlier_era_is_ignored(self) -> None:
        """A change from before the restore may be lost."""
        self.freshness.apply_proof(FreshnessProof(_BEFORE, 5100))
        self.assertEqual(self.proved, [])
        self.assertFalse(self.freshness.is_behind)

    def test_proof_of_same_era_is_accepted(self) -> None:
        """A smaller revision of the current era must count as a proof."""
        self.freshness.apply_proof(FreshnessProof(_AFTER, 5100))
        self.assertEqual(len(self.proved), 1)

    def test_later_era_is_a_missing_change(self) -> None:
        """A later era must be missing whatever its revision."""
        self.freshness.apply_proof(FreshnessProof(make_version(3, 1), 5100))
        self.assertTrue(self.freshness.is_behind)
