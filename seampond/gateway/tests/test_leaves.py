"""Servers that leave: with a word, without one, while the store is away."""

from http import HTTPStatus

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import drop_server
from seampond.settings.gateway import BoundSettings
from seampond.testing.gateways import until_true

_DRAIN_MS = 600
_LONG_DRAIN_MS = 60_000


class LeaveTest(GatewayCase):
    """One server before one gateway."""

    async def test_a_word_binds_while_the_store_is_away(self) -> None:
        """Who has heard of a leave sends nothing more, store or no store."""
        gateway = await self.start_ready()
        backends = gateway.parts.backends
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
        backends = gateway.parts.backends
        await until_true(lambda: not any(one.takes_work for one in backends))
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)

    async def test_a_row_that_stays_away_is_a_leave(self) -> None:
        """Before the time to drain is over nothing more is sent there."""
        bounds = BoundSettings(drain_ms=_DRAIN_MS)
        gateway = await self.start_ready(bounds=bounds)
        drop_server(self.store, 'i-1')
        backends = gateway.parts.backends
        clock = gateway.parts.clock
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
        backends = gateway.parts.backends
        await until_true(lambda: not any(one.takes_work for one in backends))
        await gateway.parts.clock.sleep(_DRAIN_MS)
        self.list_server()
        await until_true(lambda: any(one.takes_work for one in backends))
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, HTTPStatus.OK)
