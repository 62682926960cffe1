"""A gateway process and callers outside the limits, or that do not read."""

import asyncio
import tempfile
import unittest
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any

from seampond.backing.http_client import make_client
from seampond.platform.tests.rows import (
    ID_HEADER,
    STAMP_HEADER,
    put_configuration,
    put_server,
)
from seampond.testing.gateway_processes import (
    GatewayProcess,
    run_gateways,
    wait_ready,
)
from seampond.testing.misbehaving import (
    Crowd,
    Flood,
    ask,
    count_descriptors,
    gather_crowd,
    make_blocks,
    make_request,
    read_memory,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)
from seampond.testing.store import StandInStore, run_store

# What a gateway may use at the target size.
_MEMORY_MAX = 128_000_000
_DESCRIPTORS_MAX = 512
_CROWD = 6
_VOLUME = 33_554_432
# More than the buffers of both systems, which take bytes that nobody reads.
_LONGEST_MAX = 16_777_216
_BODY_BYTES = 4_194_304
_HEAD_BYTES = 16_384
_UPLOADS = 40
_CONNECTIONS = 300
_IDLE_CONNECTIONS = 600
_ANSWER = b'a' * 1_048_576
_MORE_SETTINGS = MappingProxyType(
    {'test_idle_connections': '[gateway.callers]\nconnections = 256\n'}
)


class MisbehavingCallersTest(unittest.IsolatedAsyncioTestCase):
    """One gateway and two servers."""

    gateway: GatewayProcess
    store: StandInStore

    async def asyncSetUp(self) -> None:
        """Start the processes."""
        self._answer = b'whole'
        self._may_answer = asyncio.Event()
        self._may_answer.set()
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.store = await stack.enter_async_context(run_store())
        put_configuration(self.store)
        for name in ('i-0', 'i-1'):
            server = await stack.enter_async_context(run_scripted(self._serve))
            put_server(self.store, name, server.address)
        gateways = await stack.enter_async_context(
            run_gateways(
                Path(folder),
                self.store,
                count=1,
                more_settings=_MORE_SETTINGS.get(self._testMethodName, ''),
            )
        )
        await wait_ready(gateways, make_client(1))
        self.gateway = gateways[0]

    async def test_header_lines(self) -> None:
        """A head without end."""
        await self._check_flood(Flood.header_lines)

    async def test_short_header_lines(self) -> None:
        """A head whose lines take more memory than bytes."""
        await self._check_flood(Flood.short_header_lines)

    async def test_header_value(self) -> None:
        """A header line without end."""
        await self._check_flood(Flood.header_value)

    async def test_header_name(self) -> None:
        """The name of a header without end."""
        await self._check_flood(Flood.header_name)

    async def test_request_line(self) -> None:
        """A request line without end."""
        await self._check_flood(Flood.request_line)

    async def test_empty_lines(self) -> None:
        """Empty lines before a request without end."""
        await self._check_flood(Flood.empty_lines)

    async def test_trailer_lines(self) -> None:
        """Trailers of a body without end."""
        await self._check_flood(Flood.trailer_lines)

    async def test_trailer_value(self) -> None:
        """A trailer line without end."""
        await self._check_flood(Flood.trailer_value)

    async def test_late_trailer(self) -> None:
        """A trailer without end behind a body as large as allowed."""
        await self._check_flood(Flood.late_trailer)

    async def test_chunk_extension(self) -> None:
        """The extension of a chunk without end."""
        await self._check_flood(Flood.chunk_extension)

    async def test_body(self) -> None:
        """A body without end."""
        await self._check_flood(Flood.body)

    async def test_head_at_other_listeners(self) -> None:
        """The pages for the load balancer and for operators."""
        for port in (1, 2):
            await self._check_flood(Flood.header_lines, port)

    async def test_trailers_at_other_listeners(self) -> None:
        """The pages are answered before the body has arrived."""
        for port in (1, 2):
            await self._check_flood(Flood.trailer_lines, port)

    async def test_bare_requests_sent_ahead(self) -> None:
        """Requests without the usual headers, answers unread."""
        await self._check_requests_ahead(Flood.bare_requests)

    async def test_closing_requests_sent_ahead(self) -> None:
        """Requests behind one that asks for the end of the connection."""
        await self._check_requests_ahead(Flood.closing_requests)

    async def test_requests_sent_ahead(self) -> None:
        """Requests that a server answers, answers unread."""
        await self._check_requests_ahead(Flood.requests)

    async def test_pages_requested_ahead(self) -> None:
        """Pages for operators, answers unread."""
        await self._check_requests_ahead(Flood.bare_requests, 2)

    async def test_heads_of_many_connections(self) -> None:
        """Each head is within the limit and does not end."""
        lines = b'a:\r\n' * (_HEAD_BYTES - 1)
        payload = b'POST /x/y HTTP/1.1\r\n%b' % lines
        async with gather_crowd(self.gateway.ports[0]) as crowd:
            await self._check(
                crowd, *(crowd.hold(payload) for _ in range(_CONNECTIONS))
            )

    async def test_bodies_of_many_connections(self) -> None:
        """Each body is within the limit and lacks its last byte."""
        payload = make_request('upload', b'b' * _BODY_BYTES)[:-1]
        async with gather_crowd(self.gateway.ports[0]) as crowd:
            await self._check(
                crowd, *(crowd.hold(payload) for _ in range(_UPLOADS))
            )

    async def test_large_requests_that_wait(self) -> None:
        """Each body is whole, and no server answers."""
        body = b'b' * _BODY_BYTES
        self._may_answer.clear()
        async with gather_crowd(self.gateway.ports[0]) as crowd:
            await self._check(
                crowd,
                *(
                    crowd.hold(make_request(f'upload-{number}', body))
                    for number in range(_UPLOADS)
                ),
            )

    async def test_answers_of_many_connections(self) -> None:
        """No caller reads its answer."""
        self._answer = _ANSWER
        async with gather_crowd(self.gateway.ports[0]) as crowd:
            await self._check(
                crowd,
                *(
                    crowd.hold(make_request(f'unread-{number}'))
                    for number in range(_CONNECTIONS)
                ),
            )

    async def test_idle_connections(self) -> None:
        """More than the descriptors that a gateway may use."""
        async with gather_crowd(self.gateway.ports[0]) as crowd:
            await self._check(
                crowd, *(crowd.connect() for _ in range(_IDLE_CONNECTIONS))
            )

    async def _check_flood(self, flood: Flood, port: int = 0) -> None:
        """Check that connections that send without end are closed."""
        async with gather_crowd(self.gateway.ports[port]) as crowd:
            make = make_blocks(flood)
            await self._check(
                crowd, *(crowd.flood(make, _VOLUME) for _ in range(_CROWD))
            )
        self.assertLess(crowd.longest_bytes, _LONGEST_MAX, 'not closed')

    async def _check_requests_ahead(self, flood: Flood, port: int = 0) -> None:
        async with gather_crowd(self.gateway.ports[port]) as crowd:
            make = make_blocks(flood)
            await self._check(
                crowd, *(crowd.flood(make, _VOLUME) for _ in range(_CROWD))
            )

    async def _check(
        self, crowd: Crowd, *sends: Coroutine[Any, Any, object]
    ) -> None:
        """Check the process after the crowd has sent what it can."""
        process = self.gateway.process
        assert process is not None
        await asyncio.gather(*sends)
        if self._may_answer.is_set():
            await self._check_sound_request('meanwhile')
        self.assertIsNone(process.returncode, 'the gateway has ended')
        memory = read_memory(process.pid)
        descriptors = count_descriptors(process.pid)
        await crowd.close()
        self._may_answer.set()
        await self._check_sound_request('afterwards')
        memory = max(memory, read_memory(process.pid))
        self.assertLess(memory, _MEMORY_MAX, 'memory in bytes')
        self.assertLess(descriptors, _DESCRIPTORS_MAX, 'descriptors')

    async def _check_sound_request(self, name: str) -> None:
        self._answer = b'whole'
        answer = await ask(self.gateway.ports[0], name)
        self.assertEqual(answer, (200, b'whole'), name)

    async def _serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self._may_answer.wait()
        headers = {
            ID_HEADER: request.get(ID_HEADER),
            STAMP_HEADER: 's',
        }
        writer.write(format_response(200, headers, self._answer))
