"""What is read of a server's answer about itself, well or badly written."""

import unittest
from http import HTTPStatus

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.forwarding.response_head import ResponseHead
from seampond.forwarding.server_signals import (
    BACKOFF_MAX_MS,
    LIMIT_MAX_PER_SECOND,
    ServerSignals,
    parse_limit,
    parse_retry_after_ms,
    parse_signals,
)
from seampond.testing.gateways import LEAVING_HEADER, LIMIT_HEADER, NAMES

_LEAVING = LEAVING_HEADER.encode()
_LIMIT = LIMIT_HEADER.encode()
_RETRY_AFTER = b'retry-after'
_NOW_S = 1_000_000_000
_LATER = 'Sun, 09 Sep 2001 01:46:45 GMT'
_EARLIER = 'Sun, 09 Sep 2001 01:46:35 GMT'
_READ = (
    ('3', 3000),
    (' 3 ', 3000),
    ('0.25', 250),
    ('.5', 500),
    ('2.', 2000),
    ('0', 0),
    ('-3', 0),
    ('', 0),
    ('soon', 0),
    ('1e3', 0),
    ('nan', 0),
    ('infinity', 0),
    ('0x10', 0),
    ('1_0', 0),
    ('٣', 0),
    ('2, 5', 5000),
    ('9' * 400, BACKOFF_MAX_MS),
    (_LATER, 5000),
    (_EARLIER, 0),
    ('Sun, 09 Sep 99999999999 01:46:45 GMT', 0),
)

_LIMITS = (
    ('1.5', 1.5),
    (' 4 ', 4),
    ('.2', 0.2),
    ('3.', 3),
    ('0', 0),
    ('0.0', 0),
    ('4, 2', 2),
    ('nan, 2', 2),
    ('9' * 400, LIMIT_MAX_PER_SECOND),
    ('nan', None),
    ('-1', None),
    ('inf', None),
    ('1e999', None),
    ('0x2', None),
    ('1_0', None),
    ('٣', None),
    ('few', None),
    ('', None),
)


class RetryAfterTest(unittest.TestCase):
    """The time that a server asks for."""

    def test_times(self) -> None:
        """Fractions and dates count; what cannot be read is no wish."""
        for text, expected in _READ:
            with self.subTest(text=text[:40]):
                read = parse_retry_after_ms(text, _NOW_S)
                self.assertEqual(read, expected)

    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=80))
    def test_whatever_is_written(self, text: str) -> None:
        """It is a time inside the bounds, and nothing is raised."""
        read = parse_retry_after_ms(text, _NOW_S)
        self.assertTrue(0 <= read <= BACKOFF_MAX_MS)

    def test_the_longest_of_several_counts(self) -> None:
        """Each of them was asked for."""
        head = ResponseHead(503, [(_RETRY_AFTER, b'1'), (_RETRY_AFTER, b'4')])
        self.assertEqual(parse_signals(head, NAMES).backoff_ms, 4000)

    def test_other_answers_ask_for_nothing(self) -> None:
        """The same header has another meaning there."""
        for status in (200, 301, 429, 500):
            head = ResponseHead(status, [(_RETRY_AFTER, b'4')])
            self.assertEqual(parse_signals(head, NAMES), ServerSignals())


class LeavingTest(unittest.TestCase):
    """The word of a leave."""

    def test_any_answer_counts(self) -> None:
        """Errors and redirects are answers of that server, too."""
        for status in (200, 204, 301, 404, 429, 500, 503):
            head = ResponseHead(status, [(_LEAVING, b' 1 ')])
            self.assertTrue(parse_signals(head, NAMES).is_draining)

    def test_misdirected_requests_are_answered_by_another(self) -> None:
        """Its word is not that of the server that was asked."""
        head = ResponseHead(HTTPStatus.MISDIRECTED_REQUEST, [(_LEAVING, b'1')])
        self.assertFalse(parse_signals(head, NAMES).is_draining)

    def test_one_of_several_is_enough(self) -> None:
        """Whichever comes first."""
        head = ResponseHead(200, [(_LEAVING, b'0'), (_LEAVING, b'1')])
        self.assertTrue(parse_signals(head, NAMES).is_draining)

    def test_another_word_is_none(self) -> None:
        """Nothing else says that it leaves."""
        for text in (b'', b'0', b'no', b'11'):
            head = ResponseHead(200, [(_LEAVING, text)])
            self.assertFalse(parse_signals(head, NAMES).is_draining)


class LimitTest(unittest.TestCase):
    """The requests a second that a server takes."""

    def test_limits(self) -> None:
        """What cannot be read is none, and nothing is raised."""
        for text, expected in _LIMITS:
            with self.subTest(text=text[:40]):
                self.assertEqual(parse_limit(text), expected)

    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=80))
    def test_whatever_is_written(self, text: str) -> None:
        """It is none, or a number inside the bounds."""
        read = parse_limit(text)
        self.assertTrue(read is None or 0 <= read <= LIMIT_MAX_PER_SECOND)

    def test_the_lowest_of_several_counts(self) -> None:
        """Each of them was named; one that cannot be read is none."""
        for texts, expected in (
            ((b'3', b'1.5'), 1.5),
            ((b'few', b'2'), 2),
            ((b'few',), None),
        ):
            head = ResponseHead(200, [(_LIMIT, text) for text in texts])
            self.assertEqual(parse_signals(head, NAMES).limit, expected)

    def test_any_answer_of_that_server_counts(self) -> None:
        """A misdirected request is answered by another."""
        for status in (200, 301, 404, 429, 500, 503):
            head = ResponseHead(status, [(_LIMIT, b'2')])
            self.assertEqual(parse_signals(head, NAMES).limit, 2)
        head = ResponseHead(HTTPStatus.MISDIRECTED_REQUEST, [(_LIMIT, b'2')])
        self.assertEqual(
            parse_signals(head, NAMES), ServerSignals(is_own=False)
        )
