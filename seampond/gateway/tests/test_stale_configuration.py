"""A gateway that was cut from the store catches up over a narrow link.

Symptom: a gateway that reached the store again refused, for seven seconds
more, routes and keys that had been added meanwhile (404, 401).

Sequence: for 12 s no call to the store got through while the configuration
was written some 35 times.  Then each call was answered, one a second, and
given up.  It ended when the store had forgotten the history and the table was
read whole, 0.04 s later.

Cause: a feed's answer holds each version since the one that is held, so it
grew with the length of the cut; a call had 0.9 s for the whole answer however
fast it came in; and the call that followed was the same one.

What settled it: the store counted the calls as answered; the gateway took in
342 to 621 KB/s over a link of 625 KB/s, its neighbours 40 to 112 KB/s; its
requests told `version 11` and a `proof_age_ms` of 21,409, and its watch
logged nothing but `history gone` at the end.
"""

from http import HTTPStatus

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import CONFIGURATION_TABLE
from seampond.platform.tests.rows import ConfigurationRow, put_configuration
from seampond.testing.gateways import until_true
from seampond.watches import FreshnessProof

_TENANTS = 2000
_VERSIONS = 60
# All versions take over seven seconds, the newest an eighth of one.
_BYTES_PER_S = 1_000_000
_MOST_S = 8
_LATER_MS = 1_000_000_000


class CatchingUpTest(GatewayCase):
    """One gateway before a store that is away for a while."""

    async def test_a_cut_ends_with_the_newest_configuration(self) -> None:
        """However many versions were missed, and however slowly they come."""
        gateway = await self.start_ready()
        admission = gateway.components.web.admission
        self.store.is_down = True
        # The change ends the call that waits; the ones after it fail.
        put_configuration(self.store, ConfigurationRow(version=2))
        await until_true(lambda: gateway.components.is_store_unreachable)
        for version in range(3, _VERSIONS):
            row = ConfigurationRow(version=version, other_tenants=_TENANTS)
            put_configuration(self.store, row)
        self.store.bytes_per_s = _BYTES_PER_S
        self.store.is_down = False
        await until_true(lambda: admission.version == _VERSIONS - 1, _MOST_S)

    async def test_who_is_behind_denies_nobody(self) -> None:
        """The route or the key may have been added; callers try again."""
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
        await until_true(lambda: not freshness.is_behind)
        for path, key, status in (
            ('/new/', 'k1', HTTPStatus.NOT_FOUND),
            ('/x/y', 'new', HTTPStatus.UNAUTHORIZED),
        ):
            response = await self.ask(gateway, path, key)
            self.assertEqual(response.status_code, status)
