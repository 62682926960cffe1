"""Short soak tests; `bin/soak` runs long ones."""

import tempfile
import unittest
from pathlib import Path

from seampond.demo.fleet import copy_with_free_ports
from seampond.soak.__main__ import run_soak
from seampond.soak.faults import ALL_FAULTS, Fault, cut_links, rolled_agent
from seampond.soak.load_generator import SoakReport
from seampond.testing.processes import EXAMPLES

SEED = 7
SECONDS = 5


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def run_soak(self, *faults: Fault) -> SoakReport:
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            copy_with_free_ports(EXAMPLES / 'blue-mahoe', folder)
            return await run_soak(folder, SEED, SECONDS, faults)

    async def test_no_promise_is_broken_under_all_faults(self) -> None:
        report = await self.run_soak(*ALL_FAULTS)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.outcomes['whole'], 0)

    async def test_drained_agents_and_aborted_links_lose_no_response(
        self,
    ) -> None:
        report = await self.run_soak(rolled_agent, cut_links)
        self.assertEqual(report.violations, [])
        self.assertEqual(report.outcomes['broken'], 0)
        doubtful = [name for name in report.outcomes if 'maybe' in name]
        self.assertEqual(doubtful, [])
