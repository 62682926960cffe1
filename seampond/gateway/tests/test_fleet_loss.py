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
        plans = [
            LossPlan(leaves_ms=200, stated_wait=stated_wait)
            for stated_wait in StatedWait
        ]
        for plan, report in zip(plans, self._play(*plans), strict=True):
            with self.subTest(stated_wait=plan.stated_wait):
                self._check(report)

    def test_stream_of_a_serving_version_is_refused_after_the_loss(
        self,
    ) -> None:
        """Servers of both versions are there."""
        plans = [LossPlan(), LossPlan(kills_ms=(4000, 6000))]
        for plan, report in zip(plans, self._play(*plans), strict=True):
            with self.subTest(kills_ms=plan.kills_ms):
                self._check(report)
                self._check_share(report)

    def test_stream_of_the_only_version_is_refused_after_the_loss(
        self,
    ) -> None:
        """Callers do not name the request that began it."""
        plan = LossPlan(versions=(NEW_VERSION,), names_first=False)
        report = self._play(plan)[0]
        self._check(report)
        self._check_share(report)

    def _play(self, *plans: LossPlan) -> list[LossReport]:
        """Play fleets of their own at the same time."""

        async def play(folder: str) -> list[LossReport]:
            runs = []
            for number, plan in enumerate(plans):
                path = Path(folder, str(number))
                path.mkdir()
                runs.append(run_fleet_loss(path, plan))
            return await asyncio.gather(*runs)

        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(folder))

    def _check(self, report: LossReport) -> None:
        self.assertEqual(len(report.joined), 0)
        self.assertEqual(len(report.disordered), 0)
        self.assertGreater(report.cut, 0)

    def _check_share(self, report: LossReport) -> None:
        self.assertGreater(report.recorded, 0)
        self.assertGreaterEqual(report.went_on, _SHARE * report.recorded)
