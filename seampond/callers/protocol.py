"""HTTP protocol for the connections of an entry's callers."""

from typing import Any

from uvicorn.protocols.http.h11_impl import H11Protocol

from seampond.clock import Clock
from seampond.forwarding.caller_connections import CallerConnections
from seampond.settings.models import RoutingSettings

# The web server buffers so much besides a body, at most.
_BUFFER_BYTES = 393_216


class EntryProtocol(H11Protocol):
    """A caller's connection that gives way when too much is held.

    Attributes
    ----------
    held_bytes : int
        Size of what has arrived since the last answer.
    since_ms : int
        When the last answer was complete, or the connection made.

    """

    def __init__(
        self,
        connections: CallerConnections,
        clock: Clock,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        """Initialize the protocol."""
        super().__init__(*args, **kwargs)
        self.held_bytes = 0
        self.since_ms = clock.now()
        self._connections = connections
        self._clock = clock

    @property
    def freeable_bytes(self) -> int:
        """What can be given back; a request that may run is kept."""
        return self.held_bytes if self._is_waiting else 0

    def connection_made(self, transport: Any) -> None:
        """Count the connection."""
        super().connection_made(transport)
        if not self._connections.add(self):
            self.close_early()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no longer."""
        super().connection_lost(exc)
        self._connections.remove(self)

    def data_received(self, payload: bytes) -> None:
        """Count what arrives."""
        self.held_bytes += len(payload)
        super().data_received(payload)
        self._connections.record_waiting(self, is_waiting=self._is_waiting)
        self._connections.update(self)
        if not self._connections.make_room(self) and self.freeable_bytes:
            self.free()

    def on_response_complete(self) -> None:
        """Wait for the next request."""
        self.held_bytes = 0
        self.since_ms = self._clock.now()
        super().on_response_complete()
        self._connections.record_waiting(self, is_waiting=self._is_waiting)
        self._connections.update(self)

    def free(self) -> None:
        """Give back memory: close the connection of an incomplete request."""
        self.held_bytes = 0
        self.close_early()

    def close_early(self) -> None:
        """Close the connection, which waits for its caller."""
        self.transport.abort()

    @property
    def _is_waiting(self) -> bool:
        """Whether the next step is up to the caller."""
        cycle = self.cycle
        return cycle is None or cycle.response_complete or cycle.more_body


def make_entry_connections(
    routing: RoutingSettings, clock: Clock
) -> CallerConnections:
    """Return the limits on all connections of an entry's callers."""
    return CallerConnections(
        routing.connections_max,
        routing.arriving_max_bytes,
        lambda: routing.body_max_bytes + _BUFFER_BYTES,
        clock,
    )
