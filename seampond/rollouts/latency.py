"""Detection of slow answers of a new version."""

from collections import OrderedDict, deque
from dataclasses import dataclass

_SAMPLES_MAX = 64
_MIN_SAMPLES = 12
_ROUTES_MAX = 256
# High, since servers of one version differ in speed.
_BASELINE_QUANTILE = 0.9
_SLOW_FACTOR = 1.5
# Smaller differences may come from the gateway itself.
MIN_SLOWDOWN_MS = 20


@dataclass(frozen=True, slots=True)
class LatencySample:
    """Latency of one answer.

    Parameters
    ----------
    kind : str
        What was measured; only samples of one kind are compared.
    took_ms : float
        The measured time.
    min_slowdown_ms : float
        Least excess over the baseline that counts as slow.

    """

    kind: str
    took_ms: float
    min_slowdown_ms: float = MIN_SLOWDOWN_MS


class LatencyBaseline:
    """Latencies of the old version's last answers, by route.

    Examples
    --------
    >>> baseline = LatencyBaseline()
    >>> for took_ms in range(20, 40):
    ...     baseline.record(1, LatencySample('gap', took_ms))
    >>> samples = [LatencySample('gap', took_ms) for took_ms in (50, 90)]
    >>> [baseline.is_slow(1, sample) for sample in samples]
    [False, True]

    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: OrderedDict[tuple[int, str], deque[float]] = (
            OrderedDict()
        )

    def record(self, route: int, sample: LatencySample) -> None:
        """Record the latency of an answer of the old version."""
        key = (route, sample.kind)
        samples = self._samples.setdefault(key, deque(maxlen=_SAMPLES_MAX))
        samples.append(sample.took_ms)
        self._samples.move_to_end(key)
        if len(self._samples) > _ROUTES_MAX:
            self._samples.popitem(last=False)

    def is_slow(self, route: int, sample: LatencySample) -> bool:
        """Return True if an answer is slow; False while samples are few."""
        samples = self._samples.get((route, sample.kind), ())
        if len(samples) < _MIN_SAMPLES:
            return False
        baseline_ms = sorted(samples)[int(len(samples) * _BASELINE_QUANTILE)]
        slow_ms = max(
            _SLOW_FACTOR * baseline_ms, baseline_ms + sample.min_slowdown_ms
        )
        return sample.took_ms > slow_ms
