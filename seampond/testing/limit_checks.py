"""Checks that all gateways together keep to the limits of servers."""

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
# A window may have this factor of the limit, and these requests beside it.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
# A gateway keeps to a limit this long after a response reported it.
_INFORMED_MS = 500


@dataclass(frozen=True)
class LimitCheck:
    """Compares the requests that servers received with their limits.

    Parameters
    ----------
    grace_ms : int
        Time after which a new or changed limit must be kept.

    """

    fleet: SignallingFleet
    grace_ms: int

    def worst_share(self) -> float:
        """Return the busiest window as a share of what the limit allows."""
        spans = itertools.chain.from_iterable(
            map(_split_limited_spans, self.fleet.signalling_servers)
        )
        shares = itertools.chain.from_iterable(map(self._window_shares, spans))
        return max(shares, default=0)

    def used_share(self, since_ms: int, until_ms: int) -> float:
        """Return the requests received as a share of what the limits allow."""
        seconds = (until_ms - since_ms) / MS_PER_SECOND
        limits = (
            parse_limit(server.limit) or 0
            for server in self.fleet.signalling_servers
        )
        count = sum(
            since_ms <= arrival.delivery.at_ms < until_ms
            for server in self.fleet.signalling_servers
            for arrival in server.arrivals
        )
        return count / (sum(limits) * seconds)

    def _window_shares(self, arrivals: list[Arrival]) -> list[float]:
        """Return, for each counted arrival, the share of the window it ends."""
        limited = [
            arrival
            for arrival in arrivals
            if parse_limit(arrival.limit) is not None
        ]
        if not limited:
            return []
        binding_ms = limited[0].answered_ms + self.grace_ms
        counted = [
            arrival
            for arrival in limited
            if arrival.delivery.at_ms >= binding_ms
            and self._is_informed(arrival, limited)
        ]
        return [
            self._count_window(counted, arrival)
            / self._allowed_requests(limited, arrival)
            for arrival in counted
        ]

    def _count_window(self, counted: list[Arrival], last: Arrival) -> int:
        until_ms = last.delivery.at_ms
        return sum(
            until_ms - _WINDOW_MS < arrival.delivery.at_ms <= until_ms
            for arrival in counted
        )

    def _allowed_requests(self, limited: list[Arrival], last: Arrival) -> float:
        """Return what a window allows by its highest recent limit."""
        until_ms = last.delivery.at_ms
        since_ms = until_ms - _WINDOW_MS - self.grace_ms
        max_limit = max(
            parse_limit(arrival.limit) or 0
            for arrival in limited
            if since_ms <= arrival.delivery.at_ms <= until_ms
        )
        seconds = _WINDOW_MS / MS_PER_SECOND
        return _ALLOWED_FACTOR * max_limit * seconds + _ALLOWED_EXTRA

    def _is_informed(self, arrival: Arrival, limited: list[Arrival]) -> bool:
        """Return True if the gateway has received a limit of this span."""
        gateways = self.fleet.gateways_by_request()
        gateway = gateways[arrival.delivery.request_id]
        at_ms = arrival.delivery.at_ms
        return any(
            0 < previous.answered_ms <= at_ms - _INFORMED_MS
            and gateways[previous.delivery.request_id] == gateway
            and not self.fleet.was_disrupted(
                gateway, previous.answered_ms, at_ms
            )
            for previous in limited
        )


def _split_limited_spans(server: SignallingServer) -> list[list[Arrival]]:
    """Split arrivals into spans in which one incarnation reports a limit.

    Explanation
    -----------
    A limit that is reported again after responses without one starts a new
    span.
    """
    spans: list[list[Arrival]] = []
    previous: Arrival | None = None
    for arrival in server.arrivals:
        is_first = previous is None or not previous.limit
        if arrival.limit and (
            is_first or _is_other_incarnation(previous, arrival)
        ):
            spans.append([])
        if arrival.limit:
            spans[-1].append(arrival)
        previous = arrival
    return spans


def _is_other_incarnation(previous: Arrival | None, arrival: Arrival) -> bool:
    return (
        previous is None
        or previous.delivery.incarnation != arrival.delivery.incarnation
    )
