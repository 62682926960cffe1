"""Tests of gateways whose clocks run at different rates."""

import unittest

from seampond.clock import MS_PER_DAY, ManualClock
from seampond.streams.version_history import RETENTION_MS, VersionHistory
from seampond.testing.gateways import build_server

_FASTEST = 1.0005


class ClockRatesTest(unittest.TestCase):
    """A gateway that takes over what one with a faster clock has seen."""

    def setUp(self) -> None:
        """Start a gateway after a day."""
        self.clock = ManualClock(MS_PER_DAY)
        self.history = VersionHistory(self.clock)
        self.history.update([build_server('i-2', version='v2')])
        self.pool = self.history.pools[0]

    def test_history_does_not_seem_longer_than_it_is(self) -> None:
        """Guards against a version that served before all that are known."""
        for true_ms in (RETENTION_MS - 1, MS_PER_DAY):
            history = VersionHistory(self.clock)
            history.update([])
            history.adopt(self.pool, {}, int(true_ms * _FASTEST))
            self.assertLessEqual(history.watched_ms(self.pool), true_ms)

    def test_version_does_not_seem_to_have_gone_earlier(self) -> None:
        """Guards against a stream's version that is forgotten too early."""
        true_ms = RETENTION_MS - 1
        self.history.adopt(self.pool, {'v1': int(true_ms * _FASTEST)}, 0)
        seen_ago_ms = self.history.seen_ago_ms(self.pool)
        self.assertIn('v1', seen_ago_ms)
        self.assertLessEqual(seen_ago_ms['v1'], true_ms)
