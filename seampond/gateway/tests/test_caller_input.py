"""What callers are told whose requests are incomplete or come together."""

import asyncio
import gc
import socket
from itertools import product
from typing import TypeVar

from seampond.forwarding.caller_protocol import CallerProtocol
from seampond.forwarding.job import Job
from seampond.gateway.tests.test_limits import LimitedCase
from seampond.platform.tests.rows import (
    DEADLINE_HEADER,
    HOST,
    ID_HEADER,
    KEY,
    PARTS_HEADER,
    TOKENS_HEADER,
)
from seampond.testing.gateways import wait_until
from seampond.testing.misbehaving import ask, make_request

_HEADER_BYTES = 400
_BODY_BYTES = 1000
# More than a caller sends before the answer to its head arrives.
_SENT_BYTES = 300_000
_TIMEOUT_S = 5
_Kind = TypeVar('_Kind')
_CHUNKED_HEAD = (
    'POST /x/y HTTP/1.1\r\n'
    f'Host: {HOST}\r\n{ID_HEADER}: r1\r\nAuthorization: Token {KEY}\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
)
_SIZED_HEAD = _CHUNKED_HEAD.replace(
    'Transfer-Encoding: chunked\r\n\r\n', 'Content-Length: '
)


class CallerInputTest(LimitedCase):
    """One gateway, one server, small limits."""

    async def test_refusals_reach_callers_that_still_send(self) -> None:
        """The connection is not reset while they send."""
        rest = 'x' * _SENT_BYTES
        for sent, status in (
            (f'GET /x/y HTTP/1.1\r\nx: {rest}', 431),
            (f'GET /{rest}', 431),
            (f'{_CHUNKED_HEAD}0\r\nx: {rest}\r\ny: {rest}', 413),
            (f'{_CHUNKED_HEAD}{_SENT_BYTES:x}\r\n{rest}\r\n', 413),
            (f'{_CHUNKED_HEAD}1;x={rest}', 413),
            (f'{_SIZED_HEAD}{_BODY_BYTES + 1}\r\n\r\n', 413),
            (f'{_SIZED_HEAD}18446744073709551615\r\n\r\n', 413),
            ('\r\n' * _SENT_BYTES, 431),
        ):
            with self.subTest(sent=sent[:100], status=status):
                await self._check_refused(sent, status)

    async def test_body_for_another_protocol_is_refused(self) -> None:
        """The parser would take it for the next request."""
        head = _CHUNKED_HEAD.replace(
            'Transfer-Encoding: chunked',
            'Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 3',
        )
        await self._check_refused(f'{head}ask', 400)

    async def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        """Each whole, and each sent once."""
        gateway = await self.start_ready()
        names = [f'ahead-{number}' for number in range(50)]
        sent = b''.join(map(make_request, names)).decode()
        reader, _ = await self.send(gateway, sent)
        async with asyncio.timeout(_TIMEOUT_S):
            for _ in names:
                answer = await reader.readuntil(b'whole')
                self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
        self.assertEqual(
            [request.get(ID_HEADER) for request in self.server.received], names
        )

    async def test_empty_lines_between_requests_are_ignored(self) -> None:
        """Some callers send one behind a body."""
        gateway = await self.start_ready()
        first, second = make_request('r1').decode(), make_request('r2').decode()
        reader, writer = await self.send(gateway, f'{first}\r\n')
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b'whole')
            writer.write(second.encode())
            answer = await reader.readuntil(b'whole')
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)

    async def test_connection_with_nothing_but_empty_lines_ends(self) -> None:
        """It gets no answer, since it has asked nothing."""
        gateway = await self.start_limited(header_timeout_ms=100)
        reader, _ = await self.send(gateway, '\r\n')
        self.assertEqual(await self.read_end(reader), b'')

    async def test_request_at_the_limits_is_served(self) -> None:
        """Its head and its body are as long as allowed."""
        gateway = await self.start_limited(
            max_header_bytes=_HEADER_BYTES, max_body_bytes=_BODY_BYTES
        )
        head, _, _ = make_request('r1').decode().partition('\r\n\r\n')
        lines = head.replace('Length: 3', f'Length: {_BODY_BYTES}').split(
            '\r\n'
        )[1:]
        size = sum(len(line) - len(': ') for line in lines)
        filler = 'a:\r\n' * (_HEADER_BYTES - size)
        body = 'b' * _BODY_BYTES
        first = head.partition('\r\n')[0]
        headers = '\r\n'.join(lines)
        reader, _ = await self.send(
            gateway, f'{first}\r\n{headers}\r\n{filler}\r\n{body}'
        )
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await reader.readuntil(b'whole')
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
        self.assertEqual(self.server.received[0].body, body.encode())

    async def test_long_numbers_do_not_fail_requests(self) -> None:
        """Neither the one that states them nor those that follow."""
        gateway = await self.start_ready()
        address = gateway.components.settings.listen
        headers = (DEADLINE_HEADER, TOKENS_HEADER, PARTS_HEADER)
        forms = ('{0}', '{0},{0}', 'a:{0}')
        for header, digits, form in product(headers, (10, 400, 5000), forms):
            stated = form.format('9' * digits)
            request = make_request('r1').replace(
                b'\r\n', f'\r\n{header}: {stated}\r\n'.encode(), 1
            )
            reader, _ = await self.send(gateway, request.decode())
            async with asyncio.timeout(_TIMEOUT_S):
                status = await reader.readuntil(b'\r\n')
            self.assertNotIn(b' 500 ', status, (header, digits))
            answer = await ask(address, 'r2')
            self.assertEqual(answer, (200, b'whole'), (header, digits))

    async def test_finished_request_is_freed(self) -> None:
        """Its body does not stay until the next garbage collection."""
        gateway = await self.start_ready()
        gc.disable()
        self.addCleanup(gc.enable)
        reader, _ = await self.send(gateway, make_request('r1').decode())
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b'whole')
        await wait_until(lambda: not gateway.components.web.open_requests)
        self.assertEqual(_find_objects(Job), [])

    async def test_connection_whose_caller_has_gone_can_be_freed(self) -> None:
        """Another one that needs its memory does not fail."""
        gateway = await self.start_ready()
        host, _, port = gateway.components.settings.listen.rpartition(':')
        connections = gateway.components.caller_connections
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b'POST /x/y HTTP/1.1\r\nHost: ')
            await wait_until(lambda: connections.held_bytes)
            found = _find_objects(CallerProtocol)
        # The gateway's event loop has not seen the close yet, and the answer
        # is reset at once.
        for connection in found:
            connection.free()
        await wait_until(lambda: not connections.held_bytes)

    async def _check_refused(self, sent: str, status: int) -> None:
        gateway = await self.start_limited(
            max_header_bytes=_HEADER_BYTES, max_body_bytes=_BODY_BYTES
        )
        reader, _ = await self.send(gateway, sent)
        answer = await self.read_end(reader)
        start = f'HTTP/1.1 {status} '.encode()
        self.assertTrue(answer.startswith(start), answer)
        self.assertIn(b'connection: close', answer)
        self.assertEqual(self.server.received, [])


def _find_objects(kind: type[_Kind]) -> list[_Kind]:
    """Return the objects of a class that are in memory."""
    return [found for found in gc.get_objects() if isinstance(found, kind)]
