"""Sums of what the other gateways have on each server."""

import unittest

from seampond.clock import ManualClock
from seampond.sharing import Heartbeat, Load, Peers

_SERVER = 7


class LoadSumsTest(unittest.TestCase):
    """What counts, and until when."""

    def setUp(self) -> None:
        """Know two gateways."""
        self.clock = ManualClock()
        self.peers = Peers('g0', self.clock)
        self.peers.apply_rows([('g1', 'x:1'), ('g2', 'x:2')])

    def tell(self, name: str, sequence: int, running: int) -> None:
        """Let one gateway tell what it has."""
        loads = {_SERVER: Load(running, 10 * running)} if running else {}
        told = Heartbeat(name, 1, sequence, loads=loads)
        self.assertTrue(self.peers.apply_heartbeat(told))

    def test_each_word_takes_the_place_of_the_last(self) -> None:
        """Sums follow what is told, and end at nothing."""
        self.tell('g1', 1, 3)
        self.tell('g2', 1, 2)
        self.assertEqual(self.read(), {_SERVER: Load(5, 50)})
        self.tell('g1', 2, 1)
        self.assertEqual(self.read(), {_SERVER: Load(3, 30)})
        self.tell('g1', 3, 0)
        self.tell('g2', 2, 0)
        self.assertEqual(self.read(), {_SERVER: Load(0, 0)})

    def test_who_is_silent_counts_no_more(self) -> None:
        """Its requests have ended or belong to nobody."""
        self.tell('g1', 1, 3)
        self.clock.advance(2000)
        self.tell('g2', 1, 2)
        self.peers.record_silent_peers()
        self.assertEqual(self.read(), {_SERVER: Load(2, 20)})

    def test_who_is_gone_counts_no_more(self) -> None:
        """By its own last word, or by its row."""
        self.tell('g1', 1, 3)
        self.tell('g2', 1, 2)
        last = Heartbeat(
            'g1', 1, 2, loads={_SERVER: Load(3, 30)}, has_stopped=True
        )
        self.peers.apply_heartbeat(last)
        self.peers.apply_rows([('g2', '')])
        self.assertEqual(self.read(), {_SERVER: Load(0, 0)})

    def read(self) -> dict[int, Load]:
        """Give the sums that were told anew."""
        return self.peers.load_totals.pop_changed()
