"""This gateway's copy of the store's table of streams."""

from seampond.streams.stored import (
    StoredBatch,
    StoredRun,
    StoredVersions,
    StreamRows,
)
from seampond.streams.version_history import RETENTION_MS

# Gateways that run remove their own rows long before that.
_ABANDONED_MS = 2 * RETENTION_MS


class StoredCopy:
    """The rows as of the last read.

    Attributes
    ----------
    version : int
        Version of the table, 0 before the first read.
    pools : dict[int, StoredVersions]
        By the hash of the pool's name.

    """

    def __init__(self) -> None:
        """Start without rows."""
        self.version = 0
        self.pools: dict[int, StoredVersions] = {}
        self._batches: dict[str, StoredBatch] = {}
        self._store_ms = 0

    def apply(self, rows: StreamRows) -> None:
        """Apply all rows or those that have changed."""
        if rows.is_snapshot:
            self.pools.clear()
            self._batches.clear()
        for pool, stored in rows.pools.items():
            self.pools.pop(pool, None)
            if stored is not None:
                self.pools[pool] = stored
        for key, batch in rows.batches.items():
            self._batches.pop(key, None)
            if batch is not None:
                self._batches[key] = batch
        self.version = rows.version
        self._store_ms = rows.store_ms

    def find(self, stream: int) -> StoredRun | None:
        """Return with which others a stream was stored, None if it is not."""
        return next(
            (
                run
                for batch in self._batches.values()
                for run in batch.runs
                if run.holds(stream)
            ),
            None,
        )

    def pop_abandoned(self, most: int) -> list[str]:
        """Return the keys of some batches of gateways that have gone."""
        oldest_ms = self._store_ms - _ABANDONED_MS
        keys = [
            key
            for key, batch in self._batches.items()
            if batch.at_ms < oldest_ms
        ][:most]
        for key in keys:
            self._batches.pop(key)
        return keys
