"""The servers that a gateway knows."""

import logging
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from seampond.clock import Clock
from seampond.forwarding.backend import Backend, RemoteLoad
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.server import Server
from seampond.forwarding.server_limit import ServerLimit
from seampond.forwarding.server_signals import ServerSignals
from seampond.forwarding.signal_state import SignalRegistry
from seampond.forwarding.speeds import PoolSpeed

_CONNECT_MS = 300
_logger = logging.getLogger(__name__)


def _no_bound(pool: str) -> int:
    """Allow connections without a bound."""
    return sys.maxsize


def _count_nothing(word: str) -> None:
    """Count no words."""


def _tell_nobody(key: int, limit: ServerLimit, *, is_other: bool) -> None:
    """Tell nobody of a limit."""


class LimitCallback(Protocol):
    """Told of what an answer says of a limit."""

    def __call__(self, key: int, limit: ServerLimit, *, is_other: bool) -> None:
        """Note it, by the key of the life."""


class Backends:
    """All servers that a gateway knows, by their id.

    Parameters
    ----------
    id_header : bytes
        The header that every answer of a server carries back.
    grace_ms : int
        How long a server whose row has gone is a fallback, and one that has
        said that it leaves a last resort.
    connection_limit : Callable[[str], int]
        Gives how many connections we may have to each server of a pool.
    hash_name : Callable[[str], int]
        Gives the key by which other gateways tell of a server's life.
    count_signal : Callable[[str], None]
        Counts an answer with a word of its server on itself.

    Attributes
    ----------
    on_limit : LimitCallback
        Told of the limits of servers that have named one.

    """

    def __init__(
        self,
        clock: Clock,
        id_header: bytes,
        grace_ms: int = 0,
        connection_limit: Callable[[str], int] = _no_bound,
        hash_name: Callable[[str], int] = hash,
        count_signal: Callable[[str], None] = _count_nothing,
    ) -> None:
        """Start with none."""
        self.connection_limit = connection_limit
        self.grace_ms = grace_ms
        self.on_limit: LimitCallback = _tell_nobody
        self._clock = clock
        self._id_header = id_header
        self._hash_name = hash_name
        self._signals = SignalRegistry(count_signal, clock)
        self._by_id: dict[str, Backend] = {}
        self._by_key: dict[int, Backend] = {}
        # What the others have, where they have anything.
        self._told: dict[int, RemoteLoad] = {}
        self._by_pool: dict[str, list[Backend]] = {}
        self._speeds: dict[str, PoolSpeed] = {}

    def __len__(self) -> int:
        """Give how many are known."""
        return len(self._by_id)

    def __iter__(self):  # type: ignore[no-untyped-def]
        """Give all of them."""
        return iter(list(self._by_id.values()))

    def get(self, server_id: str) -> Backend | None:
        """Give one of them."""
        return self._by_id.get(server_id)

    def update_remote_loads(self, loads: Mapping[int, RemoteLoad]) -> None:
        """Take what the other gateways have, where somebody told it anew.

        Parameters
        ----------
        loads : Mapping[int, RemoteLoad]
            By key of the server's life.

        """
        for key, told in loads.items():
            # The row of a server may come later than the word on it.
            self._told[key] = told
            backend = self._by_key.get(key)
            if backend is not None:
                backend.remote_load = told
            if not told.running:
                self._told.pop(key)

    def pool_speed(self, pool: str) -> PoolSpeed:
        """Give what is known of the speed of a pool."""
        return self._speeds.setdefault(pool, PoolSpeed())

    def refresh_pool_speed(self, pool: str) -> PoolSpeed:
        """Take the pool's speed anew from its servers'."""
        speed = self.pool_speed(pool)
        speed.refresh(backend.speed for backend in self.in_pool(pool))
        return speed

    def in_pool(self, pool: str) -> list[Backend]:
        """Give the servers of one pool, the fallbacks among them."""
        return self._by_pool.get(pool, [])

    def all_in_pool(self, pool: str) -> list[Backend]:
        """Give all servers of a pool, also those that have only open work."""
        return [
            backend
            for backend in self._by_id.values()
            if backend.server.pool == pool
        ]

    def update(self, servers: Iterable[Server], gone: Iterable[str]) -> None:
        """Take changes of the list."""
        for server in servers:
            backend = self._by_id.get(server.id)
            if backend is None:
                self._add(server)
            else:
                self._take_known(backend, server)
        for server_id in gone:
            self._unlist(server_id)
        self._index()

    def mark_unreadable(self, names: Iterable[str]) -> None:
        """Send nothing to servers whose rows cannot be read, for now.

        Explanation
        -----------
        Another writer may have spoiled the row; the server has not left, and
        its own next word puts it back.
        """
        for name in names:
            backend = self._by_id.get(name)
            if backend is not None:
                backend.is_readable = False

    def replace_all(
        self, servers: Iterable[Server], unreadable: Iterable[str] = ()
    ) -> None:
        """Take the whole list; what is not on it is gone.

        Parameters
        ----------
        unreadable : Iterable[str]
            Whose rows are there and cannot be read.

        """
        listed = list(servers)
        names = {server.id for server in listed}.union(unreadable)
        self.update(listed, [name for name in self._by_id if name not in names])

    def apply_signals(
        self, backend: Backend, reported: ServerSignals, sent_ms: int
    ) -> None:
        """Take what a server says of itself in an answer.

        Parameters
        ----------
        sent_ms : int
            When the request was sent.

        """
        limit = backend.signals.limit
        before = limit.rate
        self._signals.apply(
            backend.server, backend.signals, reported, self.grace_ms, sent_ms
        )
        if limit.reported_ms == sent_ms:
            key = self._hash_name(backend.server.incarnation)
            self.on_limit(key, limit, is_other=limit.rate != before)
        if reported.is_draining:
            backend.close_idle_connections()

    def apply_limit_report(
        self, key: int, rate: float | None, reported_ms: int
    ) -> ServerLimit | None:
        """Take what another gateway has heard of a limit; give what holds.

        Parameters
        ----------
        key : int
            Of the server's life.

        """
        backend = self._by_key.get(key)
        if backend is None:
            return None
        signals = backend.signals
        self._signals.apply_limit(backend.server, signals, rate, reported_ms)
        return signals.limit

    async def acquire_connection(self, backend: Backend) -> Connection:
        """Give a connection to a server, a rested one if there is any.

        Raises
        ------
        ExchangeError
            If the server cannot be reached.

        """
        while backend.idle:
            connection = backend.idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
            backend.connection_count -= 1
        connection = await open_connection(
            backend.server.address, self._clock, self._id_header, _CONNECT_MS
        )
        backend.connection_count += 1
        return connection

    def release_connection(
        self,
        backend: Backend,
        connection: Connection,
        keep_alive_ms: int | None,
    ) -> None:
        """Keep a connection for the next request, or close it."""
        backoff_ms = keep_alive_ms if backend.takes_work else None
        if connection.finish(backoff_ms):
            backend.idle.append(connection)
        else:
            backend.connection_count -= 1

    def _add(self, server: Server) -> None:
        told = self._told.get(self._hash_name(server.incarnation))
        signals = self._signals.state_of(server)
        self._signals.apply_row(server, signals)
        self._by_id[server.id] = Backend(
            server,
            signals,
            remote_load=told,
            cold_until_ms=self._clock.now() + server.cold_ms,
        )
        self._tell('server listed', server)

    def _take_known(self, backend: Backend, server: Server) -> None:
        known_ms = backend.server.started_ms
        told_ms = server.started_ms or known_ms
        if 0 < known_ms < told_ms:
            self._end_life(backend)
            self._add(server)
        elif told_ms >= known_ms:
            if backend.server.is_draining != server.is_draining:
                self._tell('server leaves', server)
            backend.server = replace(server, started_ms=told_ms)
            backend.signals.started_ms = told_ms
            self._signals.apply_row(server, backend.signals)
            backend.is_listed = True
            backend.is_readable = True
        # Else a row of an earlier life has come late.

    def _end_life(self, backend: Backend) -> None:
        """Forget what is believed of a life that is over.

        Explanation
        -----------
        Failures, reports, kept prompts and speed of the earlier process say
        nothing of the new one.  Requests that are open towards it hold on to
        the old belief, which gets no new ones.
        """
        backend.is_listed = False
        backend.fallback_until_ms = 0
        backend.close_idle_connections()
        self._tell('server started again', backend.server)

    def _unlist(self, server_id: str) -> None:
        backend = self._by_id.get(server_id)
        if backend is None or not backend.is_listed:
            return
        backend.is_listed = False
        if not backend.is_draining:
            backend.fallback_until_ms = self._clock.now() + self.grace_ms
        backend.close_idle_connections()
        self._tell('server gone', backend.server)

    def _index(self) -> None:
        now_ms = self._clock.now()
        self._by_id = {
            name: backend
            for name, backend in self._by_id.items()
            if backend.is_listed
            or backend.in_flight
            or backend.may_serve(now_ms)
        }
        self._by_key = {
            self._hash_name(backend.server.incarnation): backend
            for backend in self._by_id.values()
        }
        by_pool: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            if backend.is_listed or backend.may_serve(now_ms):
                by_pool.setdefault(backend.server.pool, []).append(backend)
        self._by_pool = by_pool

    def _tell(self, event: str, server: Server) -> None:
        _logger.info(
            event,
            extra={
                'server': server.id,
                'address': server.address,
                'pool': server.pool,
                'known': len(self._by_id),
            },
        )
