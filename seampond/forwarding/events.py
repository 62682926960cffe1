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
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# Possessive, since a failed match would try each line end in two ways.
_LINE_END = rb'(?:\r\n?+|\n)'
_NAME = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]++"
_KNOWN_NAME = b'(?:data|event|id|retry)'
_LINE = rb'(?:(?:%b)?+:[^\r\n\0]*+|%b)%b' % (_NAME, _KNOWN_NAME, _LINE_END)
_EVENT = re.compile(b'(?P<lines>(?:%b)*+)%b' % (_LINE, _LINE_END))
# Comments and the fields that the format names.
_KNOWN_LINE = re.compile(rb'(?:^|[\r\n])(?::|%b[:\r\n])' % _KNOWN_NAME)
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id:([^\r\n]*)')
_DATA_FIELD = re.compile(rb'(?:^|[\r\n])data[:\r\n]')


@dataclass(frozen=True, slots=True)
class Events:
    """Some whole events of a stream.

    Parameters
    ----------
    payload : bytes
        The events as they were received.
    ids : tuple[bytes, ...]
        Their ids; an event may have none.
    fault : str
        Why the bytes that follow them are no event, empty if they may be one.

    """

    payload: bytes = b''
    ids: tuple[bytes, ...] = ()
    fault: str = ''


class EventSplitter:
    r"""Splits a byte stream at the ends of events.

    Only whole events are relayed, so that a broken stream can be resumed.
    Bytes that form no event belong to no answer, and end the run.

    Attributes
    ----------
    has_ids : bool
        Whether an event of the stream had an id, so that all need one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\n\nid: 2')
    Events(payload=b'id: 1\n\n', ids=(b'1',), fault='')
    >>> splitter.remainder
    b'id: 2'
    >>> splitter.feed(b'\n\nzz\n\n')
    Events(payload=b'id: 2\n\n', ids=(b'2',), fault='not an event')

    """

    def __init__(self) -> None:
        """Initialize an empty splitter."""
        self.has_ids = False
        self._buffered = bytearray()
        self._has_passed_cr = False
        self._is_at_start = True

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
        payload = bytes(self._buffered[:end])
        self._buffered = self._buffered[end:]
        self._has_passed_cr = payload.endswith(_CR)
        return self._parse(payload)

    def restart(self) -> None:
        """Discard an incomplete event; another run follows."""
        self._buffered.clear()
        self._has_passed_cr = False
        self._is_at_start = True

    def _parse(self, payload: bytes) -> Events:
        """Return the events up to the first bytes that are none."""
        start = self._skip_mark(payload)
        ids: list[bytes] = []
        while start < len(payload):
            event = _EVENT.match(payload, start)
            fault = 'not an event'
            if event is not None:
                fault = self._find_fault(event['lines'], ids)
            if event is None or fault:
                return Events(payload[:start], tuple(ids), fault)
            start = event.end()
        return Events(payload, tuple(ids))

    def _skip_mark(self, payload: bytes) -> int:
        """Return where events begin behind a byte order mark."""
        is_marked = self._is_at_start and payload.startswith(_BYTE_ORDER_MARK)
        self._is_at_start = False
        return len(_BYTE_ORDER_MARK) if is_marked else 0

    def _find_fault(self, lines: bytes, ids: list[bytes]) -> str:
        """Add the ids of an event; return why it is none."""
        if not lines:
            return ''
        if not (_is_text(lines) and _KNOWN_LINE.search(lines)):
            return 'not an event'
        # An empty id does not tell from which event to go on.
        own = [text.strip() for text in _ID_FIELD.findall(lines)]
        named = list(filter(None, own))
        ids.extend(named)
        is_unnamed = not named and _DATA_FIELD.search(lines)
        if is_unnamed and self.has_ids:
            return 'event without an id'
        self.has_ids = self.has_ids or bool(named)
        return ''

    def _find_end(self, searched: int) -> int:
        """Return the end of the last whole event, 0 if there is none."""
        start = max(0, searched - _LINE_END_MAX_BYTES)
        last_end = _LAST_EVENT_END.match(self._buffered, start)
        if last_end:
            return last_end.end()
        # The line end of an event that has been passed on without waiting.
        return int(self._has_passed_cr and self._buffered.startswith(_LF))


def _is_text(lines: bytes) -> bool:
    if lines.isascii():
        return True
    try:
        lines.decode()
    except UnicodeDecodeError:
        return False
    return True
