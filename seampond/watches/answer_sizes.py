"""Size of a table and of its answers, and the load that they show."""

from seampond.watches.rows import Page

_SMALL_TABLE_ROWS = 100
# Up to this many rows snapshots replace the feed while rows are written faster
# than the link can transfer their changes: the feed alone held rows of 420 KB,
# written each 0.3 s, up to 3.8 s late over 5 Mbit/s (test_narrow_links).
_TINY_TABLE_ROWS = 4
_SLOW_TRANSFER_MS = 250
# Longer changes are replaced by a snapshot; shorter ones are not worth another
# call.
_MAX_TABLE_SIZES = 2
_MIN_LIMIT_BYTES = 65_536


class AnswerSizes:
    """What the answers of the store show of a table's size and load.

    Attributes
    ----------
    is_overloaded : bool
        Whether rows are written faster than the feed transfers them.
    is_slow_transfer : bool
        Whether the transfer of the newest rows took long.

    Examples
    --------
    >>> from seampond.watches.rows import Row
    >>> sizes = AnswerSizes()
    >>> versions = Row('a', b'', 5), Row('a', b'', 6)
    >>> sizes.record(Page(versions, 6, 0, 0, 400, False), 4, 400)
    >>> sizes.is_overloaded
    True
    >>> sizes.record_rows(Page((Row('a', bytes(49_999), 6),), 6, 0, 0, 1, True))
    >>> sizes.max_changes_bytes(now_ms=0)
    100000

    """

    def __init__(self) -> None:
        """Start without rows."""
        self.is_overloaded = False
        self.is_slow_transfer = False
        self._row_bytes: dict[str, int] = {}
        self._table_bytes = 0
        self._unlimited_until_ms = 0

    @property
    def is_small(self) -> bool:
        """Whether a snapshot is short enough to replace many changes."""
        return len(self._row_bytes) <= _SMALL_TABLE_ROWS

    @property
    def is_tiny(self) -> bool:
        """Whether a snapshot is no longer than a change or two."""
        return len(self._row_bytes) <= _TINY_TABLE_ROWS

    def max_changes_bytes(self, now_ms: int) -> int | None:
        """Return the size from which a snapshot is read in place of changes.

        Returns
        -------
        int or None
            None where changes of any size are read.

        """
        if now_ms < self._unlimited_until_ms:
            return None
        return max(_MIN_LIMIT_BYTES, self._table_bytes * _MAX_TABLE_SIZES)

    def lift_limit(self, until_ms: int) -> None:
        """Let changes of any size be read until `until_ms`."""
        self._unlimited_until_ms = until_ms

    def record_rows(self, page: Page) -> None:
        """Record the sizes of the rows that are held."""
        if page.is_snapshot:
            self._row_bytes.clear()
            self._table_bytes = 0
        for row in page.rows:
            self._table_bytes -= self._row_bytes.pop(row.key, 0)
            if not row.is_deleted:
                self._row_bytes[row.key] = row.size
                self._table_bytes += row.size

    def record(self, page: Page, since: int, transfer_ms: int) -> None:
        """Record an answer to a call for what came after a version."""
        if page.is_snapshot:
            newest = max((row.version for row in page.rows), default=0)
            is_overloaded = self.is_overloaded and newest > since
        else:
            keys = {row.key for row in page.rows}
            is_overloaded = len(keys) < len(page.rows)
        if page.rows:
            self.is_slow_transfer = transfer_ms > _SLOW_TRANSFER_MS
        self.is_overloaded = (
            is_overloaded and self.is_slow_transfer and self.is_tiny
        )
