"""Tests of calls that are made again on a second connection."""

import asyncio
import unittest
from itertools import repeat

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.testing.virtual_time import run_virtual
from seampond.watches import HedgedSource, HistoryGoneError, Page

_DEADLINE_MS = 2000
# Twice the time after which a call is made again.
_SLOW_MS = 500
_TIMEOUT_MS = 900
_LOST = PlatformError('TimeoutError', step='read')


class TimedSource:
    """Source whose answers come after listed times, and are lost after that.

    Parameters
    ----------
    error : Exception or None
        Raised by the listed answers.
    head_ms : int or None
        Time until an answer begins, None for the time until it is complete.

    """

    name = 'timed'
    max_changes_bytes: int | None = None

    def __init__(
        self,
        clock: Clock,
        *answer_ms: int,
        error: Exception | None = None,
        head_ms: int | None = None,
    ) -> None:
        """Store the times."""
        self.is_answering = False
        self.calls = 0
        self.limits: list[int | None] = []
        self._clock = clock
        self._answer_ms = list(answer_ms)
        self._error = error
        self._head_ms = head_ms

    async def read_all(self) -> Page:
        """Answer after the next time."""
        self.calls += 1
        self.is_answering = False
        if not self._answer_ms:
            await self._clock.sleep(_TIMEOUT_MS)
            raise _LOST
        answer_ms = self._answer_ms.pop(0)
        head_ms = answer_ms if self._head_ms is None else self._head_ms
        await self._clock.sleep(head_ms)
        self.is_answering = True
        await self._clock.sleep(answer_ms - head_ms)
        if self._error is not None:
            raise self._error
        return Page((), 1, 0, 0, 0, is_snapshot=True)

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Answer after the next time."""
        self.limits.append(self.max_changes_bytes)
        return await self.read_all()


class HedgedSourceTest(unittest.TestCase):
    """When a call is made again, and which answer counts."""

    def test_lost_call_is_answered_on_the_spare_connection(self) -> None:
        """A connection that died must not hold a call until its timeout."""

        async def run(clock: Clock) -> None:
            source, spare = TimedSource(clock), TimedSource(clock, 10, 10)
            hedged = _hedge(source, spare)
            hedged.max_changes_bytes = 7
            for _ in range(2):
                since_ms = clock.now()
                await hedged.read_changes(1, 0)
                self.assertLess(clock.now() - since_ms, _SLOW_MS)
            self.assertEqual({*source.limits, *spare.limits}, {7})

        run_virtual(run)

    def test_slow_store_does_not_get_twice_the_calls(self) -> None:
        """A store that is slow for all is hedged once."""

        async def run(clock: Clock) -> None:
            source = TimedSource(clock, *repeat(_SLOW_MS, 9))
            spare = TimedSource(clock, *repeat(_SLOW_MS, 9))
            hedged = _hedge(source, spare)
            for _ in range(9):
                await hedged.read_all()
            self.assertEqual(spare.calls, 1)

        run_virtual(run)

    def test_silent_store_does_not_get_twice_the_calls(self) -> None:
        """An outage is hedged once; a prompt answer ends it."""

        async def run(clock: Clock) -> None:
            source, spare = TimedSource(clock), TimedSource(clock)
            hedged = _hedge(source, spare)
            for _ in range(3):
                with self.assertRaises(PlatformError):
                    await hedged.read_all()
            self.assertEqual(spare.calls, 1)
            source._answer_ms.append(10)
            await hedged.read_all()
            with self.assertRaises(PlatformError):
                await hedged.read_all()
            self.assertEqual(spare.calls, 2)

        run_virtual(run)

    def test_long_answer_is_not_read_twice(self) -> None:
        """An answer that has begun keeps its link for itself."""

        async def run(clock: Clock) -> None:
            source = TimedSource(clock, 2 * _SLOW_MS, head_ms=10)
            spare = TimedSource(clock, 10)
            await _hedge(source, spare).read_all()
            self.assertEqual(spare.calls, 0)

        run_virtual(run)

    def test_waiting_call_is_not_made_again(self) -> None:
        """The store holds it on purpose."""

        async def run(clock: Clock) -> None:
            source = TimedSource(clock, 2 * _SLOW_MS)
            spare = TimedSource(clock, 10)
            await _hedge(source, spare).read_changes(1, 15_000)
            self.assertEqual(spare.calls, 0)

        run_virtual(run)

    def test_lost_history_is_an_answer(self) -> None:
        """The other call, which is lost, must not be waited for."""
        gone = HistoryGoneError('gone', step='read')

        async def run(clock: Clock) -> None:
            spare = TimedSource(clock, 10, error=gone)
            hedged = _hedge(TimedSource(clock), spare)
            with self.assertRaises(HistoryGoneError):
                await hedged.read_all()
            self.assertLess(clock.now(), _SLOW_MS)

        run_virtual(run)

    def test_cancelled_call_ends_both(self) -> None:
        """No call must go on after its caller has gone."""

        async def run(clock: Clock) -> None:
            hedged = _hedge(TimedSource(clock), TimedSource(clock))
            call = asyncio.create_task(hedged.read_all())
            await clock.sleep(_SLOW_MS)
            call.cancel()
            await asyncio.wait([call])
            others = asyncio.all_tasks() - {asyncio.current_task()}
            self.assertEqual(others, set())

        run_virtual(run)


def _hedge(source: TimedSource, spare: TimedSource) -> HedgedSource:
    return HedgedSource(source, spare, lambda: _DEADLINE_MS, lambda: None)
