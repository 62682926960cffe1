"""The gateways' table: who is listed, and who no longer is."""

import json
import unittest

from seampond.clock import ManualClock
from seampond.sharing import Peers
from seampond.sharing.transport import apply_gateway_rows
from seampond.watches import Page, Row


def build_page(*names: str, is_snapshot: bool) -> Page:
    """Give an answer with a row of each gateway."""
    content = json.dumps({'address': '10.0.0.1:1'}).encode()
    rows = tuple(Row(name, content, 1) for name in names)
    return Page(rows, 1, 0, 0, 0, is_snapshot)


class TakeGatewaysTest(unittest.TestCase):
    """Answers of the store, one after another."""

    def setUp(self) -> None:
        """Know two gateways."""
        self.peers = Peers('g0', ManualClock())
        apply_gateway_rows(
            self.peers, build_page('g0', 'g1', 'g2', is_snapshot=True)
        )
        self.assertEqual(self.peers.count, 3)

    def test_who_is_not_in_a_whole_read_is_gone(self) -> None:
        """Its removal was among the changes that were missed."""
        apply_gateway_rows(self.peers, build_page('g0', 'g2', is_snapshot=True))
        self.assertEqual(self.peers.count, 2)
        self.assertEqual(self.peers.address_of('g1'), '')

    def test_who_is_not_among_changes_stays(self) -> None:
        """Nothing was said of it."""
        apply_gateway_rows(self.peers, build_page('g3', is_snapshot=False))
        self.assertEqual(self.peers.count, 4)
