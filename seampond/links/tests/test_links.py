"""Links: codec, framing, coalescing and trust."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.clock import Clock
from seampond.errors import ForeignMessageError, UntrustedPeerError
from seampond.links import Connection, shake_hands
from seampond.links.codec import decode, encode
from seampond.links.messages import (
    Ask,
    Finish,
    Frame,
    Grant,
    Head,
    Header,
    Hello,
    Message,
    Pulse,
    TurnAway,
)
from seampond.testing.builders import SECRET

LENGTH_BYTES = 4


def make_hello(nonce: bytes) -> Hello:
    return Hello('node-1', 'incarnation-1', nonce)


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[Connection, Connection]]:
    accepted: asyncio.Queue[Connection] = asyncio.Queue()

    async def accept(reader, writer):  # type: ignore[no-untyped-def]
        await accepted.put(Connection(reader, writer, Clock()))

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    dialed = Connection(reader, writer, Clock())
    listening = await accepted.get()
    try:
        yield dialed, listening
    finally:
        await dialed.close()
        await listening.close()
        server.close()


class CodecTest(unittest.TestCase):
    def test_every_kind_survives_the_wire(self) -> None:
        batch: list[Message] = [
            Ask('r1', 2),
            Head('r1', 1, 200, (Header('a', 'b'),)),
            Frame('r1', 1, 3, b'\0\xff'),
            Finish('r1', 1, 4, 'yes', '', 9, 8, 7),
            TurnAway('r1', 1, 'no-room', 2, 1000),
            Grant('r1', 1, 5, 'POST', '/x', b'body', True, 'k', ()),
            Pulse(1, 2, 3, 4, True, 5, 6),
            make_hello(b'nonce'),
        ]
        self.assertEqual(decode(encode(batch)), batch)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_foreign_bytes_are_a_typed_error(self, packet: bytes) -> None:
        try:
            batch = decode(packet)
        except ForeignMessageError:
            return
        self.assertTrue(all(isinstance(part, Message) for part in batch))

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.integers(0, 300), st.integers(0, 255))
    def test_a_damaged_packet_is_a_typed_error(
        self, place: int, value: int
    ) -> None:
        packet = bytearray(encode([Frame('r1', 1, 3, b'x' * 60)]))
        packet[place % len(packet)] = value
        try:
            decode(bytes(packet))
        except ForeignMessageError:
            return


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_frames_of_one_moment_share_a_packet(self) -> None:
        async with connected() as (dialed, listening):
            frames = [Frame('r1', 1, number, b'x') for number in range(9)]
            for frame in frames:
                dialed.send(frame)
            self.assertEqual(await listening.receive(), frames)

    async def test_an_urgent_message_does_not_overtake_frames(self) -> None:
        async with connected() as (dialed, listening):
            dialed.send(Frame('r1', 1, 1, b'x'))
            dialed.send(Finish('r1', 1, 2, 'yes', ''))
            kinds = [type(part) for part in await listening.receive()]
            self.assertEqual(kinds, [Frame, Finish])

    async def test_an_oversized_length_is_foreign(self) -> None:
        async with connected() as (dialed, listening):
            dialed._writer.write(b'GET / HTTP/1.1\r\n\r\n')
            with self.assertRaises(ForeignMessageError):
                await listening.receive()


class TrustTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_follows_the_handshake_stays_out_of_it(self) -> None:
        async def side(link: Connection, dialed: bool) -> list[Message]:
            await shake_hands(link, make_hello, SECRET, dialed=dialed)
            link.send(Pulse())
            return await link.receive()

        async with connected() as (dialed, listening):
            dialing = asyncio.create_task(side(dialed, True))
            # The listener is late: the other hello is already here.
            while not listening._reader._buffer:  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            heard = await side(listening, False)
            self.assertEqual([heard, await dialing], [[Pulse()], [Pulse()]])

    async def test_a_wrong_secret_is_refused(self) -> None:
        async with connected() as (dialed, listening):
            outcomes = await asyncio.gather(
                shake_hands(dialed, make_hello, SECRET, dialed=True),
                shake_hands(
                    listening, make_hello, 'another-secret-here', dialed=False
                ),
                return_exceptions=True,
            )
            self.assertIsInstance(outcomes[0], UntrustedPeerError)
            self.assertIsInstance(outcomes[1], UntrustedPeerError)

    async def test_a_proof_sent_back_to_its_maker_is_refused(self) -> None:
        async def echo(link: Connection) -> None:
            while True:
                for message in await link.receive():
                    link.send(message)
                    link.flush()

        async with connected() as (dialed, listening):
            echoing = asyncio.create_task(echo(listening))
            with self.assertRaises(UntrustedPeerError):
                await shake_hands(dialed, make_hello, SECRET, dialed=True)
            echoing.cancel()
