"""The other gateways and when each of them was last heard from."""

import asyncio
import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.sharing.hashing import hash_name
from seampond.sharing.heartbeats import Heartbeat, Load
from seampond.sharing.loads import LoadTotals

_HEARTBEAT_INTERVAL_MS = 300
_MAX_HEARTBEAT_INTERVAL_MS = 3000
# Beyond this many gateways the interval grows, so that the heartbeats received
# by each stay at about 100 per second; at 300 ms each of 340 gateways would
# receive 1,130.
_FULL_RATE_GATEWAYS = 30
_SILENT_INTERVALS = 3
# Gateways that follow the store's tables and relay changes: one may be frozen,
# one disconnected and one just stopped before the others notice.
_FOLLOWER_COUNT = 4
# Expected number of gateways that reply to a newcomer; more than one, since
# replies may be lost or come from gateways without levels.
_SAMPLE_SIZE = 8
FORGET_AFTER_MS = 20_000
# Time for others to remove its row, and for it to write the row again.
_RENEWAL_MS = 5000
# Spans several heartbeats, some of which may be lost.
_NEWCOMER_UPTIME_MS = 2000
# The summary visits every peer and is used several times per request.
_SUMMARY_MAX_AGE_MS = 20
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Peer:
    """State of one other gateway.

    Parameters
    ----------
    last_seen_ms : int
        Time of its last heartbeat, or else when it was first listed.
    heartbeat : Heartbeat or None
        Its newest heartbeat.
    undecodable_ms : int
        Time of its last undecodable datagram, 0 for never.
    is_silent : bool
        Whether its heartbeats have been missing.
    is_listed : bool
        Whether the gateways' table lists it.
    counted_loads : Mapping[int, Load]
        Its loads as included in the totals.

    """

    name: str
    address: str
    last_seen_ms: int
    heartbeat: Heartbeat | None = None
    undecodable_ms: int = 0
    is_silent: bool = True
    is_listed: bool = True
    counted_loads: Mapping[int, Load] = field(default_factory=dict)

    @property
    def heard_ms(self) -> int:
        """Time of its last datagram, or else when it was first listed."""
        return max(self.last_seen_ms, self.undecodable_ms)

    @property
    def has_stopped(self) -> bool:
        """Whether it has completed a planned stop."""
        return self.heartbeat is not None and self.heartbeat.has_stopped

    def has_been_silent(self, now_ms: int, interval_ms: float) -> bool:
        """Return True if heartbeats at this interval are missing."""
        if self.heartbeat is None:
            return True
        silent_ms = now_ms - self.last_seen_ms
        return silent_ms > _SILENT_INTERVALS * interval_ms

    def is_serving(self, now_ms: int, interval_ms: float) -> bool:
        """Return True if it is heard and has not begun a planned stop."""
        return (
            self.heartbeat is not None
            and not (self.has_stopped or self.heartbeat.is_stopping)
            and not self.has_been_silent(now_ms, interval_ms)
        )

    def update_load_totals(
        self, totals: LoadTotals, loads: Mapping[int, Load]
    ) -> None:
        """Replace its previous loads in the totals."""
        totals.replace(self.counted_loads, loads)
        self.counted_loads = loads


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """Counts over the other gateways at one moment.

    Parameters
    ----------
    alive : int
        Gateways that may be serving.
    reachable : int
        Those with recent heartbeats.
    has_serving_peer : bool
        Whether a reachable one is not stopping.
    has_newcomer : bool
        Whether a reachable one has just started.
    followers_before : int
        Reachable ones with access to the store that precede this gateway.
    permit_issuers : tuple[str, ...]
        Names of reachable ones that issue permits.
    origin_keepers : tuple[str, ...]
        Names of reachable ones that keep the origins of streams.
    lenders : tuple[str, ...]
        Names of reachable ones that lend retries.
    connection_lenders : tuple[str, ...]
        Names of reachable ones that lend connections.
    lost : tuple[Peer, ...]
        Those silent for long whose rows may be removed.

    """

    at_ms: int
    alive: int = 0
    reachable: int = 0
    has_serving_peer: bool = False
    has_newcomer: bool = False
    followers_before: int = 0
    permit_issuers: tuple[str, ...] = ()
    origin_keepers: tuple[str, ...] = ()
    lenders: tuple[str, ...] = ()
    connection_lenders: tuple[str, ...] = ()
    lost: tuple[Peer, ...] = ()


def compute_heartbeat_interval_ms(gateways: int) -> int:
    """Return the regular interval between two heartbeats of one gateway.

    Examples
    --------
    >>> [compute_heartbeat_interval_ms(count) for count in (4, 68, 340)]
    [300, 680, 3000]

    """
    slowed_ms = _HEARTBEAT_INTERVAL_MS * gateways // _FULL_RATE_GATEWAYS
    return max(
        _HEARTBEAT_INTERVAL_MS, min(_MAX_HEARTBEAT_INTERVAL_MS, slowed_ms)
    )


def compute_sample_probability(gateways: int) -> float:
    """Return the probability with which each does what a few of all should do.

    Explanation
    -----------
    Keeps the number of replies from growing with the square of the fleet.

    Examples
    --------
    >>> [compute_sample_probability(count) for count in (4, 80)]
    [1.0, 0.1]

    """
    return min(1.0, _SAMPLE_SIZE / gateways)


class Peers:
    """The other gateways, which share limits with this one.

    Explanation
    -----------
    A silent gateway may still be serving, so it is counted until it has been
    silent for a long time.  After a planned stop it is not counted.  One whose
    row was removed while it is heard is alive, so it stays until it is silent.
    A gateway that hears none counts the others until their rows are removed.

    Parameters
    ----------
    name : str
        Name of this gateway.

    Attributes
    ----------
    registration_lost : asyncio.Event
        Set when the gateways' table no longer lists this gateway.
    has_gateway_list : bool
        Whether the gateways' table has been read.
    registration_version : int
        Version of this gateway's row, 0 if it has not been seen.
    removable_rows : dict[str, int]
        Versions of the rows that their gateways write again if removed.

    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Start without any peers."""
        self.registration_lost = asyncio.Event()
        self.has_gateway_list = False
        self.registration_version = 0
        self.removable_rows: dict[str, int] = {}
        self.name = name
        self.load_totals = LoadTotals()
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._cached_summary: PeerSummary | None = None

    @property
    def count(self) -> int:
        """Number of gateways that may be serving, this one included."""
        return self.summary.alive + 1

    @property
    def heartbeat_interval_ms(self) -> int:
        """Regular interval between two heartbeats."""
        return compute_heartbeat_interval_ms(self.count)

    @property
    def interval_factor(self) -> float:
        """Factor by which intervals grow in a large fleet."""
        return max(1, self.count / _FULL_RATE_GATEWAYS)

    @property
    def rank(self) -> int:
        """Number of reachable gateways that precede this one by name."""
        return sum(
            peer.name < self.name and not peer.has_stopped
            for peer in self._peers.values()
            if not peer.has_been_silent(
                self._clock.now(), self.heartbeat_interval_ms
            )
        )

    @property
    def names(self) -> frozenset[str]:
        """Names of the other listed gateways."""
        return frozenset(self._peers)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the other gateways, silent ones included."""
        return [peer.address for peer in self._peers.values()]

    @property
    def all_reachable(self) -> bool:
        """Whether all gateways that may be serving are reachable."""
        return (
            self.has_gateway_list
            and self.summary.reachable == self.summary.alive
        )

    def list_heartbeats(self) -> list[Heartbeat] | None:
        """Return the newest heartbeat of each gateway that may be serving.

        Explanation
        -----------
        None while one of them is silent or the list has not been read.
        """
        if not self.all_reachable:
            return None
        oldest_ms = self._clock.now() - FORGET_AFTER_MS
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.last_seen_ms >= oldest_ms
            and not peer.has_stopped
        ]

    @property
    def reachable_fraction(self) -> float:
        """Fraction of all gateways that is reachable, this one included.

        Examples
        --------
        >>> peers = Peers('g0', Clock(lambda: 0))
        >>> peers.apply_rows([('g1', 'x:1'), ('g2', 'x:2'), ('g3', 'x:3')])
        >>> peers.apply_heartbeat(Heartbeat('g2', 1, 1))
        True
        >>> peers.reachable_fraction
        0.5

        """
        return (self.summary.reachable + 1) / self.count

    @property
    def is_follower(self) -> bool:
        """Whether this gateway is one of the few that follow the store.

        Explanation
        -----------
        The order by hash is the same at every gateway and independent of
        halls, so that the loss of one hall does not remove all followers.
        """
        return self.summary.followers_before < _FOLLOWER_COUNT

    @property
    def permit_issuers(self) -> tuple[str, ...]:
        """Names of the reachable gateways that issue permits."""
        return self.summary.permit_issuers

    @property
    def origin_keepers(self) -> tuple[str, ...]:
        """Names of the reachable gateways that keep origins of streams."""
        return self.summary.origin_keepers

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the reachable gateways that lend retries."""
        return self.summary.lenders

    @property
    def has_newcomer(self) -> bool:
        """Whether a reachable gateway has just started."""
        return self.summary.has_newcomer

    @property
    def has_serving_peer(self) -> bool:
        """Whether a reachable gateway is not stopping."""
        return self.summary.has_serving_peer

    def address_of(self, name: str) -> str:
        """Return the address of a gateway, empty if it is not listed."""
        peer = self._peers.get(name)
        return peer.address if peer else ''

    def apply_rows(self, rows: Iterable[tuple[str, str]]) -> None:
        """Apply names and addresses; an empty address removes the gateway."""
        self.has_gateway_list = True
        self._cached_summary = None
        for name, address in rows:
            if name != self.name:
                self._apply_row(name, address)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it was discarded.

        Explanation
        -----------
        Discarded are heartbeats that a later one overtook and those of
        gateways that the store does not list.
        """
        peer = self._peers.get(heartbeat.name)
        if peer is None:
            return False
        last = peer.heartbeat
        is_same_incarnation = last and last.incarnation == heartbeat.incarnation
        if is_same_incarnation and last and heartbeat.sequence <= last.sequence:
            return False
        peer.heartbeat = heartbeat
        peer.last_seen_ms = self._clock.now()
        peer.update_load_totals(
            self.load_totals, {} if peer.has_stopped else heartbeat.loads
        )
        has_changed = (
            last and last.is_store_unreachable != heartbeat.is_store_unreachable
        )
        if (
            not is_same_incarnation
            or has_changed
            or peer.is_silent
            or peer.has_stopped
        ):
            self._cached_summary = None
        if peer.is_silent:
            peer.is_silent = False
            _logger.info('gateway heard', extra={'peer': peer.name})
        return True

    def record_undecodable(self, address: str) -> None:
        """Record an undecodable datagram from an address.

        Explanation
        -----------
        It may come from a gateway of another build, which uses its share of
        the limits: it counts as alive but not as reachable.
        """
        for peer in self._peers.values():
            if peer.address != address:
                continue
            if not peer.undecodable_ms:
                self._cached_summary = None
                _logger.warning(
                    'gateway sends undecodable datagrams',
                    extra={'peer': peer.name},
                )
            peer.undecodable_ms = self._clock.now()

    def record_silent_peers(self) -> None:
        """Record and log the gateways that have become silent."""
        for peer in tuple(self._peers.values()):
            if (
                peer.has_been_silent(
                    self._clock.now(), self.heartbeat_interval_ms
                )
                and not peer.is_silent
            ):
                peer.is_silent = True
                self._cached_summary = None
                peer.update_load_totals(self.load_totals, {})
                _logger.warning(
                    'gateway silent',
                    extra={
                        'peer': peer.name,
                        'silent_ms': self._clock.now() - peer.last_seen_ms,
                    },
                )
                if not peer.is_listed:
                    self._apply_row(peer.name, '')

    @property
    def summary(self) -> PeerSummary:
        """Summary of the peers, recomputed when it is outdated."""
        now_ms = self._clock.now()
        if (
            self._cached_summary is None
            or now_ms >= self._cached_summary.at_ms + _SUMMARY_MAX_AGE_MS
        ):
            self._cached_summary = self._summarize(now_ms)
        return self._cached_summary

    def _summarize(self, now_ms: int) -> PeerSummary:
        oldest_ms = now_ms - FORGET_AFTER_MS
        alive = [
            peer
            for peer in self._peers.values()
            if not peer.has_stopped
            and peer.heard_ms
            >= oldest_ms - _RENEWAL_MS * (peer.name in self.removable_rows)
        ]
        silent_ms = _SILENT_INTERVALS * compute_heartbeat_interval_ms(
            len(alive) + 1
        )
        reachable = [
            peer.heartbeat
            for peer in alive
            if peer.heartbeat is not None
            and peer.last_seen_ms >= now_ms - silent_ms
        ]
        # A gateway that hears no other may be cut off from all of them.
        lost = tuple(
            peer
            for peer in self._peers.values()
            if peer.heard_ms < oldest_ms and peer.name in self.removable_rows
        )
        if not reachable:
            alive.extend(
                peer
                for peer in lost
                if peer not in alive and not peer.has_stopped
            )
        return PeerSummary(
            now_ms,
            len(alive),
            len(reachable),
            any(not heartbeat.is_stopping for heartbeat in reachable),
            any(
                heartbeat.uptime_ms < _NEWCOMER_UPTIME_MS
                for heartbeat in reachable
            ),
            sum(_precedes(heartbeat, self.name) for heartbeat in reachable),
            tuple(
                heartbeat.name
                for heartbeat in reachable
                if heartbeat.issues_permits
            ),
            tuple(
                heartbeat.name
                for heartbeat in reachable
                if heartbeat.keeps_origins
            ),
            tuple(
                heartbeat.name
                for heartbeat in reachable
                if heartbeat.lends_retries
            ),
            tuple(
                heartbeat.name
                for heartbeat in reachable
                if heartbeat.lends_connections
            ),
            lost,
        )

    def _apply_row(self, name: str, address: str) -> None:
        peer = self._peers.get(name)
        if address and peer is not None:
            peer.address = address
            peer.is_listed = True
        elif address:
            self._peers[name] = Peer(name, address, self._clock.now())
            _logger.info('gateway added', extra={'peer': name})
        elif peer is not None:
            peer.is_listed = False
            if self.removable_rows.pop(name, 0) and peer.is_serving(
                self._clock.now(), self.heartbeat_interval_ms
            ):
                return
            peer.update_load_totals(self.load_totals, {})
            self._peers.pop(name)
            _logger.info('gateway removed', extra={'peer': name})


def _precedes(heartbeat: Heartbeat, name: str) -> bool:
    if heartbeat.is_stopping or heartbeat.is_store_unreachable:
        return False
    return hash_name(heartbeat.name) < hash_name(name)
