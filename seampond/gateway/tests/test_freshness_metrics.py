"""Tests of the metrics of configuration age and missing rows."""

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import CONFIGURATION_TABLE
from seampond.testing.gateways import wait_until
from seampond.watches import FreshnessProof

_LATER_MS = 1_000_000_000


class FreshnessMetricsTest(GatewayCase):
    """One gateway that loses its store."""

    async def test_stale_gateway_exports_its_lag(self) -> None:
        """The proof ages, and the rows known to be missing have an age."""
        gateway = await self.start_ready()
        registry = gateway.components.metrics.registry
        labels = {'table': CONFIGURATION_TABLE}

        def read(name: str, **labels: str) -> float:
            value = registry.get_sample_value(f'seampond_{name}', labels)
            assert value is not None
            return value

        self.assertFalse(read('table_missing_seconds', **labels))
        self.store.is_down = True
        freshness = gateway.components.freshness[CONFIGURATION_TABLE]
        freshness.apply_proof(FreshnessProof(freshness.version + 1, _LATER_MS))
        await wait_until(lambda: read('table_missing_seconds', **labels))
        self.assertTrue(read('configuration_proof_age_seconds'))
