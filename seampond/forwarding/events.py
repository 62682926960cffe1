"""Split server-sent event streams into whole events."""

import re
from dataclasses import dataclass

# Lines end with CR, LF or both.
_LAST_EVENT_END = re.compile(
    rb'.*(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)', re.DOTALL
)
_LINE_END_MAX_BYTES = 2
_CR = b'\r'
_LF = b'\n'
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
        self._has_passed_cr = False

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
        searched = len(self._buffered)
        self._buffered += payload
        end = self._find_end(searched)
        if not end:
            return Events()
        events = bytes(self._buffered[:end])
        self._buffered = self._buffered[end:]
        self._has_passed_cr = events.endswith(_CR)
        return Events(events, _parse_ids(events))

    def restart(self) -> None:
        """Discard an incomplete event."""
        self._buffered.clear()
        self._has_passed_cr = False

    def _find_end(self, searched: int) -> int:
        """Return the end of the last whole event, 0 if there is none."""
        start = max(0, searched - _LINE_END_MAX_BYTES)
        last_end = _LAST_EVENT_END.match(self._buffered, start)
        if last_end:
            return last_end.end()
        # The line end of an event that has been passed on without waiting.
        return int(self._has_passed_cr and self._buffered.startswith(_LF))


def _parse_ids(events: bytes) -> tuple[bytes, ...]:
    ids = (
        line[len(_ID_FIELD) :].strip()
        for line in events.splitlines()
        if line.startswith(_ID_FIELD)
    )
    # An empty id does not tell from which event to go on.
    return tuple(filter(None, ids))
