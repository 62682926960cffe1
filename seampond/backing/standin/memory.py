"""In-memory table service."""

from collections.abc import Sequence

from seampond.backing.tables import Check, Content, Row, Tables, Write
from seampond.errors import ConflictError


class MemoryTables:
    """Rows by table and key; transactions are atomic within an event loop."""

    def __init__(self) -> None:
        """Start with no rows."""
        self._rows: dict[str, dict[str, Row]] = {}
        self._last_version = 0
        self._reads = 0
        self._writes = 0

    @property
    def reads(self) -> int:
        """The number of reads and scans so far."""
        return self._reads

    @property
    def writes(self) -> int:
        """The number of transactions so far."""
        return self._writes

    def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        self._reads += 1
        return self._rows.get(table, {}).get(key)

    def scan(self, table: str, start: str, end: str, limit: int) -> list[Row]:
        """Return rows with ``start <= key < end``, ordered by key."""
        self._reads += 1
        rows = self._rows.get(table, {})
        keys = sorted(key for key in rows if start <= key < end)
        return [rows[key] for key in keys[:limit]]

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        """Apply all writes if all checks hold, else raise `ConflictError`."""
        self._writes += 1
        for check in checks:
            row = self._rows.get(check.table, {}).get(check.key)
            version = row.version if row else 0
            if version != check.version:
                raise ConflictError(check.key, step='transact')
        for write in writes:
            self._write(write)

    def as_tables(self) -> Tables:
        """Return the asynchronous interface to these rows."""

        async def read(table: str, key: str) -> Row | None:
            return self.read(table, key)

        async def scan(
            table: str, start: str, end: str, limit: int
        ) -> list[Row]:
            return self.scan(table, start, end, limit)

        async def transact(
            checks: Sequence[Check], writes: Sequence[Write]
        ) -> None:
            self.transact(checks, writes)

        return Tables(read, scan, transact)

    def _write(self, write: Write) -> None:
        rows = self._rows.setdefault(write.table, {})
        if write.content is None:
            rows.pop(write.key, None)
            return
        self._last_version += 1
        content: Content = dict(write.content)
        rows[write.key] = Row(
            write.table, write.key, self._last_version, content
        )
