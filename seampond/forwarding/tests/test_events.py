"""EventSplitter: events whose lines end in other ways than with LF."""

import unittest

from seampond.forwarding.events import EventSplitter

_ENDS = (b'\n', b'\r\n', b'\r')
_IDS = (b'1', b'2')


class EventSplitterTest(unittest.TestCase):
    """Events in pieces, byte by byte or cut once."""

    def test_events_are_held_until_the_stream_ends(self) -> None:
        """Lines may end with CR, with LF, or with both."""
        for first in _ENDS:
            for second in _ENDS:
                if first + second == b'\r\n':
                    continue
                with self.subTest(line=first, blank=second):
                    self._check(b'data: a%b%b' % (first, second))

    def test_end_of_an_event_in_two_pieces_is_missed(self) -> None:
        """Each cut of a stream gives the same events."""
        stream = b'id: 1\n\nid: 2\n\n\nid: 3\n\nid'
        size = len(stream)
        for cut in range(size):
            splitter = EventSplitter()
            first = splitter.feed(stream[:cut])
            second = splitter.feed(stream[cut:])
            received = first.payload + second.payload
            self.assertEqual(received + splitter.remainder, stream)
            self.assertEqual(first.ids + second.ids, (b'1', b'2', b'3'))

    def test_mark_of_a_second_run_is_passed_on(self) -> None:
        """It would hide the id of the event behind it."""
        splitter = EventSplitter()
        splitter.feed(b'\xef\xbb\xbfid: 1\ndata: a\n\n')
        splitter.restart()
        events = splitter.feed(b'\xef\xbb\xbfid: 2\ndata: b\n\n')
        self.assertEqual(events.payload, b'id: 2\ndata: b\n\n')

    def test_event_with_two_ids_is_passed_on(self) -> None:
        """Callers take the second one, and miss the events between."""
        events = EventSplitter().feed(b'id: 1\nid: 7\ndata: a\n\n')
        self.assertEqual(events.payload, b'')
        self.assertNotEqual(events.fault, '')

    def _check(self, ending: bytes) -> None:
        first, second = (b'id: %b\n%b' % (name, ending) for name in _IDS)
        splitter = EventSplitter()
        passed = b''
        ids: list[bytes] = []
        stream = b''.join((first, second))
        for number in stream:
            events = splitter.feed(bytes([number]))
            passed += events.payload
            ids.extend(events.ids)
            if len(passed) == len(first):
                self.assertEqual(ids, [b'1'])
        self.assertEqual((passed, tuple(ids)), (stream, _IDS))
        self.assertEqual(splitter.remainder, b'')
