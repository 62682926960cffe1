"""Forwarder: retries, resumed streams, promises and final answers."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from seampond.clock import Clock
from seampond.errors import PromiseError
from seampond.forwarding.attempt import Attempt
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.connection import Connection
from seampond.forwarding.forwarder import AbortedResponseError
from seampond.forwarding.models import RequestKind
from seampond.forwarding.planned_stop import PlannedStop
from seampond.forwarding.progress import Outcome, Progress
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.server_signals import ServerSignals
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    ID_HEADER,
    NAMES,
    NOT_RUN_HEADER,
    POOL,
    STAMP_HEADER,
    MemorySink,
    build_backends,
    build_forwarder,
    build_progress,
    build_quarantine,
    build_route,
    build_server,
    get_backend,
    wait_until,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    ScriptedServer,
    format_chunked_response,
    format_response,
    format_unframed_response,
    reset_connection,
    run_scripted,
)

_LOAD_HEADER = NAMES.load.decode()
_STREAM = build_route(kind=RequestKind.stream, may_resume=True)
_ONCE = build_route(kind=RequestKind.once, attempts=2)
_STOP_MS = 3000
Step = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def _headers(request: ReceivedRequest) -> dict[str, str]:
    return {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}


async def _serve(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(format_response(200, _headers(request), b'whole'))


async def _reset(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    reset_connection(writer)


async def _reject(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = _headers(request) | {NOT_RUN_HEADER: '1'}
    writer.write(format_response(503, headers))


async def _answer_misdirected(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(format_response(421, {ID_HEADER: request.get(ID_HEADER)}))


async def _fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_response(500, _headers(request), b'own failure'))


async def _accept_silently(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Accept the request without answering."""


async def _break_stream(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    chunk = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    writer.write(format_chunked_response(_headers(request), chunk))
    await writer.drain()
    reset_connection(writer)


async def _end_before_first_event(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(format_unframed_response(_headers(request), b''))
    await writer.drain()
    writer.close()


async def _end_stream(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    chunk = b'id: 3\ndata: c\n\n'
    writer.write(format_chunked_response(_headers(request), chunk, b''))


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """A forwarder with scripted servers."""

    @property
    def sends(self) -> int:
        return sum(len(server.received) for server in self.servers)

    async def asyncSetUp(self) -> None:
        """Set up the stack of scripted servers."""
        self._stack = AsyncExitStack()
        self.addAsyncCleanup(self._stack.aclose)
        self.servers: list[ScriptedServer] = []

    async def test_whole_answer(self) -> None:
        """The status and body of the server are relayed."""
        _, sink = await self._forward(_serve)
        self.assertEqual(sink.head.status, 200)
        self.assertEqual(sink.body, b'whole')
        self.assertTrue(sink.is_complete)

    async def test_idempotent_request_is_retried_elsewhere(self) -> None:
        """A lost connection does not fail an idempotent request."""
        progress, sink = await self._forward(_reset, _serve)
        self.assertEqual(sink.body, b'whole')
        self.assertEqual(len(progress.tried_servers), 2)

    async def test_request_that_may_have_run_is_not_retried(self) -> None:
        """A lost connection gives 502 after a single attempt."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reset, _serve, route=_ONCE)
        self.assertEqual(caught.exception.status, 502)
        self.assertEqual(self.sends, 1)

    async def test_rejected_request_is_retried(self) -> None:
        """A rejection proves that the request did not run."""
        _, sink = await self._forward(_reject, _serve, route=_ONCE)
        self.assertEqual(sink.body, b'whole')

    async def test_replaced_server_is_paused(self) -> None:
        """A 421 means that another server has taken over the address."""
        _, sink = await self._forward(_answer_misdirected, _serve, route=_ONCE)
        self.assertEqual(sink.body, b'whole')
        now_ms = Clock().now()
        usable = [
            backend
            for backend in self.backends
            if backend.is_usable(now_ms + 2000)
        ]
        self.assertEqual(len(usable), len(self.servers) - 1)
        self.assertTrue(
            all(backend.is_usable(now_ms + 9000) for backend in usable)
        )

    async def test_rejection_by_all_servers_means_not_run(self) -> None:
        """The refusal is a 503 with a retry time."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reject, _reject, route=_ONCE)
        self.assertEqual(caught.exception.status, 503)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertEqual(self.sends, 2)

    async def test_rejection_after_lost_connection_is_in_doubt(self) -> None:
        """The first attempt may have run despite the rejection."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reset, _reject)
        self.assertEqual(caught.exception.cause, Cause.in_doubt)

    async def test_attempts_are_bounded(self) -> None:
        """No more attempts are made than the route allows."""
        with self.assertRaises(Refusal):
            await self._forward(_reset, _reset, _serve)
        self.assertEqual(self.sends, 2)

    async def test_error_answer_of_a_server_is_relayed(self) -> None:
        """The last error answer is sent if all attempts fail."""
        _, sink = await self._forward(_fail, _fail)
        self.assertEqual(sink.head.status, 500)
        self.assertTrue(sink.head.has(STAMP_HEADER.encode()))
        self.assertEqual(sink.body, b'own failure')

    async def test_error_answer_is_not_retried_if_not_idempotent(self) -> None:
        """The error answer is relayed after a single attempt."""
        _, sink = await self._forward(_fail, _serve, route=_ONCE)
        self.assertEqual(sink.head.status, 500)
        self.assertEqual(self.sends, 1)

    async def test_broken_stream_resumes_at_a_whole_event(self) -> None:
        """No event is lost or repeated in the joined stream."""
        _, sink = await self._forward(_break_stream, _end_stream, route=_STREAM)
        self.assertEqual(
            sink.body,
            b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
        )
        self.assertTrue(sink.is_complete)
        received = [
            request for server in self.servers for request in server.received
        ]
        last_ids = sorted(request.get('last-event-id') for request in received)
        self.assertEqual(last_ids, ['', '2'])

    async def test_broken_stream_is_cut_by_a_planned_stop(self) -> None:
        """It began before the stop, which refuses new streams by now."""

        async def break_in_the_stop(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            now_ms = Clock().now()
            stop = PlannedStop(now_ms - 1, now_ms + _STOP_MS)
            self.forwarder.stop_limits.begin(stop)
            await _break_stream(request, writer)

        _, sink = await self._forward(
            break_in_the_stop, _end_stream, route=_STREAM
        )
        self.assertTrue(sink.is_complete)
        self.assertEqual(self.sends, 2)

    async def test_stream_cut_before_its_first_event_looks_whole(self) -> None:
        """It has no length; another server is tried where that is allowed."""
        _, sink = await self._forward(
            _end_before_first_event, _end_stream, route=_STREAM
        )
        self.assertTrue(sink.is_complete)
        self.assertEqual(bytes(sink.body), b'id: 3\ndata: c\n\n')
        self.assertEqual(self.sends, 2)
        self.servers.clear()
        route = replace(_STREAM, may_resume=False)
        with self.assertRaises(Refusal) as raised:
            await self._forward(_end_before_first_event, route=route)
        self.assertIs(raised.exception.cause, Cause.in_doubt)

    async def test_broken_stream_without_resumption_is_aborted(self) -> None:
        """The caller must not take a broken stream for a complete one."""
        route = build_route(kind=RequestKind.stream, attempts=2)
        with self.assertRaises(AbortedResponseError):
            await self._forward(_break_stream, _end_stream, route=route)
        self.assertFalse(self._sink.is_complete)
        self.assertEqual(self.sends, 1)

    async def test_timeout_after_a_send(self) -> None:
        """A time-out after a send is a 504: the request may have run."""
        route = build_route(kind=RequestKind.once, timeout_ms=150)
        with self.assertRaises(Refusal) as caught:
            await self._forward(_accept_silently, route=route)
        self.assertEqual(caught.exception.status, 504)

    async def test_disconnected_caller_cancels_the_attempt(self) -> None:
        """The server connection is closed and nothing is retried."""
        task = asyncio.create_task(self._forward(_accept_silently, _serve))
        await wait_until(lambda: self.sends == 1)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await wait_until(
            lambda: sum(server.disconnect_count for server in self.servers) == 1
        )
        self.assertEqual(self.sends, 1)

    async def test_promises_stop_a_second_dispatch(self) -> None:
        """Promises stop a forbidden send that other checks missed."""
        with self.assertRaisesRegex(PromiseError, 'single-dispatch'):
            await self._forward(_serve, route=_ONCE, may_have_run=True)
        with self.assertRaisesRegex(PromiseError, 'bounded-attempts'):
            await self._forward(_serve, attempts=2)
        self.assertEqual(self.sends, 0)

    async def test_server_that_starts_draining_gets_nothing(self) -> None:
        """The server starts to drain while a connection is opened."""
        server = build_server('i-1')
        await self._check_not_sent(
            lambda backends: backends.update(
                [replace(server, is_draining=True)], []
            )
        )

    async def test_server_that_starts_backing_off_gets_nothing(self) -> None:
        """Back-off is requested while a connection is opened."""
        await self._check_not_sent(
            lambda backends: backends.apply_signals(
                get_backend(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
            )
        )

    async def test_invalid_load_header_is_ignored(self) -> None:
        """The answer is relayed nevertheless."""
        for load in ('1,x,4', '1,2', '-1,2,4', '1.5,2,4', ',,'):
            with self.subTest(load=load):

                async def serve(
                    request: ReceivedRequest,
                    writer: asyncio.StreamWriter,
                    load: str = load,
                ) -> None:
                    headers = _headers(request) | {_LOAD_HEADER: load}
                    writer.write(format_response(200, headers, b'whole'))

                self.servers.clear()
                _, sink = await self._forward(serve)
                self.assertTrue(sink.is_complete)

    async def test_request_that_a_server_receives(self) -> None:
        """Reserved headers are replaced and the key is removed."""
        headers = [
            (b'host', b'a.example'),
            (ID_HEADER.encode(), b'r1'),
            (b'authorization', b'Token secret'),
            (b'x-test-tenant', b'forged'),
            (b'x-other', b'kept'),
        ]
        await self._forward(_serve, headers=headers, target=b'/x//%7e?a=&b')
        received = [
            request for server in self.servers for request in server.received
        ]
        sent = received[0]
        self.assertEqual(sent.target, b'/x//%7e?a=&b')
        self.assertEqual(sent.body, b'ask')
        self.assertEqual(sent.get('x-other'), 'kept')
        self.assertEqual(sent.get('x-test-tenant'), 't')
        self.assertEqual(sent.get('authorization'), '')
        self.assertTrue(sent.get('x-test-expect').startswith('i-'))
        self.assertLessEqual(int(sent.get('x-test-deadline')), 5000)

    async def test_retry_budget_is_reserved_for_broken_streams(self) -> None:
        """A stream is resumed after other retries used up their share."""
        progress, sink = build_progress(route=_STREAM)
        remaining_steps = [_break_stream, _end_stream]

        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await remaining_steps.pop(0)(request, writer)

        server = await self._stack.enter_async_context(run_scripted(handle))
        backends = build_backends(
            build_server(f'i-{number}', server.address) for number in range(2)
        )
        budget = RetryBudget(0, 5, 10_000, lambda: 1, Clock())
        for _ in range(5):
            budget.try_acquire(POOL, is_resumed=False)
        forwarder = build_forwarder(backends, budget=budget)
        await forwarder.forward(progress)
        self.assertTrue(sink.is_complete)

    async def _check_not_sent(
        self, update: Callable[[Backends], object]
    ) -> None:
        """Check that an update while connecting prevents the send."""
        backends = build_backends([build_server('i-1')])
        progress, _ = build_progress()
        backend = get_backend(backends, 'i-1')

        async def connect_late(
            target: Backend, request_id: bytes
        ) -> Connection:
            update(backends)
            return Connection('x', Clock(), b'x')

        attempt = Attempt(
            progress,
            backend,
            backends,
            NAMES,
            Clock(),
            build_promises(),
            build_quarantine(),
        )
        with (
            patch.object(backends, 'acquire_connection', connect_late),
            patch.object(backends, 'release_connection'),
        ):
            self.assertIs(await attempt.run(), Outcome.unreachable)
        self.assertEqual(progress.job.attempts, 0)

    async def _forward(
        self, *steps: Step, **changes: Any
    ) -> tuple[Progress, MemorySink]:
        """Forward one request; the nth send is answered by step n."""
        remaining_steps = list(steps)

        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await remaining_steps.pop(0)(request, writer)

        for _ in range(3):
            self.servers.append(
                await self._stack.enter_async_context(run_scripted(handle))
            )
        self.backends = build_backends(
            build_server(f'i-{number}', server.address)
            for number, server in enumerate(self.servers)
        )
        self.forwarder = build_forwarder(self.backends)
        progress, sink = build_progress(**changes)
        self._sink = sink
        async with asyncio.timeout(10):
            await self.forwarder.forward(progress)
        return progress, sink
