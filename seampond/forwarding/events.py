"""Split server-sent event streams into whole events."""

from dataclasses import dataclass

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


@dataclass(frozen=True, slots=True)
class Events:
    """Some whole events of a stream.

    Parameters
    ----------
    payload : bytes
        The events as they were received.
    ids : tuple[bytes, ...]
        Their ids; an event may have none.

    """

    payload: bytes = b''
    ids: tuple[bytes, ...] = ()


class EventSplitter:
    r"""Splits a byte stream at the ends of events.

    Only whole events are relayed, so that a broken stream can be resumed.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\n\nid: 2')
    Events(payload=b'id: 1\n\n', ids=(b'1',))
    >>> splitter.remainder
    b'id: 2'

    """

    def __init__(self) -> None:
        """Initialize an empty splitter."""
        self._buffered = bytearray()

    @property
    def remainder(self) -> bytes:
        """The part of an incomplete event that was received."""
        return bytes(self._buffered)

    @property
    def remaining_bytes(self) -> int:
        """Number of bytes received of an incomplete event."""
        return len(self._buffered)

    def feed(self, payload: bytes) -> Events:
        """Return the whole events received; buffer the remainder."""
        buffered = self._buffered
        # What was buffered holds no whole end of an event.
        start = max(0, len(buffered) - len(_EVENT_END) + 1)
        buffered += payload
        end = buffered.rfind(_EVENT_END, start)
        if end < 0:
            return Events()
        events = bytes(buffered[: end + len(_EVENT_END)])
        self._buffered = buffered[end + len(_EVENT_END) :]
        return Events(events, _parse_ids(events))

    def restart(self) -> None:
        """Discard an incomplete event."""
        self._buffered.clear()


def _parse_ids(events: bytes) -> tuple[bytes, ...]:
    return tuple(
        line[len(_ID_FIELD) :].strip()
        for line in events.splitlines()
        if line.startswith(_ID_FIELD)
    )
