"""Tests that a stream goes on only at the version that began it.

The events of two versions do not fit together, and servers do not check it.
"""

import asyncio
from http import HTTPStatus

from seampond.gateway.tests.streaming_case import (
    NEW_VERSION,
    OLD_VERSION,
    StreamingCase,
    without_server_rows,
)
from seampond.testing.streaming import CallerPlan, StreamingServer

_RUN_MS = 4000
_EVENTS_BEFORE_CUT = 4
# The rule asks for half of the share of new streams.
_RESUMED_SHARE = 0.9
# Well below the target latency of the route.
_END_MAX_MS = 500
_SERVERS_RESTARTED = 2
_THAWED_STREAMS = 30
_THAWED_INTERVAL_MS = 10
# How long the gateway takes to read what it missed.
_UNREAD_MS = 400


async def _restart(server: StreamingServer, version: str) -> None:
    """Crash a server and wait until it serves another version."""
    server.crash()
    server.row['version'] = version
    while not server.is_up:
        await server.clock.sleep(10)


class BrokenServerTest(StreamingCase):
    """A server resets the connection of a stream that it answers."""

    async def test_stream_joins_versions_inside_an_answer(self) -> None:
        """The gateway resumes the stream at another server."""
        await self.open_fleet(gateways=1, break_every=8)
        await self.drive(CallerPlan(), _RUN_MS)
        self.check_streams()
        complete = sum(record.is_complete for record in self.fleet.records)
        self.assertGreaterEqual(
            complete, _RESUMED_SHARE * len(self.fleet.records)
        )

    async def test_stream_of_a_version_that_left_ends_late(self) -> None:
        """No other server of its version serves any more."""
        fleet = await self.open_fleet(gateways=1, versions=(NEW_VERSION,))
        last = (await fleet.add_servers(1, OLD_VERSION))[0]
        await self.wait_until_up()
        opened = asyncio.create_task(self.drive(CallerPlan(), 1000))
        await fleet.clock.sleep(600)
        leaving = asyncio.create_task(last.leave(5000))
        await fleet.clock.sleep(400)
        last.end_streams()
        ended_ms = fleet.clock.now()
        await opened
        leaving.cancel()
        self.check_streams()
        cut = [
            record.attempts[0]
            for record in fleet.records
            if OLD_VERSION in record.versions and not record.is_complete
        ]
        self.assertGreater(len(cut), 0)
        for attempt in cut:
            self.assertLess(attempt.ended_ms - ended_ms, _END_MAX_MS)
        resumed = [
            attempt
            for record in fleet.records
            for attempt in record.attempts
            if attempt.last_event
        ]
        self.assertGreaterEqual(len(resumed), len(cut))
        for attempt in resumed:
            self.assertEqual(attempt.status, HTTPStatus.SERVICE_UNAVAILABLE)
            self.assertIsNone(attempt.retry_after_ms)
            self.assertLess(attempt.ended_ms - attempt.at_ms, _END_MAX_MS)


class RestartedServerTest(StreamingCase):
    """A server starts again under its id while the store is away."""

    async def test_stream_joins_versions_of_a_server_with_an_old_row(
        self,
    ) -> None:
        """It runs another version than its row at the gateways says."""
        fleet = await self.open_fleet()
        plan = CallerPlan(_EVENTS_BEFORE_CUT)
        opened = asyncio.create_task(self.drive(plan, _RUN_MS))
        await fleet.clock.sleep(500)
        self.store.is_down = True
        for server in fleet.servers[:2]:
            server.may_restart = True
            server.crash()
            server.row['version'] = NEW_VERSION
        await opened
        self.assertTrue(all(server.is_up for server in fleet.servers))
        self.check_streams()

    async def test_stream_joins_versions_of_the_first_new_server(self) -> None:
        """All rows at the gateways say the same version."""
        fleet = await self.open_fleet(versions=(OLD_VERSION,))
        opened = asyncio.create_task(
            self.drive(CallerPlan(_EVENTS_BEFORE_CUT), _RUN_MS)
        )
        await fleet.clock.sleep(500)
        self.store.is_down = True
        server = fleet.servers[0]
        server.may_restart = True
        server.crash()
        server.row['version'] = NEW_VERSION
        await opened
        self.check_streams()

    async def test_only_server_that_resets_a_stream_goes_on(self) -> None:
        """It is still the process that its row describes."""
        fleet = await self.open_fleet(versions=(NEW_VERSION,))
        await fleet.add_servers(1, OLD_VERSION, break_every=4)
        await self.wait_until_up()
        await self.drive(CallerPlan(), _RUN_MS)
        self.check_streams()
        began = [
            record for record in fleet.records if OLD_VERSION in record.versions
        ]
        complete = sum(record.is_complete for record in began)
        self.assertGreaterEqual(complete, _RESUMED_SHARE * len(began))


class FrozenGatewayTest(StreamingCase):
    """A gateway that was frozen has missed that servers restarted."""

    async def test_stream_begun_with_old_rows_joins_versions(self) -> None:
        """Others are told the version of the old row."""
        await self._check(restarts=1)

    async def test_stream_begun_between_two_restarts_joins_versions(
        self,
    ) -> None:
        """The row that is read first is that of a process that has ended."""
        await self._check(restarts=2)

    async def _check(self, restarts: int) -> None:
        fleet = await self.open_fleet()
        restarted = fleet.servers[:_SERVERS_RESTARTED]
        for server in restarted:
            server.may_restart = True
        with without_server_rows(self.gateways[1]):
            for number in range(restarts):
                for server in restarted:
                    await _restart(server, f'v{number + 3}')
            thawed = asyncio.create_task(self._send_to(1))
            await fleet.clock.sleep(_UNREAD_MS)
        await thawed
        self.check_streams()
        self.assertGreater(len(fleet.records), 12)

    async def _send_to(self, gateway: int) -> None:
        """Open streams at one gateway, to be resumed at the next ones."""
        order = [*self.addresses[gateway:], *self.addresses[:gateway]]
        async with asyncio.TaskGroup() as group:
            for _ in range(_THAWED_STREAMS):
                group.create_task(
                    self.fleet.send_stream(
                        order, CallerPlan(_EVENTS_BEFORE_CUT)
                    )
                )
                await self.fleet.clock.sleep(_THAWED_INTERVAL_MS)


class ReturningCallerTest(StreamingCase):
    """Callers lose their connection and resume at another gateway."""

    async def test_stream_joins_versions_over_gateways(self) -> None:
        """They come back after a moment."""
        await self._check(CallerPlan(_EVENTS_BEFORE_CUT, return_ms=300))

    async def test_stream_joins_versions_of_callers_back_at_once(self) -> None:
        """The gateways have hardly exchanged anything in the meantime."""
        await self._check(CallerPlan(_EVENTS_BEFORE_CUT))

    async def test_stream_joins_versions_at_the_third_attempt(self) -> None:
        """Callers name the request that brought the first event."""
        await self._check(CallerPlan(_EVENTS_BEFORE_CUT, cuts=2))

    async def test_stream_joins_versions_in_a_release(self) -> None:
        """Another version takes the place of the first, then a third."""
        fleet = await self.open_fleet(versions=(OLD_VERSION,))
        plan = CallerPlan(_EVENTS_BEFORE_CUT, return_ms=300)
        opened = asyncio.create_task(self.drive(plan, _RUN_MS))
        await fleet.clock.sleep(1000)
        await fleet.release(NEW_VERSION, 500)
        await fleet.release('v3', 500)
        await opened
        self.check_streams()
        self._check_share()

    async def test_stream_that_nobody_knows_joins_versions(self) -> None:
        """Callers do not name the request that brought the first event."""
        await self.open_fleet()
        plan = CallerPlan(_EVENTS_BEFORE_CUT, names_first=False)
        await self.drive(plan, 2000)
        self.check_streams()

    async def test_stream_of_a_single_version_is_refused(self) -> None:
        """Where one version serves, any server may go on."""
        fleet = await self.open_fleet(versions=(OLD_VERSION,))
        plan = CallerPlan(_EVENTS_BEFORE_CUT, names_first=False)
        await fleet.clock.sleep(_RUN_MS)
        await self.drive(plan, 2000)
        self.check_streams()
        self._check_share()

    async def _check(self, plan: CallerPlan) -> None:
        await self.open_fleet()
        await self.drive(plan, _RUN_MS)
        self.check_streams()
        self._check_share()

    def _check_share(self) -> None:
        fleet = self.fleet
        self.assertGreater(len(fleet.resumptions(serving=2)), 12)
        self.assertGreaterEqual(
            fleet.resumed_share(), _RESUMED_SHARE * fleet.started_share()
        )
