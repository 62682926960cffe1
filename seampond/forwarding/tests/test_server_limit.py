"""Which report of a limit applies, and how long a permit is valid."""

import itertools
import unittest

from seampond.forwarding.server_limit import ServerLimit


class LimitReportTest(unittest.TestCase):
    """Reports are ordered by when their requests were sent."""

    def test_newest_request_wins_in_any_order(self) -> None:
        """Guards against responses that overtake each other."""
        reports = ((4.0, 100), (1.0, 200), (2.0, 300))
        for order in itertools.permutations(reports):
            limit = ServerLimit()
            for rate, reported_ms in order:
                limit.update(rate, reported_ms)
            self.assertEqual(limit.rate, 2)

    def test_older_report_ends_no_limit(self) -> None:
        """Nor does one of the same time."""
        limit = ServerLimit()
        limit.update(2, 300)
        for reported_ms in (100, 300):
            self.assertFalse(limit.update(None, reported_ms))
            self.assertTrue(limit.is_set)

    def test_older_report_restores_no_limit(self) -> None:
        """Guards against a slow response after the end of the limit."""
        limit = ServerLimit()
        limit.update(2, 300)
        limit.update(None, 400)
        self.assertFalse(limit.update(2, 350))
        self.assertFalse(limit.is_set)

    def test_first_limit_applies_at_any_age(self) -> None:
        """Newer reports without a limit do not count against the first one."""
        limit = ServerLimit()
        self.assertFalse(limit.update(None, 500))
        self.assertTrue(limit.update(2, 100))

    def test_repeated_limit_is_no_change(self) -> None:
        """It only makes the report younger."""
        limit = ServerLimit()
        limit.update(2, 100)
        self.assertFalse(limit.update(2, 2000))
        self.assertFalse(limit.is_stale(2500))
        self.assertTrue(limit.is_stale(3000))


class PermitTest(unittest.TestCase):
    """Permits are acquired once and in time."""

    def test_acquired_once(self) -> None:
        """The one that expires first goes first."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(200, 200, 0)
        limit.add_permit(100, 100, 0)
        first = limit.acquire_permit(300)
        assert first is not None
        self.assertEqual(first.valid_from_ms, 100)
        self.assertIsNotNone(limit.acquire_permit(300))
        self.assertIsNone(limit.acquire_permit(300))

    def test_expiry_counts_from_the_request(self) -> None:
        """Guards against use after the issuer has written the permit off."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(400, 0, 0)
        self.assertTrue(limit.has_permit(499))
        self.assertFalse(limit.has_permit(500))

    def test_end_of_the_limit_discards_permits(self) -> None:
        """A later limit starts without permits."""
        limit = ServerLimit(rate=2, reported_ms=0)
        limit.add_permit(100, 100, 0)
        limit.update(None, 150)
        limit.update(1, 200)
        self.assertFalse(limit.has_permit(200))
