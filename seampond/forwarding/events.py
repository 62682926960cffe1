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
        self.remainder = b''
        self._has_passed_cr = False

    def feed(self, payload: bytes) -> Events:
        """Return the whole events received; buffer the remainder."""
        buffered = self.remainder + payload
        end = self._find_end(buffered, len(self.remainder))
        if not end:
            self.remainder = buffered
            return Events()
        events = buffered[:end]
        self.remainder = buffered[end:]
        self._has_passed_cr = events.endswith(_CR)
        return Events(events, _parse_ids(events))

    def restart(self) -> None:
        """Discard an incomplete event."""
        self.remainder = b''
        self._has_passed_cr = False

    def _find_end(self, buffered: bytes, searched: int) -> int:
        """Return the end of the last whole event, 0 if there is none."""
        start = max(0, searched - _LINE_END_MAX_BYTES)
        last_end = _LAST_EVENT_END.match(buffered, start)
        if last_end:
            return last_end.end()
        # The line end of an event that has been passed on without waiting.
        return int(self._has_passed_cr and buffered.startswith(_LF))


def _parse_ids(events: bytes) -> tuple[bytes, ...]:
    ids = (
        line[len(_ID_FIELD) :].strip()
        for line in events.splitlines()
        if line.startswith(_ID_FIELD)
    )
    # An empty id does not tell from which event to go on.
    return tuple(filter(None, ids))
