"""What the servers that we own the limits of may still get."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS, RETRY_SHARE

# What may come at once, so that uneven arrivals use the limit: some requests
# and what the limit allows in a part of a second.
_BURST = 2.0
_BURST_S = 0.25
# An account that nobody asks for is forgotten, and begins anew at nothing.
_KEPT_MS = 60_000
# How long a permit is kept for a caller that was told to come back.
_HELD_MS = 500
# Permits that come so rarely are asked for in case one is free again.
_RARE_MS = 1000
# How much sooner than told a caller may come back.
_EARLY_MS = 100


@dataclass(slots=True)
class _Bucket:
    """What one server may still get; below zero permits are given ahead.

    Parameters
    ----------
    reserved_times_ms : deque[int]
        The times at which callers were told to come back, in order.
    next_reservation_ms : int
        The first time that no caller has been told.
    rate : float
        The permits a second by which the times were told.

    """

    refilled_ms: int
    tokens: float = 0
    last_used_ms: int = 0
    reserved_times_ms: deque[int] = field(default_factory=deque)
    next_reservation_ms: int = 0
    rate: float = 0

    def has_due_reservation(self, now_ms: int) -> bool:
        """Whether a caller that was told so may come back now."""
        return (
            bool(self.reserved_times_ms)
            and self.reserved_times_ms[0] <= now_ms + _EARLY_MS
        )

    def missing_tokens(self, now_ms: int, *, for_retry: bool) -> float:
        """Give how many permits have to flow in before one may be given.

        Explanation
        -----------
        What was reserved has to be there at its time, unless the permit is
        for one of those for whom it was.
        """
        missing = 1 - self.tokens
        if for_retry and self.has_due_reservation(now_ms):
            return missing
        needed = missing
        for count, at_ms in enumerate(self.reserved_times_ms, 1):
            flowing = max(0, at_ms - now_ms) * self.rate / MS_PER_SECOND
            if flowing >= missing + count:
                break
            needed = missing + count
        return needed


class TokenBuckets:
    """One bucket for each life of a server with a limit.

    Explanation
    -----------
    A permit may be given ahead of its time, so that who waits knows whether
    that can end in time.  An account begins at nothing: another gateway may
    have given until a moment ago.

    Examples
    --------
    >>> from seampond.clock import ManualClock
    >>> clock = ManualClock()
    >>> ledger = TokenBuckets(clock)
    >>> ledger.grant(7, 2.0, 100), ledger.wait_ms(7, 2.0)
    (None, 500)
    >>> clock.advance(450)
    >>> ledger.grant(7, 2.0, 100), ledger.wait_ms(7, 2.0)
    (50, 550)

    """

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}

    def open_bucket(self, key: int, rate: float) -> None:
        """Let permits of a limit that we own gather before anybody asks."""
        self._refill(key, rate).last_used_ms = self._clock.now()

    def wait_ms(self, key: int, rate: float, *, for_retry: bool = False) -> int:
        """Give how long until there is a permit that nobody has."""
        bucket = self._refill(key, rate)
        now_ms = self._clock.now()
        missing = bucket.missing_tokens(now_ms, for_retry=for_retry)
        return max(0, -round(-missing / rate * MS_PER_SECOND))

    def available_ms(
        self, key: int, rate: float, *, for_retry: bool = False
    ) -> int:
        """Give after how long there may be such a permit at the soonest.

        Explanation
        -----------
        One that was reserved is free again if its caller does not come, which
        is worth asking for where permits are rare.
        """
        wait_ms = self.wait_ms(key, rate, for_retry=for_retry)
        bucket = self._buckets[key]
        if not bucket.reserved_times_ms:
            return wait_ms
        missing = max(0, 1 - bucket.tokens)
        flows_ms = -round(-missing / rate * MS_PER_SECOND)
        freed_ms = bucket.reserved_times_ms[0] + _HELD_MS - self._clock.now()
        soonest_ms = max(flows_ms, freed_ms)
        return soonest_ms if wait_ms - soonest_ms > _RARE_MS else wait_ms

    def grant(
        self,
        key: int,
        rate: float,
        max_wait_ms: int,
        *,
        for_retry: bool = False,
    ) -> int | None:
        """Give a permit.

        Parameters
        ----------
        rate : float
            Permits a second, more than none.
        max_wait_ms : int
            After how long it has to hold at the latest.
        for_retry : bool
            Whether it is for a caller that was told to come back now.

        Returns
        -------
        int or None
            The milliseconds after which it holds, None if that is too late.

        """
        wait_ms = self.wait_ms(key, rate, for_retry=for_retry)
        bucket = self._buckets[key]
        now_ms = self._clock.now()
        bucket.last_used_ms = now_ms
        if wait_ms > max_wait_ms:
            return None
        bucket.tokens -= 1
        if for_retry and bucket.has_due_reservation(now_ms):
            bucket.reserved_times_ms.popleft()
        return wait_ms

    def reserve(self, key: int, rate: float) -> int:
        """Keep a permit for a caller that is told to come back.

        Parameters
        ----------
        rate : float
            Permits a second, more than none.

        Returns
        -------
        int
            After how many milliseconds the caller should come; if it is the
            longest time that anyone is told, nothing is kept.

        Examples
        --------
        >>> from seampond.clock import ManualClock
        >>> ledger = TokenBuckets(ManualClock())
        >>> [ledger.reserve(7, 4.0) for _ in range(3)]
        [250, 964, 1678]
        >>> ledger.wait_ms(7, 4.0), ledger.wait_ms(7, 4.0, for_retry=True)
        (500, 500)

        """
        bucket = self._refill(key, rate)
        now_ms = self._clock.now()
        bucket.last_used_ms = now_ms
        missing = 1 + len(bucket.reserved_times_ms) - bucket.tokens
        flows_ms = now_ms + max(0, -round(-missing / rate * MS_PER_SECOND))
        at_ms = max(flows_ms, bucket.next_reservation_ms)
        if at_ms >= now_ms + MAX_RETRY_AFTER_MS:
            return MAX_RETRY_AFTER_MS
        bucket.next_reservation_ms = at_ms + round(
            MS_PER_SECOND / (rate * RETRY_SHARE)
        )
        bucket.reserved_times_ms.append(at_ms)
        return max(1, at_ms - now_ms)

    def retain(self, is_local: Callable[[int], bool]) -> None:
        """Forget the accounts that others keep now, and those out of use."""
        oldest_ms = self._clock.now() - _KEPT_MS
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if bucket.last_used_ms >= oldest_ms and is_local(key)
        }

    def _refill(self, key: int, rate: float) -> _Bucket:
        now_ms = self._clock.now()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = _Bucket(now_ms, last_used_ms=now_ms)
            self._buckets[key] = bucket
        flowed = (now_ms - bucket.refilled_ms) * rate / MS_PER_SECOND
        bucket.refilled_ms = now_ms
        most = _BURST + rate * _BURST_S
        bucket.tokens = min(most, bucket.tokens + flowed)
        while (
            bucket.reserved_times_ms
            and bucket.reserved_times_ms[0] < now_ms - _HELD_MS
        ):
            bucket.reserved_times_ms.popleft()
        if rate != bucket.rate:
            bucket.rate = rate
            bucket.next_reservation_ms = now_ms
        return bucket
