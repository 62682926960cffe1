"""Answers that end with a connection, from servers that live or do not."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from seampond.clock import Clock
from seampond.forwarding.models import RequestKind
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.survival import has_survived
from seampond.testing.gateways import (
    ID_HEADER,
    STAMP_HEADER,
    MemorySink,
    build_backends,
    build_forwarder,
    build_progress,
    build_route,
    build_server,
    get_backend,
)
from seampond.testing.scripted import (
    format_unframed_response,
    read_request,
    reset_connection,
)

_KEEP_ALIVE_MS = 4000
_WAIT_MS = 20
_LATE_MS = 600
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _keep_open(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep a connection open."""


async def _reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    reset_connection(writer)


class SurvivalTest(unittest.IsolatedAsyncioTestCase):
    """One server, which may stop listening."""

    async def test_connection_to_a_server_that_runs_on_is_kept(self) -> None:
        """It serves the next request."""
        await self._listen(_keep_open)
        self.assertTrue(await self._has_survived())
        self.assertEqual(len(self.backend.idle), 1)

    async def test_server_with_too_many_connections_runs_on(self) -> None:
        """It resets a new connection, but it accepts another one."""
        await self._listen(_reset)
        self.assertTrue(await self._has_survived())

    async def test_server_that_stops_listening_has_not_survived(self) -> None:
        """It had accepted the connection before it ended."""
        listening = await self._listen(_reset)
        asyncio.get_running_loop().call_later(0.005, listening.close)
        self.assertFalse(await self._has_survived())

    async def test_server_that_cut_other_answers_has_not_survived(self) -> None:
        """Another process may listen at its address."""
        await self._listen(_keep_open)
        self.backend.closed_ms = Clock().now()
        self.assertFalse(await self._has_survived())

    async def test_cuts_beside_an_open_connection_end_the_server(self) -> None:
        """An earlier connection shows that it lives, if its end is read."""
        listening = await self._listen(_keep_open)
        earlier = await self.backends.connect(self.backend)
        earlier.connected_ms -= _LATE_MS
        ended_ms = Clock().now()
        self.backend.closed_ms = ended_ms
        self.assertTrue(await self._has_survived(ended_ms))
        earlier.is_paused = True
        self.assertFalse(await self._has_survived(ended_ms))
        earlier.is_paused = False
        listening.close()
        self.assertFalse(await self._has_survived(ended_ms))
        earlier.close()

    async def test_connection_made_at_the_end_outlives_the_server(self) -> None:
        """It may lead to another process at the same address."""
        await self._listen(_keep_open)
        later = await self.backends.connect(self.backend)
        self.backend.closed_ms = later.connected_ms
        self.assertFalse(await self._has_survived(later.connected_ms))
        later.close()

    async def test_server_that_ended_before_a_late_check_has_survived(
        self,
    ) -> None:
        """Another server listens at its address since."""
        await self._listen(_keep_open)
        ended_ms = Clock().now() - _LATE_MS
        self.backend.closed_ms = ended_ms
        self.assertFalse(await self._has_survived(ended_ms))

    async def test_server_replaced_during_a_freeze_has_survived(self) -> None:
        """The row of its server has gone, another is listed at its address."""
        await self._listen(_keep_open)
        address = self.backend.server.address
        self.backends.replace_all([build_server('j', address)])
        self.assertFalse(await self._has_survived())

    async def test_server_that_refused_before_a_late_check_has_survived(
        self,
    ) -> None:
        """The answer waited for other checks, and another server listens."""
        listening = await self._listen(_keep_open)
        ended_ms = Clock().now()
        listening.close()
        self.assertFalse(await self._has_survived())
        host, port = self.backend.server.address.split(':')
        again = await asyncio.start_server(_keep_open, host, int(port))
        self.addCleanup(again.close)
        self.assertFalse(await self._has_survived(ended_ms))

    async def test_whole_answer_beside_resets_is_given_up(self) -> None:
        """A server that resets single connections has not ended."""
        await self._listen(_keep_open)
        self.backend.record_lost_connection(Clock().now())
        self.assertTrue(await self._has_survived())

    async def test_body_of_a_server_that_ends_is_taken_for_whole(self) -> None:
        """An answer without a length that a crash cuts is in doubt."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            request = await read_request(reader)
            headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
            writer.write(format_unframed_response(headers, b'hal'))
            await writer.drain()
            listening.close()
            writer.close()

        listening = await self._listen(serve)
        with self.assertRaises(Refusal) as caught:
            await self._forward()
        self.assertIs(caught.exception.cause, Cause.in_doubt)
        self.assertFalse(self.sink.has_started)

    async def _listen(self, serve: Serve) -> asyncio.Server:
        listening = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(listening.close)
        host, port = listening.sockets[0].getsockname()[:2]
        self.backends = build_backends([build_server('i', f'{host}:{port}')])
        self.backend = get_backend(self.backends, 'i')
        self.addAsyncCleanup(self._close_idle)
        return listening

    async def _close_idle(self) -> None:
        self.backend.close_idle_connections()
        await asyncio.sleep(0)

    async def _has_survived(self, ended_ms: int | None = None) -> bool:
        clock = Clock()
        return await has_survived(
            self.backends,
            self.backend,
            clock,
            clock.now() if ended_ms is None else ended_ms,
            _WAIT_MS,
            _KEEP_ALIVE_MS,
        )

    async def _forward(self) -> None:
        progress, sink = build_progress(
            route=build_route(kind=RequestKind.once)
        )
        self.sink: MemorySink = sink
        await build_forwarder(self.backends).forward(progress)
