"""Origins of streams, kept as long as a caller may resume them."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.forwarding.stream_origins import RunState, ServerRun
from seampond.streams.version_history import RETENTION_MS

_ENTRIES_MAX = 65_536


@dataclass(slots=True)
class OriginEntry:
    """Where a stream began.

    Parameters
    ----------
    pool : int
        Hash of the pool's name.
    is_own : bool
        Whether the stream began at this gateway.
    is_reported : bool
        Whether its owners have been told.
    run : ServerRun or None
        The run that began it as long as the server's process, and thus the
        version, is not verified.

    """

    pool: int
    version: str
    recorded_ms: int
    is_own: bool = False
    is_reported: bool = False
    run: ServerRun | None = None


class OriginTable:
    """The origins of recent streams, by stream key.

    Examples
    --------
    >>> table = OriginTable(Clock(lambda: 0))
    >>> table.add(5, OriginEntry(7, 'v1', 0))
    True
    >>> table.find(5).version
    'v1'

    """

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._entries: dict[int, OriginEntry] = {}
        self._unverified: dict[int, OriginEntry] = {}

    def __len__(self) -> int:
        """Return the number of entries, expired ones included."""
        return len(self._entries)

    def add(self, stream: int, entry: OriginEntry) -> bool:
        """Add the origin of a stream; the first one that is verified holds.

        Returns
        -------
        bool
            Whether no origin of the stream was known.

        """
        self._expire()
        known = self._entries.get(stream)
        if known is None:
            self._entries[stream] = entry
            if entry.run is not None:
                self._unverified[stream] = entry
            return True
        if known.run is not None and entry.run is None:
            # In place, since entries expire in the order in which they came.
            known.version = entry.version
            known.run = None
            self._unverified.pop(stream, None)
        return False

    def verify_runs(self, check_run: Callable[[ServerRun], RunState]) -> None:
        """Verify the origins whose runs have been confirmed by now."""
        for stream, entry in list(self._unverified.items()):
            assert entry.run is not None
            if check_run(entry.run) is RunState.verified:
                entry.run = None
                self._unverified.pop(stream)

    def find(self, stream: int) -> OriginEntry | None:
        """Return the origin of a stream, None if it is not known."""
        self._expire()
        return self._entries.get(stream)

    def list_unreported(self, pool: int) -> Iterator[tuple[int, OriginEntry]]:
        """Yield this gateway's streams of a pool that no owner knows."""
        for stream, entry in self._entries.items():
            is_unknown = entry.is_own and not entry.is_reported
            if is_unknown and entry.pool == pool:
                yield stream, entry

    def _expire(self) -> None:
        """Drop the oldest entries, which come first."""
        oldest_ms = self._clock.now() - RETENTION_MS
        while self._entries:
            stream, entry = next(iter(self._entries.items()))
            is_kept = entry.recorded_ms >= oldest_ms
            if is_kept and len(self._entries) < _ENTRIES_MAX:
                return
            self._entries.pop(stream)
            self._unverified.pop(stream, None)
