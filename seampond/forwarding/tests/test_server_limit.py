"""Which of several words on a limit counts, and how long a permit holds."""

import itertools
import unittest

from seampond.forwarding.server_limit import ServerLimit


class WordTest(unittest.TestCase):
    """Answers to older requests are no newer words."""

    def test_newest_request_counts_in_any_order(self) -> None:
        """Whichever answer comes first."""
        words = ((4.0, 100), (1.0, 200), (2.0, 300))
        for order in itertools.permutations(words):
            limit = ServerLimit()
            for rate, reported_ms in order:
                limit.update(rate, reported_ms)
            self.assertEqual(limit.rate, 2)

    def test_answer_to_an_older_request_ends_no_limit(self) -> None:
        """Nor does one to a request of the same moment."""
        limit = ServerLimit()
        limit.update(2, 300)
        for reported_ms in (100, 300):
            self.assertFalse(limit.update(None, reported_ms))
            self.assertTrue(limit.is_set)

    def test_limit_that_is_over_stays_over(self) -> None:
        """A slow answer to an older request does not bring it back."""
        limit = ServerLimit()
        limit.update(2, 300)
        limit.update(None, 400)
        self.assertFalse(limit.update(2, 350))
        self.assertFalse(limit.is_set)

    def test_first_limit_counts_whenever_it_was_asked(self) -> None:
        """Answers without one, to later requests, say nothing against it."""
        limit = ServerLimit()
        self.assertFalse(limit.update(None, 500))
        self.assertTrue(limit.update(2, 100))

    def test_same_limit_again_is_no_news(self) -> None:
        """It only makes the word younger."""
        limit = ServerLimit()
        limit.update(2, 100)
        self.assertFalse(limit.update(2, 2000))
        self.assertFalse(limit.is_stale(2500))
        self.assertTrue(limit.is_stale(3000))


class PermitTest(unittest.TestCase):
    """Permits are taken up once and in time."""

    def test_taken_once(self) -> None:
        """The one that ends first goes first."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(200, 200, 0)
        limit.add_permit(100, 100, 0)
        first = limit.acquire_permit(300)
        assert first is not None
        self.assertEqual(first.valid_from_ms, 100)
        self.assertIsNotNone(limit.acquire_permit(300))
        self.assertIsNone(limit.acquire_permit(300))

    def test_age_counts_from_the_question(self) -> None:
        """The owner counts from before its answer came."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(400, 0, 0)
        self.assertTrue(limit.has_permit(499))
        self.assertFalse(limit.has_permit(500))

    def test_end_of_the_limit_ends_permits(self) -> None:
        """A later limit begins with none."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(100, 100, 0)
        limit.update(None, 150)
        limit.update(1, 200)
        self.assertFalse(limit.has_permit(200))
