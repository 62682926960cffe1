"""A simulated store table, read over slow or interrupted links."""

import asyncio
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError
from seampond.platform.store import (
    _CHANGES_TIMEOUT_MS,
    _INACTIVITY_TIMEOUT_MS,
    _TABLE_TIMEOUT_MS,
)
from seampond.watches import (
    HistoryGoneError,
    LongChangesError,
    Page,
    Row,
)

_CLOCK_OFFSET_MS = 1_000_000
_LATENCY_MS = 5
_POLL_INTERVAL_MS = 10
_STEP = 'read'


@dataclass
class SharedTable:
    """The rows of a table and its change history.

    Parameters
    ----------
    changes : list[tuple[int, Row]]
        Time of each change, and the changed row.
    oldest_version : int
        The oldest version from which a change feed can resume.

    """

    clock: Clock
    version: int = 1
    oldest_version: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    changes: list[tuple[int, Row]] = field(default_factory=list)

    def put(self, key: str, size: int) -> None:
        """Write a row of `size` bytes."""
        self.version += 1
        row = Row(key, bytes(size), self.version)
        self.rows[key] = row
        self.changes.append((self.clock.now(), row))

    def versions_at(self, at_ms: int) -> dict[str, int]:
        """Return the version of each row at a time."""
        return {
            row.key: row.version
            for changed_ms, row in self.changes
            if changed_ms <= at_ms
        }


@dataclass
class Link:
    """The network link from a process to the store.

    Parameters
    ----------
    bytes_per_ms : float
        Bandwidth of responses.
    is_cut : bool
        Whether no data passes.
    refuses : bool
        Whether connecting over a cut link fails at once, without a time-out.

    """

    bytes_per_ms: float
    is_cut: bool = False
    refuses: bool = False


class LinkedSource:
    """The table as read by a process over its link."""

    name = 'linked'

    def __init__(self, table: SharedTable, link: Link) -> None:
        """Read `table` over `link`."""
        self.max_changes_bytes: int | None = None
        self._table = table
        self._link = link
        self._clock = table.clock

    async def read_all(self) -> Page:
        """Read all rows."""
        sent_ms = self._clock.now()
        await self._connect()
        rows = tuple(self._table.rows.values())
        return await self._transfer(
            rows, sent_ms, _TABLE_TIMEOUT_MS, is_snapshot=True
        )

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for changes, then read all changes after a version."""
        sent_ms = self._clock.now()
        await self._connect()
        while True:
            if since < self._table.oldest_version:
                raise HistoryGoneError('gone', step=_STEP)
            rows = tuple(
                row for _, row in self._table.changes if row.version > since
            )
            if rows or self._clock.now() >= sent_ms + wait_ms:
                break
            await self._clock.sleep(_POLL_INTERVAL_MS)
            if self._link.is_cut:
                # A cut is not noticed until the call times out.
                left_ms = sent_ms + wait_ms - self._clock.now()
                await self._clock.sleep(
                    max(0, left_ms) + _INACTIVITY_TIMEOUT_MS
                )
                raise PlatformError('TimeoutError', step=_STEP)
        sent_rows = truncate_rows(rows, self.max_changes_bytes)
        page = await self._transfer(
            sent_rows, sent_ms, _CHANGES_TIMEOUT_MS, is_snapshot=False
        )
        if sent_rows != rows:
            raise LongChangesError('too long', step=_STEP)
        return page

    async def _connect(self) -> None:
        await self._clock.sleep(_LATENCY_MS)
        if not self._link.is_cut:
            return
        if not self._link.refuses:
            await self._clock.sleep(_INACTIVITY_TIMEOUT_MS)
        raise PlatformError('connection refused', step=_STEP)

    async def _transfer(
        self,
        rows: tuple[Row, ...],
        sent_ms: int,
        timeout_ms: int,
        *,
        is_snapshot: bool,
    ) -> Page:
        """Transfer a response that is built now over the link."""
        version = self._table.version
        built_ms = self._clock.now()
        transfer_ms = sum(row.size for row in rows) / self._link.bytes_per_ms
        end_ms = built_ms + min(transfer_ms, timeout_ms)
        while self._clock.now() < end_ms and not self._link.is_cut:
            left_ms = end_ms - self._clock.now()
            await self._clock.sleep(min(left_ms, _POLL_INTERVAL_MS))
        if self._link.is_cut or transfer_ms > timeout_ms:
            raise CutAnswerError(
                'TimeoutError', step=_STEP, peer='', received=1
            )
        return Page(
            rows,
            version,
            built_ms + _CLOCK_OFFSET_MS,
            sent_ms,
            self._clock.now(),
            is_snapshot,
        )


def truncate_rows(
    rows: tuple[Row, ...], max_bytes: int | None
) -> tuple[Row, ...]:
    """Return what is transferred of rows of which `max_bytes` are read."""
    if max_bytes is None or sum(row.size for row in rows) <= max_bytes:
        return rows
    return (Row('', bytes(max_bytes), rows[-1].version),)
