"""How long a server's words on itself hold, whatever the list tells meanwhile.

A row that says `ready` may have been written before the answer that says that
the server leaves; rows lapse while the store is away and are there again.
"""

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
    pick,
)

_LEAVES = ServerSignals(is_draining=True)
_RESTS = ServerSignals(backoff_ms=3000)
_NOW_MS = 1000
_GRACE_MS = 1400


class NoticesTest(unittest.TestCase):
    """One server, known by its first row."""

    def setUp(self) -> None:
        """Know the server."""
        self.clock = ManualClock(_NOW_MS)
        self.row = build_server('i-1', started_ms=100)
        self.backends = Backends(self.clock, NAMES.request_id, _GRACE_MS)
        self.backends.update([self.row], [])

    @property
    def backend(self) -> Backend:
        """What is believed of the server now."""
        return pick(self.backends, 'i-1')

    def say(self, words: ServerSignals) -> None:
        """Let the server say something of itself."""
        self.backends.apply_signals(self.backend, words, 0)

    def check_used(self, *, expected: bool) -> None:
        """Check whether the server is used."""
        self.assertEqual(self.backend.is_usable(self.clock.now()), expected)

    def test_rows_do_not_contradict_a_leave(self) -> None:
        """Nor do whole reads of the list, nor rows without a start."""
        self.say(_LEAVES)
        self.clock.advance(_GRACE_MS)
        for row in (self.row, replace(self.row, started_ms=0)):
            self.backends.update([row], [])
            self.check_used(expected=False)
            self.backends.replace_all([row])
            self.check_used(expected=False)
        self.assertFalse(self.backend.takes_work)

    def test_a_leave_leaves_a_last_resort_for_a_while(self) -> None:
        """While its row is there; a second word does not prolong it."""
        self.say(_LEAVES)
        self.assertFalse(self.backend.takes_work)
        self.clock.advance(_GRACE_MS - 1)
        self.say(_LEAVES)
        self.check_used(expected=True)
        self.clock.advance(1)
        self.check_used(expected=False)

    def test_a_row_that_says_the_same_ends_it(self) -> None:
        """The store's word binds from then on."""
        self.say(_LEAVES)
        self.backends.update([replace(self.row, is_draining=True)], [])
        self.check_used(expected=False)

    def test_a_row_that_was_gone_brings_no_leave_back(self) -> None:
        """What else is believed of the server is forgotten meanwhile."""
        self.say(_LEAVES)
        self.clock.advance(_GRACE_MS)
        self.backends.update([], ['i-1'])
        self.assertIsNone(self.backends.get('i-1'))
        self.backends.update([self.row], [])
        self.check_used(expected=False)

    def test_a_server_that_said_so_is_no_fallback(self) -> None:
        """Its row goes in silence: before its word, or after it."""
        self.backend.in_flight = 1
        self.backends.update([], ['i-1'])
        self.assertTrue(self.backend.may_send(_NOW_MS))
        self.say(_LEAVES)
        self.assertFalse(self.backend.may_send(_NOW_MS))
        self.backends.update([self.row], [])
        self.backends.update([], ['i-1'])
        self.assertFalse(self.backend.may_send(_NOW_MS))

    def test_the_next_life_has_said_nothing(self) -> None:
        """Nor does an answer of the life before speak for it."""
        self.say(_LEAVES)
        self.say(_RESTS)
        earlier = self.backend
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)
        self.backends.apply_signals(earlier, _LEAVES, 0)
        self.backends.update([], ['i-1'])
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)

    def test_a_start_that_is_told_later(self) -> None:
        """It belongs to the life that has spoken; one after it does not."""
        self.backends = build_backends([build_server('i-1')], self.clock)
        self.say(_LEAVES)
        self.backends.update([self.row], [])
        self.check_used(expected=False)
        self.backends.update([replace(self.row, started_ms=200)], [])
        self.check_used(expected=True)

    def test_rest_is_over_after_its_time(self) -> None:
        """Not sooner by a row, nor by a row that was gone."""
        self.say(_RESTS)
        self.backends.update([], ['i-1'])
        self.backends.update([self.row], [])
        self.check_used(expected=False)
        self.clock.advance(2999)
        self.check_used(expected=False)
        self.assertTrue(self.backend.takes_work)
        self.clock.advance(1)
        self.check_used(expected=True)

    def test_good_answers_do_not_end_a_rest(self) -> None:
        """They are of requests that were there before."""
        self.say(_RESTS)
        self.backend.record_success()
        self.backend.signals.record_answer(_NOW_MS)
        self.check_used(expected=False)
        self.assertTrue(self.backend.signals.needs_probe)

    def test_a_shorter_wish_does_not_end_a_longer_one(self) -> None:
        """Both are kept."""
        self.say(_RESTS)
        self.clock.advance(500)
        self.say(ServerSignals(backoff_ms=100))
        self.clock.advance(2000)
        self.check_used(expected=False)

    def test_one_request_finds_out_whether_it_is_well(self) -> None:
        """Until it has ended, no other goes there."""
        self.say(_RESTS)
        self.clock.advance(3000)
        self.backend.record_dispatch()
        self.check_used(expected=False)
        self.backend.signals.record_answer(self.clock.now())
        self.check_used(expected=True)

    def test_the_number_of_notices_is_bounded(self) -> None:
        """The oldest goes first."""
        with patch.object(signal_state, '_ENTRIES_MAX', 2):
            for number in range(1, 5):
                server = build_server(f'i-{number}')
                self.backends.update([server], [])
                backend = pick(self.backends, server.id)
                self.backends.apply_signals(backend, _LEAVES, 0)
        kept = self.backends._signals._states  # noqa: SLF001
        self.assertEqual(list(kept), ['i-3', 'i-4'])
