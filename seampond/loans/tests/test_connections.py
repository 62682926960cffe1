"""Tests that gateways lend connections within the limit of all together."""

import asyncio
import random
import unittest
from types import MappingProxyType

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.loans.connections import ConnectionLoans
from seampond.loans.messages import LoanMessage, decode_loan, encode_loan
from seampond.sharing import hash_name
from seampond.testing.gateways import build_server
from seampond.testing.virtual_time import VirtualTimeCase

_POOL = 'llm'
_SERVERS = 6
_SLOTS = 64
# Connections to each server of each gateway, by number of gateways.
_FLEETS = MappingProxyType({2: 5, 4: 2, 30: 1, 340: 1})


class Fleet:
    """Gateways that exchange messages in memory.

    Parameters
    ----------
    part : int
        Connections to each server that are each gateway's own.
    lost_share : float
        Share of the messages that are lost.

    """

    def __init__(self, count: int, part: int) -> None:
        """Create gateways that know each other."""
        self.rng = random.Random(count)
        self.lost_share: float = 0
        self.names = [f'g{number}' for number in range(count)]
        self.backends: dict[str, Backends] = {}
        self.loans: dict[str, ConnectionLoans] = {}
        for name in self.names:
            self._start(name, part)

    def list_backends(self, name: str) -> list[Backend]:
        """Return the servers as one gateway knows them."""
        return self.backends[name].in_pool(_POOL)

    def sum_extra(self) -> list[int]:
        """Return by how much the gateways together exceed each limit."""
        by_server = zip(*map(self.list_backends, self.names), strict=True)
        return [
            sum(backend.extra_connections for backend in backends)
            for backends in by_server
        ]

    async def borrow(self, name: str) -> int:
        """Let a busy gateway borrow; return how many connections it got."""
        for backend in self.list_backends(name):
            backend.in_flight = backend.extra_connections + max(
                1, self.backends[name].connection_limit(_POOL)
            )
        self.loans[name].request(_POOL)
        await asyncio.sleep(1)
        return sum(
            max(0, backend.extra_connections)
            for backend in self.list_backends(name)
        )

    def _start(self, name: str, part: int) -> None:
        clock = Clock()
        backends = Backends(
            clock,
            b'id',
            connection_limit=lambda pool: part,
            hash_name=hash_name,
        )
        backends.replace_all(
            [
                build_server(f'i-{number}', pool=_POOL, slots=_SLOTS)
                for number in range(_SERVERS)
            ]
        )
        others = tuple(other for other in self.names if other != name)
        loans = ConnectionLoans(
            Directory(others),
            lambda: others,
            backends,
            hash_name,
            lambda side: None,
            clock,
            self.rng,
        )
        loans.send = lambda address, message: self._deliver(
            name, address, message
        )
        self.backends[name] = backends
        self.loans[name] = loans

    def _deliver(self, sender: str, address: str, message: LoanMessage) -> None:
        if self.rng.random() < self.lost_share:
            return
        received = decode_loan(encode_loan(message))
        loop = asyncio.get_running_loop()
        loop.call_soon(self.loans[address].handle_message, sender, received)


class Directory:
    """The other gateways, whose addresses are their names."""

    def __init__(self, names: tuple[str, ...]) -> None:
        """Initialize the directory."""
        self.lenders = names

    def address_of(self, name: str) -> str:
        """Return the address of a gateway."""
        return name


class ConnectionLoansTest(VirtualTimeCase, unittest.IsolatedAsyncioTestCase):
    """One busy gateway and others that are idle."""

    async def test_unused_connections_are_kept(self) -> None:
        """With few and with many gateways."""
        for count, part in _FLEETS.items():
            fleet = Fleet(count, part)
            self.assertGreaterEqual(await fleet.borrow('g0'), _SERVERS)
            self.assertFalse(any(fleet.sum_extra()))

    async def test_lost_replies_exceed_the_limit(self) -> None:
        """A connection whose reply is lost is used by nobody."""
        fleet = Fleet(30, 2)
        fleet.lost_share = 0.4
        for _ in range(8):
            await fleet.borrow('g0')
            await fleet.borrow('g1')
            self.assertLessEqual(max(fleet.sum_extra()), 0)

    async def test_lender_takes_connections_back_too_early(self) -> None:
        """Requests sent at the end of a loan still use its connections."""
        fleet = Fleet(4, 2)
        borrowed = await fleet.borrow('g0')
        await asyncio.sleep(10)
        for loans in fleet.loans.values():
            loans.expire()
        self.assertEqual(sum(fleet.sum_extra()), -borrowed)
        await asyncio.sleep(20)
        for loans in fleet.loans.values():
            loans.expire()
        self.assertEqual(sum(fleet.sum_extra()), 0)

    async def test_renewed_loan_is_counted_twice(self) -> None:
        """The same lender extends it."""
        fleet = Fleet(2, 8)
        borrowed = await fleet.borrow('g0')
        await asyncio.sleep(9)
        fleet.loans['g0'].expire()
        self.assertEqual(await fleet.borrow('g0'), borrowed)
        self.assertEqual(sum(fleet.sum_extra()), 0)

    async def test_busy_gateway_lends(self) -> None:
        """It keeps some connections for each of its own requests."""
        fleet = Fleet(2, 4)
        for backend in fleet.list_backends('g1'):
            backend.in_flight = 2
        self.assertEqual(await fleet.borrow('g0'), 0)

    async def test_idle_gateway_lends_all(self) -> None:
        """Its next request finds a connection."""
        fleet = Fleet(8, 1)
        await fleet.borrow('g0')
        for name in fleet.names:
            extra = (
                backend.extra_connections
                for backend in fleet.list_backends(name)
            )
            self.assertGreaterEqual(_SERVERS + sum(extra), 2)
