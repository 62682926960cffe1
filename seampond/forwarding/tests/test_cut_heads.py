"""Answers whose heads are cut or state a wrong length."""

import asyncio
import itertools
import unittest
from collections.abc import Iterator

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
    reset_connection,
    run_scripted,
)

_BODY = b'hello whole body'
_EVENTS = b'id: 1\ndata: a\n\n'
_FIELDS = f'{ID_HEADER}: r1\r\n{STAMP_HEADER}: s\r\n'.encode()
_CUT_HEADS = (
    b'HTTP/1.1 200 OK\r\n%bcontent-length: 16\r\n\r\n' % _FIELDS,
    b'HTTP/1.1 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n' % _FIELDS,
    b'HTTP/1.1 200 OK\r\n%b\r\n' % _FIELDS,
    b'HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\n%b\r\n' % _FIELDS,
    b'HTTP/1.0 200\r\n%b\r\n' % _FIELDS,
    b'HTTP/1.1 204 X\r\n%b\r\n' % _FIELDS,
)
_WRONG_LENGTHS = (
    b'content-length: 1',
    b'content-length: 0',
    b'content-length: 1\r\nconnection: close',
    b'connection: upgrade\r\nupgrade: x\r\ncontent-length: 1',
)
_WRONG_FRAMES = (
    b'content-length:',
    b'content-length: -1',
    b'content-length: +3',
    b'content-length: 1 6',
    b'content-length: 3, 3',
    b'content-length: 99999999999999999999999',
    b'content-length: 16\r\ncontent-length: 3',
    b'content-length: 3\r\ntransfer-encoding: chunked',
    b'transfer-encoding: chunked\r\ncontent-length: 3',
    b'transfer-encoding: chu',
)
_WRONG_SIZES = (b'1', b'', b'-1', b'+1', b'0x10', b'1f', b'g', b'f' * 17)


def _iterate_wrong_frames() -> Iterator[bytes]:
    """Return answers whose heads or chunks are framed in a wrong way."""
    for frame, body in itertools.product(
        _WRONG_FRAMES, (_BODY, b'10\r\n%b\r\n0\r\n\r\n' % _BODY)
    ):
        yield b'HTTP/1.1 200 OK\r\n%b%b\r\n\r\n%b' % (_FIELDS, frame, body)
    for size, end in itertools.product(
        _WRONG_SIZES, (b'', b'\r\n', b'\r\n%b\r\n0\r\n\r\n' % _BODY)
    ):
        yield _CUT_HEADS[1] + size + end


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """One server that lives on after each answer."""

    async def test_answer_longer_than_its_length_is_taken_for_whole(
        self,
    ) -> None:
        """The rest of its body follows."""
        for fields, kind in itertools.product(
            _WRONG_LENGTHS, (RequestKind.once, RequestKind.stream)
        ):
            head = b'HTTP/1.1 200 OK\r\n%b%b\r\n\r\n' % (_FIELDS, fields)
            body = _EVENTS if kind is RequestKind.stream else _BODY
            with self.subTest(fields=fields, kind=kind):
                await self._check_incomplete(head + body, kind)

    async def test_bytes_after_the_last_chunk_are_left_out(self) -> None:
        """The size of a chunk in its middle was cut to 0."""
        chunks = b'5\r\nhello\r\n0\r\n\r\nwhole body\r\n0\r\n\r\n'
        await self._check_incomplete(_CUT_HEADS[1] + chunks, RequestKind.once)

    async def test_cut_head_is_taken_for_an_answer(self) -> None:
        """At each byte, by an end of the connection and by a reset."""
        for head, is_reset in itertools.product(_CUT_HEADS, (False, True)):
            for cut, _ in enumerate(head):
                with self.subTest(sent=head[:cut], is_reset=is_reset):
                    await self._check_incomplete(
                        head[:cut], RequestKind.once, is_reset=is_reset
                    )

    async def test_wrong_frame_is_taken_for_an_answer(self) -> None:
        """Its length or the size of a chunk has no sound value."""
        for sent in _iterate_wrong_frames():
            with self.subTest(sent=sent):
                await self._check_incomplete(sent, RequestKind.once)

    async def test_event_behind_a_cut_head_is_left_out(self) -> None:
        """Its lines end as those of a head do, and count as such."""
        events = b'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n'
        head = b'HTTP/1.1 200 OK\r\n%b' % _FIELDS
        for cut in (len(head), len(head) - 2):
            with self.subTest(cut=cut):
                sink = await self._forward(
                    head[:cut] + events, RequestKind.stream, is_reset=False
                )
                self.assertEqual(bytes(sink.body), b'')
                self.assertFalse(sink.is_complete)

    async def _check_incomplete(
        self, sent: bytes, kind: RequestKind, *, is_reset: bool = False
    ) -> None:
        sink = await self._forward(sent, kind, is_reset=is_reset)
        self.assertFalse(sink.is_complete, sink.body)

    async def _forward(
        self, sent: bytes, kind: RequestKind, *, is_reset: bool
    ) -> MemorySink:
        """Forward a request; return what its caller receives."""

        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sent)
            await writer.drain()
            if is_reset:
                reset_connection(writer)
            raise ConnectionAbortedError

        async with run_scripted(handle) as server:
            backends = build_backends([build_server('i', server.address)])
            progress, sink = build_progress(
                route=build_route(kind=kind, target_ms=50, attempts=1)
            )
            try:
                await build_forwarder(backends).forward(progress)
            except (Refusal, AbortedResponseError):
                """The sink tells what was received."""
        return sink
