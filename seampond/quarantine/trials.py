"""Trials of quarantined requests, coordinated through the store.

The number of trials is a row of the store that is written with
compare-and-swap, so only one gateway at a time is permitted a trial, and
trials are remembered across restarts.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
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


class LocalTrials:
    """Trials while the store is unreachable.

    Explanation
    -----------
    Only for requests that have succeeded before: all servers may have crashed
    twice under a part that all requests share.  Each gateway begins at a
    random time, so that one of all tries soon, and its success clears the
    request everywhere.

    Parameters
    ----------
    count_gateways : Callable[[], int]
        Returns the number of gateways that may be running.

    Examples
    --------
    >>> trials = LocalTrials(lambda: 1, Clock(lambda: 0), random.Random(1))
    >>> trials.claim(7)
    False

    """

    def __init__(
        self,
        count_gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without trials."""
        self._count_gateways = count_gateways
        self._clock = clock
        self._rng = rng
        self._due_ms: dict[int, float] = {}

    def is_due(self, request: int) -> bool:
        """Return True if a trial of a request is due."""
        now_ms = self._clock.now()
        if request not in self._due_ms:
            if len(self._due_ms) >= _ROWS_MAX:
                self._due_ms.pop(next(iter(self._due_ms)))
            self._due_ms[request] = (
                now_ms + self._rng.random() * self._pause_ms()
            )
        return now_ms >= self._due_ms[request]

    def claim(self, request: int) -> bool:
        """Claim a trial of a request; return whether one is due."""
        if not self.is_due(request):
            return False
        self._due_ms[request] = self._clock.now() + self._pause_ms()
        return True

    def forget(self, requests: Iterable[int]) -> None:
        """Forget requests that have been cleared."""
        for request in requests:
            self._due_ms.pop(request, None)

    def _pause_ms(self) -> int:
        return TRIAL_PAUSES_MS[1] * self._count_gateways()


class TrialTable(Protocol):
    """The store's table of trials, with rows by fingerprint."""

    @property
    def era(self) -> int:
        """Number of restores of the store, as far as known."""

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Read all rows."""

    async def write_trial(self, request: int, row: TrialRow) -> None:
        """Write a row if the stored one has the same version."""

    async def drop_trial(self, request: int, version: int) -> None:
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

    def is_quarantined(self, request: int) -> bool:
        """Return True if the store is known to hold a row for a request."""
        return request in self._rows

    def wait_ms(self, request: int) -> int | None:
        """Return the time until the next trial, None if none is left."""
        now_ms = self._clock.now()
        if request in self._claimed:
            return _FAILURE_PAUSE_MS
        row = self._row(request)
        if row.trials >= len(TRIAL_PAUSES_MS):
            return None
        if not row.trials:
            return max(0, self._failed_until_ms - now_ms)
        due_ms = self._store_clock.to_local_ms(row.at_ms)
        due_ms += TRIAL_PAUSES_MS[row.trials]
        return max(0, due_ms - now_ms, self._failed_until_ms - now_ms)

    async def claim(self, request: int) -> bool:
        """Claim a trial for this gateway; return True if it succeeds."""
        if self.table is None or self.wait_ms(request) != 0:
            return False
        self._claimed.add(request)
        try:
            async with self._lock:
                return await self._write(self.table, request)
        finally:
            self._claimed.discard(request)

    async def drop(self, request: int) -> None:
        """Lift the quarantine of a request after a success."""
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
        """Drop the known rows of requests that other gateways cleared."""
        for request in requests:
            self._rows.pop(request, None)

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
        for request, known in self._rows.items():
            stored = rows.get(request, TrialRow())
            if era_of(known.version) < era and stored.trials < known.trials:
                lost[request] = replace(known, version=stored.version)
        return lost

    def _row(self, request: int) -> TrialRow:
        """Return the known row of a request, with no trials after a day.

        Explanation
        -----------
        Rows of the store do not expire, while the fault that caused the
        crashes may have been fixed.
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
        # Reads the version that the store assigned.
        await self._refresh(request)
        return True

    async def _refresh(self, request: int) -> None:
        try:
            await self.read()
        except PlatformError as error:
            self._record_failure(request, error)

    def _record_failure(self, request: int, error: PlatformError) -> None:
        """Pause further trials, since a failed write may still be applied."""
        self._failed_until_ms = self._clock.now() + _FAILURE_PAUSE_MS
        _logger.warning(
            'trial not permitted: call to the store failed',
            extra={
                'fingerprint': format_fingerprint(request),
                'reason': error.message,
            },
        )
