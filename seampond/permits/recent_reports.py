"""Recent limits reported to this gateway, for its heartbeats."""

from collections.abc import Mapping

from seampond.clock import Clock
from seampond.forwarding.server_limit import ServerLimit
from seampond.permits.messages import LimitReport
from seampond.permits.owners import GatewayDirectory

# Each report is sent in several heartbeats, since some may be lost.
_REPORT_HEARTBEATS = 3
_MIN_REPORT_AGE_MS = 1000
_REPORTS_MAX = 32


def make_report(limit: ServerLimit, now_ms: int) -> LimitReport:
    """Return what is known of a limit, with its age."""
    return LimitReport(
        limit.rate, max(0, now_ms - (limit.reported_ms or now_ms))
    )


class RecentReports:
    """The limits that recent responses to this gateway reported."""

    def __init__(self, gateways: GatewayDirectory, clock: Clock) -> None:
        """Start without reports."""
        self._gateways = gateways
        self._clock = clock
        # By incarnation key: the limit, and when it last changed.
        self._limits: dict[int, tuple[ServerLimit, int]] = {}

    def record(
        self, key: int, limit: ServerLimit, *, has_changed: bool
    ) -> None:
        """Record a response that reports a limit.

        Parameters
        ----------
        has_changed : bool
            Whether the limit has changed.

        """
        now_ms = self._clock.now()
        since_ms = (
            now_ms if has_changed else self._limits.get(key, (limit, 0))[1]
        )
        self._limits[key] = (limit, since_ms)

    def collect(self) -> Mapping[int, LimitReport]:
        """Return the newest reports by incarnation key; drop old ones."""
        now_ms = self._clock.now()
        max_age_ms = max(
            _MIN_REPORT_AGE_MS,
            _REPORT_HEARTBEATS * self._gateways.heartbeat_interval_ms,
        )
        self._limits = {
            key: (limit, since_ms)
            for key, (limit, since_ms) in self._limits.items()
            if _last_report_ms(limit, since_ms) >= now_ms - max_age_ms
        }
        newest = sorted(
            self._limits.items(), key=lambda entry: -_last_report_ms(*entry[1])
        )
        return {
            key: make_report(limit, now_ms)
            for key, (limit, _) in newest[:_REPORTS_MAX]
        }


def _last_report_ms(limit: ServerLimit, since_ms: int) -> int:
    """Return the latest report of a limit, or when it was lifted."""
    return (limit.reported_ms or 0) if limit.is_set else since_ms
