"""Splitting of event streams."""

import unittest

from seampond.forwarding.events import EventSplitter


class EventSplitterTest(unittest.TestCase):
    """Events in pieces."""

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
