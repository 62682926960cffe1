"""Tests of datagrams that are cut, or that state sizes they do not have."""

import asyncio
import unittest
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from seampond.clock import Clock
from seampond.demo.fleet import free_ports
from seampond.errors import ForeignMessageError
from seampond.links import codec
from seampond.loans.messages import decode_loan
from seampond.packed import unpack
from seampond.permits.messages import decode_permit
from seampond.sharing import Peers, heartbeats
from seampond.sharing.transport import TransportContext, exchange_heartbeats
from seampond.streams.messages import decode_origin

_DECODERS: MappingProxyType[bytes, Callable[[bytes], Any]] = MappingProxyType(
    {
        b'PMT1': decode_permit,
        b'RTL1': decode_loan,
        b'STV1': decode_origin,
        b'': heartbeats.decode,
    }
)
# Two segments of 4 and 50 words, of which the second one is missing.
_CUT_SEGMENT = bytes.fromhex('11010401324001000000000000')
# The same, with a run of other words that is cut.
_CUT_RUN = bytes.fromhex('110104013240010000ff0101010101010101ff')
# One segment of 2**32 - 1 words.
_LARGE = bytes.fromhex('f0ffffffff')
_PACKETS = (_CUT_SEGMENT, _CUT_RUN, _LARGE, b'', b'\xff', b'\x00')


def _hash(key: int) -> int:
    return key * 7919**4 % 2**63


class _Dropped:
    """Counts dropped datagrams and tells when all have arrived."""

    def __init__(self, expected: int) -> None:
        self.kinds: list[str] = []
        self.all_arrived = asyncio.Event()
        self._expected = expected

    def count(self, kind: str) -> None:
        """Count one."""
        self.kinds.append(kind)
        if len(self.kinds) == self._expected:
            self.all_arrived.set()


class CutDatagramTest(unittest.IsolatedAsyncioTestCase):
    """One datagram must not end the process."""

    def test_cut_message_ends_the_process(self) -> None:
        """Each decoder refuses it."""
        for prefix, decode in _DECODERS.items():
            for packet in _PACKETS:
                with self.assertRaises(ForeignMessageError, msg=packet):
                    decode(b''.join((prefix, packet)))
        with self.assertRaises(ForeignMessageError):
            codec.decode(_CUT_SEGMENT)

    def test_message_of_several_segments(self) -> None:
        """It is read, unless it is cut."""
        spent = {_hash(key): key for key in range(1, 700)}
        packet = heartbeats.encode(heartbeats.Heartbeat('g1', 1, 2, 3, spent))
        self.assertGreater(unpack(packet, 1)[0], 0)
        self.assertEqual(heartbeats.decode(packet).spent, spent)
        for length in range(0, len(packet), 97):
            with self.assertRaises(ForeignMessageError):
                heartbeats.decode(packet[:length])

    async def test_cut_report_of_streams_ends_the_process(self) -> None:
        """It is counted and dropped."""
        dropped = _Dropped(len(_PACKETS))
        peers = Peers('g0', Clock())
        context = TransportContext(
            peers,
            lambda sequence: heartbeats.Heartbeat('g0', 1, sequence),
            lambda: None,
            lambda heartbeat: None,
            asyncio.Event(),
            Clock(),
            dropped.count,
            lambda message: None,
            lambda address, message: None,
        )
        own_port = next(free_ports())
        loop = asyncio.get_running_loop()
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=('127.0.0.1', 0)
        )
        host, port = sender.get_extra_info('sockname')
        peers.apply_rows([('g1', f'{host}:{port}')])
        async with asyncio.timeout(5):
            async with exchange_heartbeats(f'127.0.0.1:{own_port}', context):
                for packet in _PACKETS:
                    sender.sendto(b'STV1%b' % packet, ('127.0.0.1', own_port))
                await dropped.all_arrived.wait()
        sender.close()
        self.assertEqual(set(dropped.kinds), {'origin'})
