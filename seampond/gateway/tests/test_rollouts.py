"""Roll-outs by whole gateways before a stand-in store and real servers."""

import asyncio
import itertools
from contextlib import AsyncExitStack, suppress
from http import HTTPStatus

from seampond.clock import Clock
from seampond.gateway.daemon import RunningGateway, run_gateway
from seampond.gateway.tests.test_gateway import GatewayCase, build_settings
from seampond.platform.tests.rows import (
    ID_HEADER,
    STAMP_HEADER,
    drop_order,
    drop_server,
    put_configuration,
    put_order,
    put_server,
    read_state,
)
from seampond.rollouts import Stage
from seampond.rollouts.rollout import Rollout
from seampond.tasks import run_tasks
from seampond.testing.gateways import until_true
from seampond.testing.scripted import (
    Received,
    ScriptedServer,
    run_scripted,
    write_answer,
)

_OLD, _NEW = 'v1', 'v2'
_DURATION_S = 4
_MOST_S = 20
_GAP_S = 0.02
_MANY_SLOTS = 50


def _is_heard(gateway: RunningGateway) -> bool:
    """Tell whether a gateway is ready and hears the other one."""
    components = gateway.components
    return (
        components.is_ready
        and components.peers.all_reachable
        and components.peers.count > 1
    )


class RolloutTest(GatewayCase):
    """Two gateways, one server of each version, callers all the time."""

    async def asyncSetUp(self) -> None:
        """Start all of them; both versions answer well."""
        await super().asyncSetUp()
        self.new_status = HTTPStatus.OK
        self.new_delay_s: float = 0
        self.is_held = False
        self.held = asyncio.Event()
        self.answers: list[int] = []
        self.numbers = itertools.count()
        self.new_server: ScriptedServer = await self.stack.enter_async_context(
            run_scripted(self.serve_new)
        )
        put_configuration(self.store)
        self.list_server('i-1', version=_OLD, slots=_MANY_SLOTS)
        self.fleet = AsyncExitStack()
        self.addAsyncCleanup(self.fleet.aclose)
        self.gateways: list[RunningGateway] = []
        await self.start_fleet()
        await self.stack.enter_async_context(run_tasks(self.call()))

    @property
    def running(self) -> list[Rollout]:
        """What each gateway carries out."""
        return [
            one
            for gateway in self.gateways
            for one in gateway.components.rollout_follower.manager.running
        ]

    async def start_fleet(self) -> None:
        """Start both gateways and wait until they hear each other."""
        for name in ('g1', 'g2'):
            settings = build_settings(self.store.address, name=name)
            running = run_gateway(settings, Clock())
            gateway = await self.fleet.enter_async_context(running)
            self.gateways.append(gateway)
        await until_true(lambda: all(map(_is_heard, self.gateways)))

    async def serve(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the old version; hold one request as long as is wanted."""
        if self.is_held:
            self.is_held = False
            await self.held.wait()
        self._answer(request, writer, HTTPStatus.OK)

    async def serve_new(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the new version."""
        await asyncio.sleep(self.new_delay_s)
        self._answer(request, writer, self.new_status)

    async def call(self) -> None:
        """Ask both gateways in turn; note each status."""
        asked: set[asyncio.Task[None]] = set()
        try:
            while True:
                for gateway in tuple(self.gateways):
                    task = asyncio.create_task(self._call_one(gateway))
                    asked.add(task)
                    task.add_done_callback(asked.discard)
                await asyncio.sleep(_GAP_S)
        finally:
            for task in tuple(asked):
                task.cancel()

    def order(self) -> None:
        """Order the new version, whose server starts beside the old one."""
        put_server(
            self.store,
            'i-2',
            self.new_server.address,
            version=_NEW,
            slots=_MANY_SLOTS,
        )
        put_order(self.store, _NEW, _DURATION_S)

    async def until_state(self, state: str) -> None:
        """Wait until the store says how the order ended."""
        await until_true(
            lambda: read_state(self.store) == (state, _NEW), _MOST_S
        )

    async def test_good_version_takes_all_before_the_old_one_stops(
        self,
    ) -> None:
        """And never while a request is open on the old one."""
        await asyncio.sleep(0.5)
        self.order()
        await self.until_state('running')
        await until_true(
            lambda: any(one.proved_ms is not None for one in self.running),
            _MOST_S,
        )
        self.is_held = True
        await until_true(
            lambda: any(one.stage is Stage.closed for one in self.running),
            _MOST_S,
        )
        self.assertFalse(self.is_held)
        await asyncio.sleep(1.5)
        self.assertEqual(read_state(self.store)[0], 'running')
        self.held.set()
        await self.until_state('done')
        # The old servers stop at once.
        drop_server(self.store, 'i-1')
        before = len(self.server.received)
        self.answers.clear()
        await until_true(lambda: len(self.answers) > 20)
        self.assertEqual(set(self.answers), {200})
        self.assertEqual(len(self.server.received), before)

    async def test_failing_version_is_rolled_back(self) -> None:
        """Few meet it, and nobody once it is known."""
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await asyncio.sleep(0.5)
        self.order()
        await self.until_state('rolled_back')
        exposed = len(self.new_server.received)
        self.assertLess(exposed, 15)
        self.answers.clear()
        await until_true(lambda: len(self.answers) > 20)
        self.assertLessEqual(len(self.new_server.received), exposed + 1)
        self.assertEqual(set(self.answers), {200})

    async def test_slow_version_is_rolled_back(self) -> None:
        """Against what the old one takes on the same route."""
        await asyncio.sleep(1)
        self.new_delay_s = 0.4
        self.order()
        await self.until_state('rolled_back')

    async def test_version_that_turns_bad_is_rolled_back(self) -> None:
        """Once it has more of the traffic."""
        await asyncio.sleep(0.5)
        self.order()
        await until_true(
            lambda: any(one.proved_ms is not None for one in self.running),
            _MOST_S,
        )
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await self.until_state('rolled_back')

    async def test_order_taken_back_is_rolled_back(self) -> None:
        """At once."""
        self.order()
        await self.until_state('running')
        drop_order(self.store)
        await self.until_state('rolled_back')

    async def test_bad_order_is_refused_and_nothing_else(self) -> None:
        """Callers notice nothing."""
        with self.assertLogs('seampond.gateway.rollouts', 'ERROR') as logs:
            put_order(self.store, '', _DURATION_S)
            put_order(self.store, _NEW, -1)
            put_order(self.store, _NEW, _DURATION_S, service='other')
            await until_true(lambda: len(logs.records) >= 2)
        self.assertEqual(read_state(self.store), ('', ''))
        self.answers.clear()
        await until_true(lambda: len(self.answers) > 10)
        self.assertEqual(set(self.answers), {200})

    async def test_order_outlives_all_gateways(self) -> None:
        """They end in the middle; those that start find it in the store."""
        self.order()
        await self.until_state('running')
        self.gateways.clear()
        await self.fleet.aclose()
        await self.start_fleet()
        await self.until_state('done')

    async def test_store_that_is_down_stops_no_refusal(self) -> None:
        """The others hear of it at once; the store as soon as it can."""
        self.order()
        await self.until_state('running')
        self.store.is_down = True
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await until_true(
            lambda: all(one.is_rejected for one in self.running), _MOST_S
        )
        self.assertEqual(read_state(self.store)[0], 'running')
        self.store.is_down = False
        await self.until_state('rolled_back')

    async def _call_one(self, gateway: RunningGateway) -> None:
        number = next(self.numbers)
        # Where a gateway has ended, callers find nobody.
        with suppress(ConnectionError):
            response = await self.ask(gateway, request_id=f'r{number}')
            self.answers.append(response.status_code)

    def _answer(
        self, request: Received, writer: asyncio.StreamWriter, status: int
    ) -> None:
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        writer.write(write_answer(status, headers, b'whole'))
