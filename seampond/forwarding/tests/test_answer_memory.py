"""Tests of the limit on what the answers of all servers hold."""

import asyncio
import unittest
from types import MappingProxyType

from seampond.clock import Clock
from seampond.forwarding.answer_memory import AnswerBuffer, AnswerMemory
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.response_head import Cut, ExchangeError
from seampond.testing.gateways import ID_HEADER
from seampond.testing.scripted import (
    ReceivedRequest,
    ScriptedServer,
    format_chunk,
    format_chunked_response,
    format_response,
    run_scripted,
)

_IDS = MappingProxyType({ID_HEADER: 'r1'})
_MAX_BYTES = 1000
_PART = b'x' * 600
_REQUEST = b'GET / HTTP/1.1\r\n%b: r1\r\n\r\n' % ID_HEADER.encode()
_TIMEOUT_S = 5


class AnswerMemoryTest(unittest.TestCase):
    """Answers that hold memory, on a clock set by hand."""

    def setUp(self) -> None:
        """Start without answers."""
        self.now_ms = 0
        self.memory = AnswerMemory(_MAX_BYTES, Clock(lambda: self.now_ms))
        self.lost: list[str] = []

    def test_answer_of_the_largest_server_gives_way(self) -> None:
        """Guards against a sound server's answer that is lost."""
        self._hold('sound', 300)
        self.now_ms = 1000
        self._hold('faulty', 400, 'first')
        self.now_ms = 2000
        self._hold('faulty', 400, 'second')
        self.assertEqual(self.lost, ['first'])
        self.assertEqual(self.memory.held_bytes, 700)

    def test_single_answer_may_hold_more(self) -> None:
        """Guards against a limit below that of one answer."""
        self._hold('sound', 2 * _MAX_BYTES)
        self.assertEqual(self.lost, [])

    def test_ended_answers_hold_nothing(self) -> None:
        """Guards against answers that are counted for ever."""
        for _ in range(10):
            held = self._hold('sound', 400)
            held.retain(200)
            held.clear()
        self.assertEqual(self.memory.held_bytes, 0)
        self.assertEqual(self.lost, [])

    def test_fields_count_as_objects(self) -> None:
        """Guards against short headers, whose objects are larger."""
        held = self._hold('sound', 0)
        held.count_field(b'a', b'')
        held.update()
        self.assertGreater(self.memory.held_bytes, 100)

    def _hold(self, peer: str, size: int, name: str = 'lost') -> AnswerBuffer:
        held = AnswerBuffer(peer, self.memory, lambda: self.lost.append(name))
        held.received += b'x' * size
        held.update()
        return held


class ConnectionMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Connections to two servers that share a memory."""

    async def asyncSetUp(self) -> None:
        """Start the servers."""
        self.memory = AnswerMemory(_MAX_BYTES, Clock())
        self.sound = await self.enterAsyncContext(run_scripted(_serve))
        self.faulty = await self.enterAsyncContext(
            run_scripted(_serve_unfinished)
        )

    async def test_answer_that_gave_way_fails(self) -> None:
        """Guards against a lost part that goes unnoticed."""
        first, second = (
            await self._ask(self.faulty),
            await self._ask(self.faulty),
        )
        pending = [
            asyncio.create_task(connection.read_body(_MAX_BYTES))
            for connection in (first, second)
        ]
        async with asyncio.timeout(_TIMEOUT_S):
            done, waiting = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        self.assertEqual((len(done), len(waiting)), (1, 1))
        error = done.pop().exception()
        assert isinstance(error, ExchangeError)
        self.assertIs(error.cut, Cut.no_memory)
        waiting.pop().cancel()

    async def test_sound_answer_is_whole_while_another_gives_way(self) -> None:
        """Guards against a faulty server that costs a sound one's callers."""
        for _ in range(3):
            faulty = await self._ask(self.faulty)
            await faulty.read_head()
            sound = await self._ask(self.sound)
            await sound.read_head()
            self.assertEqual(await sound.read_body(_MAX_BYTES), _PART)

    async def _ask(self, server: ScriptedServer) -> Connection:
        connection = await open_connection(
            server.address, Clock(), ID_HEADER.encode(), memory=self.memory
        )
        self.addCleanup(connection.close)
        connection.send(b'r1', _REQUEST)
        return connection


async def _serve(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(format_response(200, _IDS, _PART))


async def _serve_unfinished(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a part of a body and nothing after it."""
    writer.write(format_chunked_response(_IDS) + format_chunk(_PART))
    await writer.drain()
    await asyncio.Event().wait()
