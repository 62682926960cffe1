"""Reading and writing of what the store keeps of streams."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from seampond.clock import MS_PER_SECOND, Clock
from seampond.errors import ConflictError, PlatformError, UnknownOutcomeError
from seampond.sharing.hashing import hash_name
from seampond.streams.origin_batches import OriginBatches
from seampond.streams.origin_table import OriginEntry
from seampond.streams.stored import (
    StoredRun,
    StoredVersions,
    StreamRows,
    StreamTable,
)
from seampond.streams.stored_copy import StoredCopy
from seampond.streams.stored_versions import PoolView, update_versions
from seampond.streams.version_history import RETENTION_MS, VersionHistory
from seampond.watches import StoreClock, era_of

_START_INTERVAL_MS = 20
_WRITE_INTERVAL_MS = 500
# Of the writes that the store takes, for all gateways together.
_WRITES_PER_S = 100
# A read serves all who ask within this time.
_READ_PAUSE_MS = 300
# A caller is told to come back rather than held for longer.
_READ_TIMEOUT_MS = 1000
# The first gateway writes the versions; the next ones check that it has.
_CHECKING_GATEWAYS = 4
_CHECK_STEP_MS = 1000
_ABANDONED_PER_WRITE = 32
_LIST_AGE_MAX_MS = 5000
# Eras are counted from 1, 0 if the store names none.
_FIRST_ERA = 1
# All versions since the first start of the system are known.
_ALWAYS_MS = 100 * RETENTION_MS
_logger = logging.getLogger(__name__)


class Fleet(Protocol):
    """What the store's rows need to know of the gateways."""

    @property
    def count(self) -> int:
        """Number of gateways that may be running."""

    @property
    def rank(self) -> int:
        """Number of reachable gateways that precede this one."""


def compute_write_interval_ms(gateway_count: int) -> int:
    """Return how often a gateway writes the streams that have begun.

    Examples
    --------
    >>> [compute_write_interval_ms(count) for count in (4, 30, 340)]
    [500, 500, 3400]

    """
    share_ms = gateway_count * MS_PER_SECOND // _WRITES_PER_S
    return max(_WRITE_INTERVAL_MS, share_ms)


class StreamStore:
    """Keeps in the store what outlives the loss of all gateways.

    Explanation
    -----------
    The versions of each pool tell which single version began all streams; they
    change only when a version comes or goes.  The origins of single streams
    are written in batches while more than one version may have begun them.

    Parameters
    ----------
    list_age_ms : Callable[[], int]
        Return the age of the proof that the list of servers is current.
    prefix : str
        Begins the keys of this process's rows.
    is_first_start : bool
        Whether no gateway of the system has run before.

    Attributes
    ----------
    table : StreamTable or None
        None while not connected.

    """

    def __init__(
        self,
        history: VersionHistory,
        fleet: Fleet,
        store_clock: StoreClock,
        clock: Clock,
        list_age_ms: Callable[[], int],
        prefix: str,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Start without rows."""
        self.table: StreamTable | None = None
        self._history = history
        self._fleet = fleet
        self._store_clock = store_clock
        self._clock = clock
        self._list_age_ms = list_age_ms
        self._is_first_start = is_first_start
        self._copy = StoredCopy()
        self._batches = OriginBatches(prefix, clock)
        self._reading: asyncio.Task[bool] | None = None
        self._is_read_due = True
        self._read_ms: int | None = None
        self._failed_ms: int | None = None
        # By pool: since when its row differs from what it should be.
        self._differs_ms: dict[str, int] = {}

    def record(self, stream: int, entry: OriginEntry) -> None:
        """Write the origin of a stream with the next batch."""
        self._batches.add(stream, entry)

    def find(self, stream: int) -> StoredRun | None:
        """Return what the last read says of a stream, None if nothing."""
        return self._copy.find(stream)

    async def refresh(self, since_ms: int) -> bool:
        """Return whether the copy is as new as some time, or nearly so.

        Explanation
        -----------
        It is read again if it is not, at most once in a while.
        """
        try:
            async with asyncio.timeout(_READ_TIMEOUT_MS / MS_PER_SECOND):
                return await self._read_after(since_ms - _READ_PAUSE_MS)
        except TimeoutError:
            _logger.warning('rows of streams not read in time')
            return False

    def request_read(self) -> None:
        """Read the table again, since changes of servers were missed."""
        self._is_read_due = True

    async def run(self) -> None:
        """Read the table, then write what changes; never ends."""
        try:
            while True:
                await self.synchronize()
                await self._clock.sleep(self._interval_ms)
        finally:
            if self._reading is not None:
                self._reading.cancel()

    async def synchronize(self) -> None:
        """Read the table if that is due, then write what has changed.

        Explanation
        -----------
        The list of servers is read first, so that no version can come between
        the two reads unnoticed.
        """
        if not self._history.is_loaded:
            return
        if self._is_read_due:
            self._is_read_due = not await self._read_after(self._clock.now())
        if self._copy.version and self._store_clock.is_known:
            await self._write_batch()
            await self._write_versions()

    @property
    def _interval_ms(self) -> int:
        if not self._copy.version:
            return _START_INTERVAL_MS
        return compute_write_interval_ms(self._fleet.count)

    async def _read_after(self, at_ms: int) -> bool:
        """Read the table unless it was read after some time.

        Explanation
        -----------
        All who wait share one read, which goes on if they give up.
        """
        while self._read_ms is None or self._read_ms <= at_ms:
            is_own = self._reading is None
            if self._reading is None:
                if self.table is None or self._has_just_failed():
                    return False
                self._reading = asyncio.create_task(self._read(self.table))
            is_read = await asyncio.shield(self._reading)
            if is_own or not is_read:
                return is_read
        return True

    async def _read(self, table: StreamTable) -> bool:
        """Read what has changed; return whether the store has answered."""
        sent_ms = self._clock.now()
        try:
            rows = await table.read(self._copy.version)
        except PlatformError as error:
            self._failed_ms = self._clock.now()
            _logger.warning(
                'rows of streams not read', extra={'reason': error.message}
            )
            return False
        finally:
            self._reading = None
        self._apply(rows)
        self._read_ms = sent_ms
        return True

    def _has_just_failed(self) -> bool:
        if self._failed_ms is None:
            return False
        return self._clock.now() - self._failed_ms < _READ_PAUSE_MS

    def _apply(self, rows: StreamRows) -> None:
        self._copy.apply(rows)
        era = era_of(rows.version)
        for stored in rows.pools.values():
            if stored is not None and stored.pool:
                self._adopt(stored, rows.store_ms, era)

    def _adopt(self, stored: StoredVersions, store_ms: int, era: int) -> None:
        """Take over the versions of a row."""
        is_current = stored.era == era
        watched_ms = 0
        if is_current and stored.since_ms:
            watched_ms = max(0, store_ms - stored.since_ms)
        elif is_current:
            watched_ms = _ALWAYS_MS
        seen_ago_ms = {
            version: max(0, store_ms - last_ms)
            if is_current and last_ms is not None
            else 0
            for version, last_ms in stored.listed_until_ms.items()
        }
        self._history.adopt(stored.pool, seen_ago_ms, watched_ms)

    async def _write_batch(self) -> None:
        """Write origins; remove rows that have expired."""
        abandoned: list[str] = []
        if not self._fleet.rank:
            abandoned = self._copy.pop_abandoned(_ABANDONED_PER_WRITE)
        write = self._batches.next_write(self._store_ms(), abandoned)
        if write is None or self.table is None:
            return
        try:
            await self.table.write_batch(write.key, write.batch, write.removed)
        except PlatformError as error:
            self._batches.retry(write)
            _logger.warning(
                'origins of streams not written',
                extra={
                    'key': write.key,
                    'is_unknown': isinstance(error, UnknownOutcomeError),
                    'reason': error.message,
                },
            )
        else:
            self._batches.confirm(write)

    async def _write_versions(self) -> None:
        """Write the versions of pools whose rows differ."""
        for pool in self._history.pools:
            if self._find_change(pool) is None:
                self._differs_ms.pop(pool, None)
            elif self._is_due(pool):
                await self._write_pool(pool)

    def _is_due(self, pool: str) -> bool:
        now_ms = self._clock.now()
        since_ms = self._differs_ms.setdefault(pool, now_ms)
        rank = self._fleet.rank
        waited_ms = now_ms - since_ms
        return rank < _CHECKING_GATEWAYS and waited_ms >= rank * _CHECK_STEP_MS

    async def _write_pool(self, pool: str) -> None:
        if self._fleet.rank and not await self._read_after(self._clock.now()):
            return
        row = self._find_change(pool)
        if row is None or self.table is None:
            return
        try:
            await self.table.write_versions(row)
        except ConflictError:
            _logger.info('versions were written by another gateway')
        except PlatformError as error:
            _logger.warning(
                'versions of a pool not written',
                extra={'pool': pool, 'reason': error.message},
            )
            return
        else:
            _logger.info(
                'versions of a pool written',
                extra={'pool': pool, 'versions': sorted(row.listed_until_ms)},
            )
        # The row's new version is needed to write it again.
        await self._read_after(self._clock.now())

    def _find_change(self, pool: str) -> StoredVersions | None:
        """Return the row that a pool should have, None if it has it."""
        if self.table is None or not self._history.is_loaded:
            return None
        store_ms = self._store_ms()
        stored = self._copy.pools.get(hash_name(pool))
        since_ms = store_ms - self._history.watched_ms(pool)
        is_restored = self.table.era > _FIRST_ERA
        if stored is None and self._is_first_start and not is_restored:
            since_ms = 0
        listed = self._history.listed(pool)
        if stored is not None and self._list_age_ms() > _LIST_AGE_MAX_MS:
            # An old list does not show that a version has left.
            listed |= stored.listed
        view = PoolView(
            pool,
            {
                version: store_ms - ago_ms
                for version, ago_ms in self._history.seen_ago_ms(pool).items()
            },
            listed,
            max(0, since_ms),
            store_ms,
            self.table.era,
        )
        return update_versions(stored, view)

    def _store_ms(self) -> int:
        return self._store_clock.to_store_ms(self._clock.now())
