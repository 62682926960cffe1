"""Tests of the limits on the number and memory of connections."""

import unittest
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.forwarding.caller_connections import CallerConnections

_BODY_MAX = 100
_SMALL = 10
_LARGE = 100_000


@dataclass(eq=False)
class _Connection:
    """A connection that holds some bytes."""

    held_bytes: int = 0
    since_ms: int = 0
    is_serving: bool = False
    is_freed: bool = False
    is_closed: bool = False

    @property
    def freeable_bytes(self) -> int:
        return 0 if self.is_serving else self.held_bytes

    def free(self) -> None:
        self.is_freed = True
        self.held_bytes = 0

    def close_early(self) -> None:
        self.is_closed = True


class CallerConnectionsTest(unittest.TestCase):
    """Connections on a clock of their own."""

    def setUp(self) -> None:
        """Allow two connections and eight large bodies."""
        self._now_ms = 1000
        self.connections = CallerConnections(
            2, 8 * _LARGE, lambda: _BODY_MAX, Clock(lambda: self._now_ms)
        )

    def test_longest_waiting_connection_is_closed(self) -> None:
        """When there are too many."""
        first, second, third = self._add(3)
        self.assertTrue(first.is_closed)
        self.assertFalse(second.is_closed or third.is_closed)
        self.assertEqual(self.connections.count, 2)

    def test_connection_that_is_answered_is_kept(self) -> None:
        """The next one that waits is closed instead."""
        first, second = self._add(2)
        self.connections.record_waiting(first, is_waiting=False)
        self.assertTrue(self.connections.add(_Connection()))
        self.assertEqual((first.is_closed, second.is_closed), (False, True))

    def test_new_connection_is_refused_while_all_are_answered(self) -> None:
        """None of them waits for its caller."""
        for connection in self._add(2):
            self.connections.record_waiting(connection, is_waiting=False)
        self.assertFalse(self.connections.add(_Connection()))

    def test_longest_use_of_memory_gives_way(self) -> None:
        """Not the largest one, which has just arrived."""
        old, new = self._add(2)
        old.since_ms = 0
        new.since_ms = self._now_ms
        self._hold(old, 2 * _LARGE)
        self._hold(new, 5 * _LARGE)
        self.assertTrue(self.connections.make_room(new))
        self.assertTrue(old.is_freed)
        self.assertEqual(self.connections.held_bytes, 5 * _LARGE)

    def test_connection_that_asks_may_have_to_give_way(self) -> None:
        """The others are being answered."""
        served, new = self._add(2)
        served.is_serving = True
        self._hold(served, 6 * _LARGE)
        self._hold(new, _LARGE)
        self.assertFalse(self.connections.make_room(new))
        self.assertFalse(served.is_freed)

    def test_small_requests_may_use_more(self) -> None:
        """Large ones leave a quarter to them."""
        served, small = self._add(2)
        served.is_serving = True
        self._hold(served, 7 * _LARGE)
        self._hold(small, _SMALL)
        self.assertTrue(self.connections.make_room(small))
        self.assertFalse(self.connections.make_room(served))

    def test_single_body_inside_the_limits_has_room(self) -> None:
        """However small the memory is."""
        connections = CallerConnections(
            2, 1, lambda: _LARGE, Clock(lambda: self._now_ms)
        )
        connection = _Connection(_LARGE)
        connections.add(connection)
        connections.update(connection)
        self.assertTrue(connections.make_room(connection))

    def test_lost_connection_holds_nothing(self) -> None:
        """Whatever it counts afterwards."""
        lost, _ = self._add(2)
        self._hold(lost, _LARGE)
        self.connections.remove(lost)
        self.connections.record_waiting(lost, is_waiting=True)
        self.connections.update(lost)
        self.connections.remove(lost)
        self.assertEqual(self.connections.held_bytes, 0)
        self.assertEqual(self.connections.count, 1)

    def _add(self, count: int) -> list[_Connection]:
        added = [_Connection() for _ in range(count)]
        for connection in added:
            self.assertTrue(self.connections.add(connection))
        return added

    def _hold(self, connection: _Connection, size: int) -> None:
        connection.held_bytes = size
        self.connections.update(connection)
