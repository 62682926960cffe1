"""A table of streams in memory."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from seampond.errors import ConflictError, PlatformError, UnknownOutcomeError
from seampond.sharing.hashing import hash_name
from seampond.streams.stored import StoredBatch, StoredVersions, StreamRows
from seampond.watches import make_version


@dataclass
class MemoryStreamTable:
    """What all gateways of a test share.

    Parameters
    ----------
    read_ms : Callable[[], int]
        Return the time of its clock.
    is_away : bool
        Whether all calls fail.
    loses_answers : bool
        Whether writes are held back and their callers get no answer.
    calls : list[str]
        The calls that were made.

    """

    read_ms: Callable[[], int]
    is_away: bool = False
    loses_answers: bool = False
    calls: list[str] = field(default_factory=list)
    pools: dict[int, StoredVersions] = field(default_factory=dict)
    batches: dict[str, StoredBatch] = field(default_factory=dict)
    era: int = 1
    _revision: int = 1
    _held: list[tuple[str, StoredBatch]] = field(default_factory=list)

    async def read(self, since: int) -> StreamRows:
        """Return all rows."""
        self._begin_call('read')
        return StreamRows(
            dict(self.pools),
            dict(self.batches),
            make_version(self.era, self._revision),
            self.read_ms(),
            is_snapshot=True,
        )

    async def write_versions(self, row: StoredVersions) -> None:
        """Write the versions of a pool if the stored row has its version."""
        self._begin_call('write_versions')
        stored = self.pools.get(hash_name(row.pool))
        version = stored.version if stored else 0
        if row.version != version:
            raise ConflictError('changed', step='change')
        self._revision += 1
        self.pools[hash_name(row.pool)] = replace(
            row, version=make_version(self.era, self._revision)
        )

    async def write_batch(
        self, key: str, batch: StoredBatch | None, removed: Sequence[str]
    ) -> None:
        """Write a batch and remove others."""
        self._begin_call('write_batch')
        if self.loses_answers:
            if batch is not None:
                self._held.append((key, batch))
            raise UnknownOutcomeError('no answer', step='change')
        for name in removed:
            self.batches.pop(name, None)
        if batch is not None:
            self.batches[key] = batch
        self._revision += 1

    def apply_held(self) -> None:
        """Apply the writes whose answers were lost."""
        self.batches.update(self._held)
        self._held.clear()

    def restore(self) -> None:
        """Lose all rows, as after a restore from an old backup."""
        self.pools.clear()
        self.batches.clear()
        self.era += 1
        self._revision = 1

    def _begin_call(self, name: str) -> None:
        self.calls.append(name)
        if self.is_away:
            raise PlatformError('away', step='change')
