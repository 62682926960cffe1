"""Tests of a quarantine that gateways know from the store alone."""

import asyncio
from http import HTTPStatus
from unittest.mock import patch

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_crashing import CrashingCase, addresses_of
from seampond.platform.tests.rows import (
    POOL,
    is_quarantine_empty,
)
from seampond.quarantine import fingerprint_part
from seampond.testing.crashing import CrashingFleet

_SHARED_PART = 'a0'
_ASKED_LATER = 8


class StoredQuarantineTest(CrashingCase):
    """All gateways start anew and know a quarantine from the store alone."""

    async def test_trial_lifts_the_quarantine_at_one_gateway_only(self) -> None:
        """The other one has read the row, too."""
        fleet, gateways = await self._start_again()
        statuses = await fleet.send_in_turn(
            addresses_of(gateways), _SHARED_PART, _ASKED_LATER
        )
        self.assertEqual(statuses.count(HTTPStatus.OK), len(statuses))
        self.assertTrue(is_quarantine_empty(self.store))

    async def test_gateway_without_heartbeats_keeps_the_quarantine(
        self,
    ) -> None:
        """It missed the news and learns from the store."""
        fleet, gateways = await self._start_again()
        silent = gateways[1].components
        for server in fleet.servers:
            server.service_ms = 500
        with patch.object(
            silent.peers, 'apply_heartbeat', lambda heartbeat: False
        ):
            # Both claim the trial that is due; one succeeds.
            statuses = await asyncio.gather(
                *(_ask(fleet, gateway, 0) for gateway in gateways)
            )
            self.assertIn(HTTPStatus.OK, statuses)
            for pause_ms in (6000, 1000):
                await fleet.clock.sleep(pause_ms)
                status = await _ask(fleet, gateways[1], 1)
        self.assertEqual(status, HTTPStatus.OK)

    async def test_failed_call_keeps_the_quarantine_in_the_store(self) -> None:
        """The store fails when the trial succeeds; later it has no row."""
        fleet, gateways = await self._start_again()
        for server in fleet.servers:
            server.service_ms = 500
        asked = asyncio.create_task(_ask(fleet, gateways[0], 0))
        await asyncio.sleep(0.3)
        self.store.is_down = True
        self.assertEqual(await asked, HTTPStatus.OK)
        await fleet.clock.sleep(1000)
        self.store.is_down = False
        await fleet.clock.sleep(12_000)
        self.assertTrue(is_quarantine_empty(self.store))

    async def _start_again(self) -> tuple[CrashingFleet, list[RunningGateway]]:
        """Leave a row of one trial in the store, and start all gateways."""
        fleet, gateways = await self.open_fleet()
        fleet.crashes_on = lambda content: False
        trials = gateways[0].components.quarantine.trials
        key = fingerprint_part(POOL, _SHARED_PART)
        self.assertTrue(await trials.claim(key))
        await self.gateways_stack.aclose()
        await asyncio.sleep(10)
        return fleet, await self.start_gateways()


async def _ask(
    fleet: CrashingFleet, gateway: RunningGateway, number: int
) -> int:
    address = gateway.components.settings.listen
    return await fleet.send_sharing(address, _SHARED_PART, number)
