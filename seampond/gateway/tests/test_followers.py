"""Tests of the server list after each answer of the store."""

import json
import unittest

from seampond.clock import Clock
from seampond.forwarding.scheduler import Scheduler
from seampond.gateway.followers import ServerFollower
from seampond.testing.builders import build_promises
from seampond.testing.gateways import ZONE, build_backends
from seampond.watches import Page, Row


def _row(key: str, version: int, *, is_deleted: bool = False) -> Row:
    content = {
        'service': 's1',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 2,
        'state': 'ready',
    }
    text = b'' if is_deleted else json.dumps(content).encode()
    return Row(key, text, version, is_deleted)


def _page(*rows: Row, is_snapshot: bool = False) -> Page:
    return Page(rows, 9, 0, 0, 0, is_snapshot)


class ServerFollowerTest(unittest.TestCase):
    """The list of servers."""

    def setUp(self) -> None:
        """Start with one server."""
        self.backends = build_backends([])
        scheduler = Scheduler(
            self.backends, ZONE, Clock(), lambda: 1, build_promises()
        )
        self.follower = ServerFollower(self.backends, scheduler)
        self.follower.handle_page(_page(_row('i-1', 1), is_snapshot=True))

    def test_row_removed_and_restored_in_one_answer(self) -> None:
        """Changes of one row in one answer apply in order."""
        removed = _row('i-1', 2, is_deleted=True)
        self.follower.handle_page(_page(removed, _row('i-1', 3)))
        self.assertEqual(self._listed(), ['i-1'])

    def test_row_added_and_removed_in_one_answer(self) -> None:
        """The last change counts."""
        removed = _row('i-2', 3, is_deleted=True)
        self.follower.handle_page(_page(_row('i-2', 2), removed))
        self.assertEqual(self._listed(), ['i-1'])

    def test_snapshot_replaces_the_list(self) -> None:
        """Servers missing from a snapshot are removed."""
        self.follower.handle_page(_page(_row('i-2', 2), is_snapshot=True))
        self.assertEqual(self._listed(), ['i-2'])

    def test_invalid_row_does_not_affect_others(self) -> None:
        """It is logged and skipped."""
        with self.assertLogs('seampond.gateway.followers', 'ERROR'):
            self.follower.handle_page(
                _page(Row('i-3', b'{', 2), _row('i-2', 3))
            )
        self.assertEqual(self._listed(), ['i-1', 'i-2'])

    def _listed(self) -> list[str]:
        return sorted(
            backend.server.id for backend in self.backends if backend.takes_work
        )
