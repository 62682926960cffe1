"""Origins that this gateway has yet to write to the store."""

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.streams.origin_table import OriginEntry
from seampond.streams.stored import StoredBatch, StoredRun, pack_streams
from seampond.streams.version_history import RETENTION_MS

# A row is written again with the next streams, so that there are fewer rows.
_WRITES_PER_ROW = 5
_STREAMS_PER_ROW = 2048
_REMOVED_MAX = 64


@dataclass(frozen=True, slots=True)
class BatchWrite:
    """One write to the store.

    Parameters
    ----------
    batch : StoredBatch or None
        None to remove rows only.

    """

    key: str
    batch: StoredBatch | None
    removed: Sequence[str]


class OriginBatches:
    """Collects origins and the keys of the rows to be removed.

    Explanation
    -----------
    Only origins that are verified are written.  A write whose outcome is not
    known may be applied later, so its row is not written again.

    Parameters
    ----------
    prefix : str
        Begins the keys of this process.

    """

    def __init__(self, prefix: str, clock: Clock) -> None:
        """Start without origins."""
        self._prefix = prefix
        self._clock = clock
        self._waiting: dict[int, OriginEntry] = {}
        self._current: dict[int, OriginEntry] = {}
        self._number = 0
        self._write_count = 0
        # Keys of the rows that were written and when.
        self._written: deque[tuple[str, int]] = deque()

    def add(self, stream: int, entry: OriginEntry) -> None:
        """Add the origin of a stream that has begun here."""
        self._waiting[stream] = entry

    def next_write(
        self, store_ms: int, abandoned: Sequence[str]
    ) -> BatchWrite | None:
        """Return what is to be written, None for nothing.

        Parameters
        ----------
        store_ms : int
            Time by the store's clock.
        abandoned : Sequence[str]
            Keys of rows of other gateways to be removed.

        """
        removed = [*self._pop_expired(), *abandoned]
        has_more = self._take_verified()
        if not (has_more or removed):
            return None
        batch = StoredBatch(store_ms, self._pack()) if has_more else None
        return BatchWrite(self._key, batch, removed)

    def confirm(self, write: BatchWrite) -> None:
        """Record that a write was applied."""
        if write.batch is None:
            return
        self._write_count += 1
        is_full = len(self._current) >= _STREAMS_PER_ROW
        if is_full or self._write_count >= _WRITES_PER_ROW:
            self._begin_row()
            self._current.clear()

    def retry(self, write: BatchWrite) -> None:
        """Write again what may not have been written."""
        now_ms = self._clock.now()
        self._written.extendleft(
            (key, now_ms - RETENTION_MS) for key in write.removed
        )
        if write.batch is None:
            return
        self._begin_row()
        self._waiting.update(self._current)
        self._current.clear()

    @property
    def _key(self) -> str:
        return f'{self._prefix}{self._number}'

    def _begin_row(self) -> None:
        self._written.append((self._key, self._clock.now()))
        self._number += 1
        self._write_count = 0

    def _take_verified(self) -> bool:
        """Move what may be written; return whether there is any."""
        oldest_ms = self._clock.now() - RETENTION_MS
        is_taken = False
        for stream, entry in list(self._waiting.items()):
            if len(self._current) >= _STREAMS_PER_ROW:
                break
            if entry.recorded_ms < oldest_ms:
                self._waiting.pop(stream)
            elif entry.run is None:
                self._current[stream] = self._waiting.pop(stream)
                is_taken = True
        return is_taken

    def _pop_expired(self) -> Iterator[str]:
        oldest_ms = self._clock.now() - RETENTION_MS
        for _ in range(_REMOVED_MAX):
            if not self._written or self._written[0][1] > oldest_ms:
                return
            yield self._written.popleft()[0]

    def _pack(self) -> list[StoredRun]:
        streams: dict[tuple[int, str], list[int]] = {}
        for stream, entry in self._current.items():
            streams.setdefault((entry.pool, entry.version), []).append(stream)
        return [
            StoredRun(pool, version, pack_streams(keys))
            for (pool, version), keys in streams.items()
        ]
