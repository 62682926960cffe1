"""Split server-sent event streams into whole events."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Splits a byte stream at the ends of events.

    Only whole events are relayed, so that a broken stream can be resumed.
    """

    def __init__(self) -> None:
        """Initialize an empty splitter."""
        self.last_id = b''
        self.remainder = b''

    def feed(self, payload: bytes) -> bytes:
        """Return the whole events received; buffer the remainder."""
        buffered = self.remainder + payload
        end = buffered.rfind(_EVENT_END)
        if end < 0:
            self.remainder = buffered
            return b''
        events = buffered[: end + len(_EVENT_END)]
        self.remainder = buffered[end + len(_EVENT_END) :]
        self._record_last_id(events)
        return events

    def restart(self) -> None:
        """Discard an incomplete event."""
        self.remainder = b''

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip()
                return
