"""Follow one table for as long as the process lives."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError
from seampond.watches.failures import FailureLog
from seampond.watches.freshness import TableFreshness
from seampond.watches.rows import (
    HistoryGoneError,
    Page,
    TableSource,
    revision_of,
)

_MIN_RETRY_PAUSE_MS = 100
# How long who need not follow waits until it looks again, and how long after a
# start nobody can know yet who follows.
_IDLE_POLL_MS = 500
_STARTUP_DELAY_MS = 1000
# A process that the store turns away, while others prove to it that nothing
# has changed, has little to gain from asking: six such of 18 made half of all
# calls of a day.
_RECENT_PROOF_MS = 2500
_PROVED_RETRY_PAUSE_MS = 3000
# A feed tells each change since the version that is held, a whole read each row
# once.  After a cut of 12 s of a table of one row, written some 35 times, a
# feed's answer had not ended after 0.9 s and 0.5 MB; a read took 0.04 s.
_SNAPSHOT_AFTER_MS = 2000
_SMALL_TABLE_ROWS = 100
# Of a table of so few rows a whole read tells no more than a feed does, and
# versions that are written faster than a link carries them make each answer of
# a feed longer than the one before: rows of 420 KB, written each 0.3 s, were
# held up to 3.8 s after they were written over 5 Mbit/s, 1.6 s now (the worst
# in 40 s of virtual time, test_narrow_links.py).
_TINY_TABLE_ROWS = 4
_SLOW_TRANSFER_MS = 250
_logger = logging.getLogger(__name__)


def _always() -> bool:
    """Follow the table whoever else does."""
    return True


def _unscaled() -> float:
    """Ask as often as if there were few."""
    return 1


def _ignore_page(since: int, page: Page) -> None:
    """Pass nothing on."""


@dataclass
class Watch:
    """Keeps what we believe of one table near to what it holds.

    Parameters
    ----------
    probe_source : TableSource
        The same table, on connections of its own.
    apply : Callable[[Page], None]
        Takes each answer in order; versions never go back.
    wait_ms : int
        How long the store holds a call while nothing changes.
    count_failure : Callable[[str], None]
        Counts a failed call by its step.
    freshness : TableFreshness
        What is held, and since when that is proved.
    max_retry_pause_ms : int
        The longest pause between two calls that fail.
    batch_pause_ms : int
        How long to wait after a change before the next are asked for, so
        that many at once come in one answer.
    interval_factor : Callable[[], float]
        By how much that pause is longer where many others ask too.
    is_follower : Callable[[], bool]
        Whether we have to follow the table; if not, others pass its changes
        on, and we ask where something is missing or nothing was proved.
    confirms_snapshot : bool
        Whether a whole read is followed by a call that proves it at once.
    relay : Callable[[int, Page], None]
        Told what nobody else had told of: the version that was held, and the
        answer with what came after it.

    """

    source: TableSource
    probe_source: TableSource
    apply: Callable[[Page], None]
    wait_ms: int
    clock: Clock
    count_failure: Callable[[str], None]
    freshness: TableFreshness
    max_retry_pause_ms: int = 600
    batch_pause_ms: int = 0
    interval_factor: Callable[[], float] = _unscaled
    is_follower: Callable[[], bool] = _always
    confirms_snapshot: bool = True
    relay: Callable[[int, Page], None] = _ignore_page
    is_loaded: bool = False
    is_unconfirmed: bool = False
    _feed_timeout: asyncio.Timeout | None = None
    _is_suspect: bool = False
    _is_failing: bool = False
    # Set where asking for the same changes again cannot succeed.
    _needs_snapshot: bool = False
    # Set while rows are written faster than a feed's answers come.
    _is_overloaded: bool = False
    # Whether the newest rows were long on their way.
    _is_slow_transfer: bool = False
    _row_count: int = 0
    _failures: FailureLog = field(init=False)

    def __post_init__(self) -> None:
        """Start with no call failed."""
        self._failures = FailureLog(
            self.clock, self.count_failure, self._log_event
        )

    @property
    def is_failing(self) -> bool:
        """Whether our own calls to the store fail."""
        return self._is_failing

    async def run(self) -> None:
        """Follow the table; never ends by itself."""
        pause_ms = _MIN_RETRY_PAUSE_MS
        while True:
            await self._wait_for_turn()
            try:
                is_fresh = await self._poll()
                self._is_failing = False
                self._failures.record_success()
            except HistoryGoneError:
                self._log_event('history gone', 'read-changes')
                self.is_loaded = False
                continue
            except PlatformError as error:
                self._record_failure(error)
                self._is_failing = True
                is_fresh = False
            if is_fresh:
                pause_ms = _MIN_RETRY_PAUSE_MS
                continue
            await self._pause(pause_ms * random.uniform(0.5, 1))
            pause_ms = min(self._max_pause_ms, pause_ms * 2)

    async def probe(self) -> bool:
        """Make one call beside the feed; tell whether its answer was taken.

        Explanation
        -----------
        Not while the feed fails and asks again by itself: each call is priced.
        Nor while it reads one large version after another, for which a second
        reader would leave half of the link.
        """
        if self._is_failing or self._is_overloaded or not self.is_loaded:
            return False
        since = self.freshness.version
        try:
            page = await self._read_probe()
            is_fresh = self._accept(page, since)
        except PlatformError as error:
            self._record_failure(error)
            # The feed's own call may hang as well, and longer.
            self._is_suspect = True
            # Who does not follow asks on at the feed's growing pauses.
            self._is_failing = not self.is_follower()
            return False
        self._failures.record_success()
        if self._is_suspect:
            self._is_suspect = False
            self._cancel_poll()
        return is_fresh

    def apply_relayed(self, since: int, page: Page) -> None:
        """Take an answer that another process passes on.

        Explanation
        -----------
        Only if it begins at what we hold or before; else a change between
        may be missing, and what it proves makes us ask.
        """
        version = self.freshness.version
        if not self.is_loaded or not since <= version < page.version:
            return
        self.is_loaded = self._try_apply(page)
        if self.is_loaded:
            self.freshness.apply_page(page)

    async def _wait_for_turn(self) -> None:
        """Wait while there is nothing that we have to ask the feed.

        Explanation
        -----------
        Each call to the store is priced and each change would be one answer
        to each process: of 2,347 calls of 68 processes in 37 s four in five
        told what the first few had been told already.
        """
        if self.is_unconfirmed and not self.confirms_snapshot:
            await self.clock.sleep(_STARTUP_DELAY_MS)
            self.is_unconfirmed = False
        while not self._should_poll:
            await self.clock.sleep(_IDLE_POLL_MS)

    @property
    def _should_poll(self) -> bool:
        if self.is_unconfirmed or self._is_failing or not self.is_loaded:
            return True
        return self._is_overloaded or self.is_follower()

    async def _poll(self) -> bool:
        """Make one call; tell whether its answer was fresh."""
        self._feed_timeout = asyncio.timeout(None)
        since = self.freshness.version
        try:
            async with self._feed_timeout:
                page = await self._read(self.source, self._wait_ms)
        except TimeoutError as error:
            raise PlatformError('given up', step='read-changes') from error
        finally:
            self._feed_timeout = None
        is_fresh = self._accept(page, since)
        if is_fresh and page.rows and not page.is_snapshot:
            await self.clock.sleep(self.batch_pause_ms)
        return is_fresh

    async def _read(self, source: TableSource, wait_ms: int) -> Page:
        if not self.is_loaded or self._prefers_snapshot:
            return await source.read_all()
        return await source.read_changes(self.freshness.version, wait_ms)

    async def _read_probe(self) -> Page:
        """Read beside the feed, without waiting.

        Explanation
        -----------
        A change that others told of without its rows is too large for a
        datagram, and so may be what has been written since; and where the
        versions of a large row come slowly, nobody may have told for long.
        """
        is_large = self.freshness.is_behind or self._is_slow_transfer
        if is_large and self._row_count <= _TINY_TABLE_ROWS:
            return await self.probe_source.read_all()
        return await self._read(self.probe_source, 0)

    @property
    def _wait_ms(self) -> int:
        """How long the store may hold the feed's next call.

        Explanation
        -----------
        A read may be behind, and after an outage nothing is proved: what
        follows is asked for at once.
        """
        return 0 if self.is_unconfirmed or self._is_failing else self.wait_ms

    @property
    def _prefers_snapshot(self) -> bool:
        """Whether all changes since what we hold may be too much for a call.

        Explanation
        -----------
        The longer we are behind the more a feed has to tell.
        """
        if self._needs_snapshot or self._is_overloaded:
            return True
        is_small = self._row_count <= _SMALL_TABLE_ROWS
        is_long = self.freshness.behind_ms > _SNAPSHOT_AFTER_MS
        return self._is_failing and is_small and is_long

    @property
    def _max_pause_ms(self) -> int:
        """The longest pause between two calls that fail just now.

        Explanation
        -----------
        The first answer after an outage is passed on to all, so the more ask,
        the more seldom each has to.
        """
        longest_ms = round(self.max_retry_pause_ms * self.interval_factor())
        if self._is_proved_by_others:
            return max(longest_ms, _PROVED_RETRY_PAUSE_MS)
        return min(longest_ms, _PROVED_RETRY_PAUSE_MS)

    @property
    def _is_proved_by_others(self) -> bool:
        """Whether others prove that nothing is missing while our calls fail."""
        age_ms = self.clock.now() - self.freshness.proved_ms
        return not self.freshness.is_behind and age_ms < _RECENT_PROOF_MS

    async def _pause(self, pause_ms: float) -> None:
        """Wait after a failed call; no longer, should a change be missing."""
        if self._is_proved_by_others:
            await self.freshness.wait_until_behind(round(pause_ms))
        else:
            await self.clock.sleep(min(pause_ms, self._max_pause_ms))

    def _record_failure(self, error: PlatformError) -> None:
        """Note a failed call, and whether the same one can succeed at all."""
        self._failures.record_failure(error)
        if isinstance(error, (CutAnswerError, HistoryGoneError)):
            self._needs_snapshot = True

    def _cancel_poll(self) -> None:
        """End the call that is under way, if there is any."""
        if self._feed_timeout is not None:
            self._feed_timeout.reschedule(asyncio.get_running_loop().time())

    def _accept(self, page: Page, since: int) -> bool:
        """Take an answer unless it is old; tell whether it was fresh."""
        is_new_change = not page.is_snapshot and not self.freshness.is_behind
        self.freshness.check(page)
        if page.version < self.freshness.version:
            self._log_event('stale answer', str(page.version))
            self._needs_snapshot = False
            return False
        self._record_size(page, since)
        self.is_loaded = self._try_apply(page)
        if self.is_loaded:
            is_proved = self.freshness.apply_page(page)
            self.is_unconfirmed = page.is_snapshot and not is_proved
            if is_new_change:
                self.relay(since, page)
        return self.is_loaded

    def _record_size(self, page: Page, since: int) -> None:
        """Note that an answer came to its end, and how large the table is."""
        self._needs_snapshot = False
        if page.is_snapshot:
            self._row_count = len(page.rows)
            newest = max((row.version for row in page.rows), default=0)
            is_overloaded = self._is_overloaded and newest > since
        else:
            keys = {row.key for row in page.rows}
            is_overloaded = len(keys) < len(page.rows)
        if page.rows:
            transfer_ms = self.freshness.transfer_ms(page)
            self._is_slow_transfer = transfer_ms > _SLOW_TRANSFER_MS
        is_small = self._row_count <= _TINY_TABLE_ROWS
        self._is_overloaded = (
            is_overloaded and self._is_slow_transfer and is_small
        )

    def _try_apply(self, page: Page) -> bool:
        """Hand an answer on; a fault there must not end the watch."""
        try:
            self.apply(page)
        except Exception:
            _logger.exception(
                'answer not taken',
                extra={'table': self.source.name, 'version': page.version},
            )
            return False
        return True

    def _log_event(self, event: str, detail: str, **figures: int) -> None:
        _logger.warning(
            event,
            extra={
                'table': self.source.name,
                'version': revision_of(self.freshness.version),
                'detail': detail,
                **figures,
            },
        )
