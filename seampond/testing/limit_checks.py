"""What servers that name a limit get from all gateways, seen from outside."""

import itertools
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.server_signals import parse_limit
from seampond.testing.signalling import (
    Arrival,
    SignallingFleet,
    SignallingServer,
)

_WINDOW_MS = 4000
_LEEWAY = 1.5
_LEEWAY_REQUESTS = 5
# Who has passed on an answer that names the limit so long ago is bound by it.
_INFORMED_MS = 500


@dataclass(frozen=True)
class LimitCheck:
    """What servers with a limit got, as a fleet has seen it.

    Parameters
    ----------
    grace_ms : int
        How long after a limit was first named, or changed, it binds.

    """

    fleet: SignallingFleet
    grace_ms: int

    def worst_share(self) -> float:
        """Give the worst window's requests as a part of what is allowed."""
        lives = itertools.chain.from_iterable(
            map(_split_incarnations, self.fleet.signalling_servers)
        )
        parts = itertools.chain.from_iterable(map(self._parts, lives))
        return max(parts, default=0)

    def used_share(self, since_ms: int, until_ms: int) -> float:
        """Give what reached the servers as a part of their limits' sum."""
        seconds = (until_ms - since_ms) / MS_PER_SECOND
        limits = (
            parse_limit(one.limit) or 0 for one in self.fleet.signalling_servers
        )
        count = sum(
            since_ms <= one.delivery.at_ms < until_ms
            for server in self.fleet.signalling_servers
            for one in server.arrivals
        )
        return count / (sum(limits) * seconds)

    def _parts(self, arrivals: list[Arrival]) -> list[float]:
        """Give for each counted arrival the part of the window it ends."""
        named = [one for one in arrivals if parse_limit(one.limit) is not None]
        if not named:
            return []
        binds_ms = named[0].answered_ms + self.grace_ms
        counted = [
            one
            for one in named
            if one.delivery.at_ms >= binds_ms and self._is_informed(one, named)
        ]
        return [
            self._count(counted, one) / self._allow(named, one)
            for one in counted
        ]

    def _count(self, counted: list[Arrival], last: Arrival) -> int:
        until_ms = last.delivery.at_ms
        return sum(
            until_ms - _WINDOW_MS < one.delivery.at_ms <= until_ms
            for one in counted
        )

    def _allow(self, named: list[Arrival], last: Arrival) -> float:
        """Give what is allowed in a window; a change binds some time later."""
        until_ms = last.delivery.at_ms
        since_ms = until_ms - _WINDOW_MS - self.grace_ms
        most = max(
            parse_limit(one.limit) or 0
            for one in named
            if since_ms <= one.delivery.at_ms <= until_ms
        )
        seconds = _WINDOW_MS / MS_PER_SECOND
        return _LEEWAY * most * seconds + _LEEWAY_REQUESTS

    def _is_informed(self, arrival: Arrival, named: list[Arrival]) -> bool:
        """Whether its gateway has passed on a limit of this life before."""
        gateways = self.fleet.gateways_by_request()
        gateway = gateways[arrival.delivery.request_id]
        at_ms = arrival.delivery.at_ms
        return any(
            0 < one.answered_ms <= at_ms - _INFORMED_MS
            and gateways[one.delivery.request_id] == gateway
            and not self.fleet.was_disrupted(gateway, one.answered_ms, at_ms)
            for one in named
        )


def _split_incarnations(server: SignallingServer) -> list[list[Arrival]]:
    """Give what came in each life while a limit was named.

    Explanation
    -----------
    One that is named anew, after answers without any, binds anew.
    """
    spans: list[list[Arrival]] = []
    before: Arrival | None = None
    for arrival in server.arrivals:
        is_first = before is None or not before.limit
        if arrival.limit and (
            is_first or _is_other_incarnation(before, arrival)
        ):
            spans.append([])
        if arrival.limit:
            spans[-1].append(arrival)
        before = arrival
    return spans


def _is_other_incarnation(before: Arrival | None, arrival: Arrival) -> bool:
    return (
        before is None
        or before.delivery.incarnation != arrival.delivery.incarnation
    )
