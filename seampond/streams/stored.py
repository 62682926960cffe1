"""What gateways keep of streams in the store, which outlives all of them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from seampond.streams.origin_table import OriginEntry

KEY_BYTES = 8


@dataclass(frozen=True, slots=True)
class StoredVersions:
    """The versions of a pool that may have begun a stream.

    Parameters
    ----------
    listed_until_ms : Mapping[str, int or None]
        By version: when it was last listed by the store's clock, None if it
        is listed.
    since_ms : int
        Since when all versions are known by the store's clock, 0 if they have
        been known since the first start of the system.
    era : int
        Era of the store in which the row was written; a store that was
        restored since may lack later versions.
    version : int
        Version of the row, 0 if the store holds none.

    """

    pool: str
    listed_until_ms: Mapping[str, int | None]
    since_ms: int
    era: int
    version: int = 0

    @property
    def listed(self) -> frozenset[str]:
        """The versions that are listed."""
        return frozenset(
            version
            for version, last_ms in self.listed_until_ms.items()
            if last_ms is None
        )


@dataclass(frozen=True, slots=True)
class StoredRun:
    """Streams that began at one version of a pool.

    Parameters
    ----------
    pool : int
        Hash of the pool's name.
    streams : bytes
        Their keys, `KEY_BYTES` bytes each.

    """

    pool: int
    version: str
    streams: bytes

    def holds(self, stream: int) -> bool:
        """Return True if a stream is among these.

        Examples
        --------
        >>> run = StoredRun(7, 'v1', pack_streams([5, 256]))
        >>> run.holds(256), run.holds(1)
        (True, False)

        """
        key = pack_streams([stream])
        start = self.streams.find(key)
        # Bytes of two neighbouring keys may look like a third one.
        while start % KEY_BYTES and start >= 0:
            start = self.streams.find(key, start + 1)
        return start >= 0


@dataclass(frozen=True, slots=True)
class StoredBatch:
    """Streams that began at one gateway in a short time.

    Parameters
    ----------
    at_ms : int
        When the batch was last written, by the store's clock.

    """

    at_ms: int
    runs: Sequence[StoredRun]


@dataclass(frozen=True, slots=True)
class StreamRows:
    """All rows of the table of streams, or those that have changed.

    Parameters
    ----------
    pools : Mapping[int, StoredVersions or None]
        By the hash of the pool's name; None for a row that was removed.  A
        row that cannot be read has no versions.
    batches : Mapping[str, StoredBatch or None]
        By key; None likewise.
    version : int
        Newest version of the table.
    store_ms : int
        The store's clock at the answer.

    """

    pools: Mapping[int, StoredVersions | None]
    batches: Mapping[str, StoredBatch | None]
    version: int
    store_ms: int
    is_snapshot: bool


class StreamTable(Protocol):
    """The store's table of streams.

    Each call raises `PlatformError` if it fails.
    """

    @property
    def era(self) -> int:
        """Number of restores of the store, as far as known."""

    async def read(self, since: int) -> StreamRows:
        """Read the rows that changed after a version, all rows for 0."""

    async def write_versions(self, row: StoredVersions) -> None:
        """Write the versions of a pool if the stored row has its version."""

    async def write_batch(
        self, key: str, batch: StoredBatch | None, removed: Sequence[str]
    ) -> None:
        """Write a batch unless it is None, and remove others."""


class StoredOrigins(Protocol):
    """The origins of streams that are kept in the store."""

    def record(self, stream: int, entry: OriginEntry) -> None:
        """Keep the origin of a stream that has begun here."""

    async def refresh(self, since_ms: int) -> bool:
        """Return whether the copy is as new as some time, or nearly so."""

    def find(self, stream: int) -> StoredRun | None:
        """Return what the copy says of a stream, None if nothing."""


class _NothingStored:
    """A store that cannot be reached."""

    def record(self, stream: int, entry: OriginEntry) -> None:
        """Do nothing."""

    async def refresh(self, since_ms: int) -> bool:
        """Return that the copy is old."""
        return False

    def find(self, stream: int) -> StoredRun | None:
        """Return that nothing is known."""


NOT_STORED = _NothingStored()


def pack_streams(streams: Sequence[int]) -> bytes:
    """Return the keys of streams as bytes.

    Examples
    --------
    >>> pack_streams([1]).hex()
    '0000000000000001'

    """
    return b''.join(stream.to_bytes(KEY_BYTES) for stream in streams)
