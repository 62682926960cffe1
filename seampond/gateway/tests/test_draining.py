"""Leaves: of servers, with a word or without one, and of gateways."""

import asyncio
from contextlib import suppress
from http import HTTPStatus

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    ID_HEADER,
    ConfigurationRow,
    drop_server,
    put_configuration,
)
from seampond.settings.gateway import BoundSettings
from seampond.testing.gateways import until_true
from seampond.testing.scripted import Received

_DRAIN_MS = 600
_LONG_DRAIN_MS = 60_000
# Less than the target of the route and the margin of a stop.
_SHORT_STOP_MS = 1200


class LeaveTest(GatewayCase):
    """One server before one gateway."""

    async def test_a_word_binds_while_the_store_is_away(self) -> None:
        """Who has heard of a leave sends nothing more, store or no store."""
        gateway = await self.start_ready()
        backends = gateway.components.backends
        self.list_server(state='draining')
        await until_true(lambda: not any(one.takes_work for one in backends))
        self.store.is_down = True
        for _ in range(3):
            response = await self.ask(gateway)
            self.assertEqual(
                response.status_code, HTTPStatus.SERVICE_UNAVAILABLE
            )
        self.assertEqual(self.server.received, [])

    async def test_a_row_that_went_without_a_word_is_a_fallback(self) -> None:
        """It may have lapsed; for a part of the time to drain it serves."""
        bounds = BoundSettings(drain_ms=_LONG_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        await until_true(lambda: not any(one.takes_work for one in backends))
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)

    async def test_a_row_that_stays_away_is_a_leave(self) -> None:
        """Before the time to drain is over nothing more is sent there."""
        bounds = BoundSettings(drain_ms=_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        clock = gateway.components.clock
        await until_true(lambda: not any(one.takes_work for one in backends))
        await clock.sleep(_DRAIN_MS)
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(self.server.received, [])

    async def test_a_row_that_comes_back_is_served_again(self) -> None:
        """A lapse while the store was away ends with the row's return."""
        bounds = BoundSettings(drain_ms=_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        await until_true(lambda: not any(one.takes_work for one in backends))
        await gateway.components.clock.sleep(_DRAIN_MS)
        self.list_server()
        await until_true(lambda: any(one.takes_work for one in backends))
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)


class StopTest(GatewayCase):
    """A gateway whose planned stop lasts, since a request is at work."""

    async def asyncSetUp(self) -> None:
        """Hold the first request until it is released."""
        await super().asyncSetUp()
        self.release = asyncio.Event()

    async def serve(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Answer all but the first at once."""
        if request.get(ID_HEADER) == 'r1':
            await self.release.wait()
        await super().serve(request, writer)

    async def test_who_comes_meanwhile_is_answered(self) -> None:
        """Where all gateways stop, callers are still sent to each of them."""
        gateway = await self.start_ready()
        asked = asyncio.create_task(self.ask(gateway))
        await until_true(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await gateway.components.clock.sleep(
            3 * gateway.components.settings.linger_ms
        )
        status = 0
        with suppress(OSError):
            response = await self.ask(gateway, request_id='r2')
            status = response.status_code
        self.release.set()
        self.assertEqual((await asked).status_code, HTTPStatus.OK)
        await stopped
        self.assertIn(status, (HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE))

    async def test_what_would_be_broken_off_is_refused(self) -> None:
        """A stream that cannot end in time goes elsewhere; nothing has run."""
        bounds = BoundSettings(stop_ms=_SHORT_STOP_MS)
        gateway = await self.start_ready(bounds=bounds)
        asked = asyncio.create_task(self.ask(gateway))
        await until_true(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await until_true(lambda: not gateway.components.is_ready)
        response = await self.ask(gateway, request_id='r2')
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(len(self.server.received), 1)
        self.release.set()
        self.assertEqual((await asked).status_code, HTTPStatus.OK)
        await stopped

    async def test_a_late_stream_is_refused(self) -> None:
        """Nobody knows how long it lasts; where nobody is ready, it waits."""
        gateway = await self.start_ready()
        put_configuration(
            self.store, ConfigurationRow(version=2, kind='streaming')
        )
        admission = gateway.components.web.admission
        await until_true(lambda: admission.version == 2)
        asked = asyncio.create_task(self.ask(gateway))
        await until_true(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await gateway.components.clock.sleep(
            2 * gateway.components.settings.linger_ms
        )
        response = await self.ask(gateway, request_id='r2')
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers['retry-after']), 1)
        self.assertEqual(len(self.server.received), 1)
        self.release.set()
        await asked
        await stopped
