"""Servers that restart under the same id.

State of the previous process, such as failures or cached prompts, must not be
applied to the new one.
"""

import unittest
from dataclasses import replace

from seampond.clock import ManualClock
from seampond.forwarding.backend import LoadReport, RemoteLoad
from seampond.sharing import hash_name
from seampond.testing.gateways import build_backends, build_server, get_backend


class IncarnationsTest(unittest.TestCase):
    """Several incarnations of one server id."""

    def setUp(self) -> None:
        """Register a server and give it state."""
        self.clock = ManualClock(1000)
        self.first = build_server('i-1', started_ms=100)
        self.backends = build_backends([self.first], self.clock)
        self.previous = get_backend(self.backends, 'i-1')
        self.previous.record_failure(1000)
        self.previous.cached_parts['part'] = 500
        self.previous.report = LoadReport(4, 9, 0, 1000)
        self.previous.in_flight = 3
        self.previous.speed.record_service(900)

    def test_state_of_the_previous_incarnation_is_dropped(self) -> None:
        """Failures, pauses, caches, reports and speed start anew."""
        self.backends.update(
            [replace(self.first, started_ms=200, cold_ms=50)], []
        )
        later = get_backend(self.backends, 'i-1')
        self.assertEqual(
            (
                later.consecutive_failures,
                later.paused_until_ms,
                later.in_flight,
            ),
            (0, 0, 0),
        )
        self.assertEqual(later.cached_parts, {})
        self.assertIsNone(later.report)
        self.assertEqual(later.speed.service_ms, 0)
        self.assertEqual(later.cold_until_ms, 1050)
        self.assertTrue(later.is_usable(1000))

    def test_nothing_is_sent_to_a_previous_incarnation(self) -> None:
        """Requests that wait to be sent to it see that it has ended."""
        self.backends.update([replace(self.first, started_ms=200)], [])
        self.assertFalse(self.previous.may_send(1000))
        self.assertFalse(self.previous.takes_work)

    def test_late_row_of_a_previous_incarnation(self) -> None:
        """The row is ignored."""
        self.backends.update([replace(self.first, started_ms=200)], [])
        later = get_backend(self.backends, 'i-1')
        self.backends.update([self.first], [])
        self.assertIs(get_backend(self.backends, 'i-1'), later)
        self.assertEqual(later.server.started_ms, 200)

    def test_row_without_a_start_time(self) -> None:
        """The row updates the current incarnation, whose start is kept."""
        self.backends.update([replace(self.first, started_ms=0, slots=9)], [])
        self.assertIs(get_backend(self.backends, 'i-1'), self.previous)
        self.assertEqual(self.previous.server.slots, 9)
        self.assertEqual(self.previous.server.started_ms, 100)

    def test_remote_loads_are_matched_by_incarnation(self) -> None:
        """A load on the previous incarnation is not applied."""
        backends = build_backends([], self.clock)
        backends._hash_name = hash_name  # noqa: SLF001
        backends.update([replace(self.first, started_ms=200)], [])
        backends.update_remote_loads(
            {hash_name('i-1/100'): RemoteLoad(7, 0, 1000)}
        )
        self.assertIsNone(get_backend(backends, 'i-1').remote_load)
        backends.update_remote_loads(
            {hash_name('i-1/200'): RemoteLoad(2, 0, 1000)}
        )
        self.assertEqual(get_backend(backends, 'i-1').load(1000), 2)
