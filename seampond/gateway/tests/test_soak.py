"""Gateways as processes under seeded faults.

Kills, freezes, stops, a store that is away, servers that crash, rows that are
none, and one request that ends whatever runs it.  Longer runs are started by
hand with other seeds.
"""

import asyncio
import subprocess
import tempfile
import unittest
from pathlib import Path

from seampond.testing.gateway_processes import unpack_build
from seampond.testing.gateway_soak import SoakPlan, soak
from seampond.testing.soak_faults import LATER_FAULTS, LIMIT_FAULTS

_SEED = 1
_SECONDS = 6
_LATER_SECONDS = 10
# The build that ran before this one.
_EARLIER = 'd0c8526'


class SoakTest(unittest.TestCase):
    """A short run."""

    def test_promises_hold(self) -> None:
        """As callers and servers have seen them."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(soak(Path(folder), SoakPlan(_SEED, _SECONDS)))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_promises_hold_where_servers_speak_of_themselves(self) -> None:
        """And where the store comes back older."""
        plan = SoakPlan(_SEED, _LATER_SECONDS, LATER_FAULTS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_limits_hold(self) -> None:
        """Servers name limits, change them, and take them back."""
        plan = SoakPlan(_SEED, _LATER_SECONDS, LIMIT_FAULTS)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertIn('_name_limit', report.faults)

    def test_builds_side_by_side(self) -> None:
        """Gateways of the build before are replaced one by one."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            try:
                earlier = unpack_build(_EARLIER, folder / 'earlier')
            except (OSError, subprocess.CalledProcessError):
                self.skipTest('the history that holds the build is not here')
            plan = SoakPlan(_SEED, _LATER_SECONDS, LATER_FAULTS, earlier)
            report = asyncio.run(soak(folder, plan))
        self.assertEqual(report.wrong, [])
        self.assertGreaterEqual(report.faults['replaced'], 3)
