"""Trials of quarantined requests, coordinated through the store.

The number of trials is a row of the store that is written with
compare-and-swap, so only one gateway at a time is permitted a trial, and
trials are remembered across restarts.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from typing import Protocol

from seampond.clock import MS_PER_DAY, MS_PER_MINUTE, MS_PER_SECOND, Clock
from seampond.errors import ConflictError, PlatformError
from seampond.quarantine.fingerprints import format_fingerprint
from seampond.quarantine.interrupted import RESTART_SEEN_MS
from seampond.quarantine.models import TrialRow
from seampond.tasks import TaskSet
from seampond.watches import StoreClock, era_of

# Pause before each trial since the one before it.  The first is made at once,
# so that a harmless request under which two servers crashed is served by it.
# There are no further trials, which bounds the servers that a request can
# crash.
TRIAL_PAUSES_MS = (0, 10 * MS_PER_SECOND, 10 * MS_PER_MINUTE)
# Pause after a failed call to the store.
_FAILURE_PAUSE_MS = 1000
# Pause between two tries to remove an obsolete row.
_REMOVAL_PAUSE_MS = 2 * MS_PER_SECOND
# When other gateways look whether an obsolete row was removed.
_REMOVAL_DELAYS_MS = (5 * MS_PER_SECOND, MS_PER_MINUTE // 2)
_READ_PAUSE_MS = 5 * MS_PER_SECOND
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


def _is_unknown(incarnation: int, since_ms: int) -> bool:
    """Return that a server is not known to have survived."""
    return False


class Trials:
    """Claims trials of quarantined requests in the store.

    Explanation
    -----------
    A trial counts until it is known to have been harmless.  A success lifts
    the quarantine.  A trial without a result does not count once its request
    must have ended, if it was not sent or its server is known to have
    survived it.  Any gateway can tell, so it also does not matter if the
    gateway that claimed the trial has ended.

    Parameters
    ----------
    store_clock : StoreClock
        Converts between the store's clock and the local one.
    has_survived : Callable[[int, int], bool]
        Returns whether the server incarnation with a key is known not to have
        crashed since a time.

    Attributes
    ----------
    table : TrialTable or None
        The store's table, None while not connected: no trial is permitted.
    is_loaded : bool
        Whether the table was read or need not be waited for.

    """

    def __init__(
        self,
        store_clock: StoreClock,
        clock: Clock,
        has_survived: Callable[[int, int], bool] = _is_unknown,
    ) -> None:
        """Start without a table."""
        self.table: TrialTable | None = None
        self.is_loaded = True
        self._store_clock = store_clock
        self._clock = clock
        self._has_survived = has_survived
        self._rows: dict[int, TrialRow] = {}
        # Times of the successes that lifted quarantines, the latest at the end.
        self._lifted_ms: dict[int, int] = {}
        self._claimed: set[int] = set()
        self._failed_until_ms = 0
        self._read_ms = 0
        self._lock = asyncio.Lock()
        self._tasks = TaskSet()

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

    async def claim(
        self, fingerprint: int, deadline_ms: int | None = None
    ) -> bool:
        """Claim a trial for this gateway; return True if it succeeds.

        Parameters
        ----------
        deadline_ms : int or None
            When its request ends at the latest.  If it is None, the trial
            counts whatever becomes of it.

        """
        if self.table is None or self.wait_ms(fingerprint) != 0:
            return False
        known = self._row(fingerprint)
        row = TrialRow(
            known.trials + 1,
            self._store_clock.to_store_ms(self._clock.now()),
            known.version,
            self._to_store_ms(deadline_ms),
        )
        self._claimed.add(fingerprint)
        try:
            async with self._lock:
                return await self._write(self.table, fingerprint, row)
        finally:
            self._claimed.discard(fingerprint)

    async def record_server(self, fingerprint: int, incarnation: int) -> bool:
        """Record where the claimed trial is sent; return True if it may be.

        Parameters
        ----------
        incarnation : int
            Key of the server incarnation, 0 if a restart of the server would
            not change it.  Then the trial counts unless it succeeds.

        """
        row = self._rows.get(fingerprint)
        if self.table is None or row is None:
            return False
        if row.until_ms is None:
            return True
        until_ms = row.until_ms if incarnation else None
        row = replace(row, until_ms=until_ms, incarnation=incarnation)
        async with self._lock:
            return await self._write(self.table, fingerprint, row)

    async def close(self) -> None:
        """Stop using the table."""
        self.table = None
        await self._tasks.cancel()

    def lift(self, fingerprint: int, success_ms: int) -> None:
        """Lift a quarantine after a success at this gateway."""
        row = self._lift(fingerprint, success_ms)
        if row is not None:
            self._tasks.add(self._remove(fingerprint, row))

    def apply_successes(self, successes: Mapping[int, int]) -> None:
        """Lift quarantines after successes at other gateways.

        Explanation
        -----------
        The gateway that had the success removes the row.  It may not have
        known of it or may have ended since, so the others look later.

        Parameters
        ----------
        successes : Mapping[int, int]
            Times of the successes by fingerprint.

        """
        for fingerprint, success_ms in successes.items():
            row = self._lift(fingerprint, success_ms)
            if row is not None:
                delay_ms = random.uniform(*_REMOVAL_DELAYS_MS)
                self._tasks.add(self._remove(fingerprint, row, delay_ms))

    def request_read(self) -> None:
        """Read the table again unless that was done a short time ago.

        Explanation
        -----------
        A gateway may have missed that another one lifted a quarantine.
        """
        now_ms = self._clock.now()
        if self.table is None or now_ms - self._read_ms < _READ_PAUSE_MS:
            return
        self._read_ms = now_ms
        self._tasks.add(self._try_read())

    async def read(self) -> None:
        """Read the table from the store.

        Raises
        ------
        PlatformError
            If the table cannot be read.

        """
        if self.table is not None:
            stored = await self.table.read_trials()
            rows = {
                fingerprint: row
                for fingerprint, row in stored.items()
                if not self._is_lifted(fingerprint, row)
            }
            rows.update(self._find_lost_rows(rows, self.table.era))
            newest = sorted(rows.items(), key=lambda row: row[1].version)
            self._rows = dict(newest[-_ROWS_MAX:])
            self._read_ms = self._clock.now()
            self.is_loaded = True

    def _lift(self, fingerprint: int, success_ms: int) -> TrialRow | None:
        """Record a success and return the row that it makes obsolete."""
        row = self._rows.get(fingerprint)
        if row is None:
            return None
        self._lifted_ms.pop(fingerprint, None)
        self._lifted_ms[fingerprint] = success_ms
        if len(self._lifted_ms) > _ROWS_MAX:
            self._lifted_ms.pop(next(iter(self._lifted_ms)))
        if not self._is_lifted(fingerprint, row):
            return None
        return self._rows.pop(fingerprint)

    def _is_lifted(self, fingerprint: int, row: TrialRow) -> bool:
        """Return True if a success followed the claim of the last trial."""
        success_ms = self._lifted_ms.get(fingerprint)
        if success_ms is None:
            return False
        return self._store_clock.to_local_ms(row.at_ms) <= success_ms

    async def _remove(
        self, fingerprint: int, row: TrialRow, delay_ms: float = 0
    ) -> None:
        """Remove an obsolete row, when the store can be reached."""
        await self._clock.sleep(delay_ms)
        while self.table is not None:
            try:
                async with self._lock:
                    return await self._remove_once(self.table, fingerprint, row)
            except PlatformError as error:
                _log_failure(
                    'quarantine not lifted in the store', fingerprint, error
                )
            await self._clock.sleep(_REMOVAL_PAUSE_MS)

    async def _remove_once(
        self, table: TrialTable, fingerprint: int, row: TrialRow
    ) -> None:
        with suppress(ConflictError):
            return await table.drop_trial(fingerprint, row.version)
        # Another trial was claimed before the success, or the row has gone.
        stored = (await table.read_trials()).get(fingerprint)
        if stored is not None and self._is_lifted(fingerprint, stored):
            await table.drop_trial(fingerprint, stored.version)

    async def _try_read(self) -> None:
        try:
            await self.read()
        except PlatformError as error:
            _logger.warning('trials not read', extra={'reason': error.message})

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
        """Return the known row of a fingerprint, with the trials that count.

        Explanation
        -----------
        Rows of the store do not expire, while the fault that caused the
        crashes may have been fixed: after a day no trial counts.
        """
        row = self._rows.get(fingerprint, TrialRow())
        if not row.trials:
            return row
        claimed_ms = self._store_clock.to_local_ms(row.at_ms)
        if self._clock.now() - claimed_ms > MS_PER_DAY:
            return TrialRow(version=row.version)
        if self._is_inconclusive(row):
            return replace(row, trials=row.trials - 1)
        return row

    def _is_inconclusive(self, row: TrialRow) -> bool:
        """Return True if the last trial ended without any sign of a crash."""
        if row.until_ms is None:
            return False
        ended_ms = self._store_clock.to_local_ms(row.until_ms)
        if self._clock.now() < ended_ms + RESTART_SEEN_MS:
            return False
        claimed_ms = self._store_clock.to_local_ms(row.at_ms)
        return not row.incarnation or self._has_survived(
            row.incarnation, claimed_ms
        )

    def _to_store_ms(self, local_ms: int | None) -> int | None:
        if local_ms is None:
            return None
        return self._store_clock.to_store_ms(local_ms)

    async def _write(
        self, table: TrialTable, fingerprint: int, row: TrialRow
    ) -> bool:
        try:
            await table.write_trial(fingerprint, row)
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
        _log_failure(
            'trial not permitted: call to the store failed', fingerprint, error
        )


def _log_failure(event: str, fingerprint: int, error: PlatformError) -> None:
    """Log a failed call to the store."""
    _logger.warning(
        event,
        extra={
            'fingerprint': format_fingerprint(fingerprint),
            'reason': error.message,
        },
    )
