"""The servers that a gateway knows, by id and by pool."""

import functools
import logging
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from seampond.clock import Clock
from seampond.forwarding.answer_memory import make_unlimited_memory
from seampond.forwarding.backend import Backend, RemoteLoad
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.server import Listing, Server
from seampond.forwarding.server_limit import ServerLimit
from seampond.forwarding.server_signals import ServerSignals
from seampond.forwarding.signal_state import SignalRegistry
from seampond.forwarding.speeds import PoolSpeed

ServerCallback = Callable[[Server], None]
ListingCallback = Callable[[Server, Listing], None]
_logger = logging.getLogger(__name__)


def _no_limit(pool: str) -> int:
    """Allow any number of connections."""
    return sys.maxsize


def _count_nothing(kind: str) -> None:
    """Count nothing."""


def _ignore_limit(key: int, limit: ServerLimit, *, has_changed: bool) -> None:
    """Ignore the limit."""


def _never() -> int:
    """Return the time of an event that has not happened."""
    return 0


def _ignore_server(server: Server) -> None:
    """Ignore the server."""


def _ignore_listing(server: Server, listing: Listing) -> None:
    """Ignore the server."""


def _listing_of(server: Server) -> Listing:
    """Return what the row of a server says."""
    return Listing.draining if server.is_draining else Listing.serving


def _has_other_version(backend: Backend, server: Server) -> bool:
    """Return True if a row names another version than the one known."""
    known = backend.server
    is_earlier = 0 < server.started_ms < known.started_ms
    return known.version != server.version and not is_earlier


class LimitCallback(Protocol):
    """Called with the limit that a response has reported."""

    def __call__(
        self, key: int, limit: ServerLimit, *, has_changed: bool
    ) -> None:
        """Handle the limit of the server incarnation with this key."""


class Backends:
    """All servers that a gateway knows.

    Parameters
    ----------
    id_header : bytes
        The request header that every response carries back.
    grace_ms : int
        How long a server is used as a fallback after the last proof of its
        row, and as a last resort after it has announced that it drains.
    connection_limit : Callable[[str], int]
        Return how many connections this gateway may have to each server of
        a pool.
    hash_name : Callable[[str], int]
        Return the key that identifies a server incarnation among gateways.
    count_signal : Callable[[str], None]
        Count a response by the kind of signal that it carries.

    Attributes
    ----------
    answer_memory : AnswerMemory
        Limits what the answers of all servers hold together.
    on_limit : LimitCallback
        Called when a response has reported a limit or its end.
    on_connections_lost : ServerCallback
        Called when all connections to a server have ended.
    on_listing : ListingCallback
        Called when a server is listed, announces its end or is not listed any
        more while its row cannot have lapsed.
    on_restart : ServerCallback
        Called when a later process has replaced that of a server.
    failed_ms : Callable[[], int]
        Returns when a call for the list of servers has last failed.

    """

    def __init__(
        self,
        clock: Clock,
        id_header: bytes,
        grace_ms: int = 0,
        connection_limit: Callable[[str], int] = _no_limit,
        hash_name: Callable[[str], int] = hash,
        count_signal: Callable[[str], None] = _count_nothing,
    ) -> None:
        """Start without servers."""
        self.connection_limit = connection_limit
        self.grace_ms = grace_ms
        self.answer_memory = make_unlimited_memory(clock)
        self.on_limit: LimitCallback = _ignore_limit
        self.on_connections_lost: ServerCallback = _ignore_server
        self.on_listing: ListingCallback = _ignore_listing
        self.on_restart: ServerCallback = _ignore_server
        self.failed_ms: Callable[[], int] = _never
        self._proved_ms = 0
        self._clock = clock
        self._id_header = id_header
        self._hash_name = hash_name
        self._signals = SignalRegistry(count_signal, clock)
        self._by_id: dict[str, Backend] = {}
        self._by_key: dict[int, Backend] = {}
        self._remote_loads: dict[int, RemoteLoad] = {}
        self._by_pool: dict[str, list[Backend]] = {}
        self._speeds: dict[str, PoolSpeed] = {}

    def __len__(self) -> int:
        """Return the number of known servers."""
        return len(self._by_id)

    def __iter__(self):  # type: ignore[no-untyped-def]
        """Iterate over all servers."""
        return iter(list(self._by_id.values()))

    def get(self, server_id: str) -> Backend | None:
        """Return a server, None if it is not known."""
        return self._by_id.get(server_id)

    def update_remote_loads(self, loads: Mapping[int, RemoteLoad]) -> None:
        """Apply reports of the load of the other gateways.

        Parameters
        ----------
        loads : Mapping[int, RemoteLoad]
            By key of the server incarnation; unchanged ones are left out.

        """
        for key, load in loads.items():
            # A report may arrive before the row of its server.
            self._remote_loads[key] = load
            backend = self._by_key.get(key)
            if backend is not None:
                backend.remote_load = load
            if not load.running:
                self._remote_loads.pop(key)

    def pool_speed(self, pool: str) -> PoolSpeed:
        """Return the average speeds of a pool."""
        return self._speeds.setdefault(pool, PoolSpeed())

    def refresh_pool_speed(self, pool: str) -> PoolSpeed:
        """Recompute the speeds of a pool from those of its servers."""
        speed = self.pool_speed(pool)
        speed.refresh(backend.speed for backend in self.in_pool(pool))
        return speed

    def in_pool(self, pool: str) -> list[Backend]:
        """Return the servers of a pool, fallbacks included."""
        return self._by_pool.get(pool, [])

    def has_uncertain_version(self, pool: str) -> bool:
        """Return True if a server may run another version than its row says."""
        return any(
            backend.lost_ms and backend.reconnected_ms
            for backend in self.in_pool(pool)
        )

    def all_in_pool(self, pool: str) -> list[Backend]:
        """Return all servers of a pool, also those that only finish work."""
        return [
            backend
            for backend in self._by_id.values()
            if backend.server.pool == pool
        ]

    def update(self, servers: Iterable[Server], gone: Iterable[str]) -> None:
        """Apply changed rows and remove servers whose rows have gone."""
        for server in servers:
            backend = self._by_id.get(server.id)
            if backend is None:
                self._add(server)
            else:
                self._update_known(backend, server)
        for server_id in gone:
            self._remove_listing(server_id)
        self._index()

    def confirm_rows(self, proved_ms: int) -> None:
        """Record that the rows of all servers were current at a time."""
        self._proved_ms = max(self._proved_ms, proved_ms)
        for backend in self._by_id.values():
            backend.confirm_row(proved_ms)

    def mark_unreadable(self, server_ids: Iterable[str]) -> None:
        """Stop sending to servers whose rows cannot be read.

        Explanation
        -----------
        Another writer may have corrupted the row.  The server still runs, and
        its next write restores the row.
        """
        for server_id in server_ids:
            backend = self._by_id.get(server_id)
            if backend is not None:
                backend.is_readable = False

    def replace_all(
        self, servers: Iterable[Server], unreadable: Iterable[str] = ()
    ) -> None:
        """Apply a complete list of rows; servers that are not on it are gone.

        Parameters
        ----------
        unreadable : Iterable[str]
            Ids of servers whose rows exist but cannot be read.

        """
        listed = list(servers)
        names = {server.id for server in listed}.union(unreadable)
        self.update(listed, [name for name in self._by_id if name not in names])

    def find_incarnation(self, key: int) -> Backend | None:
        """Return the server incarnation with a key, None if not known."""
        return self._by_key.get(key)

    def apply_signals(
        self, backend: Backend, reported: ServerSignals, sent_ms: int
    ) -> None:
        """Apply the signals in a response of a server.

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
            self.on_limit(key, limit, has_changed=limit.rate != before)
        if reported.is_draining:
            self.on_listing(backend.server, Listing.draining)
            backend.close_idle_connections()

    def apply_limit_report(
        self, key: int, rate: float | None, reported_ms: int
    ) -> ServerLimit | None:
        """Apply another gateway's report of a limit; return the limit in force.

        Parameters
        ----------
        key : int
            Key of the server incarnation.

        """
        backend = self._by_key.get(key)
        if backend is None:
            return None
        signals = backend.signals
        self._signals.apply_limit(backend.server, signals, rate, reported_ms)
        return signals.limit

    async def acquire_connection(
        self, backend: Backend, request_id: bytes
    ) -> Connection:
        """Return a connection to a server, an idle one if there is any.

        Parameters
        ----------
        request_id : bytes
            Id of the request to send; the connection has not carried it.

        Raises
        ------
        ExchangeError
            If the server cannot be reached.

        """
        while backend.idle:
            connection = backend.pop_idle(request_id)
            has_carried = request_id in connection.carried_ids
            if connection.is_usable and not has_carried:
                return connection
            connection.close()
            backend.connections.discard(connection)
        return await self.connect(backend)

    async def connect(self, backend: Backend) -> Connection:
        """Open a connection to a server.

        Raises
        ------
        ExchangeError
            If the server cannot be reached.

        """
        connection = await open_connection(
            backend.server.address,
            self._clock,
            self._id_header,
            memory=self.answer_memory,
        )
        backend.connections.add(connection)
        connection.on_lost = functools.partial(_report_exit, self, backend)
        return connection

    def release_connection(
        self,
        backend: Backend,
        connection: Connection,
        keep_alive_ms: int | None,
    ) -> None:
        """Keep a connection for the next request or close it."""
        idle_ms = keep_alive_ms if backend.takes_work else None
        if connection.finish(idle_ms):
            backend.idle.append(connection)
        else:
            backend.connections.discard(connection)

    def _add(self, server: Server) -> None:
        load = self._remote_loads.get(self._hash_name(server.incarnation))
        signals = self._signals.state_of(server)
        self._signals.apply_row(server, signals)
        self.on_listing(server, _listing_of(server))
        self._by_id[server.id] = Backend(
            server,
            signals,
            remote_load=load,
            cold_until_ms=self._clock.now() + server.cold_ms,
        )
        _log('server listed', server, len(self))

    def _update_known(self, backend: Backend, server: Server) -> None:
        known_ms = backend.server.started_ms
        reported_ms = server.started_ms or known_ms
        if 0 < known_ms < reported_ms or _has_other_version(backend, server):
            backend.retire()
            self.on_restart(backend.server)
            _log('server started again', backend.server, len(self))
            self._add(server)
        elif reported_ms >= known_ms:
            if backend.server.is_draining != server.is_draining:
                _log('server leaves', server, len(self))
            backend.server = replace(server, started_ms=reported_ms)
            backend.signals.started_ms = reported_ms
            self._signals.apply_row(server, backend.signals)
            self.on_listing(server, _listing_of(server))
            backend.is_listed = True
            backend.is_readable = True
        # Otherwise the row of an earlier incarnation has arrived late.

    def _remove_listing(self, server_id: str) -> None:
        backend = self._by_id.get(server_id)
        if backend is None or not backend.is_listed:
            return
        backend.is_listed = False
        if not backend.is_draining:
            # The row may have gone right after its last proof.  If calls have
            # failed since, it may have lapsed, and is written again.
            since_ms = self._proved_ms
            if self.failed_ms() >= since_ms:
                since_ms = self._clock.now()
            else:
                self.on_listing(backend.server, Listing.removed)
            backend.fallback_until_ms = since_ms + self.grace_ms
        backend.close_idle_connections()
        _log('server gone', backend.server, len(self))

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


def _log(event: str, server: Server, known: int) -> None:
    """Log a change of a server, and how many servers are known."""
    _logger.info(
        event,
        extra={
            'server': server.id,
            'address': server.address,
            'pool': server.pool,
            'known': known,
        },
    )


def _report_exit(backends: Backends, backend: Backend) -> None:
    """Report a server whose connections have all ended."""
    if not backend.open_connections:
        backends.on_connections_lost(backend.server)
