"""Short soaks of gateway processes whose configuration changes all the time.

Longer ones are started by hand with other seeds.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.configuration_soak import (
    ConfigurationPlan,
    run_configuration_soak,
)

_SECONDS = 8
# Seed with large configurations over slow links.
_LARGE_SEED = 13
_LARGE_SECONDS = 4


class ConfigurationSoakTest(unittest.TestCase):
    """No caller may be denied what each configuration in force allows."""

    def test_no_denial_by_an_old_configuration_among_others(self) -> None:
        """Gateways that relay changes to each other."""
        self._run(ConfigurationPlan(1, _SECONDS))

    def test_no_denial_by_an_old_configuration_while_alone(self) -> None:
        """A gateway that hears no other, and calls that hang."""
        self._run(ConfigurationPlan(_LARGE_SEED, _LARGE_SECONDS, gateways=1))

    def _run(self, plan: ConfigurationPlan) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_configuration_soak(Path(folder), plan))
        self.assertEqual(report.wrong, [])
        self.assertTrue(report.faults)
        self.assertTrue(report.bound)
