"""Tests of callers that disconnect and of many idle connections."""

import asyncio
import contextlib

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import HOST, ID_HEADER, KEY
from seampond.testing.gateways import wait_until
from seampond.testing.scripted import ReceivedRequest

_IDLE_CONNECTIONS = 300
_DISCONNECT_S = 0.05


class CallersTest(GatewayCase):
    """One gateway, one server."""

    async def test_caller_that_disconnects_in_the_queue(self) -> None:
        """Its request is not sent when a slot becomes free."""
        is_free = asyncio.Event()
        serve = self.serve

        async def hold(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await is_free.wait()
            await serve(request, writer)

        self.serve = hold  # type: ignore[method-assign]
        gateway = await self.start_ready()
        self.list_server(slots=1)
        scheduler = gateway.components.scheduler
        backends = gateway.components.backends
        await wait_until(
            lambda: all(backend.server.slots == 1 for backend in backends)
        )
        first = asyncio.create_task(self.ask(gateway))
        await wait_until(lambda: len(self.server.received) == 1)
        second = await self._send_request(
            gateway.components.settings.listen, 'r2'
        )
        await wait_until(lambda: scheduler.waiting == 1)
        second.transport.abort()
        await wait_until(lambda: scheduler.waiting == 0)
        is_free.set()
        response = await first
        self.assertEqual(response.status_code, 200)
        await asyncio.sleep(_DISCONNECT_S)
        self.assertEqual(len(self.server.received), 1)

    async def test_idle_connections_do_not_block_callers(self) -> None:
        """Neither do connections whose request head never ends."""
        gateway = await self.start_ready()
        address = gateway.components.settings.listen
        for number in range(_IDLE_CONNECTIONS):
            writer = await self._connect(address)
            if number % 2:
                writer.write(b'POST /x/y HTTP/1.1\r\nHost: ')
        async with asyncio.timeout(5):
            response = await self.ask(gateway)
        self.assertEqual(response.status_code, 200)

    async def _connect(self, address: str) -> asyncio.StreamWriter:
        host, _, port = address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        self.addAsyncCleanup(_close, writer)
        return writer

    async def _send_request(
        self, address: str, name: str
    ) -> asyncio.StreamWriter:
        """Send a request and do not wait for the answer."""
        writer = await self._connect(address)
        lines = (
            'POST /x/y HTTP/1.1',
            f'Host: {HOST}',
            f'{ID_HEADER}: {name}',
            f'Authorization: Token {KEY}',
            'Content-Length: 3',
        )
        head = '\r\n'.join(lines)
        writer.write(f'{head}\r\n\r\nask'.encode())
        return writer


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
