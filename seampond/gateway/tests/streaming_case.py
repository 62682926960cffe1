"""Base of tests with servers of two versions and callers that resume."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from seampond.clock import Clock
from seampond.gateway.daemon import RunningGateway, run_gateway
from seampond.gateway.tests.test_gateway import GatewayCase, build_settings
from seampond.platform.names import SERVERS_TABLE
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.gateways import wait_until
from seampond.testing.streaming import (
    CallerPlan,
    StreamingFleet,
    run_streaming,
)
from seampond.testing.virtual_time import VirtualTimeCase

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
_SERVERS_PER_VERSION = 4
# 33 streams a second, at the gateways in turn.
_STREAM_INTERVAL_MS = 30
_START_TIMEOUT_S = 20


@contextmanager
def without_server_rows(gateway: RunningGateway) -> Iterator[None]:
    """Let a gateway receive neither rows of servers nor proofs of them."""
    watch = gateway.components.watches[SERVERS_TABLE]
    with (
        patch.object(watch, '_try_apply', lambda page: False),
        patch.object(watch.freshness, 'apply_proof', lambda proof: None),
    ):
        yield


class StreamingCase(VirtualTimeCase, GatewayCase):
    """Some gateways in front of servers of two versions."""

    async def open_fleet(
        self,
        gateways: int = 3,
        versions: tuple[str, ...] = (OLD_VERSION, NEW_VERSION),
        **server: Any,
    ) -> StreamingFleet:
        """Start the servers, then the gateways."""
        put_configuration(
            self.store, ConfigurationRow(kind=STREAM, may_resume=True)
        )
        self.fleet = await self.stack.enter_async_context(
            run_streaming(self.store)
        )
        for version in versions:
            await self.fleet.add_servers(
                _SERVERS_PER_VERSION, version, **server
            )
        names = [f'g{number}' for number in range(gateways)]
        self.gateways = await asyncio.gather(
            *(self.open_gateway(name, first_start=True) for name in names)
        )
        await self.wait_until_up()
        return self.fleet

    async def open_gateway(self, name: str, **changes: Any) -> RunningGateway:
        """Start a gateway, which ends with the test."""
        settings = build_settings(self.store.address, name=name, **changes)
        return await self.stack.enter_async_context(
            run_gateway(settings, Clock())
        )

    async def wait_until_up(self) -> None:
        """Wait until the gateways know each other and the servers."""
        await wait_until(
            lambda: all(map(self._is_up, self.gateways)), _START_TIMEOUT_S
        )

    @property
    def addresses(self) -> list[str]:
        """Addresses of the gateways for callers."""
        return [gateway.components.settings.listen for gateway in self.gateways]

    async def drive(self, plan: CallerPlan, for_ms: int) -> None:
        """Open streams for some time and wait until they have ended."""
        await self.fleet.send_streams(
            self.addresses, plan, _STREAM_INTERVAL_MS, for_ms
        )

    def check_streams(self) -> None:
        """Check that no stream joins versions or lacks an event."""
        self.assertEqual(len(self.fleet.joined), 0)
        self.assertEqual(len(self.fleet.disordered), 0)

    def _is_up(self, gateway: RunningGateway) -> bool:
        components = gateway.components
        has_servers = len(components.backends) == len(self.fleet.servers)
        has_gateways = components.peers.count == len(self.gateways)
        is_proved = components.web.admission.is_proved
        return (
            components.is_ready and is_proved and has_servers and has_gateways
        )
