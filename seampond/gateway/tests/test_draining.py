"""Tests of draining servers and of gateways that stop as planned."""

import asyncio
from contextlib import suppress
from http import HTTPStatus

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.names import SERVERS_TABLE
from seampond.platform.tests.rows import (
    ID_HEADER,
    ConfigurationRow,
    drop_server,
    put_configuration,
)
from seampond.settings.gateway import BoundSettings
from seampond.testing.gateways import get_backend, wait_until
from seampond.testing.scripted import ReceivedRequest
from seampond.testing.virtual_time import VirtualTimeCase

_DRAIN_MS = 600
_LONG_DRAIN_MS = 60_000
_SILENT_DRAIN_MS = 2000
# Beyond this, news of a probe and a whole grace exceed the drain time.
_LEARNED_AFTER_MS = 600
# Shorter than the target latency of the route plus the stop margin.
_SHORT_STOP_MS = 1200


class ServerDrainTest(VirtualTimeCase, GatewayCase):
    """One gateway and one server."""

    async def test_draining_server_gets_nothing_without_the_store(self) -> None:
        """A store outage does not undo the draining."""
        gateway = await self.start_ready()
        backends = gateway.components.backends
        self.list_server(state='draining')
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        self.store.is_down = True
        for _ in range(3):
            response = await self.ask(gateway)
            self.assertEqual(
                response.status_code, HTTPStatus.SERVICE_UNAVAILABLE
            )
        self.assertEqual(self.server.received, [])

    async def test_server_without_a_row_is_a_fallback(self) -> None:
        """Its row may have lapsed, so it serves for part of the drain time."""
        bounds = BoundSettings(drain_ms=_LONG_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)

    async def test_server_whose_row_stays_away_is_drained(self) -> None:
        """Nothing is sent to it once the drain time is over."""
        bounds = BoundSettings(drain_ms=_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        clock = gateway.components.clock
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        await clock.sleep(_DRAIN_MS)
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(self.server.received, [])

    async def test_grace_begins_when_a_late_gateway_learns_of_it(self) -> None:
        """The feed is silent, and the row went right after the last probe."""
        bounds = BoundSettings(drain_ms=_SILENT_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        components = gateway.components
        clock, backends = components.clock, components.backends
        freshness = components.freshness[SERVERS_TABLE]
        self.store.orphan_feeds()
        proved_ms = freshness.proved_ms
        await wait_until(lambda: freshness.proved_ms > proved_ms)
        drop_server(self.store, 'i-1')
        gone_ms = clock.now()
        self.store.orphan_feeds()
        backend = get_backend(backends, 'i-1')
        await wait_until(lambda: not backend.is_listed)
        self.assertGreater(clock.now() - gone_ms, _LEARNED_AFTER_MS)
        await clock.sleep(gone_ms + _SILENT_DRAIN_MS - clock.now())
        await self.ask(gateway)
        self.assertEqual(self.server.received, [])

    async def test_server_whose_row_returns_is_used_again(self) -> None:
        """For example after a lapse during a store outage."""
        bounds = BoundSettings(drain_ms=_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.components.backends
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        await gateway.components.clock.sleep(_DRAIN_MS)
        self.list_server()
        await wait_until(
            lambda: any(backend.takes_work for backend in backends)
        )
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)


class StopTest(GatewayCase):
    """A gateway that is stopping while a request is open."""

    async def asyncSetUp(self) -> None:
        """Hold the first request until it is released."""
        await super().asyncSetUp()
        self.release = asyncio.Event()

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer all requests but the first at once."""
        if request.get(ID_HEADER) == 'r1':
            await self.release.wait()
        await super().serve(request, writer)

    async def test_stopping_gateway_answers_new_callers(self) -> None:
        """If all gateways stop, callers still reach them."""
        gateway = await self.start_ready()
        pending_request = asyncio.create_task(self.ask(gateway))
        await wait_until(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await gateway.components.clock.sleep(
            3 * gateway.components.settings.linger_ms
        )
        status = 0
        with suppress(OSError):
            response = await self.ask(gateway, request_id='r2')
            status = response.status_code
        self.release.set()
        self.assertEqual((await pending_request).status_code, HTTPStatus.OK)
        await stopped
        self.assertIn(status, (HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE))

    async def test_request_that_cannot_finish_is_refused(self) -> None:
        """A request that cannot end in time must not be started."""
        bounds = BoundSettings(stop_ms=_SHORT_STOP_MS)
        gateway = await self.start_ready(bounds=bounds)
        pending_request = asyncio.create_task(self.ask(gateway))
        await wait_until(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await wait_until(lambda: not gateway.components.is_ready)
        response = await self.ask(gateway, request_id='r2')
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(len(self.server.received), 1)
        self.release.set()
        self.assertEqual((await pending_request).status_code, HTTPStatus.OK)
        await stopped

    async def test_late_stream_is_refused(self) -> None:
        """Its duration is unknown; the caller retries after the stop."""
        gateway = await self.start_ready()
        put_configuration(
            self.store, ConfigurationRow(version=2, kind='streaming')
        )
        admission = gateway.components.web.admission
        await wait_until(lambda: admission.version == 2)
        pending_request = asyncio.create_task(self.ask(gateway))
        await wait_until(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await gateway.components.clock.sleep(
            2 * gateway.components.settings.linger_ms
        )
        response = await self.ask(gateway, request_id='r2')
        self.assertEqual(response.status_code, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers['retry-after']), 1)
        self.assertEqual(len(self.server.received), 1)
        self.release.set()
        await pending_request
        await stopped
