"""Soak tests of gateway processes under seeded faults.

Faults: kills, freezes, planned stops, store outages, crashing servers, invalid
rows, and a request that crashes each server that runs it.
"""

import asyncio
import subprocess
import tempfile
import unittest
from pathlib import Path

from seampond.testing.gateway_processes import unpack_build
from seampond.testing.gateway_soak import SoakPlan, run_soak
from seampond.testing.soak_faults import (
    LIMIT_FAULTS,
    PART_FAULTS,
    SIGNAL_FAULTS,
)

_SEED = 1
_SECONDS = 6
_LONG_SECONDS = 10
# An earlier build, which must work beside this one.
_EARLIER = 'd0c8526'


class SoakTest(unittest.TestCase):
    """Short runs; longer ones are started by hand with other seeds."""

    def test_promises_hold(self) -> None:
        """As observed by callers and servers."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                run_soak(Path(folder), SoakPlan(_SEED, _SECONDS))
            )
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_promises_hold_with_server_signals(self) -> None:
        """Also with restores of the store."""
        plan = SoakPlan(_SEED, _LONG_SECONDS, SIGNAL_FAULTS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_crashing_part_stays_quarantined(self) -> None:
        """Servers crash together too, and connections are skewed."""
        plan = SoakPlan(
            _SEED, _LONG_SECONDS, PART_FAULTS, has_crashing_part=True
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_limits_hold(self) -> None:
        """Servers state limits, change them and withdraw them."""
        plan = SoakPlan(_SEED, _LONG_SECONDS, LIMIT_FAULTS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertIn('_name_limit', report.faults)

    def test_builds_side_by_side(self) -> None:
        """Gateways of an earlier build are replaced one by one."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            try:
                earlier = unpack_build(_EARLIER, folder / 'earlier')
            except (OSError, subprocess.CalledProcessError):
                self.skipTest('the history that holds the build is not here')
            plan = SoakPlan(_SEED, _LONG_SECONDS, SIGNAL_FAULTS, earlier)
            report = asyncio.run(run_soak(folder, plan))
        self.assertEqual(report.wrong, [])
        self.assertGreaterEqual(report.faults['replaced'], 3)
