"""Tests of following a table: stale reads, lost history and failures."""

import asyncio
import unittest
from typing import Any

from seampond.clock import Clock, ManualClock
from seampond.errors import CutAnswerError, PlatformError
from seampond.watches import (
    FreshnessProof,
    HistoryGoneError,
    LongChangesError,
    Page,
    Row,
    StoreClock,
    TableFreshness,
    Watch,
    probe_when_stale,
)


def _page(version: int, *keys: str, is_snapshot: bool = False) -> Page:
    rows = tuple(Row(key, b'', version) for key in keys)
    return Page(rows, version, 0, 0, 0, is_snapshot)


def _never() -> bool:
    """Follow no feed."""
    return False


class ListedSource:
    """Source that returns listed answers in turn and then blocks."""

    name = 'test'
    max_changes_bytes: int | None = None

    def __init__(self, *answers: Page | Exception) -> None:
        """Store the answers."""
        self._answers = list(answers)
        self.calls: list[str] = []
        self.waits: list[int] = []
        self.limits: list[int | None] = []
        self.is_over = asyncio.Event()

    async def read_all(self) -> Page:
        """Return the next answer."""
        return await self._next('all')

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Return the next answer."""
        self.waits.append(wait_ms)
        self.limits.append(self.max_changes_bytes)
        return await self._next(f'since {since}')

    async def _next(self, call: str) -> Page:
        self.calls.append(call)
        if not self._answers:
            self.is_over.set()
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def build_freshness(clock: Clock | None = None) -> TableFreshness:
    """Return a freshness without a callback."""
    return TableFreshness(
        clock or Clock(), StoreClock(), lambda proved_ms: None
    )


def build_watch(
    source: ListedSource,
    probe_source: ListedSource | None = None,
    **changes: Any,
) -> Watch:
    """Return a watch that accepts every page."""
    content: dict[str, Any] = {
        'apply': lambda page: None,
        'wait_ms': 1000,
        'clock': Clock(),
        'count_failure': lambda step: None,
        'freshness': build_freshness(),
    }
    probes = probe_source or ListedSource()
    return Watch(source, probes, **(content | changes))


def hold(freshness: TableFreshness, page: Page) -> None:
    """Apply a page to a freshness."""
    freshness.check(page)
    freshness.apply_page(page)


class RecordingClock(Clock):
    """Clock that records sleeps instead of sleeping."""

    def __init__(self) -> None:
        """Start without recorded sleeps."""
        super().__init__()
        self.__dict__['sleeps'] = []

    async def sleep(self, duration_ms: float) -> None:
        """Record the sleep."""
        self.__dict__['sleeps'].append(duration_ms)
        await asyncio.sleep(0)


class InstantClock(ManualClock):
    """Manual clock on which a sleep takes no time."""

    async def sleep(self, duration_ms: float) -> None:
        """Yield to other tasks."""
        await asyncio.sleep(0)


class BlockedClock(Clock):
    """Clock on which a sleep never ends."""

    def __init__(self) -> None:
        """Start without a sleeping task."""
        super().__init__()
        self.__dict__['blocked'] = asyncio.Event()

    async def sleep(self, duration_ms: float) -> None:
        """Signal the sleep and never return."""
        self.__dict__['blocked'].set()
        await asyncio.Event().wait()


class RecordingFreshness(TableFreshness):
    """Freshness that records waits instead of waiting."""

    def __init__(self, *arguments: Any) -> None:
        """Start without recorded waits."""
        super().__init__(*arguments)
        self.pauses: list[int] = []

    async def wait_until_behind(self, timeout_ms: int) -> None:
        """Record the wait."""
        self.pauses.append(timeout_ms)
        await asyncio.sleep(0)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """Calls that a watch makes and answers that it applies."""

    async def test_reads_snapshot_then_changes(self) -> None:
        """A table must not be read in full more than once."""
        calls, applied, _ = await self._follow(
            _page(3, 'a', is_snapshot=True), _page(5, 'b')
        )
        self.assertEqual(calls, ['all', 'since 3', 'since 5'])
        self.assertEqual(applied, [3, 5])

    async def test_first_call_for_changes_does_not_wait(self) -> None:
        """A snapshot must be confirmed at once after a start."""
        await self._follow(_page(3, is_snapshot=True), _page(3), _page(5))
        self.assertEqual(self.waits, [0, 1000, 1000])

    async def test_changes_are_batched(self) -> None:
        """A pause must follow each change."""
        whole = _page(3, 'a', is_snapshot=True)
        source = ListedSource(whole, _page(3), _page(5, 'b'), _page(7, 'c'))
        clock = RecordingClock()
        watch = build_watch(source, clock=clock, batch_pause_ms=250)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        self.assertEqual(clock.__dict__['sleeps'], [250, 250])

    async def test_first_call_after_a_failure_does_not_wait(self) -> None:
        """Freshness must be proved at once after an outage."""
        await self._follow(
            _page(3, is_snapshot=True),
            _page(3),
            PlatformError('is down', step='read'),
            _page(4),
        )
        self.assertEqual(self.waits, [0, 1000, 0, 1000])

    async def test_non_follower_does_not_poll(self) -> None:
        """Only the reads after the start may call the store."""
        source = ListedSource(_page(3, is_snapshot=True), _page(3))
        clock = BlockedClock()
        watch = build_watch(source, clock=clock, is_follower=_never)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await clock.__dict__['blocked'].wait()
        self.assertEqual(source.calls, ['all', 'since 3'])

    async def test_relayed_page_with_gap_is_ignored(self) -> None:
        """Changes between the version held and the page must not be lost."""
        applied: list[int] = []
        source = ListedSource(_page(3, is_snapshot=True), _page(3))
        watch = build_watch(
            source, apply=lambda page: applied.append(page.version)
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        watch.apply_relayed(4, _page(6, 'x'))
        self.assertEqual(applied, [3, 3])
        watch.apply_relayed(2, _page(5, 'a'))
        watch.apply_relayed(3, _page(4, 'old'))
        watch.apply_relayed(5, _page(7, 'b'))
        self.assertEqual(applied, [3, 3, 5, 7])
        self.assertEqual(watch.freshness.version, 7)

    async def test_known_changes_are_not_relayed(self) -> None:
        """Changes that other processes reported must not be sent again."""
        reported: list[tuple[int, int]] = []
        source = ListedSource(
            _page(3, is_snapshot=True), _page(3), _page(5, 'a')
        )
        probe_source = ListedSource(_page(8, 'b'))
        watch = build_watch(
            source,
            probe_source,
            relay=lambda since, page: reported.append((since, page.version)),
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        self.assertEqual(reported, [(3, 3), (3, 5)])
        watch.freshness.apply_proof(FreshnessProof(8, 1))
        self.assertTrue(await watch.probe())
        self.assertEqual(reported, [(3, 3), (3, 5)])

    async def test_non_follower_retries_after_failure(self) -> None:
        """After a failed probe the call must be repeated."""
        whole, still = _page(3, is_snapshot=True), _page(3)
        source = ListedSource(whole, still, _page(4))
        probe_source = ListedSource(PlatformError('is down', step='read'))
        clock = RecordingClock()
        watch = build_watch(
            source, probe_source, clock=clock, is_follower=_never
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            while len(source.calls) < 2:
                await asyncio.sleep(0)
            self.assertFalse(await watch.probe())
            while watch.freshness.version < 4:
                await asyncio.sleep(0)
        self.assertFalse(watch.is_failing)

    async def test_pauses_grow_with_proofs_of_others(self) -> None:
        """Failed calls need few retries while other processes give proofs."""
        self.assertGreater(max(await self._fail(proved_ms=10_000)), 600)
        self.assertLessEqual(max(await self._fail(proved_ms=1000)), 200)

    async def test_pauses_grow_with_fleet(self) -> None:
        """Retries of a large fleet must not overload the store."""
        pauses = await self._fail(proved_ms=1000, interval_factor=lambda: 4)
        self.assertGreater(max(pauses), 300)
        self.assertLessEqual(max(pauses), 800)

    async def test_lost_history_leads_to_snapshot(self) -> None:
        """After a compaction of the history a snapshot must be read."""
        gone = HistoryGoneError('gone', step='read')
        calls, applied, _ = await self._follow(
            _page(3, is_snapshot=True), gone, _page(9, is_snapshot=True)
        )
        self.assertEqual(calls, ['all', 'since 3', 'all', 'since 9'])
        self.assertEqual(applied, [3, 9])

    async def test_history_lost_again_and_again_leads_to_pauses(self) -> None:
        """A store that is behind with snapshots must not be flooded."""
        gone = HistoryGoneError('gone', step='read')
        whole = _page(3, is_snapshot=True)
        source = ListedSource(whole, gone, whole, gone, _page(9, 'a'))
        clock = RecordingClock()
        watch = build_watch(source, clock=clock)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        pauses = [sleep for sleep in clock.__dict__['sleeps'] if sleep]
        self.assertEqual(len(pauses), 2)

    async def test_stale_snapshot_is_read_again(self) -> None:
        """A snapshot older than the version held must not be applied."""
        gone = HistoryGoneError('gone', step='read')
        calls, applied, _ = await self._follow(
            _page(7, is_snapshot=True),
            gone,
            _page(4, is_snapshot=True),
            _page(8, is_snapshot=True),
        )
        self.assertEqual(calls, ['all', 'since 7', 'all', 'all', 'since 8'])
        self.assertEqual(applied, [7, 8])

    async def test_exception_while_applying_does_not_end_watch(self) -> None:
        """The exception must be logged and a snapshot be read."""
        source = ListedSource(
            _page(3, is_snapshot=True), _page(4), _page(5, is_snapshot=True)
        )
        applied: list[int] = []

        def apply_page(page: Page) -> None:
            if page.version == 4:
                raise KeyError('address')
            applied.append(page.version)

        watch = build_watch(source, apply=apply_page)
        with self.assertLogs('seampond.watches.watch', 'ERROR'):
            task = asyncio.create_task(watch.run())
            async with asyncio.timeout(5):
                await source.is_over.wait()
        task.cancel()
        self.assertEqual(source.calls[:3], ['all', 'since 3', 'all'])
        self.assertEqual(applied, [3, 5])

    async def test_failed_call_is_counted_and_retried(self) -> None:
        """The copy must be kept while the store is down."""
        calls, applied, failures = await self._follow(
            _page(3, is_snapshot=True),
            PlatformError('is down', step='read'),
            _page(4),
        )
        self.assertEqual(calls, ['all', 'since 3', 'since 3', 'since 4'])
        self.assertEqual(applied, [3, 4])
        self.assertEqual(failures, ['read'])

    async def test_each_reason_of_failure_is_logged_once(self) -> None:
        """Repeated failures must not flood the log."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        down = PlatformError('is down', step='read')
        with self.assertLogs('seampond.watches.watch', 'WARNING') as logs:
            await self._follow(
                _page(3, is_snapshot=True), down, down, cut, cut, _page(4)
            )
        reported = [
            (line.getMessage(), line.__dict__.get('received'))
            for line in logs.records
        ]
        failed = 'store call failed'
        self.assertEqual(
            reported, [(failed, 0), (failed, 7), ('store answers again', None)]
        )

    async def test_incomplete_answer_leads_to_snapshot(self) -> None:
        """Changes too large for a call must not be requested again."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        calls, applied, _ = await self._follow(
            _page(3, is_snapshot=True),
            cut,
            _page(9, is_snapshot=True),
            _page(9),
        )
        self.assertEqual(calls, ['all', 'since 3', 'all', 'since 9', 'since 9'])
        self.assertEqual(applied, [3, 9, 9])

    async def test_changes_longer_than_the_table_lead_to_snapshot(self) -> None:
        """Reading them takes longer, or longer than a call may take."""
        calls, applied, _ = await self._follow(
            _page(3, is_snapshot=True),
            LongChangesError('too long', step='read'),
            _page(9, is_snapshot=True),
            _page(9),
        )
        self.assertEqual(calls, ['all', 'since 3', 'all', 'since 9', 'since 9'])
        self.assertEqual(applied, [3, 9, 9])

    async def test_long_changes_are_read_where_snapshots_lag(self) -> None:
        """A store that is behind with snapshots must not get them in a loop."""
        source = ListedSource(
            _page(7, is_snapshot=True),
            LongChangesError('too long', step='read'),
            _page(4, is_snapshot=True),
            _page(9),
        )
        task = asyncio.create_task(build_watch(source).run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        self.assertEqual(source.calls[-3:], ['all', 'since 7', 'since 9'])
        self.assertEqual(source.limits, [65_536, None, None])

    async def test_stale_snapshot_leads_back_to_feed(self) -> None:
        """A stale snapshot must not be read again and again."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        calls, applied, _ = await self._follow(
            _page(7, is_snapshot=True),
            cut,
            _page(4, is_snapshot=True),
            _page(9),
        )
        self.assertEqual(calls, ['all', 'since 7', 'all', 'since 7', 'since 9'])
        self.assertEqual(applied, [7, 9])

    async def test_snapshot_of_small_table_after_long_outage(self) -> None:
        """The feed may have too many changes; a large table is followed."""
        for rows, call in ((1, 'all'), (101, 'since 3')):
            with self.subTest(rows=rows):
                self.assertEqual(await self._call_after_outage(rows), call)

    async def test_changes_of_small_table_after_short_outage(self) -> None:
        """A short outage must not lead to a snapshot."""
        call = await self._call_after_outage(rows=1, outage_ms=1000)
        self.assertEqual(call, 'since 3')

    async def test_answer_to_an_earlier_call_is_refused(self) -> None:
        """An answer older than its call must not serve as a proof."""
        store_clock = StoreClock()
        store_clock.update(Page((), 1, 50_000, 1000, 1002, False))
        with self.assertRaises(PlatformError):
            store_clock.update(Page((), 1, 51_000, 9000, 9002, False))

    async def _call_after_outage(self, rows: int, outage_ms: int = 3000) -> str:
        """Return the first call after an outage with a missing change."""
        keys = [str(number) for number in range(rows)]
        down = PlatformError('is down', step='read')
        source = ListedSource(_page(3, *keys, is_snapshot=True), _page(3), down)
        clock = InstantClock()
        freshness = build_freshness(clock)
        watch = build_watch(source, clock=clock, freshness=freshness)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            while len(source.calls) < 3:
                await asyncio.sleep(0)
            freshness.apply_proof(FreshnessProof(9, 1))
            clock.advance(outage_ms)
            await source.is_over.wait()
        return source.calls[3]

    async def _fail(self, proved_ms: int, **changes: Any) -> list[float]:
        """Return the pauses after several failed calls."""
        failures = [PlatformError('is down', step='read') for _ in range(9)]
        source = ListedSource(_page(3, is_snapshot=True), _page(3), *failures)
        clock = RecordingClock()
        clock.__dict__['now'] = lambda: 10_000
        freshness = RecordingFreshness(
            clock, StoreClock(), lambda proved_ms: None
        )
        watch = build_watch(
            source,
            clock=clock,
            freshness=freshness,
            max_retry_pause_ms=200,
            **changes,
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            while len(source.calls) < 3:
                await asyncio.sleep(0)
            freshness.proved_ms = proved_ms
            await source.is_over.wait()
        return [*clock.__dict__['sleeps'], *freshness.pauses]

    async def _follow(
        self, *answers: Page | Exception
    ) -> tuple[list[str], list[int], list[str]]:
        """Return calls, applied versions and counted failures."""
        source = ListedSource(*answers)
        applied: list[int] = []
        failures: list[str] = []
        watch = build_watch(
            source,
            apply=lambda page: applied.append(page.version),
            count_failure=failures.append,
        )
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5):
            await source.is_over.wait()
        task.cancel()
        self.waits = source.waits
        return source.calls, applied, failures


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """Calls besides a feed that may be dead."""

    async def asyncSetUp(self) -> None:
        """Start with a feed that stops answering."""
        self.feed = ListedSource(_page(3, is_snapshot=True), _page(3))
        self.applied: list[int] = []

    async def test_probe_finds_change_despite_dead_feed(self) -> None:
        """A probe must read from the version held and apply the answer."""
        watch = await self._start(_page(6, 'a'))
        self.assertTrue(await watch.probe())
        self.assertEqual(self.probes.calls, ['since 3'])
        self.assertEqual(self.probes.waits, [0])
        self.assertEqual(self.applied, [3, 3, 6])

    async def test_feed_is_reopened_after_an_outage(self) -> None:
        """A hanging call must be cancelled once a probe succeeds again."""
        watch = await self._start(
            PlatformError('is down', step='read'), _page(4)
        )
        self.assertFalse(await watch.probe())
        self.assertTrue(await watch.probe())
        self.feed.is_over.clear()
        async with asyncio.timeout(5):
            await self.feed.is_over.wait()
        self.assertEqual(self.feed.calls[-1], 'since 4')

    async def test_overload_shown_by_a_probe_ends_a_hanging_call(self) -> None:
        """Otherwise neither the feed nor a probe would read the table."""
        rows = tuple(Row('a', b'', version) for version in (5, 6))
        watch = await self._start(Page(rows, 6, 0, 0, 400, False))
        self.assertTrue(await watch.probe())
        async with asyncio.timeout(5):
            while self.feed.calls[-1] != 'all':
                await asyncio.sleep(0.01)

    async def test_probe_without_news_leaves_the_call_of_the_feed(self) -> None:
        """A snapshot names all rows, also those that are held."""
        watch = await self._start(_page(2, 'a', is_snapshot=True), _page(3))
        watch.freshness.apply_proof(FreshnessProof(latest_change=9, store_ms=0))
        calls = list(self.feed.calls)
        self.assertFalse(await watch.probe())
        self.assertTrue(await watch.probe())
        await asyncio.sleep(0.02)
        self.assertEqual(self.feed.calls, calls)

    async def test_probes_go_on_after_one_fails_beside_a_hanging_call(
        self,
    ) -> None:
        """A process that no longer follows the feed must not wait for it."""
        watch = await self._start(
            PlatformError('is down', step='read'), _page(4, 'a')
        )
        watch.is_follower = _never
        self.assertFalse(await watch.probe())
        self.assertTrue(await watch.probe())
        self.assertEqual(self.applied[-1], 4)

    async def test_probe_reads_snapshot_where_changes_fail(self) -> None:
        """Changes that are too large or no longer kept are not retried."""
        failures = (
            CutAnswerError('TimeoutError', step='read', peer='', received=7),
            HistoryGoneError('gone', step='read'),
        )
        for failure in failures:
            with self.subTest(type(failure).__name__):
                self.feed = ListedSource(_page(3, is_snapshot=True), _page(3))
                watch = await self._start(failure, _page(9, is_snapshot=True))
                self.assertFalse(await watch.probe())
                self.assertTrue(await watch.probe())
                self.assertEqual(self.probes.calls, ['since 3', 'all'])
                self.assertEqual(watch.freshness.version, 9)

    async def test_probe_does_not_repeat_a_snapshot_that_lags(self) -> None:
        """A store that is behind with snapshots still answers changes."""
        for version in (2, 6):
            with self.subTest(version=version):
                self.feed = ListedSource(
                    _page(3, 'a', is_snapshot=True), _page(3)
                )
                watch = await self._start(
                    _page(version, 'a', is_snapshot=True), _page(9, 'a')
                )
                watch.freshness.apply_proof(
                    FreshnessProof(latest_change=9, store_ms=0)
                )
                await watch.probe()
                self.assertTrue(await watch.probe())
                last_call = self.probes.calls[-1]
                self.assertEqual(last_call, f'since {max(3, version)}')
                self.assertFalse(watch.freshness.is_behind)

    async def test_probe_reads_snapshot_of_tiny_table(self) -> None:
        """A large change must not be read in several versions by the feed.

        A table with more rows is read by its changes.
        """
        for rows, call in ((1, 'all'), (5, 'since 3')):
            with self.subTest(rows=rows):
                keys = map(str, range(rows))
                self.feed = ListedSource(
                    _page(3, *keys, is_snapshot=True), _page(3)
                )
                watch = await self._start(_page(9, is_snapshot=True))
                watch.freshness.apply_proof(
                    FreshnessProof(latest_change=8, store_ms=0)
                )
                self.assertTrue(await watch.probe())
                self.assertEqual(self.probes.calls, [call])

    async def test_no_probe_while_feed_retries(self) -> None:
        """Probes must not add to the calls of a failing feed."""
        refused = PlatformError('busy', step='read')
        feed = ListedSource(_page(3, is_snapshot=True), refused)
        probes = ListedSource(_page(4))
        clock = BlockedClock()
        watch = build_watch(feed, probes, clock=clock)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await clock.__dict__['blocked'].wait()
        self.assertFalse(await watch.probe())
        self.assertEqual(probes.calls, [])

    async def test_copy_not_proved_in_time_is_logged_once(self) -> None:
        """The event must tell what the feed is doing, and for how long."""
        clock = InstantClock(1000)
        feed = ListedSource(Page((), 3, 0, 1000, 1000, is_snapshot=False))
        watch = build_watch(
            feed, clock=clock, freshness=build_freshness(clock), is_loaded=True
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await feed.is_over.wait()
        clock.advance(2500)
        with self.assertLogs('seampond.watches.watch', 'WARNING') as logs:
            for is_loaded in (True, False):
                watch.is_loaded = is_loaded
                watch.log_overdue(2000)
        line, *repeated = logs.records
        self.assertEqual(repeated, [])
        self.assertEqual(line.getMessage(), 'copy not proved in time')
        self.assertEqual(line.__dict__['detail'], 'waiting')
        self.assertEqual(line.__dict__['feed_ms'], 2500)

    async def test_feed_and_probe_do_not_read_at_once(self) -> None:
        """Over a narrow link both would miss the time for their answers."""
        clock = RecordingClock()
        feed = ListedSource(_page(3, is_snapshot=True), _page(3))
        probes = ListedSource(_page(4, 'a'))
        is_follower = [False]
        watch = build_watch(
            feed, probes, clock=clock, is_follower=lambda: is_follower[0]
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            while not clock.__dict__['sleeps']:
                await asyncio.sleep(0)
            is_follower[0] = True
            await feed.is_over.wait()
        self.assertEqual(feed.waits, [0, 0])
        self.assertFalse(await watch.probe())
        self.assertEqual(probes.calls, [])

    async def test_no_probe_before_first_snapshot(self) -> None:
        """Changes must not be requested before a snapshot was applied."""
        watch = build_watch(ListedSource())
        self.assertFalse(await watch.probe())

    async def test_missing_change_is_probed_for(self) -> None:
        """A known change must not wait until the last proof expires."""
        watch = await self._start(_page(9, 'a'))
        self._start_probing(watch, 60_000)
        watch.freshness.apply_proof(FreshnessProof(latest_change=8, store_ms=0))
        async with asyncio.timeout(5):
            while self.applied[-1] != 9:
                await asyncio.sleep(0.01)

    async def test_proof_after_snapshot_covers_deletion(self) -> None:
        """A deletion that a snapshot cannot show must still be missed."""
        clock = ManualClock(1000)
        reader, late = build_freshness(clock), build_freshness(clock)
        row = Row('a', b'', 6)
        hold(late, Page((row,), 6, 1000, 1000, 1000, is_snapshot=False))
        hold(reader, Page((row,), 9, 1000, 1000, 1000, is_snapshot=True))
        reader.apply_proof(FreshnessProof(latest_change=8, store_ms=1100))
        clock.advance(500)
        hold(reader, Page((), 9, 1500, 1500, 1500, False))
        assert reader.proof is not None
        late.apply_proof(reader.proof)
        self.assertTrue(late.is_behind)

    async def test_proof_of_others_delays_probe(self) -> None:
        """No probe may be made while other processes give proofs."""
        clock = ManualClock(1000)
        freshness = build_freshness(clock)
        hold(freshness, Page((), 5, 1000, 1000, 1000, False))
        clock.advance(1400)
        freshness.apply_proof(FreshnessProof(latest_change=5, store_ms=2300))
        self.assertEqual(freshness.next_probe_ms(1500, 400), 2298 + 1500)

    async def _start(self, *probed: Page | Exception) -> Watch:
        self.probes = ListedSource(*probed)
        watch = build_watch(
            self.feed,
            self.probes,
            apply=lambda page: self.applied.append(page.version),
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await self.feed.is_over.wait()
        return watch

    def _start_probing(self, watch: Watch, max_age_ms: int) -> None:
        task = asyncio.create_task(
            probe_when_stale(watch, max_age_ms, int, watch.clock)
        )
        self.addCleanup(task.cancel)


class TableFreshnessTest(unittest.TestCase):
    """What proves a copy to be complete and what does not."""

    def setUp(self) -> None:
        """Hold version 5, proved at 1000 ms."""
        self.clock = ManualClock(1000)
        self.freshness = build_freshness(self.clock)
        hold(self.freshness, Page((), 5, 1000, 1000, 1000, False))

    def test_proof_of_missing_change_proves_nothing(self) -> None:
        """A copy that lacks a change must not count as complete."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=6, store_ms=1900)
        )
        self.assertEqual(self.freshness.proved_ms, 1000)
        self.assertEqual(self.freshness.next_probe_ms(60_000, 400), 1000 + 400)

    def test_received_change_is_not_missing(self) -> None:
        """A feed that was a little late must not lead to a probe."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=6, store_ms=1900)
        )
        self.clock.advance(1000)
        row = Row('a', b'', 6)
        hold(self.freshness, Page((row,), 6, 2000, 2000, 2000, False))
        self.assertEqual(
            self.freshness.next_probe_ms(60_000, 400), 2000 + 60_000
        )
        self.assertEqual(self.freshness.proof, FreshnessProof(6, 2000))

    def test_snapshot_proves_nothing(self) -> None:
        """A snapshot may be some seconds old."""
        hold(self.freshness, Page((), 9, 1900, 1900, 1900, True))
        self.assertEqual(self.freshness.proved_ms, 1000)

    def test_pending_proof_counts_once_its_change_is_held(self) -> None:
        """Freshness must be proved while each proof names a later version."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=6, store_ms=1500)
        )
        self.freshness.apply_proof(
            FreshnessProof(latest_change=7, store_ms=1900)
        )
        row = Row('a', b'', 6)
        whole = Page((row,), 6, 2000, 2000, 2000, is_snapshot=True)
        self.clock.advance(1000)
        self.freshness.check(whole)
        self.assertTrue(self.freshness.apply_page(whole))
        self.assertEqual(self.freshness.proved_ms, 1498)
        self.assertTrue(self.freshness.is_behind)

    def test_snapshot_raises_latest_change_of_proof(self) -> None:
        """Other processes must learn of a change that a snapshot has shown."""
        row = Row('a', b'', 9)
        hold(
            self.freshness, Page((row,), 9, 1900, 1900, 1900, is_snapshot=True)
        )
        self.assertEqual(self.freshness.proof, FreshnessProof(9, 1000))
        other = build_freshness(self.clock)
        hold(other, Page((), 8, 1000, 1000, 1000, is_snapshot=False))
        other.apply_proof(FreshnessProof(9, 1000))
        self.assertTrue(other.is_behind)

    def test_reordered_proof_is_ignored(self) -> None:
        """An older proof must not lower the time that was proved."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=5, store_ms=1800)
        )
        self.freshness.apply_proof(
            FreshnessProof(latest_change=5, store_ms=1200)
        )
        self.assertEqual(self.freshness.proved_ms, 1798)
