"""Tests of the heartbeat exchange and of rows of the gateways' table."""

import asyncio
import json
import unittest

from seampond.clock import Clock, ManualClock
from seampond.sharing import Peers
from seampond.sharing.heartbeats import Heartbeat
from seampond.sharing.transport import (
    TransportContext,
    apply_gateway_rows,
    exchange_heartbeats,
)
from seampond.watches import Page, Row


def build_page(*names: str, is_snapshot: bool) -> Page:
    """Return a page with a row of each gateway."""
    content = json.dumps({'address': '10.0.0.1:1'}).encode()
    rows = tuple(Row(name, content, 1) for name in names)
    return Page(rows, 1, 0, 0, 0, is_snapshot)


class ApplyGatewayRowsTest(unittest.TestCase):
    """Snapshots and changes of the gateways' table."""

    def setUp(self) -> None:
        """Start with two peers."""
        self.peers = Peers('g0', ManualClock())
        apply_gateway_rows(
            self.peers, build_page('g0', 'g1', 'g2', is_snapshot=True)
        )
        self.assertEqual(self.peers.count, 3)

    def test_snapshot_removes_missing_gateway(self) -> None:
        """A removal whose change was missed must not go unnoticed."""
        apply_gateway_rows(self.peers, build_page('g0', 'g2', is_snapshot=True))
        self.assertEqual(self.peers.count, 2)
        self.assertEqual(self.peers.address_of('g1'), '')

    def test_changes_keep_other_gateways(self) -> None:
        """Changes to one row must not remove other gateways."""
        apply_gateway_rows(self.peers, build_page('g3', is_snapshot=False))
        self.assertEqual(self.peers.count, 4)


class InvalidHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """A heartbeat with a field that cannot be encoded."""

    async def test_invalid_heartbeat_ends_all_later_ones(self) -> None:
        """It is counted, and the next one is sent."""
        dropped: list[str] = []
        sent = asyncio.Event()
        uptimes_ms = iter((-1, 5))

        def make_heartbeat(sequence: int) -> Heartbeat:
            uptime_ms = next(uptimes_ms, 5)
            return Heartbeat('g0', 1, sequence, uptime_ms=uptime_ms)

        context = TransportContext(
            Peers('g0', Clock()),
            make_heartbeat,
            sent.set,
            lambda heartbeat: None,
            asyncio.Event(),
            Clock(),
            dropped.append,
            lambda message: None,
            lambda address, message: None,
        )
        async with asyncio.timeout(5):
            async with exchange_heartbeats('127.0.0.1:0', context):
                await sent.wait()
        self.assertEqual(dropped, ['unsent-heartbeat'])
