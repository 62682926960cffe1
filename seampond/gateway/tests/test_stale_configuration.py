"""Tests of a gateway whose configuration is out of date.

After a long outage of the store the changes since the last known version can be
too large for the timeout of one call, and a repeated call would never succeed.
"""

from http import HTTPStatus

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import CONFIGURATION_TABLE
from seampond.platform.tests.rows import ConfigurationRow, put_configuration
from seampond.testing.gateways import wait_until
from seampond.watches import FreshnessProof

_TENANTS = 2000
_VERSIONS = 60
# At this rate all versions take over 7 s, the newest alone 0.125 s.
_BYTES_PER_S = 1_000_000
_TIMEOUT_S = 8
_STORM_VERSIONS = 12
_STORM_GAP_MS = 300
_DEADLINE_S = 2
_LATER_MS = 1_000_000_000


class StaleConfigurationTest(GatewayCase):
    """One gateway whose store is unavailable for some time."""

    async def test_gateway_catches_up_over_a_slow_link(self) -> None:
        """With many missed versions the newest is loaded in time."""
        gateway = await self.start_ready()
        admission = gateway.components.web.admission
        self.store.is_down = True
        # The change ends the waiting call; later calls fail.
        put_configuration(self.store, ConfigurationRow(version=2))
        await wait_until(lambda: gateway.components.is_store_unreachable)
        for version in range(3, _VERSIONS):
            row = ConfigurationRow(version=version, other_tenants=_TENANTS)
            put_configuration(self.store, row)
        self.store.bytes_per_s = _BYTES_PER_S
        self.store.is_down = False
        await wait_until(lambda: admission.version == _VERSIONS - 1, _TIMEOUT_S)

    async def test_gateway_alone_does_not_rely_on_a_call_that_hangs(
        self,
    ) -> None:
        """The answer is lost, the connection is not, and nobody else reads."""
        gateway = await self.start_ready()
        admission = gateway.components.web.admission
        self.store.bytes_per_s = _BYTES_PER_S
        self.store.orphan_feeds()
        for version in range(2, _STORM_VERSIONS):
            row = ConfigurationRow(version=version, other_tenants=_TENANTS)
            put_configuration(self.store, row)
            await self.store.clock.sleep(_STORM_GAP_MS)
        newest = _STORM_VERSIONS - 1
        await wait_until(lambda: admission.version == newest, _DEADLINE_S)

    async def test_stale_gateway_does_not_deny_callers(self) -> None:
        """The route or key may be new, so callers are told to retry."""
        gateway = await self.start_ready()
        self.store.is_down = True
        freshness = gateway.components.freshness[CONFIGURATION_TABLE]
        freshness.apply_proof(FreshnessProof(freshness.version + 1, _LATER_MS))
        for path, key in (('/new/', 'k1'), ('/x/y', 'new')):
            response = await self.ask(gateway, path, key)
            self.assertEqual(
                response.status_code, HTTPStatus.SERVICE_UNAVAILABLE
            )
            self.assertGreater(float(response.headers['retry-after']), 0)
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)
        self.store.is_down = False
        put_configuration(self.store, ConfigurationRow(version=2))
        await wait_until(lambda: not freshness.is_behind)
        for path, key, status in (
            ('/new/', 'k1', HTTPStatus.NOT_FOUND),
            ('/x/y', 'new', HTTPStatus.UNAUTHORIZED),
        ):
            response = await self.ask(gateway, path, key)
            self.assertEqual(response.status_code, status)
