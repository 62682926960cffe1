"""A server that starts again under the id that it had.

It holds and knows nothing of before; a gateway that kept what it believed of
the earlier start paused it for failures of another process, took prompts for
read that it had never seen, and counted two ends of it as one.
"""

import unittest
from dataclasses import replace

from seampond.clock import ManualClock
from seampond.forwarding.backend import LoadReport, RemoteLoad
from seampond.sharing import hash_name
from seampond.testing.gateways import build_backends, build_server, pick


class LivesTest(unittest.TestCase):
    """One id, several starts."""

    def setUp(self) -> None:
        """Know a server, and believe much of it."""
        self.clock = ManualClock(1000)
        self.first = build_server('i-1', started_ms=100)
        self.backends = build_backends([self.first], self.clock)
        self.earlier = pick(self.backends, 'i-1')
        self.earlier.record_failure(1000)
        self.earlier.cached_parts['part'] = 500
        self.earlier.report = LoadReport(4, 9, 0, 1000)
        self.earlier.in_flight = 3
        self.earlier.speed.record_service(900)

    def test_nothing_believed_of_the_earlier_life_holds_on(self) -> None:
        """Failures, pause, prompts, reports, speed, open requests."""
        self.backends.update(
            [replace(self.first, started_ms=200, cold_ms=50)], []
        )
        later = pick(self.backends, 'i-1')
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

    def test_nothing_is_sent_to_a_life_that_is_over(self) -> None:
        """Whoever still holds it is told so before the send."""
        self.backends.update([replace(self.first, started_ms=200)], [])
        self.assertFalse(self.earlier.may_send(1000))
        self.assertFalse(self.earlier.takes_work)

    def test_a_row_of_an_earlier_life_comes_late(self) -> None:
        """It does not bring that life back."""
        self.backends.update([replace(self.first, started_ms=200)], [])
        later = pick(self.backends, 'i-1')
        self.backends.update([self.first], [])
        self.assertIs(pick(self.backends, 'i-1'), later)
        self.assertEqual(later.server.started_ms, 200)

    def test_a_row_without_a_start_is_as_before(self) -> None:
        """The same life, and its start stays known."""
        self.backends.update([replace(self.first, started_ms=0, slots=9)], [])
        self.assertIs(pick(self.backends, 'i-1'), self.earlier)
        self.assertEqual(self.earlier.server.slots, 9)
        self.assertEqual(self.earlier.server.started_ms, 100)

    def test_words_on_the_earlier_life_are_not_of_this_one(self) -> None:
        """Loads are told by life."""
        backends = build_backends([], self.clock)
        backends._hash_name = hash_name  # noqa: SLF001
        backends.update([replace(self.first, started_ms=200)], [])
        backends.update_remote_loads(
            {hash_name('i-1/100'): RemoteLoad(7, 0, 1000)}
        )
        self.assertIsNone(pick(backends, 'i-1').remote_load)
        backends.update_remote_loads(
            {hash_name('i-1/200'): RemoteLoad(2, 0, 1000)}
        )
        self.assertEqual(pick(backends, 'i-1').load(1000), 2)
