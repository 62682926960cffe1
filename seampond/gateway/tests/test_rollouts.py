"""Tests of rollouts by whole gateways with a stand-in for the store."""

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
from seampond.testing.gateways import wait_until
from seampond.testing.scripted import (
    ReceivedRequest,
    ScriptedServer,
    format_response,
    run_scripted,
)

_OLD, _NEW = 'v1', 'v2'
_DURATION_S = 4
_TIMEOUT_S = 20
_REQUEST_INTERVAL_S = 0.02
_MANY_SLOTS = 50


def _is_connected(gateway: RunningGateway) -> bool:
    """Return True if a gateway is ready and receives heartbeats."""
    components = gateway.components
    return (
        components.is_ready
        and components.peers.all_reachable
        and components.peers.count > 1
    )


class RolloutTest(GatewayCase):
    """Two gateways, a server of each version, and constant requests."""

    async def asyncSetUp(self) -> None:
        """Start all of them; both versions answer correctly."""
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
        """The rollouts in progress at all gateways."""
        return [
            rollout
            for gateway in self.gateways
            for rollout in gateway.components.rollout_follower.manager.running
        ]

    async def start_fleet(self) -> None:
        """Start both gateways and wait until they are connected."""
        for name in ('g1', 'g2'):
            settings = build_settings(self.store.address, name=name)
            running = run_gateway(settings, Clock())
            gateway = await self.fleet.enter_async_context(running)
            self.gateways.append(gateway)
        await wait_until(lambda: all(map(_is_connected, self.gateways)))

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the old version; hold one request if requested."""
        if self.is_held:
            self.is_held = False
            await self.held.wait()
        self._answer(request, writer, HTTPStatus.OK)

    async def serve_new(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as the new version."""
        await asyncio.sleep(self.new_delay_s)
        self._answer(request, writer, self.new_status)

    async def call(self) -> None:
        """Send requests to both gateways in turn; record each status."""
        asked: set[asyncio.Task[None]] = set()
        try:
            while True:
                for gateway in tuple(self.gateways):
                    task = asyncio.create_task(self._call_one(gateway))
                    asked.add(task)
                    task.add_done_callback(asked.discard)
                await asyncio.sleep(_REQUEST_INTERVAL_S)
        finally:
            for task in tuple(asked):
                task.cancel()

    def order_rollout(self) -> None:
        """Start a server of the new version and order the rollout."""
        put_server(
            self.store,
            'i-2',
            self.new_server.address,
            version=_NEW,
            slots=_MANY_SLOTS,
        )
        put_order(self.store, _NEW, _DURATION_S)

    async def until_state(self, state: str) -> None:
        """Wait until the store has this state of the order."""
        await wait_until(
            lambda: read_state(self.store) == (state, _NEW), _TIMEOUT_S
        )

    async def test_good_version_replaces_the_old_one(
        self,
    ) -> None:
        """Not done while a request is open on the old version."""
        await asyncio.sleep(0.5)
        self.order_rollout()
        await self.until_state('running')
        await wait_until(
            lambda: any(
                rollout.proved_ms is not None for rollout in self.running
            ),
            _TIMEOUT_S,
        )
        self.is_held = True
        await wait_until(
            lambda: any(
                rollout.stage is Stage.closed for rollout in self.running
            ),
            _TIMEOUT_S,
        )
        self.assertFalse(self.is_held)
        await asyncio.sleep(1.5)
        self.assertEqual(read_state(self.store)[0], 'running')
        self.held.set()
        await self.until_state('done')
        # The old server stops at once.
        drop_server(self.store, 'i-1')
        before = len(self.server.received)
        self.answers.clear()
        await wait_until(lambda: len(self.answers) > 20)
        self.assertEqual(set(self.answers), {200})
        self.assertEqual(len(self.server.received), before)

    async def test_failing_version_is_rolled_back(self) -> None:
        """Few requests reach it, and none once the failure is known."""
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await asyncio.sleep(0.5)
        self.order_rollout()
        await self.until_state('rolled_back')
        exposed = len(self.new_server.received)
        self.assertLess(exposed, 15)
        self.answers.clear()
        await wait_until(lambda: len(self.answers) > 20)
        self.assertLessEqual(len(self.new_server.received), exposed + 1)
        self.assertEqual(set(self.answers), {200})

    async def test_slow_version_is_rolled_back(self) -> None:
        """Compared with the old version on the same route."""
        await asyncio.sleep(1)
        self.new_delay_s = 0.4
        self.order_rollout()
        await self.until_state('rolled_back')

    async def test_version_that_fails_later_is_rolled_back(self) -> None:
        """Once it gets a larger share of the requests."""
        await asyncio.sleep(0.5)
        self.order_rollout()
        await wait_until(
            lambda: any(
                rollout.proved_ms is not None for rollout in self.running
            ),
            _TIMEOUT_S,
        )
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await self.until_state('rolled_back')

    async def test_withdrawn_order_is_rolled_back(self) -> None:
        """At once."""
        self.order_rollout()
        await self.until_state('running')
        drop_order(self.store)
        await self.until_state('rolled_back')

    async def test_invalid_order_is_ignored(self) -> None:
        """Callers are not affected."""
        with self.assertLogs('seampond.gateway.rollouts', 'ERROR') as logs:
            put_order(self.store, '', _DURATION_S)
            put_order(self.store, _NEW, -1)
            put_order(self.store, _NEW, _DURATION_S, service='other')
            await wait_until(lambda: len(logs.records) >= 2)
        self.assertEqual(read_state(self.store), ('', ''))
        self.answers.clear()
        await wait_until(lambda: len(self.answers) > 10)
        self.assertEqual(set(self.answers), {200})

    async def test_order_continues_after_a_restart_of_all_gateways(
        self,
    ) -> None:
        """The new gateways read it from the store."""
        self.order_rollout()
        await self.until_state('running')
        self.gateways.clear()
        await self.fleet.aclose()
        await self.start_fleet()
        await self.until_state('done')

    async def test_version_is_rejected_without_the_store(self) -> None:
        """Gateways tell each other; the store is updated later."""
        self.order_rollout()
        await self.until_state('running')
        self.store.is_down = True
        self.new_status = HTTPStatus.INTERNAL_SERVER_ERROR
        await wait_until(
            lambda: all(rollout.is_rejected for rollout in self.running),
            _TIMEOUT_S,
        )
        self.assertEqual(read_state(self.store)[0], 'running')
        self.store.is_down = False
        await self.until_state('rolled_back')

    async def _call_one(self, gateway: RunningGateway) -> None:
        number = next(self.numbers)
        # A gateway may have stopped.
        with suppress(ConnectionError):
            response = await self.ask(gateway, request_id=f'r{number}')
            self.answers.append(response.status_code)

    def _answer(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        status: int,
    ) -> None:
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        writer.write(format_response(status, headers, b'whole'))
