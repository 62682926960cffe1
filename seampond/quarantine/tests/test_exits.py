"""Tests of announced ends of servers."""

import unittest

from seampond.clock import MS_PER_DAY, ManualClock
from seampond.quarantine.exits import AnnouncedExits

_INCARNATION = 7
_UPTIME_MS = 60 * MS_PER_DAY
# Heartbeats encode ages in 32 bits.
_AGE_MAX_MS = 4_294_967_295


class AnnouncedExitsTest(unittest.TestCase):
    """Two gateways on machines that have run for long."""

    def test_draining_counts_as_a_row_that_went(self) -> None:
        """Its reported age is smaller than the uptime of the machine."""
        clock = ManualClock(_UPTIME_MS)
        sender, receiver = AnnouncedExits(clock), AnnouncedExits(clock)
        sender.record_draining(_INCARNATION)
        sender.report(_INCARNATION, for_ms=1000)
        receiver.apply_reports(
            {
                incarnation: min(age_ms, _AGE_MAX_MS)
                for incarnation, age_ms in sender.list_reports().items()
            }
        )
        receiver.record_listed(_INCARNATION, is_unique=True)
        self.assertTrue(receiver.is_announced(_INCARNATION, at_ms=0))
