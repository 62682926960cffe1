"""What a gateway believes of each server."""

import logging
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.forwarding.exchange import Connection, open_connection
from seampond.forwarding.speeds import PoolSpeed, Speed

_CONNECT_MS = 300
_FIRST_PAUSE_MS = 250
_LONGEST_PAUSE_MS = 4000
_REPLACED_PAUSE_MS = 4000
_REPORT_AGE_MS = 1500
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Server:
    """One server as the list names it."""

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's word on its load, and when it came."""

    running: int
    waiting: int
    own: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class OthersLoad:
    """What the other gateways together have on a server.

    Parameters
    ----------
    running, unread : int
        Their requests, and the tokens to be read for those that wait for
        their first byte.

    """

    running: int
    unread: int
    at_ms: int


@dataclass(slots=True)
class Backend:
    """One server: the list's word, our own experience, our connections.

    Parameters
    ----------
    fallback_until_ms : int
        Until when it is a fallback, its row having gone without a word
        of its leave: rows also go while the store is down.
    others : OthersLoad or None
        What the other gateways have there, as they told us.
    unanswered : dict[bytes, tuple[int, int]]
        By request, those of ours that wait for the first byte: since when,
        and how many tokens are to be read for them.

    """

    server: Server
    in_flight: int = 0
    others: OthersLoad | None = None
    speed: Speed = field(default_factory=Speed)
    unanswered: dict[bytes, tuple[int, int]] = field(default_factory=dict)
    failures: int = 0
    paused_until_ms: int = 0
    is_listed: bool = True
    fallback_until_ms: int = 0
    report: LoadReport | None = None
    idle: list[Connection] = field(default_factory=list)
    open_count: int = 0
    kept_parts: dict[str, int] = field(default_factory=dict)

    @property
    def own_unread(self) -> int:
        """The tokens to be read for ours that wait for the first byte."""
        return sum(tokens for _, tokens in self.unanswered.values())

    @property
    def takes_work(self) -> bool:
        """Whether the list lets us send to it."""
        return self.is_listed and not self.server.is_leaving

    def may_send(self, now_ms: int) -> bool:
        """Whether it may be sent to, if only as a fallback."""
        return self.takes_work or now_ms < self.fallback_until_ms

    def is_usable(self, now_ms: int) -> bool:
        """Whether to send to it now."""
        return self.may_send(now_ms) and now_ms >= self.paused_until_ms

    def load(self, now_ms: int) -> int:
        """Estimate the requests that it holds, ours and others'."""
        others, report = self.others, self.report
        told = others.running if others else 0
        told_ms = others.at_ms if others else 0
        is_recent = report and now_ms - report.at_ms < _REPORT_AGE_MS
        if report and is_recent and report.at_ms > told_ms:
            told = report.running + report.waiting - report.own
        return self.in_flight + max(0, told)

    def unread(self, now_ms: int) -> int:
        """Estimate the tokens that wait there to be read."""
        own = self.own_unread
        others = self.others
        if others and now_ms - others.at_ms < _REPORT_AGE_MS:
            return own + others.unread
        return own

    def longest_wait_ms(self, now_ms: int) -> int:
        """Give how long one of ours has waited there for its first byte."""
        if not self.unanswered:
            return 0
        # They are kept in the order of their sends.
        since_ms, _ = next(iter(self.unanswered.values()))
        return now_ms - since_ms

    def note_success(self) -> None:
        """Note a sound answer."""
        self.failures = 0
        self.paused_until_ms = 0

    def note_failure(self, now_ms: int, least: int = 1) -> None:
        """Note a failure; after `least` in a row, pause, longer each time."""
        self.failures += 1
        if self.failures < least:
            return
        exponent = min(self.failures - least, 4)
        pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS << exponent)
        self.paused_until_ms = now_ms + pause_ms

    def note_replaced(self, now_ms: int) -> None:
        """Note that another server answers at its address.

        Explanation
        -----------
        A server that starts again has a new id, and the row of the old one
        stays until it lapses.  The pause ends by itself, should the answer
        have been wrong.
        """
        self.failures += 1
        self.paused_until_ms = now_ms + _REPLACED_PAUSE_MS

    def drop_idle(self) -> None:
        """Close the connections that rest."""
        for connection in self.idle:
            connection.close()
            self.open_count -= 1
        self.idle.clear()


def _no_bound(pool: str) -> int:
    """Allow connections without a bound."""
    return sys.maxsize


class Backends:
    """All servers that a gateway knows, by their id.

    Parameters
    ----------
    id_header : bytes
        The header that every answer of a server carries back.
    grace_ms : int
        How long a server whose row has gone is a fallback.
    bound_connections : Callable[[str], int]
        Gives how many connections we may have to each server of a pool.

    """

    def __init__(
        self,
        clock: Clock,
        id_header: bytes,
        grace_ms: int = 0,
        bound_connections: Callable[[str], int] = _no_bound,
    ) -> None:
        """Start with none."""
        self.bound_connections = bound_connections
        self.grace_ms = grace_ms
        self._clock = clock
        self._id_header = id_header
        self._by_id: dict[str, Backend] = {}
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

    def take_others(
        self, loads: Mapping[int, OthersLoad], key_of: Callable[[str], int]
    ) -> None:
        """Take what the other gateways have, by key of the server's id."""
        now_ms = self._clock.now()
        for server_id, backend in self._by_id.items():
            told = loads.get(key_of(server_id))
            backend.others = told or OthersLoad(0, 0, now_ms)

    def speed_of(self, pool: str) -> PoolSpeed:
        """Give what is known of the speed of a pool."""
        return self._speeds.setdefault(pool, PoolSpeed())

    def refresh_speed(self, pool: str) -> PoolSpeed:
        """Take the pool's speed anew from its servers'."""
        speed = self.speed_of(pool)
        speed.refresh(backend.speed for backend in self.of_pool(pool))
        return speed

    def of_pool(self, pool: str) -> list[Backend]:
        """Give the servers of one pool, the fallbacks among them."""
        return self._by_pool.get(pool, [])

    def take(self, servers: Iterable[Server], gone: Iterable[str]) -> None:
        """Take changes of the list."""
        for server in servers:
            backend = self._by_id.get(server.id)
            if backend is None:
                self._by_id[server.id] = Backend(server)
                self._tell('server listed', server)
                continue
            if backend.server.is_leaving != server.is_leaving:
                self._tell('server leaves', server)
            backend.server = server
            backend.is_listed = True
        for server_id in gone:
            self._unlist(server_id)
        self._index()

    def keep_only(self, servers: Iterable[Server]) -> None:
        """Take the whole list; what is not on it is gone."""
        listed = list(servers)
        names = {server.id for server in listed}
        self.take(listed, [name for name in self._by_id if name not in names])

    async def connect(self, backend: Backend) -> Connection:
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
            backend.open_count -= 1
        connection = await open_connection(
            backend.server.address, self._clock, self._id_header, _CONNECT_MS
        )
        backend.open_count += 1
        return connection

    def give_back(
        self, backend: Backend, connection: Connection, keep_ms: int | None
    ) -> None:
        """Keep a connection for the next request, or close it."""
        rest_ms = keep_ms if backend.takes_work else None
        if connection.finish(rest_ms):
            backend.idle.append(connection)
        else:
            backend.open_count -= 1

    def _unlist(self, server_id: str) -> None:
        backend = self._by_id.get(server_id)
        if backend is None or not backend.is_listed:
            return
        backend.is_listed = False
        if not backend.server.is_leaving:
            backend.fallback_until_ms = self._clock.now() + self.grace_ms
        backend.drop_idle()
        self._tell('server gone', backend.server)

    def _index(self) -> None:
        now_ms = self._clock.now()
        self._by_id = {
            name: backend
            for name, backend in self._by_id.items()
            if backend.is_listed
            or backend.in_flight
            or backend.may_send(now_ms)
        }
        by_pool: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            if backend.is_listed or backend.may_send(now_ms):
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
