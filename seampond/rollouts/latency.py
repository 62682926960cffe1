"""When an answer is so slow that it counts as bad."""

from collections import OrderedDict, deque
from dataclasses import dataclass

_SAMPLES = 64
_FEW_SAMPLES = 12
_ROUTES_MAX = 256
# Servers of one version differ five times in speed, so that a version that is
# several times slower is told by what nine in ten answers of the old one take.
_USUAL_PART = 0.9
_SLOW_FACTOR = 1.5
# What a gateway's own work adds to an answer: of 112 that a server gave at once
# 8 took over 1.5 times as long as nine in ten (two gateways in one process).
MIN_SLOWDOWN_MS = 20


@dataclass(frozen=True, slots=True)
class LatencySample:
    """What an answer's speed is told by, and in which unit.

    Parameters
    ----------
    kind : str
        Between two events, or from the send to the first byte.
    took_ms : float
        How long it took.
    slower_ms : float
        By how much slower an answer has to be that callers take for slow.

    """

    kind: str
    took_ms: float
    slower_ms: float = MIN_SLOWDOWN_MS


class LatencyBaseline:
    """The speed of the old version's last answers, by route.

    Examples
    --------
    >>> slowness = LatencyBaseline()
    >>> for took_ms in range(20, 40):
    ...     slowness.record(1, LatencySample('gap', took_ms))
    >>> [slowness.is_slow(1, LatencySample('gap', took_ms)) for took_ms in (50, 90)]
    [False, True]

    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._samples: OrderedDict[tuple[int, str], deque[float]] = (
            OrderedDict()
        )

    def record(self, route: int, pace: LatencySample) -> None:
        """Take the speed of one answer of the old version."""
        key = (route, pace.kind)
        samples = self._samples.setdefault(key, deque(maxlen=_SAMPLES))
        samples.append(pace.took_ms)
        self._samples.move_to_end(key)
        if len(self._samples) > _ROUTES_MAX:
            self._samples.popitem(last=False)

    def is_slow(self, route: int, pace: LatencySample) -> bool:
        """Tell whether an answer is slow against them; no if few are known."""
        samples = self._samples.get((route, pace.kind), ())
        if len(samples) < _FEW_SAMPLES:
            return False
        usual_ms = sorted(samples)[int(len(samples) * _USUAL_PART)]
        slow_ms = max(_SLOW_FACTOR * usual_ms, usual_ms + pace.slower_ms)
        return pace.took_ms > slow_ms
