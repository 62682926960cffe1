"""Following a table: stale reads, lost history, failures."""

import asyncio
import unittest
from typing import Any

from seampond.clock import Clock, ManualClock
from seampond.errors import CutAnswerError, PlatformError
from seampond.watches import (
    FreshnessProof,
    HistoryGoneError,
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
    """Leave the table to others."""
    return False


class ListedSource:
    """Gives listed answers in turn; then waits for ever."""

    name = 'test'

    def __init__(self, *answers: Page | Exception) -> None:
        """Keep the answers."""
        self._answers = list(answers)
        self.calls: list[str] = []
        self.waits: list[int] = []
        self.is_over = asyncio.Event()

    async def read_all(self) -> Page:
        """Give the next answer."""
        return await self._next('all')

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Give the next answer."""
        self.waits.append(wait_ms)
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


def build_currency(clock: Clock | None = None) -> TableFreshness:
    """Give a currency that tells nobody."""
    return TableFreshness(
        clock or Clock(), StoreClock(), lambda proved_ms: None
    )


def build_watch(
    source: ListedSource,
    probe_source: ListedSource | None = None,
    **changes: Any,
) -> Watch:
    """Give a watch that takes everything."""
    content: dict[str, Any] = {
        'apply': lambda page: None,
        'wait_ms': 1000,
        'clock': Clock(),
        'count_failure': lambda step: None,
        'freshness': build_currency(),
    }
    probes = probe_source or ListedSource()
    return Watch(source, probes, **(content | changes))


def hold(freshness: TableFreshness, page: Page) -> None:
    """Let a belief be as current as an answer says."""
    freshness.check(page)
    freshness.apply_page(page)


class NotedClock(Clock):
    """A clock that notes how long is slept, and does not sleep."""

    def __init__(self) -> None:
        """Start with no sleep noted."""
        super().__init__()
        self.__dict__['sleeps'] = []

    async def sleep(self, duration_ms: float) -> None:
        """Note the sleep."""
        self.__dict__['sleeps'].append(duration_ms)
        await asyncio.sleep(0)


class SkippingClock(ManualClock):
    """A clock that is told the time, and on which a sleep takes none."""

    async def sleep(self, duration_ms: float) -> None:
        """Let others run."""
        await asyncio.sleep(0)


class HeldClock(Clock):
    """A clock on which a sleep never ends."""

    def __init__(self) -> None:
        """Start with nobody asleep."""
        super().__init__()
        self.__dict__['held'] = asyncio.Event()

    async def sleep(self, duration_ms: float) -> None:
        """Tell of the sleep, and sleep for ever."""
        self.__dict__['held'].set()
        await asyncio.Event().wait()


class RecordingFreshness(TableFreshness):
    """A currency that notes how long is waited for a change."""

    def __init__(self, *words: Any) -> None:
        """Start with no wait noted."""
        super().__init__(*words)
        self.pauses: list[int] = []

    async def wait_until_behind(self, timeout_ms: int) -> None:
        """Note the wait."""
        self.pauses.append(timeout_ms)
        await asyncio.sleep(0)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """What a watch asks, and what it takes."""

    async def test_reads_once_then_follows(self) -> None:
        """One whole read; changes from there."""
        calls, taken, _ = await self._follow(
            _page(3, 'a', is_snapshot=True), _page(5, 'b')
        )
        self.assertEqual(calls, ['all', 'since 3', 'since 5'])
        self.assertEqual(taken, [3, 5])

    async def test_first_changes_are_asked_for_at_once(self) -> None:
        """Only a feed proves what is newest; a start cannot wait for it."""
        await self._follow(_page(3, is_snapshot=True), _page(3), _page(5))
        self.assertEqual(self.waits, [0, 1000, 1000])

    async def test_changes_are_gathered(self) -> None:
        """After a change the next ones are asked for a little later."""
        whole = _page(3, 'a', is_snapshot=True)
        source = ListedSource(whole, _page(3), _page(5, 'b'), _page(7, 'c'))
        clock = NotedClock()
        watch = build_watch(source, clock=clock, batch_pause_ms=250)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        self.assertEqual(clock.__dict__['sleeps'], [250, 250])

    async def test_first_call_after_a_failure_does_not_wait(self) -> None:
        """Its answer proves at once what was in doubt."""
        await self._follow(
            _page(3, is_snapshot=True),
            _page(3),
            PlatformError('is down', step='read'),
            _page(4),
        )
        self.assertEqual(self.waits, [0, 1000, 0, 1000])

    async def test_who_need_not_follow_asks_nothing(self) -> None:
        """After the read that starts it; others pass changes on."""
        source = ListedSource(_page(3, is_snapshot=True), _page(3))
        clock = HeldClock()
        watch = build_watch(source, clock=clock, is_follower=_never)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await clock.__dict__['held'].wait()
        self.assertEqual(source.calls, ['all', 'since 3'])

    async def test_what_is_passed_on_is_taken_without_a_gap(self) -> None:
        """From what we hold or before; else we have to ask."""
        taken: list[int] = []
        source = ListedSource(_page(3, is_snapshot=True), _page(3))
        watch = build_watch(
            source, apply=lambda page: taken.append(page.version)
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        watch.apply_relayed(4, _page(6, 'x'))
        self.assertEqual(taken, [3, 3])
        watch.apply_relayed(2, _page(5, 'a'))
        watch.apply_relayed(3, _page(4, 'old'))
        watch.apply_relayed(5, _page(7, 'b'))
        self.assertEqual(taken, [3, 3, 5, 7])
        self.assertEqual(watch.freshness.version, 7)

    async def test_only_news_is_passed_on(self) -> None:
        """What others have told us of already need not be told again."""
        told: list[tuple[int, int]] = []
        source = ListedSource(
            _page(3, is_snapshot=True), _page(3), _page(5, 'a')
        )
        probe_source = ListedSource(_page(8, 'b'))
        watch = build_watch(
            source,
            probe_source,
            relay=lambda since, page: told.append((since, page.version)),
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await source.is_over.wait()
        self.assertEqual(told, [(3, 3), (3, 5)])
        watch.freshness.apply_proof(FreshnessProof(8, 1))
        self.assertTrue(await watch.probe())
        self.assertEqual(told, [(3, 3), (3, 5)])

    async def test_who_does_not_follow_asks_on_after_a_failure(self) -> None:
        """A probe that fails opens the feed again, at its pauses."""
        whole, still = _page(3, is_snapshot=True), _page(3)
        source = ListedSource(whole, still, _page(4))
        probe_source = ListedSource(PlatformError('is down', step='read'))
        clock = NotedClock()
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

    async def test_who_is_proved_by_others_asks_seldom(self) -> None:
        """A store that turns one away is not asked on and on."""
        self.assertGreater(max(await self._fail(proved_ms=10_000)), 600)
        self.assertLessEqual(max(await self._fail(proved_ms=1000)), 200)

    async def test_of_many_each_asks_more_seldom(self) -> None:
        """The first answer after an outage reaches all."""
        pauses = await self._fail(proved_ms=1000, interval_factor=lambda: 4)
        self.assertGreater(max(pauses), 300)
        self.assertLessEqual(max(pauses), 800)

    async def test_lost_history_is_read_again(self) -> None:
        """A compacted history costs one whole read."""
        gone = HistoryGoneError('gone', step='read')
        calls, taken, _ = await self._follow(
            _page(3, is_snapshot=True), gone, _page(9, is_snapshot=True)
        )
        self.assertEqual(calls, ['all', 'since 3', 'all', 'since 9'])
        self.assertEqual(taken, [3, 9])

    async def test_stale_read_is_not_taken(self) -> None:
        """What is older than what we know is asked for again."""
        gone = HistoryGoneError('gone', step='read')
        calls, taken, _ = await self._follow(
            _page(7, is_snapshot=True),
            gone,
            _page(4, is_snapshot=True),
            _page(8, is_snapshot=True),
        )
        self.assertEqual(calls, ['all', 'since 7', 'all', 'all', 'since 8'])
        self.assertEqual(taken, [7, 8])

    async def test_answer_that_cannot_be_taken_ends_nothing(self) -> None:
        """A fault in taking one answer is told; the table is read again."""
        source = ListedSource(
            _page(3, is_snapshot=True), _page(4), _page(5, is_snapshot=True)
        )
        taken: list[int] = []

        def take(page: Page) -> None:
            if page.version == 4:
                raise KeyError('address')
            taken.append(page.version)

        watch = build_watch(source, apply=take)
        with self.assertLogs('seampond.watches.watch', 'ERROR'):
            task = asyncio.create_task(watch.run())
            async with asyncio.timeout(5):
                await source.is_over.wait()
        task.cancel()
        self.assertEqual(source.calls[:3], ['all', 'since 3', 'all'])
        self.assertEqual(taken, [3, 5])

    async def test_failure_is_counted_and_tried_again(self) -> None:
        """A store that is down changes no belief."""
        calls, taken, failures = await self._follow(
            _page(3, is_snapshot=True),
            PlatformError('is down', step='read'),
            _page(4),
        )
        self.assertEqual(calls, ['all', 'since 3', 'since 3', 'since 4'])
        self.assertEqual(taken, [3, 4])
        self.assertEqual(failures, ['read'])

    async def test_each_reason_of_a_spell_is_logged(self) -> None:
        """Once each, with what had come of an answer; then its end."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        down = PlatformError('is down', step='read')
        with self.assertLogs('seampond.watches.watch', 'WARNING') as logs:
            await self._follow(
                _page(3, is_snapshot=True), down, down, cut, cut, _page(4)
            )
        told = [
            (line.getMessage(), line.__dict__.get('received'))
            for line in logs.records
        ]
        failed = 'store call failed'
        self.assertEqual(
            told, [(failed, 0), (failed, 7), ('store answers again', None)]
        )

    async def test_answer_that_did_not_end_is_not_asked_for_again(self) -> None:
        """All changes were too much for the call: the table is read whole."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        calls, taken, _ = await self._follow(
            _page(3, is_snapshot=True),
            cut,
            _page(9, is_snapshot=True),
            _page(9),
        )
        self.assertEqual(calls, ['all', 'since 3', 'all', 'since 9', 'since 9'])
        self.assertEqual(taken, [3, 9, 9])

    async def test_whole_read_that_is_stale_is_not_repeated(self) -> None:
        """The feed may come to its end meanwhile."""
        cut = CutAnswerError('TimeoutError', step='read', peer='', received=7)
        calls, taken, _ = await self._follow(
            _page(7, is_snapshot=True),
            cut,
            _page(4, is_snapshot=True),
            _page(9),
        )
        self.assertEqual(calls, ['all', 'since 7', 'all', 'since 7', 'since 9'])
        self.assertEqual(taken, [7, 9])

    async def test_small_table_is_read_whole_after_a_long_spell(self) -> None:
        """Where changes are known to be missing; a large one is not."""
        for rows, call in ((1, 'all'), (101, 'since 3')):
            with self.subTest(rows=rows):
                self.assertEqual(await self._ask_after_a_spell(rows), call)

    async def test_small_table_is_followed_after_a_short_spell(self) -> None:
        """There is little that the feed has to tell."""
        call = await self._ask_after_a_spell(rows=1, spell_ms=1000)
        self.assertEqual(call, 'since 3')

    async def test_answer_to_an_earlier_call_is_refused(self) -> None:
        """An answer that is older than its call proves nothing."""
        time = StoreClock()
        time.update(Page((), 1, 50_000, 1000, 1002, False))
        with self.assertRaises(PlatformError):
            time.update(Page((), 1, 51_000, 9000, 9002, False))

    async def _ask_after_a_spell(self, rows: int, spell_ms: int = 3000) -> str:
        """Hear of a change, reach the store later; give the last call."""
        keys = [str(number) for number in range(rows)]
        down = PlatformError('is down', step='read')
        source = ListedSource(_page(3, *keys, is_snapshot=True), _page(3), down)
        clock = SkippingClock()
        freshness = build_currency(clock)
        watch = build_watch(source, clock=clock, freshness=freshness)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            while len(source.calls) < 3:
                await asyncio.sleep(0)
            freshness.apply_proof(FreshnessProof(9, 1))
            clock.advance(spell_ms)
            await source.is_over.wait()
        return source.calls[3]

    async def _fail(self, proved_ms: int, **changes: Any) -> list[float]:
        """Let many calls fail; give the pauses after them."""
        failures = [PlatformError('is down', step='read') for _ in range(9)]
        source = ListedSource(_page(3, is_snapshot=True), _page(3), *failures)
        clock = NotedClock()
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
        """Give the calls, the versions taken, and the failures counted."""
        source = ListedSource(*answers)
        taken: list[int] = []
        failures: list[str] = []
        watch = build_watch(
            source,
            apply=lambda page: taken.append(page.version),
            count_failure=failures.append,
        )
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5):
            await source.is_over.wait()
        task.cancel()
        self.waits = source.waits
        return source.calls, taken, failures


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """Calls beside a feed that may be dead."""

    async def asyncSetUp(self) -> None:
        """Follow a table whose feed answers nothing more."""
        self.feed = ListedSource(_page(3, is_snapshot=True), _page(3))
        self.taken: list[int] = []

    async def test_change_is_found_beside_a_dead_feed(self) -> None:
        """A probe asks from what is held and its answer is taken."""
        watch = await self._start(_page(6, 'a'))
        self.assertTrue(await watch.probe())
        self.assertEqual(self.probes.calls, ['since 3'])
        self.assertEqual(self.probes.waits, [0])
        self.assertEqual(self.taken, [3, 3, 6])

    async def test_feed_is_opened_again_after_an_outage(self) -> None:
        """A probe that failed and then none: the feed's call may hang."""
        watch = await self._start(
            PlatformError('is down', step='read'), _page(4)
        )
        self.assertFalse(await watch.probe())
        self.assertTrue(await watch.probe())
        self.feed.is_over.clear()
        async with asyncio.timeout(5):
            await self.feed.is_over.wait()
        self.assertEqual(self.feed.calls[-1], 'since 4')

    async def test_probe_does_not_ask_again_for_what_cannot_come(self) -> None:
        """Beside a dead feed: too much for a call, or no longer known."""
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

    async def test_large_change_is_probed_for_by_a_whole_read(self) -> None:
        """Others told of it without its rows: a feed may tell it many times.

        A table of some rows is asked for its changes: few are missing.
        """
        for rows, call in ((1, 'all'), (5, 'since 3')):
            with self.subTest(rows=rows):
                keys = map(str, range(rows))
                self.feed = ListedSource(_page(3, *keys, is_snapshot=True))
                watch = await self._start(_page(9, is_snapshot=True))
                watch.freshness.apply_proof(
                    FreshnessProof(latest_change=8, store_ms=0)
                )
                self.assertTrue(await watch.probe())
                self.assertEqual(self.probes.calls, [call])

    async def test_no_probe_while_the_feed_asks_again(self) -> None:
        """A store that refuses calls is asked by the feed alone."""
        refused = PlatformError('busy', step='read')
        feed = ListedSource(_page(3, is_snapshot=True), refused)
        probes = ListedSource(_page(4))
        clock = HeldClock()
        watch = build_watch(feed, probes, clock=clock)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await clock.__dict__['held'].wait()
        self.assertFalse(await watch.probe())
        self.assertEqual(probes.calls, [])

    async def test_probe_waits_for_a_first_read(self) -> None:
        """Nothing is asked before the table was read whole."""
        watch = build_watch(ListedSource())
        self.assertFalse(await watch.probe())

    async def test_change_that_others_saw_is_asked_for(self) -> None:
        """Long before a proof is too old."""
        watch = await self._start(_page(9, 'a'))
        self._keep(watch, 60_000)
        watch.freshness.apply_proof(FreshnessProof(latest_change=8, store_ms=0))
        async with asyncio.timeout(5):
            while self.taken[-1] != 9:
                await asyncio.sleep(0.01)

    async def test_proof_after_a_whole_read_hides_no_removal(self) -> None:
        """A row that went is not in it; who lacks the change has to ask."""
        clock = ManualClock(1000)
        reader, late = build_currency(clock), build_currency(clock)
        row = Row('a', b'', 6)
        hold(late, Page((row,), 6, 1000, 1000, 1000, is_snapshot=False))
        hold(reader, Page((row,), 9, 1000, 1000, 1000, is_snapshot=True))
        reader.apply_proof(FreshnessProof(latest_change=8, store_ms=1100))
        clock.advance(500)
        hold(reader, Page((), 9, 1500, 1500, 1500, False))
        assert reader.proof is not None
        late.apply_proof(reader.proof)
        self.assertTrue(late.is_behind)

    async def test_proof_of_others_saves_a_call(self) -> None:
        """Nothing is asked while somebody else proves that we are current."""
        clock = ManualClock(1000)
        freshness = build_currency(clock)
        hold(freshness, Page((), 5, 1000, 1000, 1000, False))
        clock.advance(1400)
        freshness.apply_proof(FreshnessProof(latest_change=5, store_ms=2300))
        self.assertEqual(freshness.next_probe_ms(1500, 400), 2300 + 1500)

    async def _start(self, *probed: Page | Exception) -> Watch:
        self.probes = ListedSource(*probed)
        watch = build_watch(
            self.feed,
            self.probes,
            apply=lambda page: self.taken.append(page.version),
        )
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await self.feed.is_over.wait()
        return watch

    def _keep(self, watch: Watch, max_age_ms: int) -> None:
        task = asyncio.create_task(
            probe_when_stale(watch, max_age_ms, int, watch.clock)
        )
        self.addCleanup(task.cancel)


class TableFreshnessTest(unittest.TestCase):
    """What proves that a belief is current, and what does not."""

    def setUp(self) -> None:
        """Hold a table up to version 5, proved at 1000."""
        self.clock = ManualClock(1000)
        self.freshness = build_currency(self.clock)
        hold(self.freshness, Page((), 5, 1000, 1000, 1000, False))

    def test_proof_of_a_change_that_we_lack_is_none(self) -> None:
        """Somebody has seen more: we may be wrong since then."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=6, store_ms=1900)
        )
        self.assertEqual(self.freshness.proved_ms, 1000)
        self.assertEqual(self.freshness.next_probe_ms(60_000, 400), 1000 + 400)

    def test_change_that_has_come_is_missing_no_more(self) -> None:
        """Our own feed was only a little late."""
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

    def test_whole_read_proves_nothing(self) -> None:
        """It may be some seconds behind."""
        hold(self.freshness, Page((), 9, 1900, 1900, 1900, True))
        self.assertEqual(self.freshness.proved_ms, 1000)

    def test_early_proof_counts_once_its_change_has_come(self) -> None:
        """What is written again and again is never held as it was told.

        Each proof named a later version than the one that had just come, so
        nothing proved what was held while large versions kept coming.
        """
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
        self.assertEqual(self.freshness.proved_ms, 1500)
        self.assertTrue(self.freshness.is_behind)

    def test_whole_read_lets_others_know_of_a_change(self) -> None:
        """Who lacks it has to ask, though no later moment is proved."""
        row = Row('a', b'', 9)
        hold(
            self.freshness, Page((row,), 9, 1900, 1900, 1900, is_snapshot=True)
        )
        self.assertEqual(self.freshness.proof, FreshnessProof(9, 1000))
        other = build_currency(self.clock)
        hold(other, Page((), 8, 1000, 1000, 1000, is_snapshot=False))
        other.apply_proof(FreshnessProof(9, 1000))
        self.assertTrue(other.is_behind)

    def test_overtaken_proof_changes_nothing(self) -> None:
        """Datagrams may overtake one another."""
        self.freshness.apply_proof(
            FreshnessProof(latest_change=5, store_ms=1800)
        )
        self.freshness.apply_proof(
            FreshnessProof(latest_change=5, store_ms=1200)
        )
        self.assertEqual(self.freshness.proved_ms, 1800)
