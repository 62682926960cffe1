"""Tests of the evidence that a connection leads to a known process."""

import unittest
from dataclasses import replace

from seampond.clock import ManualClock
from seampond.testing.gateways import build_backends, build_server, get_backend

_CONNECTED_MS = 10_000


class ProcessStateTest(unittest.TestCase):
    """A connection is made to a server whose row is known."""

    def setUp(self) -> None:
        """Know a server."""
        self.server = build_server('i-1', started_ms=100, version='v1')
        clock = ManualClock(_CONNECTED_MS)
        self.backends = build_backends([self.server], clock)
        self.backend = get_backend(self.backends, 'i-1')

    def test_new_connection_counts_as_verified(self) -> None:
        """The process may have restarted since the row was read."""
        self.backends.confirm_rows(_CONNECTED_MS)
        self.assertFalse(self.backend.is_verified(_CONNECTED_MS))
        self.backends.confirm_rows(_CONNECTED_MS + 1000)
        self.assertTrue(self.backend.is_verified(_CONNECTED_MS))

    def test_lost_connection_leaves_the_proof_enough(self) -> None:
        """A process that has just restarted may not have written its row."""
        self.backend.record_lost_connection(_CONNECTED_MS - 100)
        self.backends.confirm_rows(_CONNECTED_MS + 200)
        self.assertFalse(self.backend.is_verified(_CONNECTED_MS))
        self.backends.confirm_rows(_CONNECTED_MS + 1000)
        self.assertTrue(self.backend.is_verified(_CONNECTED_MS))

    def test_data_on_an_unverified_connection_verifies_others(self) -> None:
        """It may come from the process that has taken over."""
        self.backend.confirm_process(_CONNECTED_MS, _CONNECTED_MS + 500)
        self.assertFalse(self.backend.is_verified(_CONNECTED_MS))
        self.backends.confirm_rows(_CONNECTED_MS)
        self.backend.confirm_process(_CONNECTED_MS - 200, _CONNECTED_MS + 500)
        self.assertTrue(self.backend.is_verified(_CONNECTED_MS))

    def test_row_of_a_later_process_verifies_earlier_runs(self) -> None:
        """The connection may lead to either, or to one between them."""
        for changes in ({'started_ms': 200}, {'version': 'v2'}):
            with self.subTest(**changes):
                self.setUp()
                self.backends.update([replace(self.server, **changes)], [])
                self.backends.confirm_rows(_CONNECTED_MS + 1000)
                self.assertFalse(self.backend.is_verified(_CONNECTED_MS))
                self.assertFalse(self.backend.is_current)
