"""Leave to send a quarantined request once more, given by the store.

A request that ends its servers comes to any gateway, and each of them may be
cut off, frozen or started anew.  So how often it was tried is one row of the
store, written on the condition that it has not changed: of all gateways one
has leave at a time, and what was tried before a restart is known after it.
"""

import asyncio
import logging
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from seampond.clock import MS_PER_DAY, MS_PER_MINUTE, MS_PER_SECOND, Clock
from seampond.errors import ConflictError, PlatformError
from seampond.quarantine.fingerprints import format_fingerprint
from seampond.quarantine.models import TrialRow
from seampond.watches import StoreClock, era_of

# How long after the trial before it each may be made, the first at once: a
# sound request that two servers have ended under is served by it.  More than
# these may not reach servers once it is known to end them.
TRIAL_PAUSES_MS = (0, 10 * MS_PER_SECOND, 10 * MS_PER_MINUTE)
# After a call that failed none is made for a while: each may take a second.
_FAILED_PAUSE_MS = 1000
_ROWS_MAX = 1024
_logger = logging.getLogger(__name__)


class TrialTable(Protocol):
    """The table of trials, with rows by fingerprint."""

    @property
    def era(self) -> int:
        """How often the store was restored, as far as known."""

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Read all rows."""

    async def write_trial(self, request: int, row: TrialRow) -> None:
        """Write a row if the one that is there has this row's version."""

    async def drop_trial(self, request: int, version: int) -> None:
        """Remove a row if it still has this version."""


class Trials:
    """Takes leave for trials, one gateway at a time.

    Parameters
    ----------
    store_clock : StoreClock
        Sets the store's clock against ours.

    Attributes
    ----------
    table : TrialTable or None
        The store's table, None while there is none: no leave is given.
    is_loaded : bool
        Whether what the store holds was read, or need not be waited for.

    """

    def __init__(self, store_clock: StoreClock, clock: Clock) -> None:
        """Start without a table."""
        self.table: TrialTable | None = None
        self.is_loaded = True
        self._store_clock = store_clock
        self._clock = clock
        self._rows: dict[int, TrialRow] = {}
        self._claimed: set[int] = set()
        self._failed_until_ms = 0
        self._lock = asyncio.Lock()

    def is_quarantined(self, request: int) -> bool:
        """Tell whether the store holds a row of a request, as far as known."""
        return request in self._rows

    def wait_ms(self, request: int) -> int | None:
        """Give how long until the next trial may be, None for never."""
        now_ms = self._clock.now()
        if request in self._claimed:
            return _FAILED_PAUSE_MS
        row = self._row(request)
        if row.trials >= len(TRIAL_PAUSES_MS):
            return None
        if not row.trials:
            return max(0, self._failed_until_ms - now_ms)
        due_ms = self._store_clock.to_local_ms(row.at_ms)
        due_ms += TRIAL_PAUSES_MS[row.trials]
        return max(0, due_ms - now_ms, self._failed_until_ms - now_ms)

    async def claim(self, request: int) -> bool:
        """Take leave to send a request once; tell whether it is ours."""
        if self.table is None or self.wait_ms(request) != 0:
            return False
        self._claimed.add(request)
        try:
            async with self._lock:
                return await self._write(self.table, request)
        finally:
            self._claimed.discard(request)

    async def drop(self, request: int) -> None:
        """Lift the quarantine of a request that got a good answer."""
        row = self._rows.pop(request, None)
        if row is None or self.table is None:
            return
        try:
            async with self._lock:
                await self.table.drop_trial(request, row.version)
        except PlatformError as error:
            _logger.warning(
                'quarantine not lifted in the store',
                extra={
                    'fingerprint': format_fingerprint(request),
                    'reason': error.message,
                },
            )

    def forget(self, requests: Iterable[int]) -> None:
        """Drop what is known of rows that another gateway has removed."""
        for request in requests:
            self._rows.pop(request, None)

    async def read(self) -> None:
        """Learn what the store holds, as of now.

        Raises
        ------
        PlatformError
            If it cannot be read.

        """
        if self.table is not None:
            rows = dict(await self.table.read_trials())
            rows.update(self._find_lost_rows(rows, self.table.era))
            newest = sorted(rows.items(), key=lambda row: row[1].version)
            self._rows = dict(newest[-_ROWS_MAX:])
            self.is_loaded = True

    def _find_lost_rows(
        self, rows: Mapping[int, TrialRow], era: int
    ) -> dict[int, TrialRow]:
        """Give the rows of which a restore of the store has lost something.

        Explanation
        -----------
        What was tried stays tried: without them a request would get leave
        anew for each restore, and end a server each time.  The next trial
        writes its row again.
        """
        lost: dict[int, TrialRow] = {}
        for request, known in self._rows.items():
            told = rows.get(request, TrialRow())
            if era_of(known.version) < era and told.trials < known.trials:
                lost[request] = replace(known, version=told.version)
        return lost

    def _row(self, request: int) -> TrialRow:
        """Give what is known of the trials of a request, of a day at most.

        Explanation
        -----------
        Nothing in the store runs out by itself, and servers and requests
        are mended: a day later it is tried as at first.
        """
        row = self._rows.get(request, TrialRow())
        if not row.trials:
            return row
        age_ms = self._clock.now() - self._store_clock.to_local_ms(row.at_ms)
        return TrialRow(version=row.version) if age_ms > MS_PER_DAY else row

    async def _write(self, table: TrialTable, request: int) -> bool:
        known = self._row(request)
        at_ms = self._store_clock.to_store_ms(self._clock.now())
        try:
            await table.write_trial(
                request, TrialRow(known.trials + 1, at_ms, known.version)
            )
        except ConflictError:
            await self._refresh(request)
            return False
        except PlatformError as error:
            self._record_failure(request, error)
            return False
        # The version is learned with the next word of the store.
        await self._refresh(request)
        return True

    async def _refresh(self, request: int) -> None:
        try:
            await self.read()
        except PlatformError as error:
            self._record_failure(request, error)

    def _record_failure(self, request: int, error: PlatformError) -> None:
        """Let a while pass: the write may be done without an answer."""
        self._failed_until_ms = self._clock.now() + _FAILED_PAUSE_MS
        _logger.warning(
            'no leave for a trial',
            extra={
                'fingerprint': format_fingerprint(request),
                'reason': error.message,
            },
        )
