"""Soak tests of gateway processes while servers are released.

Callers lose their connections, servers break streams, gateways are killed,
stopped and frozen, and the store is away.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.release_soak import ReleasePlan, run_release_soak
from seampond.testing.soak_faults import KILLS

_SEED = 1
_SECONDS = 8


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
