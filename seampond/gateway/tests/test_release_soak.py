"""Soak tests of gateway processes while servers are released.

Callers lose their connections, servers break streams, gateways are killed,
stopped and frozen, and the store is away.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.release_soak import ReleasePlan, run_release_soak
from seampond.testing.soak_faults import KILLS, LOSS_FAULTS

_SEED = 1
_SECONDS = 8
# Seeds with the number of gateways.
_FREEZE_SEEDS = ((222, 3), (308, 4), (336, 2))
_FREEZE_SECONDS = 6
_LOSS_SEED = 401


class ReleaseSoakTest(unittest.TestCase):
    """Short runs; longer ones are started by hand with other seeds."""

    def test_stream_joins_versions_after_a_gateway_is_killed(self) -> None:
        """The gateway that began it is gone or has an empty memory."""
        plan = ReleasePlan(_SEED, _SECONDS, faults=KILLS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_release_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertGreater(report.faults['_kill'], 0)
        self.assertGreater(report.resumed, 0)

    def test_stream_joins_versions_under_faults(self) -> None:
        """Faults overlap, and all gateways may be killed at once."""
        plan = ReleasePlan(_SEED, _SECONDS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_release_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertGreater(report.resumed, 0)

    def test_stream_begun_by_a_frozen_gateway_joins_versions(self) -> None:
        """Servers restart while it is frozen, as other versions."""
        for seed, gateways in _FREEZE_SEEDS:
            plan = ReleasePlan(seed, _FREEZE_SECONDS, gateways)
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                report = asyncio.run(run_release_soak(Path(folder), plan))
                self.assertEqual(report.wrong, [])

    def test_stream_joins_versions_or_holds_garbage_under_losses(self) -> None:
        """Some or all gateways end at once in the middle of a release."""
        plan = ReleasePlan(
            _LOSS_SEED, _FREEZE_SECONDS, faults=LOSS_FAULTS, has_losses=True
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_release_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertGreater(report.faults['in_release'], 0)
