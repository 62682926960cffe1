"""Tests of what outlives the loss of all gateways."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from dataclasses import dataclass

from seampond.clock import ManualClock
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.stream_origins import ServerRun, StreamOrigin
from seampond.sharing.hashing import hash_name
from seampond.streams.known_origins import KnownOrigins
from seampond.streams.origin_table import OriginEntry
from seampond.streams.registry import OriginRegistry
from seampond.streams.search import hash_stream
from seampond.streams.servers import NO_SERVERS
from seampond.streams.stored import StoredBatch, StreamRows
from seampond.streams.stream_store import StreamStore
from seampond.streams.tests.test_registry import build_stream
from seampond.streams.version_history import RETENTION_MS
from seampond.testing.gateways import POOL, build_server
from seampond.testing.stream_table import MemoryStreamTable
from seampond.watches import Page, StoreClock

_CLOCK_AHEAD_MS = 500_000
_INTERVAL_MS = 500
_OLD = StreamOrigin(POOL, 'v1')
_NEW = StreamOrigin(POOL, 'v2')


@dataclass
class Alone:
    """A gateway that hears no others."""

    name: str
    rank: int = 0
    count: int = 1
    origin_keepers: tuple[str, ...] = ()
    names: frozenset[str] = frozenset()

    def address_of(self, name: str) -> str:
        """Return that it is not listed."""
        return ''


@dataclass
class Gateway:
    """The parts of a gateway that deal with the origins of streams."""

    known: KnownOrigins
    store: StreamStore
    registry: OriginRegistry

    def list_servers(self, versions: Sequence[str]) -> None:
        """Read a list with a server of each version."""
        self.registry.update_servers(
            build_server(f'i-{version}', version=version)
            for version in versions
        )

    def begin(self, request_id: str, origin: StreamOrigin) -> None:
        """Begin a stream."""
        self.registry.record(build_stream(request_id, origin=origin))

    async def resume(self, request_id: str = '') -> Job:
        """Resume the stream that a request began, empty if not named."""
        job = build_stream(
            'again', resumes=request_id.encode(), last_event=b'4'
        )
        await self.registry.resolve(job)
        return job


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Gateways that share a table, of which one after another runs."""

    def setUp(self) -> None:
        """Start without gateways and rows."""
        self.clock = ManualClock(1_000_000)
        self.table = MemoryStreamTable(
            lambda: self.clock.now() + _CLOCK_AHEAD_MS
        )
        self.list_age_ms = 0
        self.names = iter(f'g{number}' for number in range(100))

    async def start(self, *versions: str, first_start: bool = False) -> Gateway:
        """Start a gateway that knows nothing but the list of servers."""
        now_ms = self.clock.now()
        store_clock = StoreClock()
        store_clock.update(
            Page((), 1, now_ms + _CLOCK_AHEAD_MS, now_ms, now_ms, True)
        )
        fleet = Alone(next(self.names))
        known = KnownOrigins(self.clock, lambda pool: False, NO_SERVERS)
        store = StreamStore(
            known.history,
            fleet,
            store_clock,
            self.clock,
            lambda: self.list_age_ms,
            f'{fleet.name}/',
            is_first_start=first_start,
        )
        store.table = self.table
        registry = OriginRegistry(
            fleet,
            known,
            store,
            self.clock,
            int,
            random.Random(1),
            lambda source: None,
        )
        gateway = Gateway(known, store, registry)
        gateway.list_servers(versions)
        await store.synchronize()
        return gateway

    async def tick(self, gateway: Gateway, times: int = 1) -> None:
        """Let some time pass in which a gateway writes."""
        for _ in range(times):
            self.clock.advance(_INTERVAL_MS)
            await gateway.store.synchronize()

    async def check_refused(
        self, gateway: Gateway, request_id: str = ''
    ) -> None:
        """Check that a stream does not go on."""
        with self.assertRaises(Refusal) as caught:
            await gateway.resume(request_id)
        self.assertIs(caught.exception.cause, Cause.version_unknown)


class StoredOriginsTest(StoreCase):
    """Two versions serve."""

    async def test_origin_is_lost_with_all_gateways(self) -> None:
        """Gateways that have just started find it in the store."""
        gateway = await self.start('v1', 'v2')
        gateway.begin('r1', _OLD)
        gateway.begin('r2', _NEW)
        await self.tick(gateway)
        gateway.begin('r3', _NEW)
        await self.tick(gateway)
        gateway.begin('r4', _NEW)
        later = await self.start('v1', 'v2')
        for request_id, origin in (('r1', _OLD), ('r2', _NEW), ('r3', _NEW)):
            job = await later.resume(request_id)
            self.assertEqual(job.origin, origin)
        # It began a moment before the loss.
        await self.check_refused(later, 'r4')

    async def test_origin_of_before_the_release_is_lost(self) -> None:
        """Nothing was written until the second version came."""
        gateway = await self.start('v1', first_start=True)
        await self.tick(gateway)
        gateway.begin('r1', _OLD)
        await self.tick(gateway)
        self.assertEqual(self.table.batches, {})
        gateway.list_servers(['v1', 'v2'])
        await self.tick(gateway)
        later = await self.start('v2')
        job = await later.resume('r1')
        self.assertEqual(job.origin, _OLD)

    async def test_version_that_did_not_run_is_stored(self) -> None:
        """It is written once the process that began it is verified."""
        gateway = await self.start('v1', 'v2')
        entry = OriginEntry(
            hash_name(POOL),
            'v1',
            self.clock.now(),
            run=ServerRun(1, self.clock.now()),
        )
        gateway.store.record(hash_stream(b'r1'), entry)
        await self.tick(gateway, 2)
        self.assertEqual(self.table.batches, {})
        entry.run = None
        await self.tick(gateway)
        self.assertEqual(len(self.table.batches), 1)

    async def test_late_write_replaces_a_later_one(self) -> None:
        """The store applies a write whose answer was lost after the next."""
        gateway = await self.start('v1', 'v2')
        gateway.begin('r1', _OLD)
        self.table.loses_answers = True
        await self.tick(gateway)
        self.table.loses_answers = False
        gateway.begin('r2', _NEW)
        await self.tick(gateway)
        self.table.apply_held()
        later = await self.start('v1', 'v2')
        for request_id, origin in (('r1', _OLD), ('r2', _NEW)):
            job = await later.resume(request_id)
            self.assertEqual(job.origin, origin)

    async def test_write_that_is_applied_after_the_start_is_missed(
        self,
    ) -> None:
        """The caller comes back and finds it."""
        gateway = await self.start('v1', 'v2')
        gateway.begin('r1', _OLD)
        self.table.loses_answers = True
        await self.tick(gateway)
        later = await self.start('v1', 'v2')
        await self.check_refused(later, 'r1')
        self.table.apply_held()
        self.clock.advance(_INTERVAL_MS)
        job = await later.resume('r1')
        self.assertEqual(job.origin, _OLD)

    async def test_stream_goes_on_anywhere_while_the_store_is_away(
        self,
    ) -> None:
        """It is refused until the store answers."""
        gateway = await self.start('v1', 'v2')
        gateway.begin('r1', _OLD)
        await self.tick(gateway)
        self.table.is_away = True
        later = await self.start('v1', 'v2')
        await self.check_refused(later, 'r1')
        self.table.is_away = False
        self.clock.advance(_INTERVAL_MS)
        job = await later.resume('r1')
        self.assertEqual(job.origin, _OLD)

    async def test_rows_are_never_removed(self) -> None:
        """Gateways remove their own rows, and those of dead gateways."""
        gateway = await self.start('v1', 'v2')
        for number in range(20):
            gateway.begin(f'r{number}', _OLD)
            await self.tick(gateway)
        self.assertGreater(len(self.table.batches), 2)
        self.clock.advance(RETENTION_MS)
        await self.tick(gateway, 2)
        self.assertEqual(self.table.batches, {})
        gateway.begin('last', _OLD)
        await self.tick(gateway)
        self.clock.advance(3 * RETENTION_MS)
        later = await self.start('v1', 'v2')
        await self.tick(later)
        self.assertEqual(self.table.batches, {})

    async def test_callers_that_come_back_read_the_table_each_time(
        self,
    ) -> None:
        """One read serves all that come at the same time."""
        gateway = await self.start('v1', 'v2')
        self.clock.advance(_INTERVAL_MS)
        self.table.calls.clear()
        for number in range(20):
            await self.check_refused(gateway, f'r{number}')
        self.assertEqual(self.table.calls, ['read'])


class StoredVersionsTest(StoreCase):
    """A single version is listed when the gateways come back."""

    async def test_stream_of_the_only_version_is_refused(self) -> None:
        """No other version has served since the first start."""
        await self.start('v1', first_start=True)
        self.clock.advance(1000)
        later = await self.start('v1')
        job = await later.resume()
        self.assertEqual(job.origin, _OLD)

    async def test_version_that_has_just_left_is_forgotten(self) -> None:
        """It may have begun any stream that is resumed."""
        gateway = await self.start('v1', 'v2', first_start=True)
        await self.tick(gateway)
        later = await self.start('v2')
        await self.check_refused(later)
        await self.tick(later)
        self.clock.advance(RETENTION_MS)
        latest = await self.start('v2')
        job = await latest.resume()
        self.assertEqual(job.origin, _NEW)

    async def test_version_that_came_and_left_is_forgotten(self) -> None:
        """Two releases within a minute."""
        gateway = await self.start('v1', first_start=True)
        gateway.list_servers(['v1', 'v2'])
        await self.tick(gateway)
        gateway.list_servers(['v1'])
        await self.tick(gateway)
        later = await self.start('v1')
        await self.check_refused(later)

    async def test_gateways_that_ran_before_the_rows_are_ignored(self) -> None:
        """Those of an earlier build may have begun streams elsewhere."""
        await self.start('v1')
        self.clock.advance(1000)
        later = await self.start('v1')
        await self.check_refused(later)
        self.clock.advance(RETENTION_MS)
        job = await later.resume()
        self.assertEqual(job.origin, _OLD)

    async def test_older_rows_of_a_restored_store_are_believed(self) -> None:
        """Later versions may be lost from them."""
        await self.start('v1', first_start=True)
        row = self.table.pools[hash_name(POOL)]
        self.table.restore()
        self.table.pools[hash_name(POOL)] = row
        later = await self.start('v1')
        await self.check_refused(later)
        stored = self.table.pools[hash_name(POOL)]
        self.assertEqual(stored.era, 2)
        self.assertGreater(stored.since_ms, 0)

    async def test_settled_pool_costs_calls(self) -> None:
        """Nothing is written while no version comes or goes."""
        gateway = await self.start('v1', first_start=True)
        await self.tick(gateway)
        self.table.calls.clear()
        for number in range(100):
            gateway.begin(f'r{number}', _OLD)
            await self.tick(gateway)
        self.assertEqual(self.table.calls, [])

    async def test_second_gateway_overwrites_a_version(self) -> None:
        """Both write at the same time; the row holds what either has seen."""
        first = await self.start('v1', first_start=True)
        second = await self.start('v1')
        first.list_servers(['v1', 'v2'])
        second.list_servers(['v1', 'v3'])
        await self.tick(first)
        await self.tick(second, 2)
        stored = self.table.pools[hash_name(POOL)]
        self.assertEqual(set(stored.listed_until_ms), {'v1', 'v2', 'v3'})

    async def test_old_list_shows_that_a_version_has_left(self) -> None:
        """The gateway is cut off from the list of servers only."""
        first = await self.start('v1', first_start=True)
        second = await self.start('v1')
        second.list_servers(['v1', 'v2'])
        await self.tick(second)
        self.list_age_ms = 60_000
        first.store.request_read()
        await self.tick(first, 2)
        stored = self.table.pools[hash_name(POOL)]
        self.assertEqual(stored.listed, {'v1', 'v2'})

    async def test_row_that_cannot_be_read_is_believed(self) -> None:
        """Another writer left one; it is written again."""
        gateway = await self.start('v1', first_start=True)
        row = self.table.pools[hash_name(POOL)]
        await self.tick(gateway)
        self.table.batches['odd'] = StoredBatch(0, ())
        self.table.pools[hash_name(POOL)] = type(row)(
            '', {}, self.table.read_ms(), row.era, row.version
        )
        later = await self.start('v1')
        await self.check_refused(later)
        stored = self.table.pools[hash_name(POOL)]
        self.assertEqual(set(stored.listed_until_ms), {'v1'})


class ForgottenVersionTest(StoreCase):
    """A version is remembered for longer than callers come back."""

    async def test_version_that_came_back_between_writes_is_forgotten(
        self,
    ) -> None:
        """The row keeps when it had left before, not the later time."""
        gateway = await self.start('v1', 'v2', first_start=True)
        await self.tick(gateway)
        gateway.list_servers(['v2'])
        await self.tick(gateway)
        self.clock.advance(40_000)
        gateway.list_servers(['v1', 'v2'])
        self.clock.advance(200)
        gateway.list_servers(['v2'])
        await self.tick(gateway)
        self.clock.advance(RETENTION_MS - 35_000)
        later = await self.start('v2')
        await self.check_refused(later)

    async def test_inference_precedes_the_stored_origin(self) -> None:
        """The same; the store holds the origin, which is not read."""
        gateway = await self.start('v1', 'v2', first_start=True)
        await self.tick(gateway)
        gateway.list_servers(['v2'])
        await self.tick(gateway)
        self.clock.advance(40_000)
        gateway.list_servers(['v1', 'v2'])
        gateway.begin('r1', _OLD)
        self.clock.advance(200)
        gateway.list_servers(['v2'])
        await self.tick(gateway)
        self.assertEqual(len(self.table.batches), 1)
        self.clock.advance(RETENTION_MS - 35_000)
        later = await self.start('v2')
        job = await later.resume('r1')
        self.assertEqual(job.origin, _OLD)

    async def test_first_start_holds_after_a_restore(self) -> None:
        """The setting is still there; the store has lost its rows."""
        gateway = await self.start('v1', 'v2', first_start=True)
        await self.tick(gateway)
        self.table.restore()
        later = await self.start('v2', first_start=True)
        await self.tick(later)
        await self.check_refused(later)

    async def test_read_that_takes_longer_than_a_caller_waits_is_lost(
        self,
    ) -> None:
        """Each caller cancels the read, and the next begins anew."""
        gateway = await self.start('v1', 'v2')
        gateway.begin('r1', _OLD)
        await self.tick(gateway)
        later = await self.start('v1', 'v2')
        gateway.begin('r2', _OLD)
        await self.tick(gateway)
        read = self.table.read

        async def read_slowly(since: int) -> StreamRows:
            await asyncio.sleep(1.2)
            return await read(since)

        self.table.read = read_slowly  # type: ignore[method-assign]
        await self.check_refused(later, 'r2')
        await asyncio.sleep(0.4)
        job = await later.resume('r2')
        self.assertEqual(job.origin, _OLD)
