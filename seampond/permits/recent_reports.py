"""What answers to us have said of limits, for the heartbeats."""

from collections.abc import Mapping

from seampond.clock import Clock
from seampond.forwarding.server_limit import ServerLimit
from seampond.permits.messages import LimitReport
from seampond.permits.owners import GatewayDirectory

# Some heartbeats, of which some may be lost.
_TOLD_BEATS = 3
_TOLD_MS = 1000
_TOLD_MAX = 32


def make_report(limit: ServerLimit, now_ms: int) -> LimitReport:
    """Give what is known of a limit, with its age."""
    return LimitReport(
        limit.rate, max(0, now_ms - (limit.reported_ms or now_ms))
    )


class RecentReports:
    """The limits of which answers to us have spoken of late."""

    def __init__(self, gateways: GatewayDirectory, clock: Clock) -> None:
        """Start with none."""
        self._gateways = gateways
        self._clock = clock
        # By key of the life: the limit, and since when it is what it is.
        self._limits: dict[int, tuple[ServerLimit, int]] = {}

    def note(self, key: int, limit: ServerLimit, *, has_changed: bool) -> None:
        """Note an answer that speaks of a limit, maybe of another one."""
        now_ms = self._clock.now()
        since_ms = (
            now_ms if has_changed else self._limits.get(key, (limit, 0))[1]
        )
        self._limits[key] = (limit, since_ms)

    def collect_reports(self) -> Mapping[int, LimitReport]:
        """Give the newest words, by key of the life; forget old ones."""
        now_ms = self._clock.now()
        told_ms = max(
            _TOLD_MS, _TOLD_BEATS * self._gateways.heartbeat_interval_ms
        )
        self._limits = {
            key: (limit, since_ms)
            for key, (limit, since_ms) in self._limits.items()
            if _last_ms(limit, since_ms) >= now_ms - told_ms
        }
        newest = sorted(
            self._limits.items(), key=lambda known: -_last_ms(*known[1])
        )
        return {
            key: make_report(limit, now_ms)
            for key, (limit, _) in newest[:_TOLD_MAX]
        }


def _last_ms(limit: ServerLimit, since_ms: int) -> int:
    """Give when there was last anything to tell of a limit."""
    return (limit.reported_ms or 0) if limit.is_set else since_ms
