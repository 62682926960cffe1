"""What metrics tell of how old and how complete a gateway's beliefs are."""

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import CONFIGURATION_TABLE
from seampond.testing.gateways import until_true
from seampond.watches import FreshnessProof

_LATER_MS = 1_000_000_000


class AgesTest(GatewayCase):
    """One gateway whose store goes away."""

    async def test_a_gateway_that_is_behind_says_so(self) -> None:
        """Its proof grows old; what it lacks and knows of has an age."""
        gateway = await self.start_ready()
        registry = gateway.components.metrics.registry
        labels = {'table': CONFIGURATION_TABLE}

        def read(name: str, **words: str) -> float:
            value = registry.get_sample_value(f'seampond_{name}', words)
            assert value is not None
            return value

        self.assertFalse(read('table_missing_seconds', **labels))
        self.store.is_down = True
        freshness = gateway.components.freshness[CONFIGURATION_TABLE]
        freshness.apply_proof(FreshnessProof(freshness.version + 1, _LATER_MS))
        await until_true(lambda: read('table_missing_seconds', **labels))
        self.assertTrue(read('configuration_proof_age_seconds'))
