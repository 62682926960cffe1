"""Servers tried in turn: what may be sent again, and the final answer."""

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
    pick,
    until_true,
)
from seampond.testing.scripted import (
    Received,
    ScriptedServer,
    reset,
    run_scripted,
    write_answer,
    write_chunks,
)

_LOAD_HEADER = NAMES.load.decode()
_STREAM = build_route(kind=RequestKind.stream, may_resume=True)
_ONCE = build_route(kind=RequestKind.once, attempts=2)
Step = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


def _headers(request: Received) -> dict[str, str]:
    return {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}


async def _serve(request: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(write_answer(200, _headers(request), b'whole'))


async def _reset(request: Received, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def _reject(request: Received, writer: asyncio.StreamWriter) -> None:
    headers = _headers(request) | {NOT_RUN_HEADER: '1'}
    writer.write(write_answer(503, headers))


async def _deny_to_be(request: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(write_answer(421, {ID_HEADER: request.get(ID_HEADER)}))


async def _fail(request: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(write_answer(500, _headers(request), b'own failure'))


async def _say_nothing(request: Received, writer: asyncio.StreamWriter) -> None:
    """Take the request, give no answer."""


async def _break_stream(
    request: Received, writer: asyncio.StreamWriter
) -> None:
    chunk = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    writer.write(write_chunks(_headers(request), chunk))
    await writer.drain()
    reset(writer)


async def _end_stream(request: Received, writer: asyncio.StreamWriter) -> None:
    chunk = b'id: 3\ndata: c\n\n'
    writer.write(write_chunks(_headers(request), chunk, b''))


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """One gateway before servers that answer step by step."""

    @property
    def sends(self) -> int:
        return sum(len(server.received) for server in self.servers)

    async def asyncSetUp(self) -> None:
        """Open what each test opens."""
        self._stack = AsyncExitStack()
        self.addAsyncCleanup(self._stack.aclose)
        self.servers: list[ScriptedServer] = []

    async def test_whole_answer(self) -> None:
        """Status, headers and body as the server gave them."""
        _, sink = await self._forward(_serve)
        self.assertEqual(sink.head.status, 200)
        self.assertEqual(sink.body, b'whole')
        self.assertTrue(sink.is_whole)

    async def test_repeatable_work_goes_to_another_server(self) -> None:
        """After a reset, once more."""
        progress, sink = await self._forward(_reset, _serve)
        self.assertEqual(sink.body, b'whole')
        self.assertEqual(len(progress.tried_servers), 2)

    async def test_work_in_doubt_is_not_sent_again(self) -> None:
        """A reset says nothing: 502, no promise, one send."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reset, _serve, route=_ONCE)
        self.assertEqual(caught.exception.status, 502)
        self.assertEqual(self.sends, 1)

    async def test_rejected_work_may_be_sent_again(self) -> None:
        """The server's word is proof."""
        _, sink = await self._forward(_reject, _serve, route=_ONCE)
        self.assertEqual(sink.body, b'whole')

    async def test_replaced_server_is_left_alone(self) -> None:
        """Who answers that it is another server gets nothing for a while."""
        _, sink = await self._forward(_deny_to_be, _serve, route=_ONCE)
        self.assertEqual(sink.body, b'whole')
        now_ms = Clock().now()
        usable = [one for one in self.backends if one.is_usable(now_ms + 2000)]
        self.assertEqual(len(usable), len(self.servers) - 1)
        self.assertTrue(all(one.is_usable(now_ms + 9000) for one in usable))

    async def test_rejected_by_all_is_not_run(self) -> None:
        """503 with the time to come back."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reject, _reject, route=_ONCE)
        self.assertEqual(caught.exception.status, 503)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.assertEqual(self.sends, 2)

    async def test_doubt_before_a_rejection_stays_a_doubt(self) -> None:
        """One send in doubt and one rejected: never "not run"."""
        with self.assertRaises(Refusal) as caught:
            await self._forward(_reset, _reject)
        self.assertEqual(caught.exception.cause, Cause.in_doubt)

    async def test_attempts_are_bounded(self) -> None:
        """No more servers than the route allows."""
        with self.assertRaises(Refusal):
            await self._forward(_reset, _reset, _serve)
        self.assertEqual(self.sends, 2)

    async def test_failure_of_a_server_is_passed_on(self) -> None:
        """Its status, stamp and body, once nothing better came."""
        _, sink = await self._forward(_fail, _fail)
        self.assertEqual(sink.head.status, 500)
        self.assertTrue(sink.head.has(STAMP_HEADER.encode()))
        self.assertEqual(sink.body, b'own failure')

    async def test_failure_of_work_that_may_not_repeat(self) -> None:
        """One send; the server's own answer."""
        _, sink = await self._forward(_fail, _serve, route=_ONCE)
        self.assertEqual(sink.head.status, 500)
        self.assertEqual(self.sends, 1)

    async def test_broken_stream_resumes_at_a_whole_event(self) -> None:
        """Nothing twice, nothing missing, one head."""
        _, sink = await self._forward(_break_stream, _end_stream, route=_STREAM)
        self.assertEqual(
            sink.body,
            b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
        )
        self.assertTrue(sink.is_whole)
        asked_of = [
            known for server in self.servers for known in server.received
        ]
        asked = sorted(known.get('last-event-id') for known in asked_of)
        self.assertEqual(asked, ['', '2'])

    async def test_broken_stream_that_may_not_resume_is_cut(self) -> None:
        """An answer that was cut never looks whole."""
        route = build_route(kind=RequestKind.stream, attempts=2)
        with self.assertRaises(AbortedResponseError):
            await self._forward(_break_stream, _end_stream, route=route)
        self.assertFalse(self._sink.is_whole)
        self.assertEqual(self.sends, 1)

    async def test_timeout_after_a_send(self) -> None:
        """504: it may have run."""
        route = build_route(kind=RequestKind.once, timeout_ms=150)
        with self.assertRaises(Refusal) as caught:
            await self._forward(_say_nothing, route=route)
        self.assertEqual(caught.exception.status, 504)

    async def test_leave_of_the_caller_cancels_at_the_server(self) -> None:
        """The server sees its connection end; nothing is sent again."""
        task = asyncio.create_task(self._forward(_say_nothing, _serve))
        await until_true(lambda: self.sends == 1)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await until_true(lambda: sum(one.left for one in self.servers) == 1)
        self.assertEqual(self.sends, 1)

    async def test_promises_stop_a_second_dispatch(self) -> None:
        """What may have run is not sent again, whoever asks for it."""
        with self.assertRaisesRegex(PromiseError, 'single-dispatch'):
            await self._forward(_serve, route=_ONCE, may_have_run=True)
        with self.assertRaisesRegex(PromiseError, 'bounded-attempts'):
            await self._forward(_serve, attempts=2)
        self.assertEqual(self.sends, 0)

    async def test_server_that_leaves_meanwhile_gets_nothing(self) -> None:
        """The list may tell of a leave while we connect."""
        server = build_server('i-1')
        await self._check_not_sent(
            lambda backends: backends.update(
                [replace(server, is_draining=True)], []
            )
        )

    async def test_server_that_wants_rest_meanwhile_gets_nothing(self) -> None:
        """Another request may have been told so while we connect."""
        await self._check_not_sent(
            lambda backends: backends.apply_signals(
                pick(backends, 'i-1'), ServerSignals(backoff_ms=3000), 0
            )
        )

    async def test_load_that_cannot_be_read(self) -> None:
        """The answer counts all the same."""
        for told in ('1,x,4', '1,2', '-1,2,4', '1.5,2,4', ',,'):
            with self.subTest(told=told):

                async def serve(
                    request: Received,
                    writer: asyncio.StreamWriter,
                    told: str = told,
                ) -> None:
                    headers = _headers(request) | {_LOAD_HEADER: told}
                    writer.write(write_answer(200, headers, b'whole'))

                self.servers.clear()
                _, sink = await self._forward(serve)
                self.assertTrue(sink.is_whole)

    async def test_what_a_server_is_told(self) -> None:
        """Target, body and headers unchanged; ours set, the key kept."""
        headers = [
            (b'host', b'a.example'),
            (ID_HEADER.encode(), b'r1'),
            (b'authorization', b'Token secret'),
            (b'x-test-tenant', b'forged'),
            (b'x-other', b'kept'),
        ]
        await self._forward(_serve, headers=headers, target=b'/x//%7e?a=&b')
        asked_of = [
            known for server in self.servers for known in server.received
        ]
        sent = asked_of[0]
        self.assertEqual(sent.target, b'/x//%7e?a=&b')
        self.assertEqual(sent.body, b'ask')
        self.assertEqual(sent.get('x-other'), 'kept')
        self.assertEqual(sent.get('x-test-tenant'), 't')
        self.assertEqual(sent.get('authorization'), '')
        self.assertTrue(sent.get('x-test-expect').startswith('i-'))
        self.assertLessEqual(int(sent.get('x-test-deadline')), 5000)

    async def test_broken_stream_has_a_part_of_the_budget(self) -> None:
        """Where other second sends have used up all that is theirs."""
        progress, sink = build_progress(route=_STREAM)
        left = [_break_stream, _end_stream]

        async def handle(
            request: Received, writer: asyncio.StreamWriter
        ) -> None:
            await left.pop(0)(request, writer)

        server = await self._stack.enter_async_context(run_scripted(handle))
        backends = build_backends(
            build_server(f'i-{number}', server.address) for number in range(2)
        )
        budget = RetryBudget(0, 5, 10_000, lambda: 1, Clock())
        for _ in range(5):
            budget.try_acquire(POOL, is_resumed=False)
        forwarder = build_forwarder(backends, budget=budget)
        await forwarder.forward(progress)
        self.assertTrue(sink.is_whole)

    async def _check_not_sent(self, tell: Callable[[Backends], object]) -> None:
        """Let a server be spoken of while an attempt connects to it."""
        backends = build_backends([build_server('i-1')])
        progress, _ = build_progress()
        backend = pick(backends, 'i-1')

        async def connect_late(known: Backend) -> Connection:
            tell(backends)
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
        """Forward one request; the nth send to any server is step n."""
        left = list(steps)

        async def handle(
            request: Received, writer: asyncio.StreamWriter
        ) -> None:
            await left.pop(0)(request, writer)

        for _ in range(3):
            self.servers.append(
                await self._stack.enter_async_context(run_scripted(handle))
            )
        self.backends = build_backends(
            build_server(f'i-{number}', server.address)
            for number, server in enumerate(self.servers)
        )
        forwarder = build_forwarder(self.backends)
        progress, sink = build_progress(**changes)
        self._sink = sink
        async with asyncio.timeout(10):
            await forwarder.forward(progress)
        return progress, sink
