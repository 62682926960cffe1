"""Tests of the division of received bytes between requests."""

import unittest
from collections.abc import Iterator

import httptools

from seampond.forwarding.message_splitter import MessageSplitter

_BARE = b'GET / HTTP/1.1\r\n\r\n'
_SIZED = b'POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\na\r\n\r\nGET '
_CHUNKED = (
    b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
    b'6;x=y\r\na\r\n\r\nb\r\n0\r\nz: trailer\r\n\r\n'
)
_BLANK = b'\r\n\r\n\r\n'


class _Requests:
    """Counts the requests that end in each piece."""

    def __init__(self, splitter: MessageSplitter) -> None:
        self.ended = 0
        self._splitter = splitter
        self._size = 0

    def on_header(self, name: bytes, text: bytes) -> None:
        if name == b'content-length':
            self._size = int(text)

    def on_headers_complete(self) -> None:
        self._splitter.expect_body(self._size)
        self._size = 0

    def on_message_complete(self) -> None:
        self.ended += 1


class MessageSplitterTest(unittest.TestCase):
    """Requests that arrive together, in parts of any size."""

    def test_no_piece_ends_two_requests(self) -> None:
        """Wherever the bytes were cut on their way."""
        requests = (_BARE, _SIZED, _BLANK, _BARE, _CHUNKED, _CHUNKED, _SIZED)
        sent = b''.join(requests)
        for size in (*range(1, 20), len(sent)):
            with self.subTest(size=size):
                ended = list(self._count_ended(sent, size))
                self.assertEqual(max(ended), 1)
                self.assertEqual(sum(ended), 6)

    def test_bytes_behind_a_request_are_left(self) -> None:
        """A piece that ends a request holds nothing of the next one."""
        splitter = MessageSplitter()
        sent = _BARE + _BARE
        self.assertEqual(splitter.find_end(sent, 0), len(_BARE))
        self.assertEqual(splitter.find_end(sent, len(_BARE)), len(sent))

    def _count_ended(self, sent: bytes, size: int) -> Iterator[int]:
        splitter = MessageSplitter()
        requests = _Requests(splitter)
        parser = httptools.HttpRequestParser(requests)
        for start in range(0, len(sent), size):
            part = sent[start : start + size]
            position = 0
            while position < len(part):
                end = splitter.find_end(part, position)
                before = requests.ended
                parser.feed_data(part[position:end])
                yield requests.ended - before
                position = end
