"""Tests of finding the version that began a stream."""

import random
import unittest
from collections.abc import Iterable
from typing import Any

from seampond.clock import ManualClock
from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.models import PoolShare, RequestKind
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.stream_origins import (
    RunState,
    ServerRun,
    StreamOrigin,
)
from seampond.streams.known_origins import KnownOrigins
from seampond.streams.messages import (
    OriginMessage,
    OriginReport,
    decode_origin,
    encode_origin,
)
from seampond.streams.registry import OriginRegistry
from seampond.streams.stored import NOT_STORED
from seampond.streams.version_history import RETENTION_MS
from seampond.testing.gateways import (
    POOL,
    build_job,
    build_route,
    build_server,
)

_OTHER_POOL = 'llm-2'
_OLD = StreamOrigin(POOL, 'v1')
_LONG_MS = 2 * RETENTION_MS
_STALE_MS = 10_000
_CHECK_MS = 500


class Fleet:
    """Gateways that exchange messages in memory.

    Parameters
    ----------
    registries : dict[str, OriginRegistry]
        By name; the address of a gateway is its name.
    dead : set[str]
        Gateways that receive nothing.
    drops : int
        Number of messages that are lost next.
    proof_age_ms : int
        Age of the proof of each list of servers.
    has_restarted : bool
        Whether a server may run another version than its row says.
    run_state : RunState
        What the gateways know of all runs that are not verified.
    proofs_requested : int
        Number of requests for a proof of the list of servers.

    """

    def __init__(self, names: Iterable[str]) -> None:
        """Create gateways that know each other and no servers."""
        self.clock = ManualClock(1_000_000)
        self.dead: set[str] = set()
        self.drops = 0
        self.proof_age_ms = 0
        self.has_restarted = False
        self.run_state = RunState.unverified
        self.proofs_requested = 0
        self.sources: list[str] = []
        self.sent: list[OriginMessage] = []
        self.registries: dict[str, OriginRegistry] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> OriginRegistry:
        """Start a gateway, or start it again with an empty memory."""
        known = KnownOrigins(self.clock, lambda pool: self.has_restarted, self)
        registry = OriginRegistry(
            Directory(name, self),
            known,
            NOT_STORED,
            self.clock,
            lambda: self.proof_age_ms,
            random.Random(1),
            self.sources.append,
        )
        registry.requests.send = lambda address, message: self._deliver(
            name, address, message
        )
        self.registries[name] = registry
        return registry

    def list_servers(self, *versions: str) -> None:
        """Let all gateways read a list with a server of each version."""
        for registry in self.registries.values():
            registry.update_servers(
                build_server(f'i-{version}', version=version)
                for version in versions
            )

    def make_run(self, backend: Backend, connected_ms: int) -> ServerRun:
        """Return a run of one incarnation."""
        return ServerRun(1, connected_ms)

    def check_run(self, run: ServerRun) -> RunState:
        """Return what is known of all runs."""
        return self.run_state

    def request_proof(self, run: ServerRun) -> None:
        """Count the requests."""
        self.proofs_requested += 1

    def request_list_proof(self, at_ms: int) -> None:
        """Count the requests."""
        self.proofs_requested += 1

    def has_version(self, origin: StreamOrigin) -> bool:
        """Return True for the versions of the lists; time passes."""
        if origin.version not in {'v1', 'v2'}:
            return False
        self.clock.advance(_CHECK_MS)
        return True

    def begin_unverified(self, name: str, version: str) -> None:
        """Begin a stream over a connection that is not verified."""
        self.registries[name].record_unverified(
            build_stream('r1'),
            StreamOrigin(POOL, version),
            Backend(build_server('i-1')),
            self.clock.now(),
        )

    def confirm(self, state: RunState) -> None:
        """Let all gateways learn what became of the runs."""
        self.run_state = state
        for registry in self.registries.values():
            registry.verify_runs()

    def begin(self, name: str, request_id: str = 'r1') -> Job:
        """Begin a stream of the first version at a gateway."""
        job = build_stream(request_id, origin=_OLD)
        self.registries[name].record(job)
        return job

    async def resume(self, name: str, **changes: Any) -> Job:
        """Resume the stream of `r1` at a gateway."""
        changes = {'resumes': b'r1', 'last_event': b'4'} | changes
        job = build_stream('r2', **changes)
        await self.registries[name].resolve(job)
        return job

    def _deliver(
        self, sender: str, address: str, message: OriginMessage
    ) -> None:
        self.sent.append(message)
        if self.drops:
            self.drops -= 1
        elif address not in self.dead and sender not in self.dead:
            decoded = decode_origin(encode_origin(message))
            self.registries[address].handle_message(sender, decoded)


class Directory:
    """The gateways that one of them knows."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        """Know all gateways of a fleet."""
        self.name = name
        self.count = 0
        self._fleet = fleet

    @property
    def names(self) -> frozenset[str]:
        """Names of all others."""
        return frozenset(self._fleet.registries) - {self.name}

    @property
    def origin_keepers(self) -> tuple[str, ...]:
        """Names of the others that are alive."""
        return tuple(
            name
            for name in self._fleet.registries
            if name != self.name and name not in self._fleet.dead
        )

    def address_of(self, name: str) -> str:
        """Return the name, which is the address."""
        return name


def build_stream(request_id: str, **changes: Any) -> Job:
    """Return a job for a stream that may be resumed."""
    shares = changes.pop('shares', (PoolShare(POOL, 1),))
    route = build_route(kind=RequestKind.stream, may_resume=True, shares=shares)
    return build_job(request_id, route=route, **changes)


class ResolveTest(unittest.IsolatedAsyncioTestCase):
    """Five gateways before servers of two versions."""

    def setUp(self) -> None:
        """Start the gateways."""
        self.fleet = Fleet(f'g{number}' for number in range(5))
        self.fleet.list_servers('v1', 'v2')

    async def test_version_is_forgotten_with_the_gateway(self) -> None:
        """The gateway where the stream began has died."""
        self.fleet.begin('g0')
        self.fleet.dead.add('g0')
        for name in ('g1', 'g2', 'g3', 'g4'):
            job = await self.fleet.resume(name)
            self.assertEqual(job.origin, _OLD)

    async def test_version_is_forgotten_with_an_owner(self) -> None:
        """The gateway and one of the owners have started again."""
        self.fleet.begin('g0')
        owners = self.fleet.registries['g0']._owners.find_owners(0, 2)
        for name in ('g0', owners[0]):
            self.fleet.start(name)
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, _OLD)

    async def test_unknown_stream_goes_on_at_any_version(self) -> None:
        """It is refused, with a time to come back."""
        for changes in ({}, {'resumes': b''}):
            with self.assertRaises(Refusal) as caught:
                await self.fleet.resume('g0', **changes)
            self.assertIs(caught.exception.cause, Cause.version_unknown)
            self.assertGreater(caught.exception.retry_after_ms, 0)

    async def test_lost_datagrams_lose_the_version(self) -> None:
        """The first requests are lost, the second ones are not."""
        self.fleet.begin('g0')
        asking = next(
            name
            for name, registry in self.fleet.registries.items()
            if not len(registry._table)
        )
        self.fleet.drops = 4
        job = await self.fleet.resume(asking)
        self.assertEqual(job.origin, _OLD)

    async def test_resumed_stream_draws_its_pool_anew(self) -> None:
        """The route has two pools; the stream began at the second one."""
        origin = StreamOrigin(_OTHER_POOL, 'v1')
        self.fleet.registries['g0'].record(build_stream('r1', origin=origin))
        shares = (PoolShare(POOL, 9), PoolShare(_OTHER_POOL, 1))
        job = await self.fleet.resume('g1', shares=shares)
        self.assertEqual(job.origin, origin)
        self.assertEqual(job.pool, _OTHER_POOL)

    async def test_stream_goes_on_at_a_pool_that_left_the_route(self) -> None:
        """It is refused without a time to come back."""
        self.fleet.begin('g0')
        with self.assertRaises(Refusal) as caught:
            await self.fleet.resume('g1', shares=(PoolShare(_OTHER_POOL, 1),))
        self.assertIs(caught.exception.cause, Cause.version_gone)
        self.assertEqual(caught.exception.retry_after_ms, 0)

    async def test_request_without_an_event_is_bound(self) -> None:
        """It begins a stream, whatever it names."""
        job = await self.fleet.resume('g0', last_event=b'')
        self.assertIsNone(job.origin)


class UnverifiedOriginTest(unittest.IsolatedAsyncioTestCase):
    """A gateway does not know yet which process began a stream."""

    def setUp(self) -> None:
        """Begin a stream at the first of five gateways."""
        self.fleet = Fleet(f'g{number}' for number in range(5))
        self.fleet.list_servers('v1', 'v2')
        self.fleet.begin_unverified('g0', 'v1')

    async def test_version_that_did_not_run_is_told_as_certain(self) -> None:
        """The callers' streams wait for a proof, then are refused."""
        for name in ('g0', 'g1', 'g2', 'g3', 'g4'):
            with self.assertRaises(Refusal) as caught:
                await self.fleet.resume(name)
            self.assertIs(caught.exception.cause, Cause.version_unknown)
        self.assertGreater(self.fleet.proofs_requested, 0)

    async def test_unverified_version_is_lost_with_the_gateway(self) -> None:
        """Its owners verify it on their own."""
        self.fleet.dead.add('g0')
        self.fleet.confirm(RunState.verified)
        # What was verified stays so, though the server has left.
        self.fleet.run_state = RunState.unknown
        for name in ('g1', 'g2', 'g3', 'g4'):
            job = await self.fleet.resume(name)
            self.assertEqual(job.origin, _OLD)

    async def test_replaced_process_counts_as_the_origin(self) -> None:
        """The list of servers says that another process has taken over."""
        self.fleet.confirm(RunState.unknown)
        for name in ('g0', 'g1'):
            with self.assertRaises(Refusal):
                await self.fleet.resume(name)

    async def test_version_that_is_gone_is_waited_for(self) -> None:
        """The stream is refused at once, without a time to come back."""
        self.fleet.start('g0')
        self.fleet.list_servers('v1', 'v2')
        self.fleet.begin_unverified('g0', 'v0')
        since_ms = self.fleet.clock.now()
        with self.assertRaises(Refusal) as caught:
            await self.fleet.resume('g0')
        self.assertIs(caught.exception.cause, Cause.version_gone)
        self.assertEqual(self.fleet.clock.now(), since_ms)


class SingleVersionTest(unittest.IsolatedAsyncioTestCase):
    """Gateways that have seen a single version."""

    def setUp(self) -> None:
        """Start the gateways."""
        self.fleet = Fleet(('g0', 'g1', 'g2'))
        self.fleet.list_servers('v1')

    async def test_stream_of_the_only_version_is_refused(self) -> None:
        """It has served for longer than streams last."""
        self.fleet.clock.advance(_LONG_MS)
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, _OLD)
        self.assertEqual(self.fleet.sources, ['single-version'])

    async def test_gateway_that_just_started_guesses(self) -> None:
        """All have just started: another version may have served."""
        with self.assertRaises(Refusal) as caught:
            await self.fleet.resume('g0')
        self.assertIs(caught.exception.cause, Cause.version_unknown)

    async def test_young_fleet_believes_what_callers_state(self) -> None:
        """Its servers of a moment ago may have begun the stream."""
        self.fleet.clock.advance(5000)
        for wait_ms in (1, 4000, 12_000, 60_000):
            with self.assertRaises(Refusal):
                await self.fleet.resume('g0', max_wait_ms=wait_ms, resumes=b'')

    async def test_newcomer_refuses_what_others_allow(self) -> None:
        """The others have been up for long."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.start('g0')
        self.fleet.list_servers('v1')
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, _OLD)

    async def test_newcomers_refuse_after_all_were_replaced(self) -> None:
        """Each takes over what the ones before it have seen."""
        self.fleet.clock.advance(_LONG_MS)
        for name in ('g0', 'g1', 'g2'):
            registry = self.fleet.start(name)
            self.fleet.list_servers('v1')
            await registry.adopt_history()
            self.fleet.clock.advance(1000)
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, _OLD)

    async def test_gateway_that_is_cut_off_guesses(self) -> None:
        """It neither hears others nor reads the list of servers."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.dead.update(('g1', 'g2'))
        self.fleet.proof_age_ms = _STALE_MS
        with self.assertRaises(Refusal):
            await self.fleet.resume('g0')
        self.fleet.proof_age_ms = 0
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, _OLD)

    async def test_thawed_gateway_infers_from_its_old_list(self) -> None:
        """It hears nobody yet, and its list was proved a moment ago."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.dead.update(('g1', 'g2'))
        self.fleet.proof_age_ms = 1500
        with self.assertRaises(Refusal):
            await self.fleet.resume('g0')
        self.assertGreater(self.fleet.proofs_requested, 0)

    async def test_restart_with_another_version_is_ignored(self) -> None:
        """A server that has restarted may run another one than its row says."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.has_restarted = True
        with self.assertRaises(Refusal):
            await self.fleet.resume('g0')

    async def test_version_that_went_is_forgotten(self) -> None:
        """A version that served a moment ago may have begun the stream."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.list_servers('v2')
        self.fleet.clock.advance(RETENTION_MS - 1)
        self.fleet.list_servers('v2')
        with self.assertRaises(Refusal):
            await self.fleet.resume('g0')
        self.fleet.clock.advance(2)
        job = await self.fleet.resume('g0')
        self.assertEqual(job.origin, StreamOrigin(POOL, 'v2'))

    async def test_stream_begun_before_a_release_is_unknown(self) -> None:
        """Its gateway tells when the second version comes, then dies."""
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.begin('g0')
        self.assertEqual(self.fleet.sent, [])
        self.fleet.list_servers('v1', 'v2')
        self.fleet.dead.add('g0')
        job = await self.fleet.resume('g1')
        self.assertEqual(job.origin, _OLD)

    async def test_streams_are_reported_for_ever(self) -> None:
        """Nothing is sent while a single version has served for long."""
        self.fleet.begin('g0', 'r1')
        self.assertTrue(
            all(isinstance(sent, OriginReport) for sent in self.fleet.sent)
        )
        self.assertEqual(len(self.fleet.sent), 2)
        self.fleet.clock.advance(_LONG_MS)
        self.fleet.begin('g0', 'r3')
        self.assertEqual(len(self.fleet.sent), 2)
