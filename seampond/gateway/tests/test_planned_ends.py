"""Tests of prompt parts whose requests are cut by planned ends of servers.

A few callers share the first part of their prompts, and two of their servers
are replaced.  The ends are announced, so they are no evidence against the part.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_crashing import CrashingCase, addresses_of
from seampond.platform.names import DRAINING_STATE
from seampond.platform.tests.rows import (
    drop_server,
    is_quarantine_empty,
)
from seampond.testing.crashing import CrashingFleet, CrashingServer

_SHARED_PART = 'a0'
_LONG_MS = 4500
_SHORT_MS = 50
_TIMEOUT_MS = 20_000
_LONG_REQUESTS = 12
_DRAIN_MS = 2300
# Gateways remember for a while how slow the long requests were.
_SETTLED_MS = 12_000
_REPLACED = 2
_ASKED_LATER = 8

Announce = Callable[[CrashingServer], None]


class PlannedEndTest(CrashingCase):
    """Two servers end as planned and cut requests that share a part."""

    async def test_draining_servers_quarantine_a_part(self) -> None:
        """Their rows said `draining`."""
        await self._check(_announce_draining)

    async def test_removed_servers_quarantine_a_part(self) -> None:
        """Their rows went without a word; they served on for a while."""
        await self._check(_remove_row)

    async def test_servers_replaced_under_their_ids_quarantine_a_part(
        self,
    ) -> None:
        """The next process is listed at once, with a later start."""
        await self._check(_announce_draining, may_restart=True)

    async def _check(
        self, announce: Announce, *, may_restart: bool = False
    ) -> None:
        fleet, gateways = await self.open_fleet()
        await self._replace_busy_servers(
            fleet, gateways, announce, may_restart=may_restart
        )
        for gateway in gateways:
            self.assertEqual(len(gateway.components.quarantine.suspects), 0)
        self.assertTrue(is_quarantine_empty(self.store))
        await fleet.clock.sleep(_SETTLED_MS)
        statuses = await fleet.send_in_turn(
            addresses_of(gateways), _SHARED_PART, _ASKED_LATER
        )
        self.assertEqual(set(statuses), {HTTPStatus.OK})

    async def _replace_busy_servers(
        self,
        fleet: CrashingFleet,
        gateways: list[RunningGateway],
        announce: Announce,
        *,
        may_restart: bool,
    ) -> None:
        """Begin long requests, then end two of their servers."""
        fleet.timeout_ms = _TIMEOUT_MS
        fleet.crashes_on = lambda content: False
        for server in fleet.servers:
            server.service_ms = _LONG_MS
        asked = [
            asyncio.create_task(_ask(fleet, gateways[number % 2], number))
            for number in range(_LONG_REQUESTS)
        ]
        await asyncio.sleep(0.5)
        busy = {delivery.server for delivery in fleet.deliveries}
        leaving = [server for server in fleet.servers if server.id in busy][
            :_REPLACED
        ]
        for server in leaving:
            server.may_restart = may_restart
            announce(server)
        await fleet.clock.sleep(_DRAIN_MS)
        for server in fleet.servers:
            server.service_ms = _SHORT_MS
        for server in leaving:
            server.crash()
        # The requests that were cut are served elsewhere.
        statuses = await asyncio.gather(*asked)
        self.assertEqual(set(statuses), {HTTPStatus.OK})


def _announce_draining(server: CrashingServer) -> None:
    server.put_row(state=DRAINING_STATE)


def _remove_row(server: CrashingServer) -> None:
    drop_server(server.store, server.id)


async def _ask(
    fleet: CrashingFleet, gateway: RunningGateway, number: int
) -> int:
    address = gateway.components.settings.listen
    return await fleet.send_sharing(address, _SHARED_PART, number)
