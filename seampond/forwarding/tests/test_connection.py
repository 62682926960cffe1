"""Connection: complete, truncated, late and mismatched answers."""

import asyncio
import unittest
from types import MappingProxyType

from seampond.clock import Clock
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.response_head import ExchangeError
from seampond.testing.endless import Endless, send_endless
from seampond.testing.gateways import ID_HEADER
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunked_response,
    format_response,
    reset_connection,
    run_scripted,
)

_IDS = MappingProxyType({ID_HEADER: 'r1'})


async def _read(connection: Connection) -> tuple[int, bytes]:
    head = await connection.read_head()
    chunks: list[bytes] = []
    while True:
        chunk = await connection.read_chunk()
        if chunk is None:
            return head.status, b''.join(chunks)
        chunks.append(chunk)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Checks on received answers."""

    async def test_complete_answer_keeps_the_connection(self) -> None:
        """An answer with a length leaves the connection reusable."""
        answer = format_response(200, _IDS, b'hello')
        self.assertEqual(await self._ask(answer), (200, b'hello', True))

    async def test_chunked_answer(self) -> None:
        """The chunks are joined up to the last one."""
        answer = format_chunked_response(_IDS, b'one', b'two', b'')
        self.assertEqual(await self._ask(answer), (200, b'onetwo', True))

    async def test_interim_answer_is_skipped(self) -> None:
        """A 100 is not taken for the answer."""
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        answer = format_response(200, _IDS, b'hello')
        status, body, _ = await self._ask(interim, answer)
        self.assertEqual((status, body), (200, b'hello'))

    async def test_short_answer_fails(self) -> None:
        """A body shorter than its length is an error."""
        answer = format_response(200, _IDS, b'hel', length=5)
        with self.assertRaises(ExchangeError) as caught:
            await self._ask(answer, reset=True)
        self.assertTrue(caught.exception.was_sent)

    async def test_chunks_without_their_end_fail(self) -> None:
        """A chunked body without its last chunk is an error."""
        with self.assertRaises(ExchangeError):
            await self._ask(format_chunked_response(_IDS, b'one'), reset=True)

    async def test_unframed_answer_ends_with_the_connection(self) -> None:
        """The end of the connection completes an answer without length."""
        answer = f'HTTP/1.1 200 EOF\r\n{ID_HEADER}: r1\r\n\r\nhello'.encode()
        self.assertEqual(await self._ask(answer), (200, b'hello', False))

    async def test_unframed_answer_that_is_reset_fails(self) -> None:
        """A reset does not complete an answer without a length."""
        answer = f'HTTP/1.1 200 EOF\r\n{ID_HEADER}: r1\r\n\r\nhello'.encode()
        with self.assertRaises(ExchangeError):
            await self._ask(answer, reset=True)

    async def test_answer_of_another_request_is_skipped(self) -> None:
        """A late answer makes the connection unusable for later requests."""
        late = format_response(200, {ID_HEADER: 'r0'}, b'not yours')
        own = format_response(200, _IDS, b'yours')
        self.assertEqual(await self._ask(late, own), (200, b'yours', False))

    async def test_surplus_answer_ends_the_connection(self) -> None:
        """A second answer makes the connection unusable."""
        own = format_response(200, _IDS, b'yours')
        both = own + format_response(200, _IDS, b'again')
        self.assertEqual(await self._ask(both), (200, b'yours', False))

    async def test_answer_without_an_id_fails(self) -> None:
        """An answer without a request id cannot be matched."""
        with self.assertRaises(ExchangeError):
            await self._ask(format_response(200, {}, b'whose'))

    async def test_invalid_http_fails(self) -> None:
        """Invalid bytes are reported as an error at once."""
        with self.assertRaises(ExchangeError):
            await self._ask(b'\x00\x01garbage\r\n\r\n')

    async def test_missing_answer_counts_as_sent(self) -> None:
        """The request may have run although no answer arrived."""
        with self.assertRaises(ExchangeError) as caught:
            await self._ask()
        self.assertTrue(caught.exception.was_sent)

    async def test_refused_connection_was_not_sent(self) -> None:
        """A failed connect proves that nothing was sent."""
        with self.assertRaises(ExchangeError) as caught:
            await open_connection('127.0.0.1:9', Clock(), b'x', 500)
        self.assertFalse(caught.exception.was_sent)

    async def test_bytes_without_end_hold_the_request(self) -> None:
        """They bring no head, or nothing of the body."""
        for kind in (
            Endless.header_lines,
            Endless.header_value,
            Endless.interim_heads,
            Endless.trailers,
            Endless.chunk_extension,
        ):
            with self.subTest(kind=kind.value):
                await self._check_endless(kind)

    async def test_long_head_is_too_long(self) -> None:
        """Of 16 KiB, after heads of 1xx of as much."""
        interim = b'HTTP/1.1 102 Processing\r\n\r\n' * 600
        headers = {f'x{number}': 'x' * 1016 for number in range(16)}
        answer = format_response(200, {**_IDS, **headers}, b'hello')
        self.assertEqual(
            await self._ask(interim, answer), (200, b'hello', True)
        )

    async def test_connection_close_is_honoured(self) -> None:
        """A connection is not reused after `Connection: close`."""
        answer = format_response(200, {**_IDS, 'Connection': 'close'}, b'hello')
        self.assertEqual(await self._ask(answer), (200, b'hello', False))

    async def test_unexpected_bytes_close_an_idle_connection(self) -> None:
        """An unexpected answer must not be matched to the next request."""

        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(format_response(200, _IDS, b'one'))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(format_response(200, {ID_HEADER: 'r2'}, b'two'))

        async with asyncio.timeout(5), run_scripted(handle) as server:
            connection = await open_connection(
                server.address, Clock(), ID_HEADER.encode(), 1000
            )
            connection.send(b'r1', b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
            await _read(connection)
            self.assertTrue(connection.finish(60_000))
            while connection.is_usable:
                await asyncio.sleep(0.01)
            connection.close()

    async def test_early_answer_closes_the_connection(self) -> None:
        """The unsent rest of a body would be read as the next request."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(format_response(503, _IDS, b'early'))
            await writer.drain()
            await asyncio.sleep(5)

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        connection = await open_connection(
            f'{host}:{port}', Clock(), ID_HEADER.encode(), 1000
        )
        size = 33_554_432
        head = f'POST /x HTTP/1.1\r\nContent-Length: {size}\r\n\r\n'.encode()
        connection.send(b'r1', head + bytes(size))
        status, _ = await _read(connection)
        self.assertEqual(status, 503)
        self.assertFalse(connection.finish(60_000))
        server.close()

    async def _check_endless(self, kind: Endless) -> None:
        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await send_endless(kind, request, writer)

        async with asyncio.timeout(5), run_scripted(handle) as server:
            connection = await open_connection(
                server.address, Clock(), b'', 1000
            )
            connection.send(b'r1', b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
            with self.assertRaisesRegex(ExchangeError, 'without any'):
                await _read(connection)
            self.assertFalse(connection.is_open)

    async def _ask(
        self, *answers: bytes, reset: bool = False
    ) -> tuple[int, bytes, bool]:
        """Return the answer and whether the connection is reusable."""

        async def handle(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            for answer in answers:
                writer.write(answer)
                await writer.drain()
            if reset:
                reset_connection(writer)
            elif not answers or answers[-1].startswith(b'HTTP/1.1 200 EOF'):
                writer.close()

        async with asyncio.timeout(5), run_scripted(handle) as server:
            connection = await open_connection(
                server.address, Clock(), ID_HEADER.encode(), 1000
            )
            connection.send(b'r1', b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
            try:
                status, body = await _read(connection)
                is_reusable = connection.finish(1000)
            finally:
                connection.close()
        return status, body, is_reusable
