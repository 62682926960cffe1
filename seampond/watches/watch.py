"""Watch that keeps a local copy of one table up to date."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND, Clock
from seampond.errors import CutAnswerError, PlatformError
from seampond.watches.answer_sizes import AnswerSizes
from seampond.watches.failures import FailureLog
from seampond.watches.feed_state import FeedActivity, FeedState
from seampond.watches.freshness import TableFreshness
from seampond.watches.retry_pause import RetryPause
from seampond.watches.rows import (
    HistoryGoneError,
    LongChangesError,
    Page,
    TableSource,
    revision_of,
)

_IDLE_POLL_MS = 500
_DEADLINE_MS = 2000
# Time after a start until the followers are known.
_STARTUP_DELAY_MS = 1000
# How long a feed that resumes and a probe leave the link to each other.
_MAX_TURN_MS = 900
# After an outage of this length a small table is read as a snapshot, since the
# feed sends each change of a row and a snapshot each row once: some 35 versions
# of one row, 0.5 MB and more, missed the timeout of a call, and a snapshot took
# 0.04 s.
_SNAPSHOT_AFTER_MS = 2000
_SNAPSHOT_ERRORS = (CutAnswerError, HistoryGoneError, LongChangesError)
_logger = logging.getLogger(__name__)


def _always() -> bool:
    """Follow the feed regardless of other processes."""
    return True


def _unscaled() -> float:
    """Leave the pauses as they are."""
    return 1


def _default_deadline() -> int:
    """Return the time within which a change must be held."""
    return _DEADLINE_MS


def _ignore_page(since: int, page: Page) -> None:
    """Relay nothing."""


@dataclass
class Watch:
    """Reads one table and follows its changes.

    Parameters
    ----------
    source : TableSource
        Table whose changes are followed.
    probe_source : TableSource
        The same table on separate connections.
    apply : Callable[[Page], None]
        Applies each answer; versions never decrease.
    wait_ms : int
        How long the store holds a call while nothing changes.
    count_failure : Callable[[str], None]
        Counts a failed call by its step.
    freshness : TableFreshness
        Version held, and when it was last proved to be the newest.
    max_retry_pause_ms : int
        Maximum pause after failed calls.
    batch_pause_ms : int
        Pause after a change, so that further changes come in one answer.
    interval_factor : Callable[[], float]
        Factor on `max_retry_pause_ms` in a large fleet.
    is_follower : Callable[[], bool]
        Whether this process follows the feed.  If not, other processes relay
        the changes, and only missing changes and proofs are read.
    confirms_snapshot : bool
        Whether a snapshot is confirmed at once by another call.
    relay : Callable[[int, Page], None]
        Called with the version held before and an answer that brings changes
        not known from other processes.
    deadline_ms : Callable[[], int]
        Time within which a change must be held.
    is_loaded : bool
        Whether a snapshot has been applied and can be continued by changes.
    is_unconfirmed : bool
        Whether the snapshot may be older than the table.

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
    deadline_ms: Callable[[], int] = _default_deadline
    is_loaded: bool = False
    is_unconfirmed: bool = False
    # Whether other processes followed the feed until now.
    _is_resuming: bool = False
    _probe_ended: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether the newest probe read a snapshot without a change known before.
    _is_snapshot_late: bool = False
    # Whether the newest probe failed.
    _is_suspect: bool = False
    _is_failing: bool = False
    # Set where repeating the call for changes cannot succeed.
    _needs_snapshot: bool = False
    _sizes: AnswerSizes = field(default_factory=AnswerSizes)
    # Whether the copy was reported as not proved.
    _is_overdue: bool = False
    _failures: FailureLog = field(init=False)
    _feed_state: FeedState = field(init=False)
    _retry_pause: RetryPause = field(init=False)

    def __post_init__(self) -> None:
        """Set up the components that depend on the parameters."""
        self._failures = FailureLog(
            self.clock, self.count_failure, self._log_event
        )
        self._probe_ended.set()
        self._feed_state = FeedState(self.clock)
        self._retry_pause = RetryPause(
            self.clock,
            self.freshness,
            self.max_retry_pause_ms,
            self.interval_factor,
            self.deadline_ms,
        )

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_failing

    @property
    def unproved_ms(self) -> int:
        """Time since the copy was last known to be complete."""
        return self.clock.now() - self.freshness.proved_ms

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self._wait_for_turn()
            try:
                is_fresh = await self._poll_once()
                self._is_failing = False
                self._failures.record_success()
            except HistoryGoneError:
                self._log_event('history gone', 'read-changes')
                self.is_loaded = False
                is_fresh = False
            except PlatformError as error:
                self._record_failure(error)
                self._is_failing = True
                is_fresh = False
            if is_fresh:
                self._retry_pause.reset()
                continue
            self._feed_state.enter(FeedActivity.pausing)
            await self._retry_pause.wait()

    async def probe(self) -> bool:
        """Make one call besides the feed; return True if it was applied.

        Explanation
        -----------
        Skipped while the feed repeats calls that do not wait.  A call of the
        feed that waits is given up if the probe brings changes, which it has
        missed, or succeeds after a failed one.
        """
        if self._is_feed_repeating:
            return False
        since = self.freshness.version
        known_version = self.freshness.known_version
        feed_calls = self._feed_state.calls
        try:
            self._probe_ended.clear()
            page = await self._read_probe()
            is_fresh = self._accept(page, since)
        except PlatformError as error:
            self._record_failure(error)
            self._handle_failed_probe()
            return False
        finally:
            self._probe_ended.set()
        self._failures.record_success()
        is_old = page.version < known_version
        self._is_snapshot_late = page.is_snapshot and is_old
        has_news = any(row.version > since for row in page.rows)
        is_same_call = self._feed_state.calls == feed_calls
        if self._is_suspect or (has_news and is_same_call):
            self._is_suspect = False
            self._give_up_waiting('answered probe')
        return is_fresh

    def log_overdue(self, max_unproved_ms: int) -> None:
        """Log once that the copy is not proved in time, and its next proof.

        Explanation
        -----------
        The event tells what the feed is doing, since a call that hangs and a
        pause that is too long look alike to other processes.
        """
        was_proved = self.freshness.proved_ms > 0
        is_overdue = was_proved and self.unproved_ms > max_unproved_ms
        if is_overdue == self._is_overdue:
            return
        self._is_overdue = is_overdue
        self._log_event(
            'copy not proved in time' if is_overdue else 'copy proved again',
            self._describe_feed(),
            unproved_ms=self.unproved_ms,
            feed_ms=self._feed_state.duration_ms,
        )

    def apply_relayed(self, since: int, page: Page) -> None:
        """Apply an answer that another process relays.

        Explanation
        -----------
        Ignored if changes between the version held and the answer may be
        missing; the proof in the same heartbeat then leads to a probe.
        """
        version = self.freshness.version
        if not self.is_loaded or not since <= version < page.version:
            return
        self._sizes.record_rows(page)
        self.is_loaded = self._try_apply(page)
        if self.is_loaded:
            self.freshness.apply_page(page)

    async def _wait_for_turn(self) -> None:
        """Wait until this process has to call the feed.

        Explanation
        -----------
        Most processes receive the changes from a few followers, which saves
        calls to the store.
        """
        self._feed_state.enter(FeedActivity.idle)
        if self.is_unconfirmed and not self.confirms_snapshot:
            await self.clock.sleep(_STARTUP_DELAY_MS)
            self.is_unconfirmed = False
        while not self._should_poll:
            self._is_resuming = True
            await self.clock.sleep(_IDLE_POLL_MS)

    @property
    def _should_poll(self) -> bool:
        if self.is_unconfirmed or self._is_failing or not self.is_loaded:
            return True
        return self._sizes.is_overloaded or self.is_follower()

    @property
    def _is_feed_repeating(self) -> bool:
        """Whether the feed reads the table by calls that do not wait.

        Explanation
        -----------
        Such calls end soon.  A call that waits may hang for all of its time,
        whatever has become of the table since it was made.
        """
        if self._feed_state.is_waiting:
            return False
        is_polling = self._feed_state.activity is FeedActivity.polling
        has_resumed = is_polling and self._is_resuming
        if has_resumed and self._feed_state.duration_ms < _MAX_TURN_MS:
            return True
        is_overloaded = self._sizes.is_overloaded
        return self._is_failing or is_overloaded or not self.is_loaded

    async def _poll_once(self) -> bool:
        """Make one call to the feed; return True unless it must be repeated."""
        wait_ms = self._wait_ms
        if self._is_resuming:
            await self._wait_for_probe()
        since = self.freshness.version
        try:
            async with self._feed_state.call(wait_ms):
                page = await self._read(self.source, wait_ms)
        except TimeoutError as error:
            if not self._is_suspect:
                return True
            raise PlatformError('given up', step='read-changes') from error
        is_fresh = self._accept(page, since)
        self._is_suspect = False
        self._is_resuming = False
        if is_fresh and page.rows and not page.is_snapshot:
            await self.clock.sleep(self.batch_pause_ms)
        return is_fresh

    async def _wait_for_probe(self) -> None:
        """Wait for a probe, which may be reading the same changes."""
        with suppress(TimeoutError):
            async with asyncio.timeout(_MAX_TURN_MS / MS_PER_SECOND):
                await self._probe_ended.wait()

    async def _read(self, source: TableSource, wait_ms: int) -> Page:
        if self._prefers_snapshot:
            return await source.read_all()
        now_ms = self.clock.now()
        source.max_changes_bytes = self._sizes.max_changes_bytes(now_ms)
        try:
            return await source.read_changes(self.freshness.version, wait_ms)
        except LongChangesError as error:
            self._record_failure(error)
        return await source.read_all()

    async def _read_probe(self) -> Page:
        """Read besides the feed, without waiting.

        Explanation
        -----------
        A change that is known but was not relayed is too large for a datagram.
        """
        is_large = self.freshness.is_behind or self._sizes.is_slow_transfer
        if is_large and self._is_snapshot_shorter:
            return await self.probe_source.read_all()
        return await self._read(self.probe_source, 0)

    @property
    def _is_snapshot_shorter(self) -> bool:
        """Whether a snapshot is shorter than several changes of large rows.

        Explanation
        -----------
        It must also be as new: the store may be some seconds behind with
        snapshots.
        """
        return self._sizes.is_tiny and not self._is_snapshot_late

    @property
    def _wait_ms(self) -> int:
        """How long the store may hold the feed's next call.

        Explanation
        -----------
        After a snapshot or an outage the call must return at once, since
        nothing proves that the copy is complete.  So must the first call
        after other processes have followed the feed.
        """
        is_proved = not (self.is_unconfirmed or self._is_failing)
        may_wait = is_proved and not self._is_resuming
        return self.wait_ms if may_wait and not self._prefers_snapshot else 0

    @property
    def _prefers_snapshot(self) -> bool:
        """Whether there are no rows yet, or too many changes since."""
        if self._needs_snapshot or not self.is_loaded:
            return True
        if self._sizes.is_overloaded:
            return True
        is_long = self.freshness.behind_ms > _SNAPSHOT_AFTER_MS
        return self._is_failing and self._sizes.is_small and is_long

    def _record_failure(self, error: PlatformError) -> None:
        """Record a failed call and whether repeating it can succeed.

        Explanation
        -----------
        Where the store is behind with snapshots even long changes are newer,
        so they are read if the snapshot turns out to be too old.
        """
        self._failures.record_failure(error)
        now_ms = self.clock.now()
        if isinstance(error, LongChangesError):
            self._sizes.lift_limit(now_ms + self.deadline_ms())
        else:
            self.freshness.failed_ms = now_ms
        if isinstance(error, _SNAPSHOT_ERRORS):
            self._needs_snapshot = True

    def _handle_failed_probe(self) -> None:
        """Let the feed repeat its call once probes have failed.

        Explanation
        -----------
        A call of the feed that waits may hang as well, but is given up only
        after a second failure.
        """
        if not self._feed_state.is_waiting:
            # Without a feed, the call is repeated at growing pauses.
            self._is_failing = not self.is_follower()
        elif self._is_suspect:
            self._give_up_waiting('failed probes')
        self._is_suspect = True

    def _give_up_waiting(self, reason: str) -> None:
        """Give up the pending call of the feed if it is one that waits."""
        if not self._feed_state.is_waiting:
            return
        self.count_failure('given-up')
        self._log_event(
            'waiting call given up',
            reason,
            waited_ms=self._feed_state.duration_ms,
        )
        self._feed_state.give_up()

    def _accept(self, page: Page, since: int) -> bool:
        """Apply an answer unless it is stale; return True if it was applied."""
        is_new_change = not page.is_snapshot and not self.freshness.is_behind
        self.freshness.check(page)
        if page.version < self.freshness.version:
            self._log_event('stale answer', str(page.version))
            self._needs_snapshot = False
            return False
        self._needs_snapshot = False
        self._sizes.record_rows(page)
        self._sizes.record(page, since, self.freshness.transfer_ms(page))
        self.is_loaded = self._try_apply(page)
        if self.is_loaded:
            is_proved = self.freshness.apply_page(page)
            self.is_unconfirmed = page.is_snapshot and not is_proved
            if is_new_change:
                self.relay(since, page)
        return self.is_loaded

    def _try_apply(self, page: Page) -> bool:
        """Apply an answer; an exception there must not end the watch."""
        try:
            self.apply(page)
        except Exception:
            _logger.exception(
                'answer not applied',
                extra={'table': self.source.name, 'version': page.version},
            )
            return False
        return True

    def _describe_feed(self) -> str:
        """Return what the feed is doing and what keeps probes away."""
        flags = {
            'failing': self._is_failing,
            'overloaded': self._sizes.is_overloaded,
            'not loaded': not self.is_loaded,
        }
        activity = self._feed_state.activity.value
        return ', '.join((activity, *(name for name in flags if flags[name])))

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
