"""Base of tests with servers that send signals in response headers."""

import asyncio
from http import HTTPStatus
from typing import Any

from seampond.clock import Clock
from seampond.gateway.daemon import RunningGateway, run_gateway
from seampond.gateway.tests.test_gateway import GatewayCase, build_settings
from seampond.platform.tests.rows import (
    IDEMPOTENT,
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.crashing import AnswerStyle, Content
from seampond.testing.gateways import wait_until
from seampond.testing.signalling import SignallingFleet, run_signalling
from seampond.testing.virtual_time import VirtualTimeCase

SERVERS = 6
# 40 requests a second, to the gateways in turn.
_REQUEST_INTERVAL_MS = 25
_START_TIMEOUT_S = 20


class SignallingCase(VirtualTimeCase, GatewayCase):
    """Some gateways in front of six servers."""

    async def open_fleet(
        self, kind: str = IDEMPOTENT, gateways: int = 2, **row: Any
    ) -> SignallingFleet:
        """Start the servers, then the gateways."""
        put_configuration(self.store, ConfigurationRow(kind=kind))
        self.fleet = await self.stack.enter_async_context(
            run_signalling(self.store, SERVERS, **row)
        )
        for server in self.fleet.signalling_servers:
            if kind == STREAM:
                server.style = AnswerStyle.stream
        names = [f'g{number}' for number in range(gateways)]
        self.gateways = await asyncio.gather(*map(self.open_gateway, names))
        await wait_until(
            lambda: all(map(self._is_up, self.gateways)), _START_TIMEOUT_S
        )
        return self.fleet

    async def open_gateway(self, name: str) -> RunningGateway:
        """Start a gateway, which ends with the test."""
        settings = build_settings(self.store.address, name=name)
        return await self.stack.enter_async_context(
            run_gateway(settings, Clock())
        )

    async def drive(self, for_ms: int) -> int:
        """Send requests for some time; return when that began."""
        since_ms = self.fleet.clock.now()
        addresses = [
            gateway.components.settings.listen for gateway in self.gateways
        ]
        await self.fleet.send_requests(
            addresses,
            lambda number: Content(b'%d' % number),
            _REQUEST_INTERVAL_MS,
            for_ms,
        )
        return since_ms

    def check_refusals(self, since_ms: int, soon_ms: int) -> None:
        """Check that unserved requests are refused soon with a retry time."""
        for caller in self.fleet.caller_requests:
            if caller.at_ms >= since_ms and caller.status != HTTPStatus.OK:
                self.assertEqual(caller.status, HTTPStatus.SERVICE_UNAVAILABLE)
                self.assertLessEqual(caller.head_ms - caller.at_ms, soon_ms)
                self.assertGreater(float(caller.headers['retry-after']), 0)

    def _is_up(self, gateway: RunningGateway) -> bool:
        components = gateway.components
        has_servers = len(components.backends) == SERVERS
        has_gateways = components.peers.count == len(self.gateways)
        is_proved = components.web.admission.is_proved
        return (
            components.is_ready and is_proved and has_servers and has_gateways
        )
