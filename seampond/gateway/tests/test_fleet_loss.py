"""Tests of streams that are resumed after all gateways were killed at once.

What the gateways knew of their streams is gone with their memory.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.fleet_loss import (
    NEW_VERSION,
    LossPlan,
    LossReport,
    run_fleet_loss,
)
from seampond.testing.streaming import StatedWait

# The stated target for streams that began a second before the loss.
_SHARE = 0.9


class FleetLossTest(unittest.TestCase):
    """Three gateways, four servers of each of two versions."""

    def test_stream_joins_versions_after_the_loss_of_all_gateways(
        self,
    ) -> None:
        """The version that began it has just left."""
        for stated_wait in StatedWait:
            with self.subTest(stated_wait=stated_wait):
                report = self._play(
                    LossPlan(leaves_ms=200, stated_wait=stated_wait)
                )
                self._check(report)

    def test_stream_of_a_serving_version_is_refused_after_the_loss(
        self,
    ) -> None:
        """Servers of both versions are there."""
        for kills_ms in ((4000,), (4000, 6000)):
            with self.subTest(kills_ms=kills_ms):
                report = self._play(LossPlan(kills_ms=kills_ms))
                self._check(report)
                self._check_share(report)

    def test_stream_of_the_only_version_is_refused_after_the_loss(
        self,
    ) -> None:
        """Callers do not name the request that began it."""
        report = self._play(
            LossPlan(versions=(NEW_VERSION,), names_first=False)
        )
        self._check(report)
        self._check_share(report)

    def _play(self, plan: LossPlan) -> LossReport:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(run_fleet_loss(Path(folder), plan))

    def _check(self, report: LossReport) -> None:
        self.assertEqual(len(report.joined), 0)
        self.assertEqual(len(report.disordered), 0)
        self.assertGreater(report.cut, 0)

    def _check_share(self, report: LossReport) -> None:
        self.assertGreater(report.recorded, 0)
        self.assertGreaterEqual(report.went_on, _SHARE * report.recorded)
