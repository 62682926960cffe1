"""Split server-sent event streams into whole events."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Splits a byte stream at the ends of events.

    Only whole events are relayed, so that a broken stream can be resumed.

    Attributes
    ----------
    first_id, last_id : bytes
        Ids of the first event of the current run and of the last event of
        all runs.

    """

    def __init__(self) -> None:
        """Initialize an empty splitter."""
        self.first_id = b''
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
        self._record_ids(events)
        return events

    def restart(self) -> None:
        """Begin another run; discard an incomplete event."""
        self.first_id = b''
        self.remainder = b''

    def _record_ids(self, events: bytes) -> None:
        ids = [
            line[len(_ID_FIELD) :].strip()
            for line in events.splitlines()
            if line.startswith(_ID_FIELD)
        ]
        if ids:
            self.first_id = self.first_id or ids[0]
            self.last_id = ids[-1]
