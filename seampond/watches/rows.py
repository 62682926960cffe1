"""Rows of a table, and the port through which they are read."""

from dataclasses import dataclass
from typing import Protocol

from seampond.errors import PlatformError


class HistoryGoneError(PlatformError):
    """The store no longer knows what changed since; read the table whole."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row; `is_gone` where it was removed."""

    key: str
    content: bytes
    version: int
    is_gone: bool = False

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
        The newest version that the store knew of.
    store_ms : int
        The store's steady clock at the answer.
    sent_ms, received_ms : int
        Our clock when the call was sent and when it was answered.
    is_whole : bool
        Whether these are all rows, and not only those that changed.

    """

    rows: tuple[Row, ...]
    version: int
    store_ms: int
    sent_ms: int
    received_ms: int
    is_whole: bool


class TableSource(Protocol):
    """A table that can be read whole and followed."""

    name: str

    async def read_all(self) -> Page:
        """Read all rows."""

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for rows that changed after version `since`."""
