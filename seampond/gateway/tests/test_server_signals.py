"""Tests of servers that state in answers that they drain or need a back-off.

The row that says so may come much later, so a gateway must act on the answers.
"""

import asyncio
from typing import Any

from seampond.clock import MS_PER_SECOND
from seampond.gateway.tests.signalling_case import SignallingCase
from seampond.platform import names
from seampond.platform.tests.rows import IDEMPOTENT, ONCE, STREAM
from seampond.testing.signalling import SignallingFleet

_DRAIN_MS = 2000
_RUN_MS = 5000
_UNWANTED_MAX = 2
_SERVED_FRACTION = 0.99
# The target latency of the route.
_REFUSAL_MAX_MS = 1000
_BACKOFF_S = 3
# Two whole back-offs and part of a third.
_BACKOFF_RUN_MS = 8000
_FAST_MS = 10


class SignalsCase(SignallingCase):
    """Two gateways that prefer one of the servers."""

    async def open_fleet(
        self, kind: str = IDEMPOTENT, gateways: int = 2, **row: Any
    ) -> SignallingFleet:
        """Start the servers, then the gateways."""
        fleet = await super().open_fleet(kind, gateways, **row)
        fleet.signalling_servers[0].service_ms = _FAST_MS
        return fleet


class DrainingSignalTest(SignalsCase):
    """A server states in its answers that it is draining."""

    async def test_where_requests_may_be_repeated(self) -> None:
        """Its row says so three seconds later."""
        fleet = await self.open_fleet()
        row = asyncio.create_task(_drain_in_row(fleet, 3000))
        self.addCleanup(row.cancel)
        await self._check(fleet)

    async def test_where_requests_may_run_once(self) -> None:
        """Its row never says so."""
        await self._check(await self.open_fleet(ONCE))

    async def test_on_streams(self) -> None:
        """The signal is in the head, while the stream runs."""
        await self._check(await self.open_fleet(STREAM))

    async def test_in_answers_that_reject_requests(self) -> None:
        """The server is full and has not run them."""
        fleet = await self.open_fleet()
        fleet.signalling_servers[0].is_overloaded = True
        await self._check(fleet)

    async def test_all_servers_are_draining(self) -> None:
        """Callers are refused soon, with a retry time."""
        fleet = await self.open_fleet()
        for server in fleet.signalling_servers:
            server.is_draining = True
        since_ms = await self.drive(_RUN_MS)
        self.assertEqual(fleet.count_sends_after_drain(_DRAIN_MS), 0)
        self.check_refusals(since_ms, _REFUSAL_MAX_MS)
        self.assertLess(fleet.served_share(since_ms + _DRAIN_MS), 0.5)

    async def test_server_restarts_under_its_id(self) -> None:
        """Its next incarnation is not draining, so it is used."""
        fleet = await self.open_fleet()
        first = fleet.signalling_servers[0]
        first.is_draining = True
        # Long enough for all slots to be needed.
        for server in fleet.signalling_servers:
            server.service_ms = 400
        await self.drive(500)
        first.is_draining = False
        first.crash()
        since_ms = await self.drive(2500)
        incarnations = {
            send.incarnation
            for send in fleet.deliveries
            if send.server == first.id
        }
        self.assertEqual(len(incarnations), 2)
        self.assertGreaterEqual(fleet.served_share(since_ms), _SERVED_FRACTION)

    async def _check(self, fleet: SignallingFleet) -> None:
        fleet.signalling_servers[0].is_draining = True
        since_ms = await self.drive(_RUN_MS)
        self.assertEqual(fleet.count_sends_after_drain(_DRAIN_MS), 0)
        self.assertGreaterEqual(fleet.served_share(since_ms), _SERVED_FRACTION)


class BackoffSignalTest(SignalsCase):
    """Servers reject requests and state a back-off of some seconds."""

    async def test_some_servers_need_a_backoff(self) -> None:
        """The others serve meanwhile; these are used again afterwards."""
        fleet = await self.open_fleet()
        overloaded = fleet.signalling_servers[:2]
        for server in overloaded:
            server.is_overloaded = True
            server.retry_after = str(_BACKOFF_S)
        since_ms = await self.drive(_BACKOFF_RUN_MS)
        self.assertLessEqual(fleet.max_sends_in_backoff(), _UNWANTED_MAX)
        self.assertGreaterEqual(fleet.served_share(since_ms), _SERVED_FRACTION)
        for server in overloaded:
            server.is_overloaded = False
        since_ms = await self.drive(_BACKOFF_S * MS_PER_SECOND)
        used = {
            send.server for send in fleet.deliveries if send.at_ms > since_ms
        }
        self.assertLessEqual({server.id for server in overloaded}, used)

    async def test_all_servers_need_a_backoff(self) -> None:
        """Callers may retry when the first back-off ends."""
        fleet = await self.open_fleet()
        for server in fleet.signalling_servers:
            server.is_overloaded = True
            server.retry_after = str(_BACKOFF_S)
        since_ms = await self.drive(2000)
        self.assertLessEqual(fleet.max_sends_in_backoff(), _UNWANTED_MAX)
        # After each server has stated its back-off to both gateways.
        self.check_refusals(since_ms, _REFUSAL_MAX_MS)
        for caller in fleet.caller_requests:
            if caller.at_ms < since_ms + MS_PER_SECOND:
                continue
            retry_ms = float(caller.headers['retry-after']) * MS_PER_SECOND
            backoff_end_ms = min(
                _backoff_end_ms(fleet, caller.gateway, server.id)
                for server in fleet.signalling_servers
            )
            self.assertGreaterEqual(
                caller.head_ms + retry_ms, backoff_end_ms - 50
            )
            self.assertLess(caller.head_ms + retry_ms, backoff_end_ms + 1500)


async def _drain_in_row(fleet: SignallingFleet, after_ms: int) -> None:
    await fleet.clock.sleep(after_ms)
    fleet.signalling_servers[0].put_row(state=names.DRAINING_STATE)


def _backoff_end_ms(
    fleet: SignallingFleet, gateway: str, server_id: str
) -> int:
    """Return when a gateway may send to a server again."""
    gateways = {
        caller.request_id: caller.gateway for caller in fleet.caller_requests
    }
    return max(
        turned.delivery.at_ms + turned.backoff_ms
        for turned in fleet.list_rejections()
        if turned.delivery.server == server_id
        and gateways[turned.delivery.request_id] == gateway
    )
