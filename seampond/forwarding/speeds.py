"""Speeds of servers, estimated from their responses."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

# Weights of a new observation in the moving averages.
_SERVER_WEIGHT = 0.25
_POOL_WEIGHT = 0.05
# The longest pause decays by this factor with each stream.
_PAUSE_DECAY = 0.97
# The longest service time decays by this factor with each answer.
_SERVICE_DECAY = 0.97
_MIN_SLOWDOWN = 0.25
_MAX_SLOWDOWN = 8.0
_MIN_FACTOR = 0.3
_MAX_FACTOR = 4.0
_INITIAL_SERVICE_MS = 25.0
_INITIAL_TOKENS_PER_EVENT = 4.0
_INITIAL_GAP_MS = 25.0


def _blend(average: float, observed: float, weight: float) -> float:
    return average + weight * (observed - average) if average else observed


@dataclass(slots=True)
class Speed:
    """Averages over the responses of one server, 0 where there are none.

    Parameters
    ----------
    gap_ms : float
        Time between two events of a stream.
    service_ms : float
        Time from request to end of a response that is not streamed.
    pause_ms : float
        Longest recent pause in a stream, decaying.
    longest_service_ms : float
        Longest recent service time, decaying.

    """

    gap_ms: float = 0
    service_ms: float = 0
    pause_ms: float = 0
    longest_service_ms: float = 0

    def record_pause(self, pause_ms: float) -> None:
        """Record the longest pause of one stream."""
        self.pause_ms = max(self.pause_ms * _PAUSE_DECAY, pause_ms)

    def record_gap(self, gap_ms: float) -> None:
        """Record the time between the events of one stream."""
        self.gap_ms = _blend(self.gap_ms, max(1.0, gap_ms), _SERVER_WEIGHT)

    def record_service(self, took_ms: float) -> None:
        """Record the service time of one response that was not streamed."""
        self.service_ms = _blend(
            self.service_ms, max(1.0, took_ms), _SERVER_WEIGHT
        )
        self.longest_service_ms = max(
            self.longest_service_ms * _SERVICE_DECAY, took_ms, 1.0
        )


@dataclass(slots=True)
class PoolSpeed:
    """Averages over the responses of all servers of a pool.

    Parameters
    ----------
    gap_ms : float
        Median over the servers of the time between events.
    tokens_per_event : float
        Requested tokens per received event.
    service_ms : float
        Median over the servers of the service time.
    ttfb_factor : float
        Ratio of observed to estimated time to the first event.

    """

    gap_ms: float = _INITIAL_GAP_MS
    tokens_per_event: float = _INITIAL_TOKENS_PER_EVENT
    service_ms: float = _INITIAL_SERVICE_MS
    ttfb_factor: float = 1.0

    def refresh(self, speeds: Iterable[Speed]) -> None:
        """Recompute the medians from the speeds of the servers."""
        listed = list(speeds)
        gaps = [speed.gap_ms for speed in listed if speed.gap_ms]
        services = [speed.service_ms for speed in listed if speed.service_ms]
        if gaps:
            self.gap_ms = median(gaps)
        if services:
            self.service_ms = median(services)

    def record_first_event(self, took_ms: float, expected_ms: float) -> None:
        """Record the time to the first event of one stream."""
        ratio = took_ms / max(1.0, expected_ms)
        bounded = min(_MAX_FACTOR, max(_MIN_FACTOR, ratio))
        self.ttfb_factor = _blend(self.ttfb_factor, bounded, _POOL_WEIGHT)

    def record_stream(self, tokens: int, events: int) -> None:
        """Record the tokens and events of one complete stream."""
        if tokens and events:
            self.tokens_per_event = _blend(
                self.tokens_per_event, tokens / events, _POOL_WEIGHT
            )

    def slowdown(self, speed: Speed) -> float:
        """Return how slow a server is relative to its pool, 1 if unknown.

        Examples
        --------
        >>> PoolSpeed(gap_ms=20).slowdown(Speed(gap_ms=40))
        2.0

        """
        ratio = speed.gap_ms / self.gap_ms if speed.gap_ms else 1.0
        return min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, ratio))

    def token_ms(self, speed: Speed) -> float:
        """Return the time that a server takes to generate one token."""
        return (speed.gap_ms or self.gap_ms) / self.tokens_per_event
