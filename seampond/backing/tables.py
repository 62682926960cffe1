"""Interface to the transactional table service of the platform."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

Content = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """A row and the version of its last write."""

    table: str
    key: str
    version: int
    content: Content


@dataclass(frozen=True, slots=True)
class Check:
    """Condition that a row has this version; 0 means that it is absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a row; content None deletes it."""

    table: str
    key: str
    content: Content | None = field(default=None)


ReadRow = Callable[[str, str], Awaitable[Row | None]]
ScanRows = Callable[[str, str, str, int], Awaitable[list[Row]]]
Transact = Callable[[Sequence[Check], Sequence[Write]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Tables:
    """The operations of the table service.

    Parameters
    ----------
    read : Callable[[str, str], Awaitable[Row | None]]
        ``read(table, key)``: the row, or None if it does not exist.
    scan : Callable[[str, str, str, int], Awaitable[list[Row]]]
        ``scan(table, start, end, limit)``: rows with
        ``start <= key < end``, ordered by key, at most `limit`.
    transact : Callable[[Sequence[Check], Sequence[Write]], Awaitable[None]]
        ``transact(checks, writes)``: apply all writes if all checks hold,
        else raise `ConflictError`.  After `UnknownOutcomeError` the writes
        may have taken effect; after any other `PlatformError` they have not.

    """

    read: ReadRow
    scan: ScanRows
    transact: Transact
