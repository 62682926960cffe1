"""Tests of load balancers that send most new connections to one gateway."""

import asyncio
import itertools

from seampond.clock import Clock
from seampond.gateway.daemon import RunningGateway, run_gateway
from seampond.gateway.tests.test_gateway import GatewayCase, build_settings
from seampond.platform.tests.rows import (
    IDEMPOTENT,
    ONCE,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.crashing import CrashingFleet, run_crashing_fleet
from seampond.testing.gateways import wait_until
from seampond.testing.virtual_time import VirtualTimeCase

_GATEWAYS = 8
_SERVERS = 6
_CONNECTIONS_MAX = 10
_SERVICE_MS = 100
# 150 a second, of the 240 that the servers can run.
_INTERVAL_S = 1 / 150
_SKEW_STARTS_MS = 3000
# How long a gateway may take to adapt.
_ADAPTED_MS = 6000
_END_MS = 9000
_SETTLED_MS = 1000
# Of ten new connections, this many go to one gateway.
_SKEWED_OF_TEN = 9
# Of the share that is served at the first attempt before.
_KEPT_FRACTION = 0.75
_START_TIMEOUT_S = 20


class SkewedConnectionsTest(VirtualTimeCase, GatewayCase):
    """Nine of ten new connections arrive at one gateway."""

    async def test_equal_parts_of_a_connection_limit(self) -> None:
        """Ten connections at each server."""
        await self._check()

    async def test_requests_that_may_run_once(self) -> None:
        """A connection that is reset loses its request."""
        await self._check(ONCE)

    async def _check(self, kind: str = IDEMPOTENT) -> None:
        row = ConfigurationRow(kind=kind, connections_max=_CONNECTIONS_MAX)
        put_configuration(self.store, row)
        fleet = await self.stack.enter_async_context(
            run_crashing_fleet(self.store, _SERVERS)
        )
        for server in fleet.servers:
            server.service_ms = _SERVICE_MS
            server.connections_max = _CONNECTIONS_MAX
        addresses = await self._start_gateways(_GATEWAYS)
        since_ms = fleet.clock.now()
        await _send_skewed(fleet, addresses, since_ms)
        before = fleet.served_share(
            since_ms + _SETTLED_MS, since_ms + _SKEW_STARTS_MS
        )
        after = fleet.served_share(since_ms + _ADAPTED_MS)
        self.assertGreater(after, _KEPT_FRACTION * before)
        self.assertFalse(any(server.reset_count for server in fleet.servers))

    async def _start_gateways(self, count: int) -> list[str]:
        """Start gateways and return their addresses."""
        gateways = await asyncio.gather(
            *(self._start_gateway(f'g{number}') for number in range(count))
        )
        await wait_until(
            lambda: all(_is_up(gateway, count) for gateway in gateways),
            _START_TIMEOUT_S,
        )
        return [gateway.components.settings.listen for gateway in gateways]

    async def _start_gateway(self, name: str) -> RunningGateway:
        settings = build_settings(self.store.address, name=name)
        return await self.stack.enter_async_context(
            run_gateway(settings, Clock())
        )


async def _send_skewed(
    fleet: CrashingFleet, addresses: list[str], since_ms: int
) -> None:
    """Send requests at equal intervals, later most of them to one gateway."""
    turns = itertools.cycle(addresses)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            elapsed_ms = fleet.clock.now() - since_ms
            if elapsed_ms >= _END_MS:
                return
            is_skewed = elapsed_ms >= _SKEW_STARTS_MS
            address = next(turns)
            if is_skewed and number % 10 < _SKEWED_OF_TEN:
                address = addresses[0]
            body = b'request %d' % number
            group.create_task(fleet.send_request(address, body))
            await asyncio.sleep(_INTERVAL_S)


def _is_up(gateway: RunningGateway, gateways: int) -> bool:
    components = gateway.components
    is_proved = components.web.admission.is_proved
    is_complete = (
        len(components.backends) == _SERVERS
        and components.peers.count == gateways
    )
    return components.is_ready and is_proved and is_complete
