"""Tests of the removal of rows that dead gateways left behind."""

import asyncio

from seampond.clock import Clock
from seampond.errors import ConflictError, PlatformError
from seampond.platform.gateways import encode_gateway
from seampond.sharing import Heartbeat, Peers
from seampond.sharing.dead_rows import remove_dead_rows
from seampond.sharing.transport import apply_gateway_rows, register
from seampond.tasks import run_tasks
from seampond.testing.virtual_time import VirtualTimeCase
from seampond.watches import Page, Row

_BEAT_MS = 300
_WRITE_MS = 20


class Table:
    """The gateways' table, whose changes reach all that are connected."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.followers: dict[str, Peers] = {}
        self.cut: set[str] = set()
        self.removals = 0
        self._version = 0

    def put(self, key: str, content: bytes) -> None:
        """Write a row."""
        self._version += 1
        self._publish(Row(key, content, self._version))

    def remove(self, key: str, version: int) -> None:
        """Remove a row if it has this version."""
        row = self.rows.get(key)
        if row is None or row.version != version:
            raise ConflictError('changed', step='test')
        self._version += 1
        self.removals += 1
        self._publish(Row(key, b'', self._version, is_deleted=True))

    def sync(self, name: str) -> None:
        """Send all rows to one follower."""
        rows = tuple(self.rows.values())
        page = Page(rows, self._version, 0, 0, 0, is_snapshot=True)
        apply_gateway_rows(self.followers[name], page)

    def _publish(self, row: Row) -> None:
        self.rows[row.key] = row
        if row.is_deleted:
            self.rows.pop(row.key)
        page = Page((row,), self._version, 0, 0, 0, is_snapshot=False)
        for name in self.followers.keys() - self.cut:
            apply_gateway_rows(self.followers[name], page)


class Connection:
    """One gateway's connection to the table."""

    def __init__(self, table: Table, name: str) -> None:
        """Start connected."""
        self._table = table
        self._name = name

    async def put(self, key: str, content: bytes) -> None:
        """Write a row."""
        self._check()
        self._table.put(key, content)

    async def remove(self, key: str, version: int) -> None:
        """Remove a row."""
        self._check()
        self._table.remove(key, version)

    def _check(self) -> None:
        if self._name in self._table.cut:
            raise PlatformError('cut off', step='test')


class DeadRowsTest(VirtualTimeCase):
    """Gateways g0 to g3, and rows of others."""

    def setUp(self) -> None:
        """Start with an empty table."""
        self.clock = Clock()
        self.table = Table()
        self.silent: set[str] = set()
        self.sequence = 0
        self.is_silence_known = False

    async def run_gateways(self, duration_ms: int, *, fresh: bool) -> None:
        """Run the four gateways for a time; g3 may be cut off."""
        names = [f'g{number}' for number in range(4)]
        if fresh:
            self.table.followers = {
                name: Peers(name, self.clock) for name in names
            }
        tasks = []
        for name, peers in self.table.followers.items():
            connection = Connection(self.table, name)
            if name not in self.table.cut:
                self.table.sync(name)
            tasks += [
                register(connection, peers, '10.0.0.1:1', self.clock),
                remove_dead_rows(connection, peers, self.clock),
            ]
        async with run_tasks(*tasks):
            await asyncio.sleep(0)
            for _ in range(duration_ms // _BEAT_MS):
                self.send_heartbeats()
                await self.clock.sleep(_BEAT_MS)
                # Rows that were just removed are written again.
                await self.clock.sleep(_WRITE_MS)
                self.check_sum()

    def send_heartbeats(self) -> None:
        """Deliver heartbeats to those that the senders know."""
        self.sequence += 1
        for name, peers in self.table.followers.items():
            for other in peers.names & self.table.followers.keys():
                if not {name, other} & self.silent:
                    self.table.followers[other].apply_heartbeat(
                        Heartbeat(name, 1, self.sequence)
                    )
            peers.record_silent_peers()

    def check_sum(self) -> None:
        """Fail if gateways apart may grant more than the quota."""
        followers = self.table.followers
        apart = sum(followers[name].reachable_fraction for name in self.silent)
        others = max(
            peers.reachable_fraction
            for name, peers in followers.items()
            if name not in self.silent
        )
        if self.is_silence_known and not self.table.cut:
            self.assertLessEqual(apart + others, 1)

    async def test_rows_of_the_dead_bind_new_gateways(self) -> None:
        """48 replaced gateways must not take shares after a restart."""
        for number in range(48):
            self.table.put(f'dead-{number}', encode_gateway('10.0.0.1:1'))
        await self.run_gateways(40_000, fresh=True)
        await self.run_gateways(900, fresh=True)
        self.assertEqual(self.table.removals, 48)
        for peers in self.table.followers.values():
            self.assertEqual(peers.reachable_fraction, 1)

    async def test_old_builds_lose_their_rows(self) -> None:
        """A gateway that does not write its row again keeps it."""
        self.table.put('old', b'{"address":"10.0.0.1:1"}')
        await self.run_gateways(60_000, fresh=True)
        self.assertIn('old', self.table.rows)

    async def test_living_gateway_stays_unlisted(self) -> None:
        """One that the store alone still hears writes its row again."""
        await self.run_gateways(3000, fresh=True)
        self.silent = {'g3'}
        await self.run_gateways(1500, fresh=False)
        self.is_silence_known = True
        await self.run_gateways(90_000, fresh=False)
        self.is_silence_known = False
        self.assertGreater(self.table.removals, 0)
        self.silent = set()
        await self.run_gateways(3000, fresh=False)
        for peers in self.table.followers.values():
            self.assertEqual((peers.count, peers.all_reachable), (4, True))

    async def test_gateway_cut_off_from_all_takes_everything(self) -> None:
        """It keeps to its share, and removes nobody when it comes back."""
        await self.run_gateways(3000, fresh=True)
        self.silent = {'g3'}
        self.table.cut = {'g3'}
        await self.run_gateways(60_000, fresh=False)
        self.assertEqual(self.table.removals, 1)
        cut_off = self.table.followers['g3']
        self.assertEqual(cut_off.reachable_fraction, 1 / 4)
        self.silent = set()
        self.table.cut = set()
        await self.run_gateways(3000, fresh=False)
        self.assertEqual(self.table.removals, 1)
        for peers in self.table.followers.values():
            self.assertEqual((peers.count, peers.all_reachable), (4, True))

    async def test_removed_row_hides_a_gateway_that_is_heard(self) -> None:
        """The others count it although its row has gone."""
        await self.run_gateways(3000, fresh=True)
        self.table.remove('g1', self.table.rows['g1'].version)
        self.assertEqual(self.table.followers['g0'].count, 4)
        await self.run_gateways(900, fresh=False)
        self.assertIn('g1', self.table.rows)
