"""Requests that arrive together."""

import asyncio

from seampond.gateway.tests.test_limits import LimitedCase
from seampond.platform.tests.rows import ID_HEADER
from seampond.testing.misbehaving import make_request

_TIMEOUT_S = 5


class CallerInputTest(LimitedCase):
    """One gateway, one server."""

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
