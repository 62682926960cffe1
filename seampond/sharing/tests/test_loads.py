"""Tests of the total load of the other gateways on each server."""

import unittest

from seampond.clock import ManualClock
from seampond.sharing import Heartbeat, Load, Peers

_SERVER = 7


class LoadTotalsTest(unittest.TestCase):
    """Which reports are counted and for how long."""

    def setUp(self) -> None:
        """Start with two peers."""
        self.clock = ManualClock()
        self.peers = Peers('g0', self.clock)
        self.peers.apply_rows([('g1', 'x:1'), ('g2', 'x:2')])

    def report(self, name: str, sequence: int, running: int) -> None:
        """Apply a heartbeat with the load of one gateway."""
        loads = {_SERVER: Load(running, 10 * running)} if running else {}
        heartbeat = Heartbeat(name, 1, sequence, loads=loads)
        self.assertTrue(self.peers.apply_heartbeat(heartbeat))

    def test_new_report_replaces_previous(self) -> None:
        """Totals must follow the newest reports down to zero."""
        self.report('g1', 1, 3)
        self.report('g2', 1, 2)
        self.assertEqual(self.read(), {_SERVER: Load(5, 50)})
        self.report('g1', 2, 1)
        self.assertEqual(self.read(), {_SERVER: Load(3, 30)})
        self.report('g1', 3, 0)
        self.report('g2', 2, 0)
        self.assertEqual(self.read(), {_SERVER: Load(0, 0)})

    def test_silent_gateway_is_not_counted(self) -> None:
        """The load of a silent gateway must not stay in the totals."""
        self.report('g1', 1, 3)
        self.clock.advance(2000)
        self.report('g2', 1, 2)
        self.peers.record_silent_peers()
        self.assertEqual(self.read(), {_SERVER: Load(2, 20)})

    def test_stopped_gateway_is_not_counted(self) -> None:
        """Neither after its last heartbeat nor after the removal of its row."""
        self.report('g1', 1, 3)
        self.report('g2', 1, 2)
        last = Heartbeat(
            'g1', 1, 2, loads={_SERVER: Load(3, 30)}, has_stopped=True
        )
        self.peers.apply_heartbeat(last)
        self.peers.apply_rows([('g2', '')])
        self.assertEqual(self.read(), {_SERVER: Load(0, 0)})

    def read(self) -> dict[int, Load]:
        """Return the totals that changed."""
        return self.peers.load_totals.pop_changed()
