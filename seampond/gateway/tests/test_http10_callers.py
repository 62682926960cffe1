"""Callers that speak HTTP/1.0, whose answers end with their connection."""

import asyncio
import signal
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.demo.fleet import free_ports
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.event_server import Framing, ServerPlan
from seampond.testing.event_streams import (
    ReceivedStream,
    ServerProcess,
    receive_stream,
    run_server,
)
from seampond.testing.gateway_processes import (
    GatewayProcess,
    run_gateways,
    wait_ready,
)
from seampond.testing.gateways import wait_until
from seampond.testing.store import run_store

_EVENTS = 6
_KILLED_AFTER = 2


class OldCallerTest(unittest.IsolatedAsyncioTestCase):
    """A gateway and a server in processes of their own."""

    gateway: GatewayProcess
    server: ServerProcess

    async def asyncSetUp(self) -> None:
        """Start the processes."""
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = await stack.enter_async_context(run_store())
        put_configuration(store, ConfigurationRow(kind=STREAM))
        plan = ServerPlan('i-0', next(free_ports()), Framing.chunks)
        self.server = await stack.enter_async_context(run_server(store, plan))
        gateways = await stack.enter_async_context(
            run_gateways(Path(folder), store, count=1)
        )
        await wait_ready(gateways, make_client(1))
        self.gateway = gateways[0]

    async def test_whole_stream_arrives_without_chunks(self) -> None:
        """Its connection ends in order."""
        stream = ReceivedStream()
        await self._receive(stream)
        self.assertEqual(stream.numbers, list(range(1, _EVENTS + 1)))
        self.assertTrue(stream.is_complete)

    async def test_stream_of_a_killed_server_ends_as_complete(self) -> None:
        """It may not be resumed."""
        stream = ReceivedStream()
        receiving = asyncio.create_task(self._receive(stream))
        await wait_until(lambda: len(stream.numbers) >= _KILLED_AFTER)
        await self.server.kill()
        await receiving
        self.assertEqual(stream.find_wrong(_EVENTS), '')

    async def test_stream_of_a_killed_gateway_ends_as_complete(self) -> None:
        """Its system closes the connection."""
        stream = ReceivedStream()
        receiving = asyncio.create_task(self._receive(stream))
        await wait_until(lambda: len(stream.numbers) >= _KILLED_AFTER)
        self.gateway.signal(signal.SIGKILL)
        await receiving
        self.assertEqual(stream.find_wrong(_EVENTS), '')

    async def _receive(self, stream: ReceivedStream) -> None:
        address = self.gateway.ports[0]
        await receive_stream(address, stream, 'r1', 'HTTP/1.0')
