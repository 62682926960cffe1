"""Sound servers whose answers are taken for cut ones."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from seampond.forwarding.forwarder import AbortedResponseError
from seampond.forwarding.models import RequestKind
from seampond.forwarding.refusals import Refusal
from seampond.testing.gateways import (
    ID_HEADER,
    STAMP_HEADER,
    MemorySink,
    build_backends,
    build_forwarder,
    build_progress,
    build_route,
    build_server,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_unframed_response,
    read_request,
    reset_connection,
)
from seampond.testing.virtual_time import VirtualTimeCase

_ANSWERS = 30
_RESET_ANSWER = 10
_CUT_HEAD_BYTES = 40
_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def _format_answer(request: ReceivedRequest, body: bytes) -> bytes:
    headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
    return format_unframed_response(headers, body)


class SurvivalVerdictTest(VirtualTimeCase):
    """One server that runs on after each answer."""

    async def test_one_reset_makes_later_answers_lost(self) -> None:
        """Each wrong verdict is the reason for the next one."""

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.15)
            if request.get(ID_HEADER) == f'r{_RESET_ANSWER}':
                reset_connection(writer)
            else:
                writer.write(_format_answer(request, b'whole'))

        self._listen(socket.create_server(('127.0.0.1', 0)))
        await self._serve(answer)
        forwarding = []
        for number in range(_ANSWERS):
            forwarding.append(asyncio.create_task(self._forward(number)))
            await asyncio.sleep(0.02)
        sinks = await asyncio.gather(*forwarding)
        complete = sum(sink.is_complete for sink in sinks)
        self.assertEqual(complete, _ANSWERS - 1)

    async def test_cut_heads_make_sound_answers_lost(self) -> None:
        """Each other answer ends in its head, and the server runs on."""

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.15)
            whole = _format_answer(request, b'whole')
            is_cut = int(request.get(ID_HEADER)[1:]) % 2
            writer.write(whole[:_CUT_HEAD_BYTES] if is_cut else whole)

        self._listen(socket.create_server(('127.0.0.1', 0)))
        await self._serve(answer)
        forwarding = []
        for number in range(_ANSWERS):
            forwarding.append(asyncio.create_task(self._forward(number)))
            await asyncio.sleep(0.02)
        sinks = await asyncio.gather(*forwarding)
        complete = [sink.is_complete for sink in sinks]
        self.assertEqual(sum(complete), _ANSWERS // 2, complete)

    async def test_server_with_a_full_backlog_is_taken_for_lost(self) -> None:
        """It does not accept a connection in time, but refuses none."""
        listening = socket.create_server(('127.0.0.1', 0), backlog=0)
        self._listen(listening)
        listening.setblocking(False)
        forwarding = asyncio.create_task(self._forward(1))
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(listening)
        reader, writer = await asyncio.open_connection(sock=accepted)
        request = await read_request(reader)
        for _ in range(4):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex(listening.getsockname())
        writer.write(_format_answer(request, b'whole'))
        await writer.drain()
        writer.close()
        sink = await forwarding
        self.assertEqual(sink.body, b'whole')

    async def test_whole_stream_is_aborted_at_its_deadline(self) -> None:
        """It ends in time, the check of its server does not."""

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_format_answer(request, _EVENTS))
            await asyncio.sleep(0.43)

        self._listen(socket.create_server(('127.0.0.1', 0)))
        await self._serve(answer)
        sink = await self._forward(1, kind=RequestKind.stream, timeout_ms=500)
        self.assertEqual(sink.body, _EVENTS)
        self.assertTrue(sink.is_complete)

    def _listen(self, listening: socket.socket) -> None:
        self.addCleanup(listening.close)
        self.listening = listening
        host, port = listening.getsockname()
        server = build_server('i', f'{host}:{port}', slots=_ANSWERS)
        self.forwarder = build_forwarder(build_backends([server]))

    async def _serve(self, answer: Answer) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await answer(await read_request(reader), writer)
            except asyncio.IncompleteReadError:
                """A connection without a request."""
            finally:
                writer.close()

        server = await asyncio.start_server(serve, sock=self.listening)
        self.addCleanup(server.close)

    async def _forward(
        self,
        number: int,
        kind: RequestKind = RequestKind.once,
        timeout_ms: int = 3000,
    ) -> MemorySink:
        """Forward one request; return what its caller receives."""
        progress, sink = build_progress(
            request_id=f'r{number}',
            fingerprint=number + 1,
            route=build_route(kind=kind, timeout_ms=timeout_ms),
        )
        try:
            await self.forwarder.forward(progress)
        except (Refusal, AbortedResponseError):
            """The sink tells what was received."""
        return sink
