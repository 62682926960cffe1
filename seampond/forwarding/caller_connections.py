"""Limits on the number and the memory of the connections of callers."""

from collections.abc import Callable
from typing import Protocol

from seampond.clock import Clock

# Requests up to this size are served while larger ones use up their part.
_SMALL_BYTES = 65_536
_LARGE_FRACTION = 0.75


class CountedConnection(Protocol):
    """A connection whose memory is counted.

    Attributes
    ----------
    since_ms : int
        When it last changed between waiting for its caller and answering.

    """

    since_ms: int

    @property
    def held_bytes(self) -> int:
        """What it holds."""

    @property
    def freeable_bytes(self) -> int:
        """What :meth:`free` gives back."""

    def free(self) -> None:
        """Give back memory; a request that has not run is refused."""

    def close_early(self) -> None:
        """Close the connection, which waits for its caller."""


class CallerConnections:
    """The open connections of callers and what they hold together.

    Explanation
    -----------
    A caller that sends slowly, or does not read its answer, must not keep
    others from being served.  When memory is short, the connection that has
    used most of it for the longest time gives way.  When there are too many
    connections, the one that has waited longest for its caller is closed.

    Parameters
    ----------
    connections_max : int
        Highest number of connections.
    memory_max_bytes : int
        Most that they may hold together.
    get_request_max_bytes : Callable[[], int]
        Returns the most that a request within the limits holds, which is
        always allowed.

    """

    def __init__(
        self,
        connections_max: int,
        memory_max_bytes: int,
        get_request_max_bytes: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Initialize without connections."""
        self.connections_max = connections_max
        self.memory_max_bytes = memory_max_bytes
        self._get_request_max_bytes = get_request_max_bytes
        self._clock = clock
        self._held_bytes = 0
        self._counted: dict[CountedConnection, int] = {}
        # In the order in which they began to wait for their callers.
        self._waiting: dict[CountedConnection, None] = {}

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._counted)

    @property
    def held_bytes(self) -> int:
        """What all connections hold together."""
        return self._held_bytes

    def add(self, connection: CountedConnection) -> bool:
        """Add a new connection; return False if it has to be closed."""
        if self.count >= self.connections_max:
            longest = next(iter(self._waiting), None)
            if longest is None:
                return False
            self.remove(longest)
            longest.close_early()
        self._counted[connection] = 0
        self.record_waiting(connection, is_waiting=True)
        return True

    def remove(self, connection: CountedConnection) -> None:
        """Remove a connection that has ended, if it is still counted."""
        self._held_bytes -= self._counted.pop(connection, 0)
        self._waiting.pop(connection, None)

    def record_waiting(
        self, connection: CountedConnection, *, is_waiting: bool
    ) -> None:
        """Record whether the next step is up to the caller."""
        self._waiting.pop(connection, None)
        if is_waiting and connection in self._counted:
            self._waiting[connection] = None

    def update(self, connection: CountedConnection) -> None:
        """Count what a connection holds now."""
        counted = self._counted.get(connection)
        if counted is not None:
            self._counted[connection] = connection.held_bytes
            self._held_bytes += connection.held_bytes - counted

    def make_room(self, connection: CountedConnection) -> bool:
        """Free memory of other connections if there is too little.

        Returns
        -------
        bool
            False if `connection` itself has to give way.

        """
        limit = self._find_limit(connection)
        while self._held_bytes > limit:
            longest = self._find_longest_use()
            if longest is connection or not longest.freeable_bytes:
                return False
            longest.free()
            self.update(longest)
        return True

    def _find_longest_use(self) -> CountedConnection:
        """Return the connection whose memory has been used for longest."""
        now_ms = self._clock.now()
        return max(self._counted, key=lambda other: _compute_use(other, now_ms))

    def _find_limit(self, connection: CountedConnection) -> float:
        """Return what all may hold for this connection to hold more."""
        large_max_bytes = max(
            self.memory_max_bytes * _LARGE_FRACTION,
            self._get_request_max_bytes(),
        )
        if connection.held_bytes > _SMALL_BYTES:
            return large_max_bytes
        return large_max_bytes / _LARGE_FRACTION


def _compute_use(connection: CountedConnection, now_ms: int) -> int:
    """Return the memory that can be freed times how long it was used."""
    return connection.freeable_bytes * (1 + now_ms - connection.since_ms)
