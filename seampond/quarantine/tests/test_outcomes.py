"""Which runs count as ended by a crash of their server."""

import unittest
from collections.abc import Iterable
from dataclasses import replace

from seampond.clock import ManualClock
from seampond.forwarding.server import Server
from seampond.quarantine.interrupted import InterruptedRun
from seampond.quarantine.outcomes import RunOutcomes
from seampond.sharing import hash_name
from seampond.testing.gateways import build_job, build_server

_SENT_MS = 100_000


class RunOutcomesTest(unittest.TestCase):
    """Runs on one server."""

    def setUp(self) -> None:
        """Record a sent request."""
        self.clock = ManualClock(_SENT_MS)
        self.crashed: list[InterruptedRun] = []
        self.succeeded: list[int] = []
        self.outcomes = RunOutcomes(
            hash_name, self.crashed.append, self._record_success, self.clock
        )
        self.job = build_job(fingerprint=1, part_fingerprints=(2, 3))
        self.server = build_server('i-1')
        self.clock.advance(60)

    def test_reset_of_one_connection_counts_as_crash(self) -> None:
        """The server keeps its other connections."""
        self._lose(has_connections=True)
        self.assertEqual(self.crashed, [])

    def test_reset_of_the_only_connection_counts_as_crash(self) -> None:
        """It is unclear until the server is checked."""
        checked: list[Server] = []
        self.outcomes.on_unclear = checked.append
        self._lose(has_connections=True)
        self.assertEqual(checked, [])
        self._lose(has_connections=False)
        self.assertEqual(checked, [self.server])
        self.assertTrue(self.outcomes.is_unclear(self.server))
        self.assertEqual(self.crashed, [])
        self.clock.advance(200)
        self.assertFalse(self.outcomes.is_unclear(self.server))

    def test_run_before_the_last_one_is_not_blamed(self) -> None:
        """All runs that ended with a crash count."""
        self._lose(has_connections=True)
        self._lose(has_connections=False)
        self.outcomes.record_refused_connection(self.server)
        fingerprints = [run.fingerprints for run in self.crashed]
        self.assertEqual(fingerprints, [(1, 3, 2), (1, 3, 2)])

    def test_refused_connection_is_ignored(self) -> None:
        """A connection is refused soon after another one was reset."""
        self._lose(has_connections=True)
        self.clock.advance(500)
        self.outcomes.record_refused_connection(self.server)
        self.assertEqual(len(self.crashed), 1)

    def test_other_servers_are_blamed(self) -> None:
        """Another server crashes."""
        self._lose(has_connections=True)
        other = replace(self.server, id='other')
        self.outcomes.record_refused_connection(other)
        self.assertEqual(self.crashed, [])

    def test_unframed_response_clears_at_once(self) -> None:
        """A crash may have ended it."""
        self._answer(is_framed=False)
        self.assertEqual(self.succeeded, [])
        self.clock.advance(1500)
        self.outcomes.record_restart(self.server)
        self.assertEqual(len(self.crashed), 1)
        self.clock.advance(5000)
        self.outcomes.clear_expired()
        self.assertEqual(self.succeeded, [])

    def test_unframed_response_never_clears(self) -> None:
        """The server responds on a later connection."""
        self._answer(is_framed=False)
        connected_ms = self.clock.now() + 20
        self.outcomes.record_response(self.server, connected_ms)
        self.assertEqual(self.succeeded, [])
        self.clock.advance(100)
        self.outcomes.record_response(self.server, connected_ms)
        self.assertEqual(self.succeeded, [1, 3, 2])

    def test_unframed_response_without_news_never_clears(self) -> None:
        """No other request is sent to the server."""
        self._answer(is_framed=False)
        self.clock.advance(3100)
        self.outcomes.clear_expired()
        self.assertEqual(self.succeeded, [1, 3, 2])

    def test_framed_response_waits(self) -> None:
        """Its end was marked."""
        self._answer(is_framed=True)
        self.assertEqual(self.succeeded, [1, 3, 2])

    def _record_success(self, fingerprints: Iterable[int], at_ms: int) -> None:
        self.succeeded.extend(fingerprints)

    def _lose(self, *, has_connections: bool) -> None:
        self.outcomes.record_lost(
            self.job, self.server, _SENT_MS, has_connections=has_connections
        )

    def _answer(self, *, is_framed: bool) -> None:
        self.outcomes.record_success(
            self.job, self.server, _SENT_MS, is_framed=is_framed
        )
