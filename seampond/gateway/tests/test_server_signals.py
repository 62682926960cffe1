"""Servers that say in their answers that they leave, or want rest.

A model server left while the store was away: its row, which says so, came 12 s
later.  Its answers said so too, and a gateway passed one on at 9.6 s and sent
two more requests there at 19.2 s, which only the row ended (`server leaves` at
20.43 s there, at 20.17 to 20.58 s at the others).  On another day three servers
of nine turned requests away and asked for 3 s of rest; each of three gateways
sent to them again every 0.5 to 2 s, and all of it was turned away: the time
that was asked for was never read, the pause came from counting refusals.
"""

import asyncio
from typing import Any

from seampond.clock import MS_PER_SECOND
from seampond.gateway.tests.signalling_case import SignallingCase
from seampond.platform import names
from seampond.platform.tests.rows import IDEMPOTENT, ONCE, STREAM
from seampond.testing.saying import SayingFleet

_DRAIN_MS = 2000
_RUN_MS = 5000
_UNWANTED_MAX = 2
_SERVED_PART = 0.99
# The route's target.
_SOON_MS = 1000
_REST_S = 3
# Two whole times of rest, and half of a third.
_RESTS_MS = 8000
_FAST_MS = 10


class WordsCase(SignallingCase):
    """Two gateways, which like one of the servers best."""

    async def open_fleet(
        self, kind: str = IDEMPOTENT, gateways: int = 2, **row: Any
    ) -> SayingFleet:
        """Start the servers, then the gateways."""
        fleet = await super().open_fleet(kind, gateways, **row)
        fleet.saying[0].run_ms = _FAST_MS
        return fleet


class LeavingWordTest(WordsCase):
    """A server says in its answers that it leaves."""

    async def test_where_requests_may_be_repeated(self) -> None:
        """Its row says so three seconds later."""
        fleet = await self.open_fleet()
        row = asyncio.create_task(_say_in_row(fleet, 3000))
        self.addCleanup(row.cancel)
        await self._check(fleet)

    async def test_where_requests_may_run_once(self) -> None:
        """Its row never says so."""
        await self._check(await self.open_fleet(ONCE))

    async def test_on_streams(self) -> None:
        """Said in the head, while the stream runs."""
        await self._check(await self.open_fleet(STREAM))

    async def test_in_answers_that_turn_away(self) -> None:
        """It is full and has not run them."""
        fleet = await self.open_fleet()
        fleet.saying[0].is_full = True
        await self._check(fleet)

    async def test_all_servers_say_it(self) -> None:
        """Callers hear soon that nothing is there, and when to come back."""
        fleet = await self.open_fleet()
        for server in fleet.saying:
            server.leaves = True
        since_ms = await self.drive(_RUN_MS)
        self.assertEqual(fleet.count_sends_to_leaving(_DRAIN_MS), 0)
        self.check_returns(since_ms, _SOON_MS)
        self.assertLess(fleet.served_part(since_ms + _DRAIN_MS), 0.5)

    async def test_it_starts_again_under_its_id(self) -> None:
        """Its next life says nothing of that kind, and is used."""
        fleet = await self.open_fleet()
        first = fleet.saying[0]
        first.leaves = True
        # So long that all places are needed.
        for server in fleet.saying:
            server.run_ms = 400
        await self.drive(500)
        first.leaves = False
        first.crash()
        since_ms = await self.drive(2500)
        lives = {one.life for one in fleet.sent if one.server == first.id}
        self.assertEqual(len(lives), 2)
        self.assertGreaterEqual(fleet.served_part(since_ms), _SERVED_PART)

    async def _check(self, fleet: SayingFleet) -> None:
        fleet.saying[0].leaves = True
        since_ms = await self.drive(_RUN_MS)
        self.assertEqual(fleet.count_sends_to_leaving(_DRAIN_MS), 0)
        self.assertGreaterEqual(fleet.served_part(since_ms), _SERVED_PART)


class RestTest(WordsCase):
    """Servers turn requests away and ask for some seconds of rest."""

    async def test_some_servers_want_rest(self) -> None:
        """The others serve, and these again when they are well."""
        fleet = await self.open_fleet()
        tired = fleet.saying[:2]
        for server in tired:
            server.is_full = True
            server.rest = str(_REST_S)
        since_ms = await self.drive(_RESTS_MS)
        self.assertLessEqual(fleet.count_unwanted_sends(), _UNWANTED_MAX)
        self.assertGreaterEqual(fleet.served_part(since_ms), _SERVED_PART)
        for server in tired:
            server.is_full = False
        since_ms = await self.drive(_REST_S * MS_PER_SECOND)
        used = {one.server for one in fleet.sent if one.at_ms > since_ms}
        self.assertLessEqual({server.id for server in tired}, used)

    async def test_all_servers_want_rest(self) -> None:
        """Callers are told when the first of them has rested."""
        fleet = await self.open_fleet()
        for server in fleet.saying:
            server.is_full = True
            server.rest = str(_REST_S)
        since_ms = await self.drive(2000)
        self.assertLessEqual(fleet.count_unwanted_sends(), _UNWANTED_MAX)
        # Once each server has asked both gateways for rest.
        self.check_returns(since_ms, _SOON_MS)
        for one in fleet.asked:
            if one.at_ms < since_ms + MS_PER_SECOND:
                continue
            returns_ms = float(one.headers['retry-after']) * MS_PER_SECOND
            rested_ms = min(
                _rested_ms(fleet, one.gateway, server.id)
                for server in fleet.saying
            )
            self.assertGreaterEqual(one.head_ms + returns_ms, rested_ms - 50)
            self.assertLess(one.head_ms + returns_ms, rested_ms + 1500)


async def _say_in_row(fleet: SayingFleet, after_ms: int) -> None:
    await fleet.clock.sleep(after_ms)
    fleet.saying[0].put_row(state=names.DRAINING_STATE)


def _rested_ms(fleet: SayingFleet, gateway: str, server_id: str) -> int:
    """Give when a server may be asked again by a gateway."""
    gateways = {one.request_id: one.gateway for one in fleet.asked}
    return max(
        turned.sent.at_ms + turned.rest_ms
        for turned in fleet.list_turned_away()
        if turned.sent.server == server_id
        and gateways[turned.sent.request_id] == gateway
    )
