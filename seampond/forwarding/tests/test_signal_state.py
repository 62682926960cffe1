"""Signals of servers against rows that are outdated, expired or late."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from seampond.clock import ManualClock
from seampond.forwarding import signal_state
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.server_signals import ServerSignals
from seampond.testing.gateways import (
    NAMES,
    build_backends,
    build_server,
    get_backend,
)

_DRAINING = ServerSignals(is_draining=True)
_BACKOFF = ServerSignals(backoff_ms=3000)
_NOW_MS = 1000
_GRACE_MS = 1400


class SignalStateTest(unittest.TestCase):
    """Draining and back-off of one server."""

    def setUp(self) -> None:
        """Register the server."""
        self.clock = ManualClock(_NOW_MS)
        self.row = build_server('i-1', started_ms=100)
        self.backends = Backends(self.clock, NAMES.request_id, _GRACE_MS)
        self.backends.update([self.row], [])

    @property
    def backend(self) -> Backend:
        """The current backend of the server."""
        return get_backend(self.backends, 'i-1')

    def apply(self, signals: ServerSignals) -> None:
        """Apply signals of the server."""
        self.backends.apply_signals(self.backend, signals, 0)

    def check_used(self, *, expected: bool) -> None:
        """Check whether the server is used."""
        self.assertEqual(self.backend.is_usable(self.clock.now()), expected)

    def test_outdated_rows_do_not_end_draining(self) -> None:
        """Neither changed rows nor full reads of the table do."""
        self.apply(_DRAINING)
        self.clock.advance(_GRACE_MS)
        for row in (self.row, replace(self.row, started_ms=0)):
            self.backends.update([row], [])
            self.check_used(expected=False)
            self.backends.replace_all([row])
            self.check_used(expected=False)
        self.assertFalse(self.backend.takes_work)

    def test_draining_server_is_a_last_resort_for_a_while(self) -> None:
        """A repeated signal does not prolong the time."""
        self.apply(_DRAINING)
        self.assertFalse(self.backend.takes_work)
        self.clock.advance(_GRACE_MS - 1)
        self.apply(_DRAINING)
        self.check_used(expected=True)
        self.clock.advance(1)
        self.check_used(expected=False)

    def test_draining_row_ends_the_last_resort(self) -> None:
        """Nothing is sent once the row says draining."""
        self.apply(_DRAINING)
        self.backends.update([replace(self.row, is_draining=True)], [])
        self.check_used(expected=False)

    def test_draining_survives_a_removed_row(self) -> None:
        """The reappearing row does not make the server usable."""
        self.apply(_DRAINING)
        self.clock.advance(_GRACE_MS)
        self.backends.update([], ['i-1'])
        self.assertIsNone(self.backends.get('i-1'))
        self.backends.update([self.row], [])
        self.check_used(expected=False)

    def test_draining_server_is_no_fallback(self) -> None:
        """Its row is removed before the signal or after it."""
        self.backend.in_flight = 1
        self.backends.update([], ['i-1'])
        self.assertTrue(self.backend.may_send(_NOW_MS))
        self.apply(_DRAINING)
        self.assertFalse(self.backend.may_send(_NOW_MS))
        self.backends.update([self.row], [])
        self.backends.update([], ['i-1'])
        self.assertFalse(self.backend.may_send(_NOW_MS))

    def test_next_incarnation_starts_without_signals(self) -> None:
        """A late answer of the previous incarnation does not affect it."""
        self.apply(_DRAINING)
        self.apply(_BACKOFF)
        previous = self.backend
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)
        self.backends.apply_signals(previous, _DRAINING, 0)
        self.backends.update([], ['i-1'])
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)

    def test_start_time_that_arrives_later(self) -> None:
        """The first start time is of the draining incarnation."""
        self.backends = build_backends([build_server('i-1')], self.clock)
        self.apply(_DRAINING)
        self.backends.update([self.row], [])
        self.check_used(expected=False)
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)

    def test_backoff_ends_after_its_time(self) -> None:
        """Rows do not end it early."""
        self.apply(_BACKOFF)
        self.backends.update([], ['i-1'])
        self.backends.update([self.row], [])
        self.check_used(expected=False)
        self.clock.advance(2999)
        self.check_used(expected=False)
        self.assertTrue(self.backend.takes_work)
        self.clock.advance(1)
        self.check_used(expected=True)

    def test_good_answers_do_not_end_a_backoff(self) -> None:
        """The requests were sent before the back-off."""
        self.apply(_BACKOFF)
        self.backend.record_success()
        self.backend.signals.record_answer(_NOW_MS)
        self.check_used(expected=False)
        self.assertTrue(self.backend.signals.needs_probe)

    def test_shorter_backoff_does_not_end_a_longer_one(self) -> None:
        """The later end of the two applies."""
        self.apply(_BACKOFF)
        self.clock.advance(500)
        self.apply(ServerSignals(backoff_ms=100))
        self.clock.advance(2000)
        self.check_used(expected=False)

    def test_one_request_probes_a_server_after_backoff(self) -> None:
        """No other request is sent until the probe is answered."""
        self.apply(_BACKOFF)
        self.clock.advance(3000)
        self.backend.record_dispatch()
        self.check_used(expected=False)
        self.backend.signals.record_answer(self.clock.now())
        self.check_used(expected=True)

    def test_number_of_states_is_bounded(self) -> None:
        """The oldest state is discarded first."""
        with patch.object(signal_state, '_ENTRIES_MAX', 2):
            for number in range(1, 5):
                server = build_server(f'i-{number}')
                self.backends.update([server], [])
                backend = get_backend(self.backends, server.id)
                self.backends.apply_signals(backend, _DRAINING, 0)
        states = self.backends._signals._states  # noqa: SLF001
        self.assertEqual(list(states), ['i-3', 'i-4'])
