"""Tests of limits on callers and on connections to a server."""

import asyncio
from http import HTTPStatus

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    ID_HEADER,
    ConfigurationRow,
    put_configuration,
    put_gateway,
)
from seampond.testing.gateways import wait_until
from seampond.testing.scripted import ReceivedRequest

_SHORT_TIMEOUT_MS = 150
_LONG_TIMEOUT_MS = 60_000
_TIMEOUT_S = 5
_HEAD = (
    'POST /x/y HTTP/1.1\r\n'
    'Host: a.example\r\n'
    f'{ID_HEADER}: r1\r\n'
    'Authorization: Token k1\r\n'
)


class LimitedCase(GatewayCase):
    """Starts gateways with limits and sends them bytes."""

    async def start_limited(self, **limits: int) -> RunningGateway:
        """Start a gateway whose configuration has these limits."""
        gateway = await self.start_ready()
        row = ConfigurationRow(version=2, limits=limits)
        put_configuration(self.store, row)
        await wait_until(lambda: gateway.components.web.admission.version == 2)
        return gateway

    async def send(
        self, gateway: RunningGateway, text: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send some bytes."""
        host, _, port = gateway.components.settings.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(text.encode())
        return reader, writer

    async def read_end(self, reader: asyncio.StreamReader) -> bytes:
        """Read until the gateway closes the connection."""
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.read()


class LimitsTest(LimitedCase):
    """Limits of the configuration."""

    async def test_slow_head_is_refused(self) -> None:
        """A head that does not end in time gets 408 and a close."""
        gateway = await self.start_limited(
            header_timeout_ms=_SHORT_TIMEOUT_MS,
            idle_timeout_ms=_LONG_TIMEOUT_MS,
        )
        reader, _ = await self.send(gateway, _HEAD)
        answer = await self.read_end(reader)
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '), answer)
        self.assertEqual(self.server.received, [])

    async def test_head_in_parts_is_served(self) -> None:
        """Neither it nor the next request counts as slow."""
        gateway = await self.start_limited(
            header_timeout_ms=_SHORT_TIMEOUT_MS,
            idle_timeout_ms=_LONG_TIMEOUT_MS,
        )
        reader, writer = await self.send(gateway, _HEAD)
        await asyncio.sleep(0)
        writer.write(b'Content-Length: 0\r\n\r\n')
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b'whole')
            await asyncio.sleep(2 * _SHORT_TIMEOUT_MS / 1000)
            writer.write(f'{_HEAD}Content-Length: 0\r\n\r\n'.encode())
            await reader.readuntil(b'whole')

    async def test_stalled_body_is_refused(self) -> None:
        """A body that stops arriving gets 408 and is not forwarded."""
        gateway = await self.start_limited(
            header_timeout_ms=_LONG_TIMEOUT_MS,
            idle_timeout_ms=_SHORT_TIMEOUT_MS,
        )
        reader, _ = await self.send(
            gateway, f'{_HEAD}Content-Length: 9\r\n\r\nabc'
        )
        answer = await self.read_end(reader)
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '), answer)
        self.assertEqual(self.server.received, [])

    async def test_idle_connection_is_closed(self) -> None:
        """After the configured idle time, not before."""
        gateway = await self.start_limited(
            header_timeout_ms=_LONG_TIMEOUT_MS,
            idle_timeout_ms=_SHORT_TIMEOUT_MS,
        )
        reader, _ = await self.send(
            gateway, f'{_HEAD}Content-Length: 0\r\n\r\n'
        )
        answer = await self.read_end(reader)
        self.assertTrue(answer.endswith(b'whole'), answer)

    async def test_connections_to_a_server_are_bounded(self) -> None:
        """Each gateway keeps to its share of the pool's limit."""
        release = asyncio.Event()

        async def hold(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            await GatewayCase.serve(self, request, writer)

        self.serve = hold  # type: ignore[method-assign]
        put_configuration(self.store, ConfigurationRow(connections_max=4))
        self.list_server(slots=8)
        gateway = await self.start()
        put_gateway(self.store, 'g2')
        components = gateway.components
        await wait_until(
            lambda: components.is_ready and components.web.admission.is_proved
        )
        await wait_until(lambda: components.peers.count == 2)
        asked = [
            asyncio.create_task(self.ask(gateway, request_id=f'r{number}'))
            for number in range(6)
        ]
        statuses = []
        for done in asyncio.as_completed(asked):
            statuses.append((await done).status_code)
            if len(statuses) == 4:
                release.set()
        self.assertLessEqual(self.server.connections, 2)
        self.assertEqual(
            statuses.count(HTTPStatus.SERVICE_UNAVAILABLE), 4, statuses
        )
