"""Parsing of server signals, valid and invalid."""

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

_DRAINING = LEAVING_HEADER.encode()
_LIMIT = LIMIT_HEADER.encode()
_RETRY_AFTER = b'retry-after'
_NOW_S = 1_000_000_000
_LATER = 'Sun, 09 Sep 2001 01:46:45 GMT'
_EARLIER = 'Sun, 09 Sep 2001 01:46:35 GMT'
_RETRY_TIMES = (
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
    """Back-off in Retry-After headers."""

    def test_times(self) -> None:
        """Fractions and dates are read; invalid values are ignored."""
        for text, expected in _RETRY_TIMES:
            with self.subTest(text=text[:40]):
                parsed = parse_retry_after_ms(text, _NOW_S)
                self.assertEqual(parsed, expected)

    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=80))
    def test_whatever_is_written(self, text: str) -> None:
        """Any text gives a time within the bounds."""
        parsed = parse_retry_after_ms(text, _NOW_S)
        self.assertTrue(0 <= parsed <= BACKOFF_MAX_MS)

    def test_longest_of_several_counts(self) -> None:
        """Every one of several headers is respected."""
        head = ResponseHead(503, [(_RETRY_AFTER, b'1'), (_RETRY_AFTER, b'4')])
        self.assertEqual(parse_signals(head, NAMES).backoff_ms, 4000)

    def test_other_statuses_request_no_backoff(self) -> None:
        """Retry-After only requests a back-off with status 503."""
        for status in (200, 301, 429, 500):
            head = ResponseHead(status, [(_RETRY_AFTER, b'4')])
            self.assertEqual(parse_signals(head, NAMES), ServerSignals())


class DrainingTest(unittest.TestCase):
    """The draining header."""

    def test_any_answer_counts(self) -> None:
        """The status of the answer does not matter."""
        for status in (200, 204, 301, 404, 429, 500, 503):
            head = ResponseHead(status, [(_DRAINING, b' 1 ')])
            self.assertTrue(parse_signals(head, NAMES).is_draining)

    def test_misdirected_answer_is_ignored(self) -> None:
        """It came from another server."""
        head = ResponseHead(HTTPStatus.MISDIRECTED_REQUEST, [(_DRAINING, b'1')])
        self.assertFalse(parse_signals(head, NAMES).is_draining)

    def test_one_of_several_is_enough(self) -> None:
        """The order of the headers does not matter."""
        head = ResponseHead(200, [(_DRAINING, b'0'), (_DRAINING, b'1')])
        self.assertTrue(parse_signals(head, NAMES).is_draining)

    def test_other_values_are_ignored(self) -> None:
        """Only the documented value means draining."""
        for text in (b'', b'0', b'no', b'11'):
            head = ResponseHead(200, [(_DRAINING, text)])
            self.assertFalse(parse_signals(head, NAMES).is_draining)


class LimitTest(unittest.TestCase):
    """The limit header."""

    def test_limits(self) -> None:
        """Invalid values are ignored."""
        for text, expected in _LIMITS:
            with self.subTest(text=text[:40]):
                self.assertEqual(parse_limit(text), expected)

    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=80))
    def test_whatever_is_written(self, text: str) -> None:
        """Any text gives None or a limit within the bounds."""
        parsed = parse_limit(text)
        self.assertTrue(parsed is None or 0 <= parsed <= LIMIT_MAX_PER_SECOND)

    def test_lowest_of_several_counts(self) -> None:
        """Invalid headers among them are ignored."""
        for texts, expected in (
            ((b'3', b'1.5'), 1.5),
            ((b'few', b'2'), 2),
            ((b'few',), None),
        ):
            head = ResponseHead(200, [(_LIMIT, text) for text in texts])
            self.assertEqual(parse_signals(head, NAMES).limit, expected)

    def test_only_misdirected_answers_are_ignored(self) -> None:
        """Any other status carries the limit of the server."""
        for status in (200, 301, 404, 429, 500, 503):
            head = ResponseHead(status, [(_LIMIT, b'2')])
            self.assertEqual(parse_signals(head, NAMES).limit, 2)
        head = ResponseHead(HTTPStatus.MISDIRECTED_REQUEST, [(_LIMIT, b'2')])
        self.assertEqual(
            parse_signals(head, NAMES), ServerSignals(is_own=False)
        )
