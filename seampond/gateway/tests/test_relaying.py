"""Tests of relaying rows of the store between gateways."""

import json

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import SERVERS_TABLE
from seampond.platform.tests.rows import POOL, put_gateway
from seampond.sharing import Heartbeat, RelayedPage, hash_name
from seampond.testing.gateways import wait_until
from seampond.watches import Page, Row

_OTHERS = 40
_LARGE_BYTES = 20_000


class RelayingTest(GatewayCase):
    """A gateway that starts after many others."""

    async def start_after_others(self) -> RunningGateway:
        """Start a gateway that need not follow tables itself."""
        gateway = await self.start_ready()
        names = [f'peer-{number}' for number in range(_OTHERS)]
        for name in names:
            put_gateway(self.store, name)
        peers = gateway.components.peers
        await wait_until(lambda: peers.count == _OTHERS + 1)
        for name in names:
            self.assertTrue(peers.apply_heartbeat(Heartbeat(name, 1, 1)))
        self.assertFalse(peers.is_follower)
        return gateway

    async def test_server_is_learned_from_a_heartbeat(self) -> None:
        """Its row comes with another gateway's heartbeat."""
        gateway = await self.start_after_others()
        components = gateway.components
        watch = components.watches[SERVERS_TABLE]
        await wait_until(lambda: not watch.is_unconfirmed)
        since = components.freshness[SERVERS_TABLE].version
        content = {
            'service': POOL,
            'address': self.server.address,
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        row = Row('i-9', json.dumps(content).encode(), since + 1)
        page = RelayedPage(
            hash_name(SERVERS_TABLE), since, since + 1, 1, (row,)
        )
        components.handle_heartbeat(Heartbeat('peer-1', 1, 2, pages=(page,)))
        backend = components.backends.get('i-9')
        assert backend is not None
        self.assertTrue(backend.takes_work)

    async def test_rows_are_relayed_once(self) -> None:
        """In a heartbeat that is sent at once, unless they are too large."""
        gateway = await self.start_ready()
        components = gateway.components
        components.record_heartbeat_sent()
        components.is_heartbeat_due.clear()
        for size, relayed_pages in ((100, 1), (_LARGE_BYTES, 0)):
            row = Row('i-9', b'x' * size, 8)
            page = Page((row,), 9, 1, 0, 0, is_snapshot=False)
            components.relay(SERVERS_TABLE, 7, page)
            self.assertTrue(components.is_heartbeat_due.is_set())
            self.assertEqual(
                len(components.make_heartbeat(1).pages), relayed_pages
            )
            components.record_heartbeat_sent()
            self.assertEqual(components.make_heartbeat(2).pages, ())
