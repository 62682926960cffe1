"""A gateway process before servers that answer slowly and without end.

Each answer stays within its limit; their sum needs one as well.
"""

import asyncio
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path

from seampond.backing.http_client import open_client
from seampond.platform.tests.rows import (
    ID_HEADER,
    IDEMPOTENT,
    STREAM,
    ConfigurationRow,
    put_configuration,
    put_server,
)
from seampond.testing.endless import (
    EndlessReport,
    Trickle,
    format_head,
    measure_gateway,
    send_trickle,
)
from seampond.testing.gateway_processes import (
    GatewayProcess,
    run_gateways,
    wait_ready,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunk,
    run_scripted,
)
from seampond.testing.store import StandInStore, run_store

_EVENT = b'id: 1\ndata: x\n\n'
_FAULTY = 12
_SLOTS = 20
_CALLERS = 240
_LOAD_S = 5
_MAX_MIB = 128
# The largest that counts as small.
_BODY_BYTES = 65_536
# Routes time out within this time.
_SETTLED_S = 6


class SlowAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Twelve servers in trouble and a sound one."""

    async def test_bodies_without_a_length_fill_the_memory(self) -> None:
        """They are collected whole before they are passed on."""
        await self._check(Trickle.unframed_body, IDEMPOTENT)

    async def test_bodies_in_chunks_fill_the_memory(self) -> None:
        """They are collected whole before they are passed on."""
        await self._check(Trickle.chunked_body, IDEMPOTENT)

    async def test_events_fill_the_memory(self) -> None:
        """Only whole events are passed on."""
        await self._check(Trickle.event, STREAM)

    async def test_header_lines_fill_the_memory(self) -> None:
        """A head is passed on whole; each line is an object."""
        await self._check(Trickle.header_lines, IDEMPOTENT)
        await self._check(Trickle.short_lines, IDEMPOTENT)

    async def test_tiny_chunks_fill_the_memory(self) -> None:
        """Each chunk is an object."""
        await self._check(Trickle.tiny_chunks, IDEMPOTENT)

    async def test_large_bodies_and_answers_fill_the_memory(self) -> None:
        """What callers and servers hold has one bound."""
        body = b'x' * _BODY_BYTES
        await self._check(Trickle.unframed_body, IDEMPOTENT, body)

    async def _check(
        self, kind: Trickle, route: str, body: bytes = b'asked'
    ) -> None:
        sound_ids: set[str] = set()

        async def serve(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            sound_ids.add(request.get(ID_HEADER))
            writer.write(_format_answer(request))

        async def serve_faulty(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await send_trickle(kind, request, writer)

        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            store = await stack.enter_async_context(run_store())
            sound = await stack.enter_async_context(run_scripted(serve))
            gateways = await stack.enter_async_context(
                run_gateways(Path(folder), store, count=1)
            )
            put_configuration(store, ConfigurationRow(kind=route))
            put_server(store, 'i-sound', sound.address, slots=_SLOTS)
            client = await stack.enter_async_context(open_client(1))
            await wait_ready(gateways, client)
            for number in range(_FAULTY):
                faulty = await stack.enter_async_context(
                    run_scripted(serve_faulty)
                )
                put_server(
                    store, f'i-faulty-{number}', faulty.address, slots=_SLOTS
                )
            report = await _measure(gateways[0], _CALLERS, _LOAD_S, body)
            self.assertLess(report.peak_mib, _MAX_MIB, kind.value)
            # What the sound server answered reached its caller.
            self.assertTrue(sound_ids)
            self.assertEqual(sound_ids - report.served, set())
            await self._check_calm(gateways[0], store)

    async def _check_calm(
        self, gateway: GatewayProcess, store: StandInStore
    ) -> None:
        """Check that the process lives and serves when the trouble is over."""
        for number in range(_FAULTY):
            store.delete('servers', f'i-faulty-{number}')
        await asyncio.sleep(_SETTLED_S)
        assert gateway.process is not None
        self.assertIsNone(gateway.process.returncode)
        report = await _measure(gateway, 1, 1)
        self.assertEqual(report.served, report.asked)


def _format_answer(request: ReceivedRequest) -> bytes:
    chunks = format_chunk(_EVENT), format_chunk(b'')
    return b''.join((format_head(request), *chunks))


async def _measure(
    gateway: GatewayProcess,
    callers: int,
    seconds: float,
    body: bytes = b'asked',
) -> EndlessReport:
    assert gateway.process is not None
    return await measure_gateway(
        gateway.ports[0],
        gateway.process.pid,
        _EVENT,
        callers=callers,
        seconds=seconds,
        body=body,
    )
