"""Tests of a gateway whose store is restored from a backup.

The store then reuses version numbers.  A gateway that compared them would take
new rows for old ones and miss them until the numbers have caught up.
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
from seampond.testing.gateways import get_backend, wait_until

_WRITES = 30
_DRAINING = 'draining'


class StoreRestoreTest(GatewayCase):
    """One gateway that has read rows which the restore loses."""

    async def open(self) -> RunningGateway:
        """Start the gateway and record the time of the backup."""
        gateway = await self.start_ready()
        await wait_until(lambda: gateway.components.peers.registration_version)
        await asyncio.sleep(0.05)
        self.backup_ms = self.store.clock.now()
        await asyncio.sleep(0.05)
        return gateway

    def write_other_rows(self) -> None:
        """Write rows of a table that no gateway follows."""
        for number in range(_WRITES):
            self.store.put('other', f'k{number}', {})

    async def restore_store(self, outage_s: float = 0.3) -> None:
        """Take the store down and bring it up with the backup."""
        await asyncio.sleep(0.3)
        self.store.is_down = True
        await asyncio.sleep(outage_s)
        self.store.restore_backup(self.backup_ms)
        self.store.is_down = False

    def version_of(self, gateway: RunningGateway) -> int:
        """Return the version of the current configuration."""
        configuration = gateway.components.configuration_state.configuration
        return configuration.version if configuration else 0

    async def test_rows_written_after_the_restore_are_read(self) -> None:
        """A configuration and a server with reused version numbers."""
        gateway = await self.open()
        self.write_other_rows()
        put_configuration(self.store, ConfigurationRow(version=2))
        await wait_until(lambda: self.version_of(gateway) == 2)
        await self.restore_store()
        put_configuration(self.store, ConfigurationRow(version=3))
        put_server(self.store, 'i-2', self.server.address)
        await wait_until(lambda: self.version_of(gateway) == 3, 3)
        await wait_until(lambda: gateway.components.backends.get('i-2'), 3)

    async def test_older_configuration_is_not_applied(self) -> None:
        """The newer one stays until it is replaced."""
        gateway = await self.open()
        put_configuration(self.store, ConfigurationRow(version=2))
        await wait_until(lambda: self.version_of(gateway) == 2)
        await self.restore_store()
        for _ in range(20):
            await asyncio.sleep(0.05)
            self.assertEqual(self.version_of(gateway), 2)

    async def test_two_restores_within_a_second(self) -> None:
        """Both of the same backup."""
        gateway = await self.open()
        self.write_other_rows()
        await self.restore_store(0.1)
        self.write_other_rows()
        await self.restore_store(0.1)
        put_configuration(self.store, ConfigurationRow(version=3))
        await wait_until(lambda: self.version_of(gateway) == 3, 3)

    async def test_drained_server_stays_drained(self) -> None:
        """Although its restored row says that it is ready."""
        gateway = await self.open()
        self.list_server(state=_DRAINING)
        backend = get_backend(gateway.components.backends, 'i-1')
        await wait_until(lambda: not backend.takes_work)
        await self.restore_store()
        put_server(self.store, 'i-2', self.server.address)
        await wait_until(lambda: gateway.components.backends.get('i-2'), 3)
        self.assertFalse(backend.takes_work)

    async def test_gateway_registers_again(self) -> None:
        """The other gateways find it by its row."""
        self.backup_ms = self.store.clock.now()
        put_configuration(self.store)
        await asyncio.sleep(0.05)
        self.backup_ms = self.store.clock.now()
        await asyncio.sleep(0.05)
        self.list_server()
        gateway = await self.start()
        await wait_until(lambda: gateway.components.peers.registration_version)
        await self.restore_store()
        self.assertTrue(is_gateway_removed(self.store, 'g1'))
        await wait_until(lambda: not is_gateway_removed(self.store, 'g1'), 4)
