"""The other gateways: who they are and when each was last heard."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.sharing.heartbeats import Heartbeat, Load

_SILENT_MS = 900
_FORGET_MS = 20_000
# Some heartbeats of a gateway's life, of which some may be lost.
_YOUNG_MS = 2000
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Peer:
    """One other gateway.

    Parameters
    ----------
    seen_ms : int
        When it was first known or last heard.
    heartbeat : Heartbeat or None
        The newest that came from it.

    """

    name: str
    address: str
    seen_ms: int
    heartbeat: Heartbeat | None = None
    is_silent: bool = True


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

    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Start knowing nobody."""
        self.is_listed = False
        self.own_version = 0
        self.name = name
        self._clock = clock
        self._peers: dict[str, Peer] = {}

    @property
    def count(self) -> int:
        """How many gateways there may be, this one among them."""
        return len(self._alive()) + 1

    @property
    def rank(self) -> int:
        """How many others that are heard come before us by name."""
        return sum(
            peer.name < self.name and not self._is_silent(peer)
            for peer in self._alive()
        )

    @property
    def addresses(self) -> list[str]:
        """Where the others listen, also those that were silent for long."""
        return [peer.address for peer in self._peers.values()]

    @property
    def all_heard(self) -> bool:
        """Whether each that may be serving was heard of late."""
        if not self.is_listed:
            return False
        return not any(self._is_silent(peer) for peer in self._alive())

    @property
    def has_young(self) -> bool:
        """Whether some other gateway has just started."""
        return any(
            peer.heartbeat is not None
            and peer.heartbeat.uptime_ms < _YOUNG_MS
            and not self._is_silent(peer)
            for peer in self._peers.values()
        )

    @property
    def has_ready(self) -> bool:
        """Whether some other gateway that is heard is not about to stop."""
        return any(
            peer.heartbeat is not None
            and not peer.heartbeat.is_stopping
            and not self._is_silent(peer)
            for peer in self._alive()
        )

    def take_rows(self, rows: Iterable[tuple[str, str]]) -> None:
        """Take names and addresses from the store; no address: it is gone."""
        self.is_listed = True
        for name, address in rows:
            if name != self.name:
                self._take_row(name, address)

    def take_heartbeat(self, heartbeat: Heartbeat) -> bool:
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
        peer.seen_ms = self._clock.now()
        if peer.is_silent:
            peer.is_silent = False
            _logger.info('gateway heard', extra={'peer': peer.name})
        return True

    def loads(self) -> dict[int, Load]:
        """Sum what the others have, by key of the server."""
        sums: dict[int, Load] = {}
        for peer in self._alive():
            if peer.heartbeat is None or self._is_silent(peer):
                continue
            for server, load in peer.heartbeat.loads.items():
                known = sums.get(server, Load(0, 0))
                sums[server] = Load(
                    known.running + load.running, known.unread + load.unread
                )
        return sums

    def note_silence(self) -> None:
        """Log who has fallen silent."""
        for peer in self._peers.values():
            if self._is_silent(peer) and not peer.is_silent:
                peer.is_silent = True
                _logger.warning(
                    'gateway silent',
                    extra={
                        'peer': peer.name,
                        'silent_ms': self._clock.now() - peer.seen_ms,
                    },
                )

    def _take_row(self, name: str, address: str) -> None:
        known = self._peers.get(name)
        if address and known is not None:
            known.address = address
        elif address:
            self._peers[name] = Peer(name, address, self._clock.now())
            _logger.info('gateway known', extra={'peer': name})
        elif known is not None:
            self._peers.pop(name)
            _logger.info('gateway gone', extra={'peer': name})

    def _alive(self) -> list[Peer]:
        oldest_ms = self._clock.now() - _FORGET_MS
        return [
            peer
            for peer in self._peers.values()
            if peer.seen_ms >= oldest_ms
            and not (peer.heartbeat and peer.heartbeat.is_gone)
        ]

    def _is_silent(self, peer: Peer) -> bool:
        if peer.heartbeat is None:
            return True
        return self._clock.now() - peer.seen_ms > _SILENT_MS
