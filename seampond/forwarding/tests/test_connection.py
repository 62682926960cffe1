"""One connection to a server: answers whole, short, late, crossed."""

import asyncio
import unittest
from types import MappingProxyType

from seampond.clock import Clock
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.response_head import ExchangeError
from seampond.testing.gateways import ID_HEADER
from seampond.testing.scripted import (
    Received,
    run_scripted,
    write_answer,
    write_chunks,
)
from seampond.testing.scripted import reset as reset_connection

_IDS = MappingProxyType({ID_HEADER: 'r1'})


async def _read(connection: Connection) -> tuple[int, bytes]:
    head = await connection.read_head()
    parts: list[bytes] = []
    while True:
        part = await connection.read_chunk()
        if part is None:
            return head.status, b''.join(parts)
        parts.append(part)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """What an answer must be to count."""

    async def test_whole_answer_keeps_the_connection(self) -> None:
        """An answer with its length."""
        answer = write_answer(200, _IDS, b'hello')
        self.assertEqual(await self._ask(answer), (200, b'hello', True))

    async def test_chunked_answer(self) -> None:
        """An answer in chunks, with its end."""
        answer = write_chunks(_IDS, b'one', b'two', b'')
        self.assertEqual(await self._ask(answer), (200, b'onetwo', True))

    async def test_interim_answer_is_passed_over(self) -> None:
        """A 100 is no answer."""
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        answer = write_answer(200, _IDS, b'hello')
        status, body, _ = await self._ask(interim, answer)
        self.assertEqual((status, body), (200, b'hello'))

    async def test_short_answer_fails(self) -> None:
        """A body shorter than its length never looks whole."""
        answer = write_answer(200, _IDS, b'hel', length=5)
        with self.assertRaises(ExchangeError) as caught:
            await self._ask(answer, reset=True)
        self.assertTrue(caught.exception.was_sent)

    async def test_chunks_without_their_end_fail(self) -> None:
        """A chunked body without its end never looks whole."""
        with self.assertRaises(ExchangeError):
            await self._ask(write_chunks(_IDS, b'one'), reset=True)

    async def test_unframed_answer_ends_with_the_connection(self) -> None:
        """An answer without a length, ended cleanly."""
        answer = f'HTTP/1.1 200 EOF\r\n{ID_HEADER}: r1\r\n\r\nhello'.encode()
        self.assertEqual(await self._ask(answer), (200, b'hello', False))

    async def test_unframed_answer_that_is_reset_fails(self) -> None:
        """An answer without a length, reset on the way."""
        answer = f'HTTP/1.1 200 EOF\r\n{ID_HEADER}: r1\r\n\r\nhello'.encode()
        with self.assertRaises(ExchangeError):
            await self._ask(answer, reset=True)

    async def test_answer_of_another_request_is_skipped(self) -> None:
        """A late answer before ours; the connection is not used again."""
        late = write_answer(200, {ID_HEADER: 'r0'}, b'not yours')
        ours = write_answer(200, _IDS, b'yours')
        self.assertEqual(await self._ask(late, ours), (200, b'yours', False))

    async def test_surplus_answer_ends_the_connection(self) -> None:
        """Bytes after a whole answer belong to nobody."""
        ours = write_answer(200, _IDS, b'yours')
        both = ours + write_answer(200, _IDS, b'again')
        self.assertEqual(await self._ask(both), (200, b'yours', False))

    async def test_answer_without_an_id_fails(self) -> None:
        """An answer that names no request is nobody's."""
        with self.assertRaises(ExchangeError):
            await self._ask(write_answer(200, {}, b'whose'))

    async def test_bytes_that_form_no_answer_fail(self) -> None:
        """Garbage is an error, not silence."""
        with self.assertRaises(ExchangeError):
            await self._ask(b'\x00\x01garbage\r\n\r\n')

    async def test_no_answer_was_sent_all_the_same(self) -> None:
        """A closed connection says nothing about the run."""
        with self.assertRaises(ExchangeError) as caught:
            await self._ask()
        self.assertTrue(caught.exception.was_sent)

    async def test_refused_connection_was_not_sent(self) -> None:
        """Only a failed connect proves that nothing was sent."""
        with self.assertRaises(ExchangeError) as caught:
            await open_connection('127.0.0.1:9', Clock(), b'x', 500)
        self.assertFalse(caught.exception.was_sent)

    async def test_closing_answer_is_not_kept(self) -> None:
        """`Connection: close` is heeded."""
        answer = write_answer(200, {**_IDS, 'Connection': 'close'}, b'hello')
        self.assertEqual(await self._ask(answer), (200, b'hello', False))

    async def test_surplus_on_an_idle_connection_ends_it(self) -> None:
        """An answer that nobody waits for is not the next one's."""

        async def handle(
            request: Received, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(write_answer(200, _IDS, b'one'))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(write_answer(200, {ID_HEADER: 'r2'}, b'two'))

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

    async def test_early_answer_with_the_body_due_is_not_kept(self) -> None:
        """What is left of a body would be read as the next request."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(write_answer(503, _IDS, b'early'))
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

    async def _ask(
        self, *answers: bytes, reset: bool = False
    ) -> tuple[int, bytes, bool]:
        """Send one request; give the answer and whether it may be reused."""

        async def handle(
            request: Received, writer: asyncio.StreamWriter
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
                is_kept = connection.finish(1000)
            finally:
                connection.close()
        return status, body, is_kept
