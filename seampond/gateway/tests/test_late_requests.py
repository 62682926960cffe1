"""Requests that a gateway has, or gets, late in its planned stop."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

from seampond.clock import MS_PER_SECOND
from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    ID_HEADER,
    IDEMPOTENT,
    ONCE,
    ConfigurationRow,
    put_configuration,
    put_server,
)
from seampond.testing.caller import CALL_ERRORS
from seampond.testing.gateways import build_job, get_backend, wait_until
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)
from seampond.testing.virtual_time import VirtualTimeCase

_LINGER_MS = 2600
_TIMEOUT_MS = 15_000
# Longer than the target of the route.
_WORK_MS = 4000
_SHORT_WORK_MS = 200
# Lasts until the end of the stop, so that the gateway accepts callers.
_OPEN_ID = 'open'
_OPEN_WORK_MS = 7000
_CROWD = 16
_NO_ANSWER = 0


@dataclass(frozen=True, slots=True)
class _CallerView:
    """The status of a request, 0 for a connection that ended before."""

    request_id: str
    status: int
    is_received: bool


class LateRequestsTest(VirtualTimeCase, GatewayCase):
    """A gateway, and a server that takes its time."""

    async def asyncSetUp(self) -> None:
        """Let the server take longer than the target of the route."""
        await super().asyncSetUp()
        self.work_ms = _WORK_MS
        self.fails_first = False
        self.received_ids: list[str] = []

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer when the work is done."""
        request_id = request.get(ID_HEADER)
        self.received_ids.append(request_id)
        is_first = len(self.received_ids) == 1
        is_open = request_id == _OPEN_ID
        work_ms = _OPEN_WORK_MS if is_open else self.work_ms
        await asyncio.sleep(work_ms / MS_PER_SECOND)
        if self.fails_first and is_first:
            headers = {ID_HEADER: request_id}
            writer.write(format_response(500, headers, b'failed'))
            return
        await super().serve(request, writer)

    async def test_late_request_is_cut_while_its_server_works(self) -> None:
        """The target of a route is not the time that its servers need."""
        gateway = await self._start(ONCE)
        await self._check_late(gateway)

    async def test_late_request_after_a_slow_one_is_cut(self) -> None:
        """The time that the server needed before is known."""
        gateway = await self._start(ONCE)
        self.assertEqual((await self._ask(gateway, 'first')).status, 200)
        await self._check_late(gateway)

    async def test_late_request_for_a_server_that_turned_slow(self) -> None:
        """The request before it has not been answered yet."""
        gateway = await self._start(ONCE)
        self.work_ms = _SHORT_WORK_MS
        self.assertEqual((await self._ask(gateway, 'first')).status, 200)
        self.work_ms = _WORK_MS
        await self._check_late(gateway)

    async def test_late_request_of_a_fast_server_is_served(self) -> None:
        """Guards against refusing what can be served."""
        gateway = await self._start(ONCE)
        self.work_ms = _SHORT_WORK_MS
        self.assertEqual((await self._ask(gateway, 'first')).status, 200)
        pending = asyncio.create_task(self._ask(gateway, _OPEN_ID))
        await wait_until(lambda: len(self.received_ids) == 2)
        stopped = asyncio.create_task(gateway.drain())
        await gateway.components.clock.sleep(2 * _SHORT_WORK_MS)
        late = await self._ask(gateway, 'late')
        self.assertEqual(late.status, HTTPStatus.OK)
        self.assertEqual((await pending).status, HTTPStatus.OK)
        await stopped

    async def test_second_run_is_cut_while_its_server_works(self) -> None:
        """Its first run has failed late in the stop."""
        second = await self.stack.enter_async_context(run_scripted(self.serve))
        put_server(self.store, 'i-2', second.address)
        gateway = await self._start(IDEMPOTENT)
        self.fails_first = True
        pending = asyncio.create_task(self._ask(gateway, 'retried'))
        await wait_until(lambda: len(self.received_ids) == 1)
        await gateway.drain()
        self.assertEqual(
            (await pending).status, HTTPStatus.INTERNAL_SERVER_ERROR
        )
        self.assertEqual(len(self.received_ids), 1)

    async def test_open_requests_get_no_answer_at_the_end(self) -> None:
        """Their servers are still at work when the connections are closed."""
        gateway = await self._start(ONCE)
        self.work_ms = _TIMEOUT_MS
        pending = self._ask_many(gateway)
        await wait_until(lambda: len(self.received_ids) == _CROWD)
        await gateway.drain()
        views = await asyncio.gather(*pending)
        self.assertEqual(
            {view.status for view in views},
            {HTTPStatus.GATEWAY_TIMEOUT},
        )

    async def test_stop_fails_while_a_request_ends(self) -> None:
        """The time of a request that has not returned yet is over."""
        gateway = await self._start(ONCE)
        components = gateway.components
        stop_limits = components.web.forwarder.stop_limits
        job = build_job(deadline_ms=components.clock.now())
        with self.assertRaises(TimeoutError):
            async with stop_limits.limit(job):
                try:
                    await components.clock.sleep(_SHORT_WORK_MS)
                finally:
                    await gateway.drain()
        self.assertFalse(components.is_ready)

    async def _check_late(self, gateway: RunningGateway) -> None:
        """Send requests during the grace, while one is open."""
        clock = gateway.components.clock
        pending = asyncio.create_task(self._ask(gateway, _OPEN_ID))
        await clock.sleep(_SHORT_WORK_MS)
        stopped = asyncio.create_task(gateway.drain())
        late: list[asyncio.Task[_CallerView]] = []
        await clock.sleep(_LINGER_MS)
        for number in range(10):
            late.append(
                asyncio.create_task(self._ask(gateway, f'late-{number}'))
            )
            await clock.sleep(_SHORT_WORK_MS)
        await stopped
        views = await asyncio.gather(pending, *late)
        self._check_views(views)

    def _check_views(self, views: list[_CallerView]) -> None:
        """Check that each was answered by its server, or refused unsent."""
        for view in views:
            expected = (
                HTTPStatus.OK
                if view.is_received
                else HTTPStatus.SERVICE_UNAVAILABLE
            )
            self.assertEqual(view.status, expected, view)

    async def _start(self, kind: str) -> RunningGateway:
        gateway = await self.start_ready(linger_ms=_LINGER_MS)
        row = ConfigurationRow(version=2, kind=kind, timeout_ms=_TIMEOUT_MS)
        put_configuration(self.store, row)
        self.list_server(slots=_CROWD)
        components = gateway.components
        await wait_until(
            lambda: (
                components.web.admission.version == 2
                and get_backend(components.backends, 'i-1').server.slots
                == _CROWD
            )
        )
        return gateway

    def _ask_many(
        self, gateway: RunningGateway
    ) -> list['asyncio.Task[_CallerView]']:
        return [
            asyncio.create_task(self._ask(gateway, f'r{number}'))
            for number in range(_CROWD)
        ]

    async def _ask(
        self, gateway: RunningGateway, request_id: str
    ) -> _CallerView:
        status = _NO_ANSWER
        with suppress(*CALL_ERRORS):
            response = await self.ask(gateway, request_id=request_id)
            await response.content()
            status = response.status_code
        return _CallerView(request_id, status, request_id in self.received_ids)
