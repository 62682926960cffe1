"""Rows of a table, their versions, and the interface to read them."""

from dataclasses import dataclass
from typing import Protocol

from seampond.errors import PlatformError

_ERA_BITS = 40


def make_version(era: int, revision: int) -> int:
    """Return the version of a row or table, comparable across restores.

    Explanation
    -----------
    A store that is restored from a backup assigns the same revisions again, to
    other contents.  Each restore starts a new era, and the era is held in the
    high bits of a version, so versions from before a restore are always lower.

    Parameters
    ----------
    era : int
        How often the store was restored.
    revision : int
        Revision as counted by the store.

    Examples
    --------
    >>> make_version(0, 7)
    7
    >>> make_version(1, 3) > make_version(0, 900)
    True

    """
    return (era << _ERA_BITS) | revision


def era_of(version: int) -> int:
    """Return the era of a version.

    Examples
    --------
    >>> era_of(make_version(2, 9))
    2

    """
    return version >> _ERA_BITS


def revision_of(version: int) -> int:
    """Return the store's revision of a version.

    Examples
    --------
    >>> revision_of(make_version(2, 9))
    9

    """
    return version & ((1 << _ERA_BITS) - 1)


class HistoryGoneError(PlatformError):
    """The store's history does not reach back to the requested version."""


class LongChangesError(PlatformError):
    """The changes are longer than allowed; their rows were not read."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    Parameters
    ----------
    version : int
        As returned by :func:`make_version`.
    is_deleted : bool
        Whether the row was deleted.

    """

    key: str
    content: bytes
    version: int
    is_deleted: bool = False

    @property
    def size(self) -> int:
        """Size of key and content in bytes."""
        return len(self.key) + len(self.content)


@dataclass(frozen=True, slots=True)
class Page:
    """Answer of the store to one read of a table.

    Parameters
    ----------
    version : int
        Newest version of the store, as returned by :func:`make_version`.
    store_ms : int
        Store's monotonic clock at the answer.
    sent_ms, received_ms : int
        Local clock when the call was sent and when it was answered.
    is_snapshot : bool
        Whether `rows` are all rows and not only the changed ones.

    """

    rows: tuple[Row, ...]
    version: int
    store_ms: int
    sent_ms: int
    received_ms: int
    is_snapshot: bool


class TableSource(Protocol):
    """Table that can be read as a snapshot and by its changes.

    Attributes
    ----------
    max_changes_bytes : int or None
        Maximum size of the rows that `read_changes` returns, None for any.

    """

    name: str
    max_changes_bytes: int | None

    async def read_all(self) -> Page:
        """Read all rows."""

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait up to `wait_ms` for changes after version `since`.

        Raises
        ------
        LongChangesError
            If the changes are longer than `max_changes_bytes`.

        """
