"""Tests of a gateway on a machine that was suspended.

The steady clock may stand still during a suspension.  Ages taken from it would
be too low, and a revoked key would be accepted.
"""

import asyncio
import time
import unittest
from unittest.mock import patch

from seampond import clock as clocks
from seampond.clock import MS_PER_SECOND, NS_PER_SECOND, Clock
from seampond.forwarding.server_signals import ServerSignals
from seampond.gateway.daemon import RunningGateway
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    KEY,
    STAMP_HEADER,
    STREAM,
    ConfigurationRow,
    put_configuration,
    put_order,
    read_state,
)
from seampond.suspension import SuspensionAwareLoop, watch_suspension
from seampond.testing.gateways import get_backend, wait_until
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunk,
    format_chunked_response,
)

_JUMPS_S = (2, 10, 60)
# The timeout of a request in the configuration of these tests.
_TIMEOUT_MS = 5000
_EVENTS = 8


class SuspendableClock:
    """A steady clock that a test can move on, as a suspension does."""

    def __init__(self) -> None:
        """Start without a suspension."""
        self._read = clocks.read_steady_ns
        self._suspended_ns = 0

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension."""
        self._suspended_ns += round(seconds * NS_PER_SECOND)

    def read(self) -> int:
        """Return the time of the steady clock."""
        return self._read() + self._suspended_ns


class SuspensionAwareLoopTest(unittest.TestCase):
    """Timers of the daemon's event loop."""

    def test_overdue_timers_fire_at_once(self) -> None:
        """Each fires once, in the order of their deadlines."""
        for seconds in _JUMPS_S:
            with self.subTest(seconds=seconds):
                self.assertEqual(self._sleep(seconds), ['first', 'second'])

    def test_suspension_is_reported(self) -> None:
        """Its duration is reported once, and only if there was one."""
        steady_clock = SuspendableClock()
        reported_ms: list[int] = []

        async def run() -> None:
            watch = asyncio.create_task(
                watch_suspension(reported_ms.append, Clock(int))
            )
            await asyncio.sleep(1.2)
            steady_clock.suspend(10)
            await asyncio.sleep(1.2)
            watch.cancel()

        with patch.object(clocks, 'read_steady_ns', steady_clock.read):
            with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
                runner.run(run())
        self.assertEqual(len(reported_ms), 1)
        self.assertAlmostEqual(reported_ms[0], 10 * MS_PER_SECOND, delta=100)

    def _sleep(self, seconds: float) -> list[str]:
        steady_clock = SuspendableClock()
        fired: list[str] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds - 0.2, fired.append, 'second')
            loop.call_later(seconds - 0.3, fired.append, 'first')
            loop.call_later(seconds + 30, fired.append, 'later')
            steady_clock.suspend(seconds)
            await asyncio.sleep(0.05)

        with patch.object(clocks, 'read_steady_ns', steady_clock.read):
            with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
                runner.run(run())
        return fired


class SuspendedGatewayTest(GatewayCase):
    """A gateway whose clock moved on during a suspension."""

    def setUp(self) -> None:
        """Install a clock that can be moved on."""
        self.steady_clock = SuspendableClock()
        patched = patch.object(clocks, 'read_steady_ns', self.steady_clock.read)
        patched.start()
        self.addCleanup(patched.stop)
        self.answer_ms = 0
        self.is_stream = False

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer after a while, or with events for a second."""
        if self.is_stream:
            await self._serve_events(request, writer)
            return
        await asyncio.sleep(self.answer_ms / MS_PER_SECOND)
        await super().serve(request, writer)

    async def test_expired_proof_stops_requests(self) -> None:
        """The store is unavailable, so the proof cannot be renewed."""
        gateway = await self.start_ready()
        proof_ms = gateway.components.web.admission.max_proof_age_ms
        assert proof_ms is not None
        for seconds in _JUMPS_S:
            sent = len(self.server.received)
            self.store.is_down = True
            self.steady_clock.suspend(seconds)
            is_over = seconds * MS_PER_SECOND > proof_ms
            status = await self._request_status(gateway)
            self.assertEqual(status, 503 if is_over else 200)
            self.assertEqual(len(self.server.received) == sent, is_over)
            self.store.is_down = False
            await self._until_proved(gateway)
            self.assertEqual(await self._request_status(gateway), 200)

    async def test_suspension_while_starting(self) -> None:
        """The gateway becomes ready without delay."""
        put_configuration(self.store)
        self.list_server()
        for seconds in _JUMPS_S:
            gateway = await self.start(name=f'g-{seconds}')
            self.steady_clock.suspend(seconds)
            await self._until_proved(gateway)
            self.assertEqual(await self._request_status(gateway), 200)

    async def test_suspension_while_serving(self) -> None:
        """Overdue requests get their final answer at once."""
        gateway = await self.start_ready()
        self.answer_ms = 1000
        for seconds in _JUMPS_S:
            await self._until_proved(gateway)
            pending_request = asyncio.create_task(self._request_status(gateway))
            await asyncio.sleep(0.2)
            self.steady_clock.suspend(seconds)
            before = time.monotonic()
            status = await pending_request
            self.assertLess(time.monotonic() - before, 0.5)
            is_late = seconds * MS_PER_SECOND > _TIMEOUT_MS
            self.assertIn(status, (200, 504) if is_late else (200,))

    async def test_suspension_while_stopping(self) -> None:
        """The stop is not prolonged by the suspension."""
        for seconds in _JUMPS_S:
            gateway = await self.start_ready(
                name=f'g-{seconds}', linger_ms=1500
            )
            stop = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0.1)
            self.steady_clock.suspend(seconds)
            await asyncio.wait_for(stop, 1 + seconds)
            self.assertEqual(gateway.components.web.open_requests, 0)

    async def test_suspension_during_a_stream(self) -> None:
        """The stream ends whole, or is cut off as overdue."""
        put_configuration(self.store, ConfigurationRow(kind=STREAM))
        self.list_server()
        gateway = await self.start()
        self.is_stream = True
        for seconds in _JUMPS_S:
            await self._until_proved(gateway)
            pending_request = asyncio.create_task(self._request_raw(gateway))
            await asyncio.sleep(0.2)
            self.steady_clock.suspend(seconds)
            before = time.monotonic()
            answer = await pending_request
            self.assertLess(time.monotonic() - before, 1.5)
            is_whole = answer.endswith(b'0\r\n\r\n')
            self.assertEqual(is_whole, answer.count(b'data: ') == _EVENTS)
            if seconds * MS_PER_SECOND < _TIMEOUT_MS:
                self.assertTrue(is_whole)

    async def test_suspension_while_following_tables(self) -> None:
        """A change is applied without delay afterwards."""
        gateway = await self.start_ready()
        for number, seconds in enumerate(_JUMPS_S):
            await self._until_proved(gateway)
            self.steady_clock.suspend(seconds)
            await self._check_changes_applied(gateway, number + 2)

    async def test_suspension_during_a_rollout(self) -> None:
        """An order whose time has passed is not done without evidence."""
        gateway = await self.start_ready()
        for number, seconds in enumerate(_JUMPS_S):
            target = f'v{number + 2}'
            put_order(self.store, target, 4)
            await self._until_state('running', target)
            self.steady_clock.suspend(seconds)
            await self._until_state('rolled_back', target)
            self.assertEqual(gateway.components.promises.broken, 0)

    async def test_suspension_counts_towards_a_backoff(self) -> None:
        """A back-off ends at its time, suspended or not."""
        gateway = await self.start_ready()
        backend = get_backend(gateway.components.backends, 'i-1')
        clock = gateway.components.clock
        for seconds in _JUMPS_S:
            gateway.components.backends.apply_signals(
                backend,
                ServerSignals(backoff_ms=seconds * MS_PER_SECOND),
                clock.now(),
            )
            self.assertFalse(backend.may_send(clock.now()))
            self.steady_clock.suspend(seconds)
            self.assertTrue(backend.may_send(clock.now()))

    async def _serve_events(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
        writer.write(format_chunked_response(headers))
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(0.1)
            writer.write(format_chunk(b'id: %d\ndata: x\n\n' % number))
        writer.write(format_chunk(b''))

    async def _check_changes_applied(
        self, gateway: RunningGateway, number: int
    ) -> None:
        name = f'i-{number}'
        self.list_server(name)
        await wait_until(lambda: gateway.components.backends.get(name), 3)
        put_configuration(self.store, ConfigurationRow(version=number))
        admission = gateway.components.web.admission
        await wait_until(lambda: admission.version == number, 3)

    async def _until_state(self, state: str, target: str) -> None:
        await wait_until(lambda: read_state(self.store) == (state, target), 10)

    async def _request_status(self, gateway: RunningGateway) -> int:
        """Return the status of a request."""
        answer = await self._request_raw(gateway)
        return int(answer.split(b' ')[1])

    async def _request_raw(self, gateway: RunningGateway) -> bytes:
        """Send a request without timeouts; return the raw answer."""
        host, _, port = gateway.components.settings.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (
            'GET /x/y HTTP/1.1',
            f'Host: {HOST}',
            f'{ID_HEADER}: r1',
            f'Authorization: Token {KEY}',
            'Connection: close',
        )
        head = '\r\n'.join(lines)
        writer.write(f'{head}\r\n\r\n'.encode())
        answer = await reader.read()
        writer.close()
        return answer

    async def _until_proved(self, gateway: RunningGateway) -> None:
        admission = gateway.components.web.admission
        await wait_until(
            lambda: gateway.components.is_ready and admission.is_proved
        )

    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(loop_factory=SuspensionAwareLoop)
