"""A table of a store, read over links that are narrow or cut."""

import asyncio
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError
from seampond.platform.store import (
    _CHANGES_TIMEOUT_MS,
    _INACTIVITY_TIMEOUT_MS,
    _TABLE_TIMEOUT_MS,
)
from seampond.watches import HistoryGoneError, Page, Row

_STORE_AHEAD_MS = 1_000_000
_LATENCY_MS = 5
_LOOK_MS = 10
_STEP = 'read'


@dataclass
class SharedTable:
    """What the store holds, with each version that it still remembers.

    Parameters
    ----------
    changes : list[tuple[int, Row]]
        When each change was made, and the row from then on.
    oldest_version : int
        The oldest version that a feed still knows.

    """

    clock: Clock
    version: int = 1
    oldest_version: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    changes: list[tuple[int, Row]] = field(default_factory=list)

    def put(self, key: str, size: int) -> None:
        """Write a row of so many bytes."""
        self.version += 1
        row = Row(key, bytes(size), self.version)
        self.rows[key] = row
        self.changes.append((self.clock.now(), row))

    def versions_at(self, at_ms: int) -> dict[str, int]:
        """Give the version of each row at a moment."""
        return {
            row.key: row.version
            for changed_ms, row in self.changes
            if changed_ms <= at_ms
        }


@dataclass
class Link:
    """The way of one process to the store.

    Parameters
    ----------
    bytes_per_ms : float
        How fast answers come.
    is_cut : bool
        Whether nothing passes.
    refuses : bool
        Whether a cut is told at once, and not by silence.

    """

    bytes_per_ms: float
    is_cut: bool = False
    refuses: bool = False


class LinkedSource:
    """The table as one process reads it."""

    name = 'linked'

    def __init__(self, table: SharedTable, link: Link) -> None:
        """Keep both ends."""
        self._table = table
        self._link = link
        self._clock = table.clock

    async def read_all(self) -> Page:
        """Read all rows."""
        sent_ms = self._clock.now()
        await self._reach()
        rows = tuple(self._table.rows.values())
        return await self._carry(
            rows, sent_ms, _TABLE_TIMEOUT_MS, is_snapshot=True
        )

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for changes, then read each that was made since."""
        sent_ms = self._clock.now()
        await self._reach()
        while True:
            if since < self._table.oldest_version:
                raise HistoryGoneError('gone', step=_STEP)
            rows = tuple(
                row for _, row in self._table.changes if row.version > since
            )
            if rows or self._clock.now() >= sent_ms + wait_ms:
                break
            await self._clock.sleep(_LOOK_MS)
            if self._link.is_cut:
                # No sign comes; the call ends when its time is over.
                left_ms = sent_ms + wait_ms - self._clock.now()
                await self._clock.sleep(
                    max(0, left_ms) + _INACTIVITY_TIMEOUT_MS
                )
                raise PlatformError('TimeoutError', step=_STEP)
        return await self._carry(
            rows, sent_ms, _CHANGES_TIMEOUT_MS, is_snapshot=False
        )

    async def _reach(self) -> None:
        await self._clock.sleep(_LATENCY_MS)
        if not self._link.is_cut:
            return
        if not self._link.refuses:
            await self._clock.sleep(_INACTIVITY_TIMEOUT_MS)
        raise PlatformError('no way there', step=_STEP)

    async def _carry(
        self,
        rows: tuple[Row, ...],
        sent_ms: int,
        most_ms: int,
        *,
        is_snapshot: bool,
    ) -> Page:
        """Let an answer that is made now come over the link."""
        version = self._table.version
        made_ms = self._clock.now()
        takes_ms = sum(row.size for row in rows) / self._link.bytes_per_ms
        end_ms = made_ms + min(takes_ms, most_ms)
        while self._clock.now() < end_ms and not self._link.is_cut:
            left_ms = end_ms - self._clock.now()
            await self._clock.sleep(min(left_ms, _LOOK_MS))
        if self._link.is_cut or takes_ms > most_ms:
            raise CutAnswerError(
                'TimeoutError', step=_STEP, peer='', received=1
            )
        return Page(
            rows,
            version,
            made_ms + _STORE_AHEAD_MS,
            sent_ms,
            self._clock.now(),
            is_snapshot,
        )
