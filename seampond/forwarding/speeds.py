"""How fast servers are, learned from their answers."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

_LEARN = 0.25
_LEARN_POOL = 0.05
_PAUSE_KEPT = 0.97
_MIN_PACE = 0.25
_MAX_PACE = 8.0
_MIN_FACTOR = 0.3
_MAX_FACTOR = 4.0
_FIRST_SERVICE_MS = 25.0
_FIRST_TOKENS_PER_EVENT = 4.0
_FIRST_GAP_MS = 25.0


def _blend(known: float, told: float, weight: float) -> float:
    return known + weight * (told - known) if known else told


@dataclass(slots=True)
class Speed:
    """What one server's answers have taught; 0 where nothing has.

    Parameters
    ----------
    gap_ms : float
        Between two events of a stream.
    service_ms : float
        From the send to the end of an answer that is no stream.
    pause_ms : float
        The longest pause in a stream of late, decaying.

    """

    gap_ms: float = 0
    service_ms: float = 0
    pause_ms: float = 0

    def record_pause(self, pause_ms: float) -> None:
        """Learn from the longest pause of one stream."""
        self.pause_ms = max(self.pause_ms * _PAUSE_KEPT, pause_ms)

    def record_gap(self, gap_ms: float) -> None:
        """Learn from the events of one stream."""
        self.gap_ms = _blend(self.gap_ms, max(1.0, gap_ms), _LEARN)

    def record_service(self, took_ms: float) -> None:
        """Learn from one answer that was no stream."""
        self.service_ms = _blend(self.service_ms, max(1.0, took_ms), _LEARN)


@dataclass(slots=True)
class PoolSpeed:
    """What the answers of a pool's servers have taught together.

    Parameters
    ----------
    gap_ms : float
        The median of its servers' gaps between events.
    tokens_per_event : float
        Tokens asked for, for each event that came.
    ttfb_factor : float
        The time to the first event against what was expected.

    """

    gap_ms: float = _FIRST_GAP_MS
    tokens_per_event: float = _FIRST_TOKENS_PER_EVENT
    service_ms: float = _FIRST_SERVICE_MS
    ttfb_factor: float = 1.0

    def refresh(self, speeds: Iterable[Speed]) -> None:
        """Take the medians of the servers' own speeds."""
        known = list(speeds)
        gaps = [speed.gap_ms for speed in known if speed.gap_ms]
        services = [speed.service_ms for speed in known if speed.service_ms]
        if gaps:
            self.gap_ms = median(gaps)
        if services:
            self.service_ms = median(services)

    def record_first_event(self, took_ms: float, expected_ms: float) -> None:
        """Learn from the time to one first event."""
        ratio = took_ms / max(1.0, expected_ms)
        bounded = min(_MAX_FACTOR, max(_MIN_FACTOR, ratio))
        self.ttfb_factor = _blend(self.ttfb_factor, bounded, _LEARN_POOL)

    def record_stream(self, tokens: int, events: int) -> None:
        """Learn the size of an event from one whole stream."""
        if tokens and events:
            self.tokens_per_event = _blend(
                self.tokens_per_event, tokens / events, _LEARN_POOL
            )

    def slowdown(self, speed: Speed) -> float:
        """Give how slow a server is against its pool; 1 where unknown.

        Examples
        --------
        >>> PoolSpeed(gap_ms=20).slowdown(Speed(gap_ms=40))
        2.0

        """
        ratio = speed.gap_ms / self.gap_ms if speed.gap_ms else 1.0
        return min(_MAX_PACE, max(_MIN_PACE, ratio))

    def token_ms(self, speed: Speed) -> float:
        """Give the time that a server takes to make one token."""
        return (speed.gap_ms or self.gap_ms) / self.tokens_per_event
