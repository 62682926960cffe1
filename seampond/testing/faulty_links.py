"""A simulated store table, read over links that are shared and fail."""

import random
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError
from seampond.platform.store import (
    _CHANGES_TIMEOUT_MS,
    _INACTIVITY_TIMEOUT_MS,
    _TABLE_TIMEOUT_MS,
)
from seampond.testing.narrow_links import SharedTable, truncate_rows
from seampond.watches import (
    HistoryGoneError,
    LongChangesError,
    Page,
    Row,
)

_CLOCK_OFFSET_MS = 1_000_000
_LATENCY_MS = 5
_STEP_MS = 10
_STEP = 'read'
# Single calls are lost only after the first copies are complete, and rarely
# enough that the next call is not lost as well.
_FIRST_LOSS_MS = 1500
_LOSS_GAP_MS = 4000


@dataclass
class FaultyLink:
    """The network link from a process to the store.

    Parameters
    ----------
    bytes_per_ms : float
        Bandwidth, shared by the answers that are being transferred.
    is_cut : bool
        Whether no data passes.
    refuses : bool
        Whether calls over a cut link fail at once, without a timeout.
    resend_ms : int
        Time after a cut until an answer that it held up is sent again, 0 for
        never: its call then ends by its timeout only.
    transfers : int
        Number of answers that are being transferred.
    cuts : int
        Number of cuts so far.
    calls, sent_bytes : int
        Number of calls, and bytes of the rows in their answers.
    loss_probability : float
        Probability that a call goes unanswered although the link is up.
    rng : random.Random
        Decides which calls go unanswered.

    """

    bytes_per_ms: float
    is_cut: bool = False
    refuses: bool = False
    resend_ms: int = 0
    transfers: int = 0
    cuts: int = 0
    calls: int = 0
    sent_bytes: float = 0
    loss_probability: float = 0
    rng: random.Random = field(default_factory=random.Random)
    _lost_ms: int = -_LOSS_GAP_MS

    def loses_call(self, now_ms: int) -> bool:
        """Return whether a call made now goes unanswered."""
        if now_ms < max(_FIRST_LOSS_MS, self._lost_ms + _LOSS_GAP_MS):
            return False
        if self.rng.random() > self.loss_probability:
            return False
        self._lost_ms = now_ms
        return True

    def cut(self, resend_ms: int, *, refuses: bool) -> None:
        """Interrupt the link."""
        self.is_cut = True
        self.refuses = refuses
        self.resend_ms = resend_ms
        self.cuts += 1


@dataclass
class StoreState:
    """State of the store that all processes see.

    Parameters
    ----------
    lag_ms : int
        How old the rows of whole reads are.
    delay_ms : int
        How much longer than usual the store takes for each call.

    """

    table: SharedTable
    lag_ms: int = 0
    delay_ms: int = 0

    def read_rows(self) -> tuple[int, tuple[Row, ...]]:
        """Return the version and the rows that a whole read shows."""
        as_of_ms = self.table.clock.now() - self.lag_ms
        rows = {
            row.key: row
            for changed_ms, row in self.table.changes
            if changed_ms <= as_of_ms
        }
        versions = [found.version for found in rows.values()]
        version = max(versions) if self.lag_ms else self.table.version
        return version, tuple(rows.values())


class FaultySource:
    """The table as read by a process over its link."""

    name = 'faulty'

    def __init__(self, store: StoreState, link: FaultyLink) -> None:
        """Read the table of `store` over `link`."""
        self.max_changes_bytes: int | None = None
        self._store = store
        self._table = store.table
        self._link = link
        self._clock: Clock = store.table.clock
        self._is_answering = False

    @property
    def is_answering(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._is_answering

    async def read_all(self) -> Page:
        """Read all rows."""
        sent_ms = self._clock.now()
        await self._connect(0)
        version, rows = self._store.read_rows()
        page = self._build(version, rows, sent_ms, is_snapshot=True)
        return await self._deliver(page, _TABLE_TIMEOUT_MS, 0)

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for changes, then read all changes after a version."""
        sent_ms = self._clock.now()
        await self._connect(wait_ms)
        cuts = self._link.cuts
        while not self._has_changes(since):
            if self._clock.now() >= sent_ms + wait_ms:
                break
            await self._clock.sleep(_STEP_MS)
            if self._link.cuts > cuts and not self._link.resend_ms:
                await self._time_out(sent_ms + wait_ms)
        rows = tuple(
            row for _, row in self._table.changes if row.version > since
        )
        sent_rows = truncate_rows(rows, self.max_changes_bytes)
        page = self._build(
            self._table.version, sent_rows, sent_ms, is_snapshot=False
        )
        page = await self._deliver(page, _CHANGES_TIMEOUT_MS, wait_ms)
        if sent_rows != rows:
            raise LongChangesError('too long', step=_STEP)
        return page

    def _has_changes(self, since: int) -> bool:
        if since < self._table.oldest_version:
            raise HistoryGoneError('gone', step=_STEP)
        changes = self._table.changes
        return bool(changes) and changes[-1][1].version > since

    def _build(
        self,
        version: int,
        rows: tuple[Row, ...],
        sent_ms: int,
        *,
        is_snapshot: bool,
    ) -> Page:
        store_ms = self._clock.now() + _CLOCK_OFFSET_MS
        return Page(rows, version, store_ms, sent_ms, sent_ms, is_snapshot)

    async def _connect(self, wait_ms: int) -> None:
        self._is_answering = False
        self._link.calls += 1
        sent_ms = self._clock.now()
        if self._link.loses_call(sent_ms):
            await self._time_out(sent_ms + wait_ms)
        await self._clock.sleep(_LATENCY_MS + self._store.delay_ms)
        if not self._link.is_cut:
            return
        if not self._link.refuses:
            await self._clock.sleep(_INACTIVITY_TIMEOUT_MS)
        raise PlatformError('not connected', step=_STEP)

    async def _time_out(self, answer_due_ms: int) -> None:
        left_ms = answer_due_ms - self._clock.now()
        await self._clock.sleep(max(0, left_ms) + _INACTIVITY_TIMEOUT_MS)
        raise PlatformError('TimeoutError', step=_STEP)

    async def _deliver(self, page: Page, timeout_ms: int, wait_ms: int) -> Page:
        """Return the page after its transfer, sent again after a cut."""
        link = self._link
        if link.is_cut:
            await self._wait_for_resend(page.sent_ms + wait_ms)
        self._is_answering = True
        cuts = link.cuts
        end_ms = self._clock.now() + timeout_ms
        left = float(sum(row.size for row in page.rows))
        link.transfers += 1
        try:
            while left > 0 and self._clock.now() < end_ms:
                await self._clock.sleep(_STEP_MS)
                part = link.bytes_per_ms * _STEP_MS / link.transfers
                link.sent_bytes += min(left, part)
                left -= part
                if link.cuts > cuts:
                    await self._clock.sleep(_INACTIVITY_TIMEOUT_MS)
                    break
        finally:
            link.transfers -= 1
            self._is_answering = False
        if left > 0 or link.is_cut:
            raise CutAnswerError(
                'TimeoutError', step=_STEP, peer='', received=1
            )
        return Page(
            page.rows,
            page.version,
            page.store_ms,
            page.sent_ms,
            self._clock.now(),
            page.is_snapshot,
        )

    async def _wait_for_resend(self, answer_due_ms: int) -> None:
        """Wait until a cut is over and the answer is sent again."""
        end_ms = answer_due_ms + _INACTIVITY_TIMEOUT_MS
        while self._link.is_cut and self._clock.now() < end_ms:
            await self._clock.sleep(_STEP_MS)
        await self._clock.sleep(self._link.resend_ms or _STEP_MS)
        if not self._link.resend_ms or self._clock.now() > end_ms:
            raise PlatformError('TimeoutError', step=_STEP)
