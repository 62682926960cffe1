"""A gateway process before a server that sends bytes without end."""

import asyncio
import tempfile
import unittest
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
    Endless,
    EndlessReport,
    compute_served_share,
    format_head,
    measure_gateway,
    send_endless,
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
from seampond.testing.store import run_store

# An event of 256 KiB is long, and not without end.
_EVENTS = b'id: 1\ndata: %b\n\n' % (b'x' * 262_144)
_WARM_UP_S = 1
_LOAD_S = 3
# More than one server has slots, so that both are used.
_CALLERS = 4
_SLOTS = 2
_MAX_GROWTH_MIB = 8
_MIN_SERVED_SHARE = 0.9


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Two servers, one of them sound."""

    async def test_head_without_end_holds_its_request(self) -> None:
        """Until the deadline, and its lines fill the memory."""
        await self._check(Endless.garbage, IDEMPOTENT)
        await self._check(Endless.header_lines, IDEMPOTENT)
        await self._check(Endless.header_value, IDEMPOTENT)
        await self._check(Endless.interim_heads, IDEMPOTENT)

    async def test_framing_without_end_holds_its_request(self) -> None:
        """Trailers fill the memory, extensions of chunks only wait."""
        await self._check(Endless.trailers, IDEMPOTENT)
        await self._check(Endless.chunk_extension, IDEMPOTENT)
        await self._check(Endless.chunk_extension, STREAM)

    async def test_event_without_end_fills_the_memory(self) -> None:
        """And holds its request until the deadline."""
        await self._check(Endless.event, STREAM)

    async def test_body_without_end_is_read_on(self) -> None:
        """Or bytes after a whole answer are."""
        await self._check(Endless.body, IDEMPOTENT)
        await self._check(Endless.surplus, IDEMPOTENT)

    async def _check(self, kind: Endless, route: str) -> None:
        with self.subTest(kind=kind.value, route=route):
            report, begun = await self._measure(kind, route)
            seen = f'{len(report.asked)} asked, {len(begun)} at the faulty one'
            for requests in (report.asked, begun):
                share = compute_served_share(report, requests)
                self.assertGreaterEqual(share, _MIN_SERVED_SHARE, seen)
            self.assertLess(report.growth_mib, _MAX_GROWTH_MIB)

    async def _measure(
        self, kind: Endless, route: str
    ) -> tuple[EndlessReport, set[str]]:
        """Measure a gateway after a server turns faulty.

        Returns
        -------
        EndlessReport, set[str]
            The report and the requests that reached the faulty server.

        """
        begun: set[str] = set()
        turned = asyncio.Event()

        async def serve(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_format_answer(request))

        async def serve_faulty(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if not turned.is_set():
                await serve(request, writer)
                return
            begun.add(request.get(ID_HEADER))
            answer = _format_answer(request)
            await send_endless(kind, request, writer, answer)

        with tempfile.TemporaryDirectory() as folder:
            async with (
                run_store() as store,
                run_scripted(serve) as sound,
                run_scripted(serve_faulty) as faulty,
                run_gateways(Path(folder), store, count=1) as gateways,
            ):
                put_configuration(
                    store,
                    ConfigurationRow(kind=route, may_resume=route == STREAM),
                )
                put_server(store, 'i-sound', sound.address, slots=_SLOTS)
                put_server(store, 'i-faulty', faulty.address, slots=_SLOTS)
                async with open_client(1) as client:
                    await wait_ready(gateways, client)
                await _measure(gateways[0], _WARM_UP_S)
                turned.set()
                report = await _measure(gateways[0], _LOAD_S)
        self.assertTrue(begun)
        return report, begun


def _format_answer(request: ReceivedRequest) -> bytes:
    chunks = format_chunk(_EVENTS), format_chunk(b'')
    return b''.join((format_head(request), *chunks))


async def _measure(gateway: GatewayProcess, seconds: float) -> EndlessReport:
    assert gateway.process is not None
    return await measure_gateway(
        gateway.ports[0],
        gateway.process.pid,
        _EVENTS,
        callers=_CALLERS,
        seconds=seconds,
    )
