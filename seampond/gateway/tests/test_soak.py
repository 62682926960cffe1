"""Gateways as processes under seeded faults.

Kills, freezes, stops, a store that is away, servers that crash, rows that are
none, and one request that ends whatever runs it.  Longer runs are started by
hand with other seeds.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.gateway_soak import soak

_SEED = 1
_SECONDS = 6
_LATER_SECONDS = 10


class SoakTest(unittest.TestCase):
    """A short run."""

    def test_promises_hold(self) -> None:
        """As callers and servers have seen them."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(soak(Path(folder), _SEED, _SECONDS))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)

    def test_promises_hold_where_servers_speak_of_themselves(self) -> None:
        """And where the store comes back older."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                soak(Path(folder), _SEED, _LATER_SECONDS, is_later=True)
            )
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)
