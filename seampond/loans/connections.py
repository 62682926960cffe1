"""Borrowing and lending of connections to servers."""

import asyncio
import random
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.loans.exchange import LenderDirectory, LoanExchange
from seampond.loans.messages import (
    ConnectionReply,
    ConnectionRequest,
    LoanMessage,
)

# How long a borrower sends requests on borrowed connections.
_USE_MS = 10_000
# When the lender uses them again: requests sent at the end have ended.
_LEASE_MS = 30_000
_LENDERS_ASKED = 8
_SERVERS_ASKED = 32
# Of its connections, a lender keeps a part, and some for each request.
_KEPT_FRACTION = 0.25
_KEPT_PER_REQUEST = 2
# Of an equal part of the connections to a server.
_BORROWED_FRACTION = 0.25


@dataclass(slots=True)
class ConnectionLoan:
    """Connections to one server that one gateway lends another.

    Parameters
    ----------
    until_ms : int
        When the loan ends for this gateway.

    """

    count: int
    until_ms: int


# By the other gateway and the key of the server incarnation.
Loans = dict[tuple[str, int], ConnectionLoan]


class ConnectionLoans:
    """Borrows connections to servers from other gateways and lends them.

    Explanation
    -----------
    A server accepts a number of connections from all gateways, of which each
    has an equal part.  Where most callers are at one gateway, the others lend
    it what they do not need.  A lender reduces its own part before it replies
    and restores it when requests of the borrower have ended, so the sum holds
    if replies are lost, and if gateways end.

    Parameters
    ----------
    list_lenders : Callable[[], tuple[str, ...]]
        Returns the names of the reachable gateways that lend connections.
    hash_name : Callable[[str], int]
        Returns the key of a server incarnation.
    count_loan : Callable[[str], None]
        Counts borrowed and lent connections.

    Attributes
    ----------
    on_borrowed : Callable[[str], None]
        Called with a pool to whose servers there are more connections.

    """

    def __init__(
        self,
        gateways: LenderDirectory,
        list_lenders: Callable[[], tuple[str, ...]],
        backends: Backends,
        hash_name: Callable[[str], int],
        count_loan: Callable[[str], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without loans."""
        self.on_borrowed: Callable[[str], None] = _ignore_pool
        self._exchange = LoanExchange(gateways, rng)
        self._list_lenders = list_lenders
        self._backends = backends
        self._hash_name = hash_name
        self._count_loan = count_loan
        self._clock = clock
        self._rng = rng
        self._lent: Loans = {}
        self._borrowed: Loans = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def send(self) -> Callable[[str, LoanMessage], None]:
        """Sends a message to the gateway at an address."""
        return self._exchange.send

    @send.setter
    def send(self, send: Callable[[str, LoanMessage], None]) -> None:
        self._exchange.send = send

    def request(self, pool: str) -> None:
        """Borrow connections to servers of a pool that have free slots."""
        if pool in self._tasks or not self._list_wanted(pool):
            return
        task = asyncio.create_task(self._borrow(pool))
        self._tasks[pool] = task
        task.add_done_callback(lambda done: self._tasks.pop(pool))

    def handle_message(self, address: str, message: LoanMessage) -> None:
        """Handle a message of the gateway at an address."""
        if isinstance(message, ConnectionRequest):
            servers = tuple(self._lend(address, message))
            reply = ConnectionReply(message.number, servers, message.count)
            self.send(address, reply)
        else:
            self._exchange.handle_reply(message)

    def expire(self) -> None:
        """End the loans whose time is over."""
        now_ms = self._clock.now()
        for loans in (self._lent, self._borrowed):
            expired = [
                key for key, loan in loans.items() if loan.until_ms <= now_ms
            ]
            for key in expired:
                loans.pop(key)
                self._apply(key[1])

    async def _borrow(self, pool: str) -> None:
        """Ask lenders, those that have lent already first."""
        self.expire()
        lenders = self._list_lenders()
        known = {name for name, _ in self._borrowed}
        asked = self._rng.sample(lenders, len(lenders))
        asked.sort(key=lambda name: name not in known)
        for name in asked[:_LENDERS_ASKED]:
            wanted = self._list_wanted(pool)
            if not wanted:
                return
            count = self._count_per_loan(pool)
            request = ConnectionRequest(0, wanted, count)
            reply = await self._exchange.ask(name, request)
            if isinstance(reply, ConnectionReply) and reply.servers:
                self._record_borrowed(name, reply)
                self.on_borrowed(pool)

    def _list_wanted(self, pool: str) -> tuple[int, ...]:
        """Return the keys of servers whose slots cannot be used."""
        limit = self._backends.connection_limit(pool)
        if limit == sys.maxsize:
            return ()
        now_ms = self._clock.now()
        wanted = [
            backend
            for backend in self._backends.in_pool(pool)
            if backend.in_flight >= limit + backend.extra_connections
            and backend.is_usable(now_ms)
            and backend.load(now_ms) < backend.server.slots
        ]
        wanted.sort(key=lambda backend: backend.load(now_ms))
        return tuple(
            self._hash_name(backend.server.incarnation)
            for backend in wanted[:_SERVERS_ASKED]
        )

    def _count_per_loan(self, pool: str) -> int:
        part = self._backends.connection_limit(pool)
        return max(1, int(part * _BORROWED_FRACTION))

    def _record_borrowed(self, name: str, reply: ConnectionReply) -> None:
        until_ms = self._clock.now() + _USE_MS
        for server in reply.servers:
            self._borrowed[name, server] = ConnectionLoan(reply.count, until_ms)
            self._count_loan('borrowed')
            self._apply(server)

    def _lend(self, address: str, request: ConnectionRequest) -> Iterable[int]:
        """Lend connections and yield the servers that they lead to."""
        self.expire()
        for server in request.servers:
            backend = self._backends.find_incarnation(server)
            key = (address, server)
            if backend is None:
                continue
            if key not in self._lent and not self._may_lend(backend, request):
                continue
            until_ms = self._clock.now() + _LEASE_MS
            self._lent[key] = ConnectionLoan(request.count, until_ms)
            self._count_loan('lent')
            self._apply(server)
            yield server

    def _may_lend(self, backend: Backend, request: ConnectionRequest) -> bool:
        """Return True if this gateway can do without connections."""
        pool = backend.server.pool
        part = self._backends.connection_limit(pool)
        if part == sys.maxsize:
            return False
        own = part + min(0, backend.extra_connections)
        if own - backend.in_flight < request.count:
            return False
        members = self._backends.in_pool(pool)
        in_flight = sum(member.in_flight for member in members)
        left = sum(
            part + min(0, member.extra_connections) for member in members
        )
        kept = max(
            _KEPT_FRACTION * part * len(members),
            _KEPT_PER_REQUEST * in_flight,
            1,
        )
        return left - request.count >= kept

    def _apply(self, server: int) -> None:
        """Apply the loans that concern a server."""
        backend = self._backends.find_incarnation(server)
        if backend is None:
            return
        backend.extra_connections = _sum(self._borrowed, server) - _sum(
            self._lent, server
        )
        limit = self._backends.connection_limit(backend.server.pool)
        backend.close_surplus(limit + backend.extra_connections)


def _sum(loans: Loans, server: int) -> int:
    """Return how many connections to a server some loans contain."""
    counts = (loan.count for key, loan in loans.items() if key[1] == server)
    return sum(counts)


def _ignore_pool(pool: str) -> None:
    """Ignore the pool."""
