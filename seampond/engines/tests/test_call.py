"""Calls to a backend server: sent once, and cancelled for sure."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from seampond.engines.call import BackendCall, BackendError, open_backend
from seampond.engines.runs import Run
from seampond.testing.builders import build_grant

LIMIT_SECONDS = 5
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
SETTLE_SECONDS = 0.05


class RawServer:
    """Answers the first request of a connection, drops at the second."""

    def __init__(self, *, answers: bool) -> None:
        self.answers = answers
        self.requests: list[bytes] = []
        self.arrived = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answered = 0
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head)
                self.arrived.set()
                if self.answers and not answered:
                    writer.write(ANSWER)
                    answered += 1
                elif self.answers:
                    break
        except (asyncio.IncompleteReadError, OSError):
            self.closed.set()
        writer.close()


@asynccontextmanager
async def calling(server: RawServer) -> AsyncIterator[BackendCall]:
    listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    async with open_backend(
        f'http://127.0.0.1:{port}', 'service', 5000, connections=4
    ) as call:
        yield call
    listening.close()


def build_run(request_id: str, method: str) -> Run:
    grant = build_grant(request_id, method=method, body=b'', path='/x')
    return Run(grant, 'entry-1', 10_000, None)


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_method_is_sent_again_after_a_dropped_connection(
        self,
    ) -> None:
        for method in ('GET', 'PUT', 'DELETE', 'POST'):
            server = RawServer(answers=True)
            async with calling(server) as call:
                await call.carry_out(build_run('r1', method))
                try:
                    await call.carry_out(build_run('r2', method))
                except BackendError as error:
                    self.assertTrue(error.was_sent)
                self.assertEqual(len(server.requests), 2, method)

    async def test_a_cancelled_call_closes_its_connection(self) -> None:
        server = RawServer(answers=False)
        async with calling(server) as call:
            task = asyncio.create_task(call.carry_out(build_run('r1', 'POST')))
            async with asyncio.timeout(LIMIT_SECONDS):
                await server.arrived.wait()
                await asyncio.sleep(SETTLE_SECONDS)
                task.cancel()
                await server.closed.wait()
