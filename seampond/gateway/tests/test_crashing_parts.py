"""Tests of prompt parts that crash the servers which run them.

No two requests with such a part are alike: each has its own body, id and last
part, while other requests share its caller and its other parts.
"""

import asyncio
from collections.abc import Callable

from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_crashing import CrashingCase
from seampond.platform.tests.rows import IDEMPOTENT, ONCE, STREAM
from seampond.settings.gateway import BoundSettings
from seampond.testing.crashing import AnswerStyle, Content, CrashingFleet

_CRASHING_PART = 'bad'
_FIRST_PART = 'a0'
_RUN_MS = 13_000
_SLOW_RUN_MS = 27_000
_INTERVAL_MS = 250
_SLOW_INTERVAL_MS = 1000
_FAST_INTERVAL_MS = 100
_SHARED_PARTS = 5
_CRASHES_BORNE = 5
# How long after the last crash that is borne a gateway may not know of it yet.
_PROPAGATION_MS = 3000
_LATE_SENDS_MAX = 3
_SERVED_FRACTION = 0.9
_SETTLED_MS = 2 * _PROPAGATION_MS

MakeParts = Callable[[int], tuple[str, ...]]


class CrashingPartTest(CrashingCase):
    """Requests with one part in their prompts crash their servers."""

    async def test_idempotent_requests(self) -> None:
        """The part is the second of three."""
        await self._check()

    async def test_requests_that_may_run_once(self) -> None:
        """They are not sent to a second server."""
        await self._check(ONCE)

    async def test_first_part(self) -> None:
        """Other requests share the parts that follow."""
        await self._check(make_crashing=_begin_with_crashing_part)

    async def test_third_part_of_five(self) -> None:
        """The parts before and after it are harmless."""
        await self._check(make_crashing=_make_five_parts)

    async def test_servers_that_have_begun_to_answer(self) -> None:
        """The server has written its head and half a body."""
        await self._check(style=AnswerStyle.half_body)

    async def test_one_request_a_second(self) -> None:
        """Long after the crash before it."""
        await self._check(interval_ms=_SLOW_INTERVAL_MS, for_ms=_SLOW_RUN_MS)

    async def test_ten_requests_a_second(self) -> None:
        """Further ones run while the first crashes its server."""
        await self._check(interval_ms=_FAST_INTERVAL_MS)

    async def test_streams(self) -> None:
        """The caller has received an event when the server crashes."""
        await self._check(STREAM, style=AnswerStyle.stream)

    async def test_unframed_streams_that_end_inside_an_event(self) -> None:
        """Streams end with their connections."""
        await self._check(STREAM, style=AnswerStyle.half_event)

    async def test_unframed_streams_that_end_after_an_event(self) -> None:
        """A stream that a crash ends looks whole."""
        await self._check(STREAM, style=AnswerStyle.unframed_stream)

    async def test_two_parts(self) -> None:
        """Two parts crash servers, in turn."""
        await self._check(
            make_crashing=_alternate_crashing_parts, parts=('bad', 'worse')
        )

    async def _check(
        self,
        kind: str = IDEMPOTENT,
        *,
        style: AnswerStyle = AnswerStyle.whole,
        make_crashing: MakeParts | None = None,
        parts: tuple[str, ...] = (_CRASHING_PART,),
        interval_ms: int = _INTERVAL_MS,
        for_ms: int = _RUN_MS,
    ) -> None:
        fleet, gateways = await self.open_fleet(kind)
        fleet.crashes_on = lambda content: (
            not set(parts).isdisjoint(content.parts)
        )
        for server in fleet.servers:
            server.style = style
        make_parts = make_crashing or _make_three_parts
        await self.drive_contents(
            fleet,
            gateways,
            (make_sound_content, 50),
            (_with_parts(b'crashing', make_parts), interval_ms),
            for_ms=for_ms,
        )
        self._check_parts(fleet)

    def _check_parts(self, fleet: CrashingFleet) -> None:
        late = fleet.count_late_sends(_PROPAGATION_MS, _CRASHES_BORNE)
        self.assertLessEqual(late, _LATE_SENDS_MAX)
        # Stricter than from the fifth crash on, which may never come.
        settled_ms = fleet.caused_crash_times_ms[0] + _SETTLED_MS
        served = fleet.served_share(settled_ms)
        self.assertGreater(served, _SERVED_FRACTION)


class HarmlessPartTest(CrashingCase):
    """Servers crash of themselves; all requests share their first part."""

    async def test_part_is_quarantined_while_servers_crash_in_turn(
        self,
    ) -> None:
        """One server each second."""
        await self._check(1, 1000)

    async def test_part_is_quarantined_while_halves_crash(self) -> None:
        """Three servers at once."""
        await self._check(3, 750)

    async def _check(self, count: int, interval_ms: int) -> None:
        fleet, gateways = await self.open_fleet()
        fleet.crashes_on = lambda content: False
        self.crash_servers(fleet, count, interval_ms)
        since_ms = await self.drive_contents(
            fleet, gateways, (make_sound_content, 50), for_ms=_RUN_MS
        )
        self.assertGreaterEqual(len(fleet.crash_times_ms), 10)
        served = fleet.served_share(since_ms)
        self.assertGreaterEqual(served, 0.99 if count == 1 else 0.97)


class StoreAwayTest(CrashingCase):
    """All servers crash twice while the store is away."""

    # Keys may be used for a while after they are revoked.
    bounds = BoundSettings(strict_revoke=False)

    async def test_shared_part_stays_quarantined(self) -> None:
        """All requests share it, and no trial can be claimed."""
        fleet, gateways = await self.open_fleet()
        fleet.crashes_on = lambda content: False
        await self._drive(fleet, gateways, 1000)
        self.store.is_down = True
        for server in fleet.servers:
            server.service_ms = 600
        outages = asyncio.create_task(_crash_all_twice(fleet))
        self.addCleanup(outages.cancel)
        await self._drive(fleet, gateways, 4000)
        for server in fleet.servers:
            server.service_ms = 50
        # Each of the two gateways may try it once in 20 s.
        since_ms = await self._drive(fleet, gateways, 25_000)
        served = fleet.served_share(since_ms + 21_000)
        self.assertGreater(served, _SERVED_FRACTION)

    async def _drive(
        self, fleet: CrashingFleet, gateways: list[RunningGateway], for_ms: int
    ) -> int:
        return await self.drive_contents(
            fleet, gateways, (make_sound_content, 100), for_ms=for_ms
        )


async def _crash_all_twice(fleet: CrashingFleet) -> None:
    for wait_ms in (500, 1500):
        await fleet.clock.sleep(wait_ms)
        for server in fleet.servers:
            server.crash()


def make_sound_content(number: int) -> Content:
    """Return a request that shares all parts but its last one."""
    shared = f's{number % _SHARED_PARTS}'
    parts = (_FIRST_PART, shared, f'own-{number}')
    return Content(b'sound %d' % number, parts)


def _with_parts(body: bytes, make_parts: MakeParts) -> Callable[[int], Content]:
    return lambda number: Content(b'%b %d' % (body, number), make_parts(number))


def _make_three_parts(number: int) -> tuple[str, ...]:
    return (_FIRST_PART, _CRASHING_PART, f'last-{number}')


def _begin_with_crashing_part(number: int) -> tuple[str, ...]:
    return (_CRASHING_PART, f's{number % _SHARED_PARTS}', f'last-{number}')


def _make_five_parts(number: int) -> tuple[str, ...]:
    shared = (f's{number % _SHARED_PARTS}', _CRASHING_PART, 's0')
    return (_FIRST_PART, *shared, f'last-{number}')


def _alternate_crashing_parts(number: int) -> tuple[str, ...]:
    # Gateways are asked in turn too, so that both see each part.
    part = ('bad', 'worse')[number // 2 % 2]
    return (_FIRST_PART, part, f'last-{number}')
