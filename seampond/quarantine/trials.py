"""Trials of quarantined requests, coordinated through the store.

The number of trials is a row of the store that is written with
compare-and-swap, so only one gateway at a time is permitted a trial, and
trials are remembered across restarts.
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

# Pause before each trial since the one before it.  The first is made at once,
# so that a harmless request under which two servers crashed is served by it.
# There are no further trials, which bounds the servers that a request can
# crash.
TRIAL_PAUSES_MS = (0, 10 * MS_PER_SECOND, 10 * MS_PER_MINUTE)
# Pause after a failed call to the store.
_FAILURE_PAUSE_MS = 1000
_ROWS_MAX = 1024
_logger = logging.getLogger(__name__)


class TrialTable(Protocol):
    """The store's table of trials, with rows by fingerprint."""

    @property
    def era(self) -> int:
        """Number of restores of the store, as far as known."""

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Read all rows."""

    async def write_trial(self, fingerprint: int, row: TrialRow) -> None:
        """Write a row if the stored one has the same version."""

    async def drop_trial(self, fingerprint: int, version: int) -> None:
        """Remove a row if it has this version."""


class Trials:
    """Claims trials of quarantined requests in the store.

    Parameters
    ----------
    store_clock : StoreClock
        Converts between the store's clock and the local one.

    Attributes
    ----------
    table : TrialTable or None
        The store's table, None while not connected: no trial is permitted.
    is_loaded : bool
        Whether the table was read or need not be waited for.

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

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last call failed, a short time ago."""
        return self.table is None or self._clock.now() < self._failed_until_ms

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return True if the store is known to hold a row for a fingerprint."""
        return fingerprint in self._rows

    def wait_ms(self, fingerprint: int) -> int | None:
        """Return the time until the next trial, None if none is left."""
        now_ms = self._clock.now()
        if fingerprint in self._claimed:
            return _FAILURE_PAUSE_MS
        row = self._row(fingerprint)
        if row.trials >= len(TRIAL_PAUSES_MS):
            return None
        if not row.trials:
            return max(0, self._failed_until_ms - now_ms)
        due_ms = self._store_clock.to_local_ms(row.at_ms)
        due_ms += TRIAL_PAUSES_MS[row.trials]
        return max(0, due_ms - now_ms, self._failed_until_ms - now_ms)

    async def claim(self, fingerprint: int) -> bool:
        """Claim a trial for this gateway; return True if it succeeds."""
        if self.table is None or self.wait_ms(fingerprint) != 0:
            return False
        self._claimed.add(fingerprint)
        try:
            async with self._lock:
                return await self._write(self.table, fingerprint)
        finally:
            self._claimed.discard(fingerprint)

    async def drop(self, fingerprint: int) -> None:
        """Lift the quarantine of a fingerprint after a success."""
        row = self._rows.pop(fingerprint, None)
        if row is None or self.table is None:
            return
        try:
            async with self._lock:
                await self.table.drop_trial(fingerprint, row.version)
        except PlatformError as error:
            _logger.warning(
                'quarantine not lifted in the store',
                extra={
                    'fingerprint': format_fingerprint(fingerprint),
                    'reason': error.message,
                },
            )

    def forget(self, requests: Iterable[int]) -> None:
        """Drop the known rows of requests that other gateways cleared."""
        for fingerprint in requests:
            self._rows.pop(fingerprint, None)

    async def read(self) -> None:
        """Read the table from the store.

        Raises
        ------
        PlatformError
            If the table cannot be read.

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
        """Return the known rows that a restore of the store has set back.

        Explanation
        -----------
        Trials must stay counted, else each restore would permit more of them.
        The next trial writes its row again.
        """
        lost: dict[int, TrialRow] = {}
        for fingerprint, known in self._rows.items():
            stored = rows.get(fingerprint, TrialRow())
            if era_of(known.version) < era and stored.trials < known.trials:
                lost[fingerprint] = replace(known, version=stored.version)
        return lost

    def _row(self, fingerprint: int) -> TrialRow:
        """Return the known row of a fingerprint, with no trials after a day.

        Explanation
        -----------
        Rows of the store do not expire, while the fault that caused the
        crashes may have been fixed.
        """
        row = self._rows.get(fingerprint, TrialRow())
        if not row.trials:
            return row
        age_ms = self._clock.now() - self._store_clock.to_local_ms(row.at_ms)
        return TrialRow(version=row.version) if age_ms > MS_PER_DAY else row

    async def _write(self, table: TrialTable, fingerprint: int) -> bool:
        known = self._row(fingerprint)
        at_ms = self._store_clock.to_store_ms(self._clock.now())
        try:
            await table.write_trial(
                fingerprint, TrialRow(known.trials + 1, at_ms, known.version)
            )
        except ConflictError:
            await self._refresh(fingerprint)
            return False
        except PlatformError as error:
            self._record_failure(fingerprint, error)
            return False
        # Reads the version that the store assigned.
        await self._refresh(fingerprint)
        return True

    async def _refresh(self, fingerprint: int) -> None:
        try:
            await self.read()
        except PlatformError as error:
            self._record_failure(fingerprint, error)

    def _record_failure(self, fingerprint: int, error: PlatformError) -> None:
        """Pause further trials, since a failed write may still be applied."""
        self._failed_until_ms = self._clock.now() + _FAILURE_PAUSE_MS
        _logger.warning(
            'trial not permitted: call to the store failed',
            extra={
                'fingerprint': format_fingerprint(fingerprint),
                'reason': error.message,
            },
        )
