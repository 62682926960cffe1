"""Streams of server processes that are killed, or go on wrongly."""

import asyncio
from dataclasses import replace

from seampond.demo.fleet import free_ports
from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.event_server import Framing, Resumption, ServerPlan
from seampond.testing.event_streams import (
    ReceivedStream,
    ServerProcess,
    receive_stream,
    run_server,
)
from seampond.testing.gateways import wait_until

_KILLED_AFTER = (0, 1, 3, 5)
_EVENTS = 6


class BrokenStreamTest(GatewayCase):
    """One gateway before two servers in processes of their own."""

    async def test_stream_of_a_killed_server_ends_as_complete(self) -> None:
        """Its answer has no length, and is cut between two events."""
        for may_resume in (True, False):
            for killed_after in _KILLED_AFTER:
                with self.subTest(may_resume=may_resume, after=killed_after):
                    await self._check_killed(killed_after, may_resume)

    async def test_stream_goes_on_with_a_wrong_event(self) -> None:
        """The second run repeats an event, leaves one out or starts again."""
        for resumption in Resumption:
            with self.subTest(resumption=resumption):
                plan = ServerPlan('i', 0, Framing.chunks, resumption)
                stream = await self._receive(3, plan, may_resume=True)
                self.assertEqual(stream.find_wrong(_EVENTS), '')

    async def test_whole_stream_without_length_is_complete(self) -> None:
        """Its server runs on."""
        gateway = await self._start(may_resume=False)
        await self._start_servers(ServerPlan('i', 0, interval_ms=5))
        await wait_until(lambda: len(gateway.components.backends) == 2)
        stream = ReceivedStream()
        await receive_stream(self._address(gateway), stream, 'r1')
        self.assertEqual(stream.numbers, list(range(1, _EVENTS + 1)))
        self.assertTrue(stream.is_complete)

    async def _check_killed(self, killed_after: int, may_resume: bool) -> None:
        plan = ServerPlan('i', 0, Framing.close)
        stream = await self._receive(killed_after, plan, may_resume=may_resume)
        self.assertEqual(stream.find_wrong(_EVENTS), '')
        if may_resume:
            self.assertTrue(stream.is_complete)
            self.assertEqual(stream.status, 200)

    async def _receive(
        self,
        killed_after: int,
        plan: ServerPlan,
        *,
        may_resume: bool,
    ) -> ReceivedStream:
        """Kill the server of a stream after some events; return the stream."""
        gateway = await self._start(may_resume=may_resume)
        servers = await self._start_servers(plan)
        backends = gateway.components.backends
        await wait_until(lambda: len(backends) == len(servers))
        stream = ReceivedStream()
        receiving = asyncio.create_task(
            receive_stream(self._address(gateway), stream, 'r1')
        )
        await wait_until(lambda: self._find_running(gateway, servers))
        running = self._find_running(gateway, servers)[0]
        await wait_until(lambda: len(stream.numbers) >= killed_after)
        await running.kill()
        await receiving
        return stream

    async def _start(self, *, may_resume: bool) -> RunningGateway:
        await self.stack.aclose()
        await self.asyncSetUp()
        put_configuration(
            self.store, ConfigurationRow(kind=STREAM, may_resume=may_resume)
        )
        gateway = await self.start()
        await wait_until(
            lambda: (
                gateway.components.is_ready
                and gateway.components.web.admission.is_proved
            )
        )
        return gateway

    async def _start_servers(self, plan: ServerPlan) -> list[ServerProcess]:
        ports = free_ports()
        return [
            await self.stack.enter_async_context(
                run_server(
                    self.store,
                    replace(plan, id=f'i-{number}', port=next(ports)),
                )
            )
            for number in range(2)
        ]

    def _address(self, gateway: RunningGateway) -> str:
        return gateway.components.settings.listen

    def _find_running(
        self, gateway: RunningGateway, servers: list[ServerProcess]
    ) -> list[ServerProcess]:
        """Return the servers that run a request."""
        busy = {
            backend.server.address
            for backend in gateway.components.backends
            if backend.in_flight
        }
        return [server for server in servers if server.address in busy]
