"""Reports of the origins of streams to their owners."""

import itertools
from collections.abc import Iterable

from seampond.clock import Clock
from seampond.forwarding.stream_origins import ServerRun
from seampond.streams.messages import OriginReport, UnverifiedReport
from seampond.streams.origin_table import OriginEntry
from seampond.streams.owners import GatewayDirectory, OriginOwners
from seampond.streams.requests import OriginRequests

_OWNERS = 2
# Streams of one datagram.
_REPORT_STREAMS = 64


class OriginReporter:
    """Reports the origins of streams that began at this gateway."""

    def __init__(
        self,
        gateways: GatewayDirectory,
        owners: OriginOwners,
        requests: OriginRequests,
        clock: Clock,
    ) -> None:
        """Initialize the reporter."""
        self._gateways = gateways
        self._owners = owners
        self._requests = requests
        self._clock = clock

    def report(self, entries: Iterable[tuple[int, OriginEntry]]) -> None:
        """Report the origins of streams to their owners."""
        reports: dict[tuple[str, int, str, ServerRun | None], list[int]] = {}
        for stream, entry in entries:
            entry.is_reported = True
            for owner in self._owners.find_owners(stream, _OWNERS):
                key = (owner, entry.pool, entry.version, entry.run)
                reports.setdefault(key, []).append(stream)
        for (owner, pool, version, run), streams in reports.items():
            for batch in _split(streams, _REPORT_STREAMS):
                self._requests.send(
                    self._gateways.address_of(owner),
                    self._make_report(pool, version, batch, run),
                )

    def _make_report(
        self,
        pool: int,
        version: str,
        streams: tuple[int, ...],
        run: ServerRun | None,
    ) -> OriginReport | UnverifiedReport:
        if run is None:
            return OriginReport(pool, version, streams)
        ago_ms = self._clock.now() - run.connected_ms
        return UnverifiedReport(pool, version, streams, run.incarnation, ago_ms)


def _split(streams: list[int], size: int) -> Iterable[tuple[int, ...]]:
    """Yield parts of a list.

    Examples
    --------
    >>> list(_split([1, 2, 3], 2))
    [(1, 2), (3,)]

    """
    for start in itertools.count(0, size):
        if start >= len(streams):
            return
        yield tuple(streams[start : start + size])
