"""The other gateways: who they are and when each was last heard."""

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
# Each tells each, so beyond this many the pace slows and what one gateway
# hears stays at 100 heartbeats a second: 340 gateways at 300 ms would send
# each of them 1,130.
_FULL_RATE_GATEWAYS = 30
_SILENT_INTERVALS = 3
# How many answer a gateway that has just started: one would do, and some of
# the answers are lost or come from gateways that know no levels themselves.
_SAMPLE_SIZE = 8
# How many gateways follow the tables of the store and pass changes on: one may
# freeze, one be cut off and one just end before the others notice.
_FOLLOWER_COUNT = 4
_FORGET_AFTER_MS = 20_000
# Some heartbeats of a gateway's life, of which some may be lost.
_NEWCOMER_UPTIME_MS = 2000
# How long a count of who is heard is good for: it is asked for several times
# for each request, and takes a look at each gateway.
_SUMMARY_MAX_AGE_MS = 20
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Peer:
    """One other gateway.

    Parameters
    ----------
    last_seen_ms : int
        When it was first known or last heard.
    heartbeat : Heartbeat or None
        The newest that came from it.
    undecodable_ms : int
        When something last came from it that cannot be read, 0 for never.
    is_silent : bool
        Whether it was not heard of late.
    counted_loads : Mapping[int, Load]
        What of its load is in the sums.

    """

    name: str
    address: str
    last_seen_ms: int
    heartbeat: Heartbeat | None = None
    undecodable_ms: int = 0
    is_silent: bool = True
    counted_loads: Mapping[int, Load] = field(default_factory=dict)

    @property
    def has_stopped(self) -> bool:
        """Whether it has ended a planned stop."""
        return self.heartbeat is not None and self.heartbeat.has_stopped

    def update_load_totals(
        self, totals: LoadTotals, loads: Mapping[int, Load]
    ) -> None:
        """Put its loads into sums in the place of those before."""
        totals.replace(self.counted_loads, loads)
        self.counted_loads = loads


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """How many other gateways there may be, and how many are heard.

    Parameters
    ----------
    has_serving_peer : bool
        Whether one that is heard is not about to stop.
    has_newcomer : bool
        Whether one that is heard has just started.
    followers_before : int
        How many that are heard and reach the store come before us.
    permit_issuers : tuple[str, ...]
        Those that are heard and give permits.

    """

    at_ms: int
    alive: int = 0
    reachable: int = 0
    has_serving_peer: bool = False
    has_newcomer: bool = False
    followers_before: int = 0
    permit_issuers: tuple[str, ...] = ()


def compute_heartbeat_interval_ms(gateways: int) -> int:
    """Give how long after one heartbeat the next is due, if none is urgent.

    Examples
    --------
    >>> [compute_heartbeat_interval_ms(count) for count in (4, 68, 340)]
    [300, 680, 3000]

    """
    slowed_ms = _HEARTBEAT_INTERVAL_MS * gateways // _FULL_RATE_GATEWAYS
    return max(
        _HEARTBEAT_INTERVAL_MS, min(_MAX_HEARTBEAT_INTERVAL_MS, slowed_ms)
    )


class Peers:
    """The gateways that share limits with this one.

    Explanation
    -----------
    A gateway that falls silent may still be serving, so it counts until it
    has been silent for long; one that has ended a planned stop says so.

    Parameters
    ----------
    name : str
        This gateway's own name.

    Attributes
    ----------
    registration_lost : asyncio.Event
        Set where the table that names the gateways has lost us.

    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Start knowing nobody."""
        self.registration_lost = asyncio.Event()
        self.has_gateway_list = False
        self.registration_version = 0
        self.name = name
        self.load_totals = LoadTotals()
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._cached_summary: PeerSummary | None = None

    @property
    def count(self) -> int:
        """How many gateways there may be, this one among them."""
        return self._summary.alive + 1

    @property
    def heartbeat_interval_ms(self) -> int:
        """How long after one heartbeat the next is due, if none is urgent."""
        return compute_heartbeat_interval_ms(self.count)

    @property
    def interval_factor(self) -> float:
        """How much more seldom each does what grows with the gateways."""
        return max(1, self.count / _FULL_RATE_GATEWAYS)

    @property
    def sample_probability(self) -> float:
        """The chance with which each does what a few of all should do.

        Explanation
        -----------
        Where each of 68 gateways answers each other's start, one start of all
        makes 4,600 datagrams.
        """
        return min(1.0, _SAMPLE_SIZE / self.count)

    @property
    def rank(self) -> int:
        """How many others that are heard come before us by name."""
        return sum(
            peer.name < self.name and not peer.has_stopped
            for peer in self._peers.values()
            if not self._is_silent(peer)
        )

    @property
    def names(self) -> frozenset[str]:
        """The others that are listed."""
        return frozenset(self._peers)

    @property
    def addresses(self) -> list[str]:
        """Where the others listen, also those that were silent for long."""
        return [peer.address for peer in self._peers.values()]

    @property
    def all_reachable(self) -> bool:
        """Whether each that may be serving was heard of late."""
        return (
            self.has_gateway_list
            and self._summary.reachable == self._summary.alive
        )

    def list_heartbeats(self) -> list[Heartbeat] | None:
        """Give the newest word of each that may be serving.

        Explanation
        -----------
        None while one of them was not heard of late, or the list is not known.
        """
        if not self.all_reachable:
            return None
        oldest_ms = self._clock.now() - _FORGET_AFTER_MS
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.last_seen_ms >= oldest_ms
            and not peer.has_stopped
        ]

    @property
    def reachable_fraction(self) -> float:
        """The part of all gateways that is heard, this one among them.

        Examples
        --------
        >>> peers = Peers('g0', Clock(lambda: 0))
        >>> peers.apply_rows([('g1', 'x:1'), ('g2', 'x:2'), ('g3', 'x:3')])
        >>> peers.apply_heartbeat(Heartbeat('g2', 1, 1))
        True
        >>> peers.reachable_fraction
        0.5

        """
        return (self._summary.reachable + 1) / self.count

    @property
    def is_follower(self) -> bool:
        """Whether we are one of the few that follow the store for all.

        Explanation
        -----------
        All work it out alike from whom they hear, in an order by key, which
        has nothing to do with halls: a hall may be lost as one.
        """
        return self._summary.followers_before < _FOLLOWER_COUNT

    @property
    def permit_issuers(self) -> tuple[str, ...]:
        """The others that are heard and give permits."""
        return self._summary.permit_issuers

    @property
    def has_newcomer(self) -> bool:
        """Whether some other gateway has just started."""
        return self._summary.has_newcomer

    @property
    def has_serving_peer(self) -> bool:
        """Whether some other gateway that is heard is not about to stop."""
        return self._summary.has_serving_peer

    def address_of(self, name: str) -> str:
        """Give where a gateway listens, empty if it is not known."""
        peer = self._peers.get(name)
        return peer.address if peer else ''

    def apply_rows(self, rows: Iterable[tuple[str, str]]) -> None:
        """Take names and addresses from the store; no address: it is gone."""
        self.has_gateway_list = True
        self._cached_summary = None
        for name, address in rows:
            if name != self.name:
                self._apply_row(name, address)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Take a heartbeat; tell whether it says anything new.

        Explanation
        -----------
        One that was overtaken by a later one does not, nor does one of a
        gateway that the store does not list.
        """
        peer = self._peers.get(heartbeat.name)
        if peer is None:
            return False
        last = peer.heartbeat
        is_same_life = last and last.incarnation == heartbeat.incarnation
        if is_same_life and last and heartbeat.sequence <= last.sequence:
            return False
        peer.heartbeat = heartbeat
        peer.last_seen_ms = self._clock.now()
        peer.update_load_totals(
            self.load_totals, {} if peer.has_stopped else heartbeat.loads
        )
        is_other = (
            last and last.is_store_unreachable != heartbeat.is_store_unreachable
        )
        if not is_same_life or is_other or peer.is_silent or peer.has_stopped:
            self._cached_summary = None
        if peer.is_silent:
            peer.is_silent = False
            _logger.info('gateway heard', extra={'peer': peer.name})
        return True

    def record_undecodable(self, address: str) -> None:
        """Note that what came from an address cannot be read.

        Explanation
        -----------
        A gateway of another build may be there, which uses up its part of
        what all share.  It counts, though it is not heard.
        """
        for peer in self._peers.values():
            if peer.address != address:
                continue
            if not peer.undecodable_ms:
                self._cached_summary = None
                _logger.warning(
                    'gateway not understood', extra={'peer': peer.name}
                )
            peer.undecodable_ms = self._clock.now()

    def record_silent_peers(self) -> None:
        """Note and log who has fallen silent."""
        for peer in self._peers.values():
            if self._is_silent(peer) and not peer.is_silent:
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

    @property
    def _summary(self) -> PeerSummary:
        """Who is there, counted a moment ago at the most."""
        now_ms = self._clock.now()
        if (
            self._cached_summary is None
            or now_ms >= self._cached_summary.at_ms + _SUMMARY_MAX_AGE_MS
        ):
            self._cached_summary = self._summarize(now_ms)
        return self._cached_summary

    def _summarize(self, now_ms: int) -> PeerSummary:
        oldest_ms = now_ms - _FORGET_AFTER_MS
        alive = [
            peer
            for peer in self._peers.values()
            if max(peer.last_seen_ms, peer.undecodable_ms) >= oldest_ms
            and not peer.has_stopped
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
        )

    def _apply_row(self, name: str, address: str) -> None:
        known = self._peers.get(name)
        if address and known is not None:
            known.address = address
        elif address:
            self._peers[name] = Peer(name, address, self._clock.now())
            _logger.info('gateway known', extra={'peer': name})
        elif known is not None:
            known.update_load_totals(self.load_totals, {})
            self._peers.pop(name)
            _logger.info('gateway gone', extra={'peer': name})

    def _is_silent(self, peer: Peer) -> bool:
        if peer.heartbeat is None:
            return True
        silent_ms = self._clock.now() - peer.last_seen_ms
        return silent_ms > _SILENT_INTERVALS * self.heartbeat_interval_ms


def _precedes(heartbeat: Heartbeat, name: str) -> bool:
    if heartbeat.is_stopping or heartbeat.is_store_unreachable:
        return False
    return hash_name(heartbeat.name) < hash_name(name)
