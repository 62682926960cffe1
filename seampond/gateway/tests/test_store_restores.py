"""A store that is restored from a copy some seconds old.

Versions go back and are given out again.  A gateway that compared them went on
waiting for changes after a version that the store did not have any more: each
answer was older than what was held (`stale answer` in its log), and a server or
a configuration that was written meanwhile was known only when the numbers had
come so far again.
"""

import asyncio

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    ConfigurationRow,
    is_gateway_removed,
    put_configuration,
    put_server,
)
from seampond.testing.gateways import pick, until_true

_WRITES = 30
_LEAVING = 'draining'


class EraTest(GatewayCase):
    """One gateway, which has read what is then lost."""

    async def open(self) -> RunningGateway:
        """Start the gateway; note the moment of the copy."""
        gateway = await self.start_ready()
        await until_true(lambda: gateway.components.peers.registration_version)
        await asyncio.sleep(0.05)
        self.copied_ms = self.store.clock.now()
        await asyncio.sleep(0.05)
        return gateway

    def write_much(self) -> None:
        """Write rows of a table that nobody reads."""
        for number in range(_WRITES):
            self.store.put('other', f'k{number}', {})

    async def lose(self, away_s: float = 0.3) -> None:
        """Let the store be away for a moment and come back older."""
        await asyncio.sleep(0.3)
        self.store.is_down = True
        await asyncio.sleep(away_s)
        self.store.go_back(self.copied_ms)
        self.store.is_down = False

    def version_of(self, gateway: RunningGateway) -> int:
        """Give the version of the configuration in force."""
        configuration = gateway.components.configuration_state.configuration
        return configuration.version if configuration else 0

    async def test_what_is_written_then_is_known(self) -> None:
        """A configuration and a server, under numbers given out again."""
        gateway = await self.open()
        self.write_much()
        put_configuration(self.store, ConfigurationRow(version=2))
        await until_true(lambda: self.version_of(gateway) == 2)
        await self.lose()
        put_configuration(self.store, ConfigurationRow(version=3))
        put_server(self.store, 'i-2', self.server.address)
        await until_true(lambda: self.version_of(gateway) == 3, 3)
        await until_true(lambda: gateway.components.backends.get('i-2'), 3)

    async def test_an_older_configuration_is_no_news(self) -> None:
        """It stays in force until a newer one comes."""
        gateway = await self.open()
        put_configuration(self.store, ConfigurationRow(version=2))
        await until_true(lambda: self.version_of(gateway) == 2)
        await self.lose()
        for _ in range(20):
            await asyncio.sleep(0.05)
            self.assertEqual(self.version_of(gateway), 2)

    async def test_twice_within_a_second(self) -> None:
        """The second copy is as old as the first."""
        gateway = await self.open()
        self.write_much()
        await self.lose(0.1)
        self.write_much()
        await self.lose(0.1)
        put_configuration(self.store, ConfigurationRow(version=3))
        await until_true(lambda: self.version_of(gateway) == 3, 3)

    async def test_a_server_that_left_has_not_come_back(self) -> None:
        """Its row says again what it said before."""
        gateway = await self.open()
        self.list_server(state=_LEAVING)
        backend = pick(gateway.components.backends, 'i-1')
        await until_true(lambda: not backend.takes_work)
        await self.lose()
        put_server(self.store, 'i-2', self.server.address)
        await until_true(lambda: gateway.components.backends.get('i-2'), 3)
        self.assertFalse(backend.takes_work)

    async def test_our_own_row_is_written_again(self) -> None:
        """The other gateways find us by it."""
        self.copied_ms = self.store.clock.now()
        put_configuration(self.store)
        await asyncio.sleep(0.05)
        self.copied_ms = self.store.clock.now()
        await asyncio.sleep(0.05)
        self.list_server()
        gateway = await self.start()
        await until_true(lambda: gateway.components.peers.registration_version)
        await self.lose()
        self.assertTrue(is_gateway_removed(self.store, 'g1'))
        await until_true(lambda: not is_gateway_removed(self.store, 'g1'), 4)
