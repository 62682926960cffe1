"""Token buckets that enforce each entry's share of the paid rates."""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.templates import Parameters

_BURST_SECONDS = 2
_MIN_BURST = 1


@dataclass(slots=True)
class Bucket:
    """Token bucket whose level may go below zero by one request."""

    level: float
    filled_at_ms: int

    def fill(self, rate_per_s: float, now_ms: int) -> None:
        """Refill up to the burst for the time since the last refill."""
        burst = max(_MIN_BURST, rate_per_s * _BURST_SECONDS)
        refilled = rate_per_s * (now_ms - self.filled_at_ms) / MS_PER_SECOND
        self.level = min(burst, self.level + refilled)
        self.filled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float) -> int:
        """Return the time until the level is above zero."""
        if self.level > 0:
            return 0
        return round(-self.level / rate_per_s * MS_PER_SECOND) + 1


class Limiter:
    """Rate limiter of one entry.

    Explanation
    -----------
    Each of n live entries enforces an nth of the paid rate, which needs no
    shared store.  A request is admitted while the level is above zero and may
    take it below, so that prompts longer than the burst are admitted too.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any buckets."""
        self._clock = clock
        self._buckets: dict[tuple[str, str, str], Bucket] = {}

    def admit(
        self,
        workspace: str,
        template: str,
        parameters: Parameters,
        *,
        tokens: int,
        entries: int,
    ) -> int:
        """Admit a request, or return the wait in milliseconds.

        Returns
        -------
        int
            0 if the request was admitted and charged.

        """
        wanted = (
            ('requests', 1, parameters.requests_per_s / entries),
            ('tokens', tokens, parameters.tokens_per_s / entries),
        )
        filled = []
        for unit, cost, rate in wanted:
            bucket = self._bucket((workspace, template, unit), rate)
            filled.append((bucket, cost, rate))
        wait_ms = max(
            candidate.wait_ms(unit_rate) for candidate, _, unit_rate in filled
        )
        if wait_ms:
            return wait_ms
        for bucket, cost, _ in filled:
            bucket.level -= cost
        return 0

    def _bucket(self, key: tuple[str, str, str], rate: float) -> Bucket:
        now_ms = self._clock.now()
        bucket = self._buckets.get(key)
        if bucket is None:
            full = max(_MIN_BURST, rate * _BURST_SECONDS)
            bucket = Bucket(full, now_ms)
            self._buckets[key] = bucket
        bucket.fill(rate, now_ms)
        return bucket
