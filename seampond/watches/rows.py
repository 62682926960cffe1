"""Rows of a table, and the port through which they are read."""

from dataclasses import dataclass
from typing import Protocol

from seampond.errors import PlatformError

_ERA_BITS = 40


def make_version(era: int, revision: int) -> int:
    """Give the version of a row or a table, comparable over eras.

    Explanation
    -----------
    A store that is restored from an older copy of itself gives its numbers out
    again, for other contents, and a new era begins.  A version holds both, the
    era above the number, so whatever is compared, passed on between gateways
    or given as a condition is of its own era: nothing of an earlier one is
    newer than what is read after the restore.

    Parameters
    ----------
    era : int
        How often the store was restored.
    revision : int
        The store's own version.

    Examples
    --------
    >>> make_version(0, 7)
    7
    >>> make_version(1, 3) > make_version(0, 900)
    True

    """
    return (era << _ERA_BITS) | revision


def era_of(version: int) -> int:
    """Give the era of a version.

    Examples
    --------
    >>> era_of(make_version(2, 9))
    2

    """
    return version >> _ERA_BITS


def revision_of(version: int) -> int:
    """Give the store's own number of a version.

    Examples
    --------
    >>> revision_of(make_version(2, 9))
    9

    """
    return version & ((1 << _ERA_BITS) - 1)


class HistoryGoneError(PlatformError):
    """The store no longer knows what changed since; read the table whole."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row; `is_deleted` where it was removed.

    Parameters
    ----------
    version : int
        As :func:`make_version` gives it.

    """

    key: str
    content: bytes
    version: int
    is_deleted: bool = False

    @property
    def size(self) -> int:
        """How many bytes it takes."""
        return len(self.key) + len(self.content)


@dataclass(frozen=True, slots=True)
class Page:
    """What one call told of a table.

    Parameters
    ----------
    version : int
        The newest version that the store knew of, with its era.
    store_ms : int
        The store's steady clock at the answer.
    sent_ms, received_ms : int
        Our clock when the call was sent and when it was answered.
    is_snapshot : bool
        Whether these are all rows, and not only those that changed.

    """

    rows: tuple[Row, ...]
    version: int
    store_ms: int
    sent_ms: int
    received_ms: int
    is_snapshot: bool


class TableSource(Protocol):
    """A table that can be read whole and followed."""

    name: str

    async def read_all(self) -> Page:
        """Read all rows."""

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for rows that changed after version `since`."""
