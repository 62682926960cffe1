"""Token buckets for the limits that this gateway owns."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS, RETRY_SHARE

# A bucket holds at most _BURST tokens and what flows in during _BURST_S.
_BURST = 2.0
_BURST_S = 0.25
# Buckets that are not used for this long are removed.
_IDLE_MS = 60_000
# How long a reservation is held after the time of the retry.
_RESERVATION_HOLD_MS = 500
# Beyond this wait it is worth asking again when a reservation expires.
_LONG_WAIT_MS = 1000
# How much too early a retry may use its reservation.
_EARLY_RETRY_MS = 100


@dataclass(slots=True)
class _Bucket:
    """The tokens and reservations of one server incarnation.

    Parameters
    ----------
    tokens : float
        Tokens left, negative if permits were granted ahead of time.
    reserved_times_ms : deque[int]
        When callers were told to retry, in order.
    next_reservation_ms : int
        The earliest time of the next reservation.
    rate : float
        Permits per second that the reservations are based on.

    """

    refilled_ms: int
    tokens: float = 0
    last_used_ms: int = 0
    reserved_times_ms: deque[int] = field(default_factory=deque)
    next_reservation_ms: int = 0
    rate: float = 0

    def has_due_reservation(self, now_ms: int) -> bool:
        """Return True if a retry may use the first reservation now."""
        return (
            bool(self.reserved_times_ms)
            and self.reserved_times_ms[0] <= now_ms + _EARLY_RETRY_MS
        )

    def missing_tokens(self, now_ms: int, *, for_retry: bool) -> float:
        """Return how many tokens must flow in before a permit is granted.

        Explanation
        -----------
        Reserved permits must be available at their times, except to the
        retries that they were reserved for.
        """
        missing = 1 - self.tokens
        if for_retry and self.has_due_reservation(now_ms):
            return missing
        needed = missing
        for count, at_ms in enumerate(self.reserved_times_ms, 1):
            inflow = max(0, at_ms - now_ms) * self.rate / MS_PER_SECOND
            if inflow >= missing + count:
                break
            needed = missing + count
        return needed


class TokenBuckets:
    """One token bucket per server incarnation with a limit.

    Explanation
    -----------
    A permit may be granted ahead of time, with the wait until it is valid.  A
    bucket starts empty, since another gateway may have granted permits for the
    same limit until just now.

    Examples
    --------
    >>> from seampond.clock import ManualClock
    >>> clock = ManualClock()
    >>> buckets = TokenBuckets(clock)
    >>> buckets.grant(7, 2.0, 100), buckets.wait_ms(7, 2.0)
    (None, 500)
    >>> clock.advance(450)
    >>> buckets.grant(7, 2.0, 100), buckets.wait_ms(7, 2.0)
    (50, 550)

    """

    def __init__(self, clock: Clock) -> None:
        """Start without buckets."""
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}

    def open_bucket(self, key: int, rate: float) -> None:
        """Start to collect tokens for a limit before the first request."""
        self._refill(key, rate).last_used_ms = self._clock.now()

    def wait_ms(self, key: int, rate: float, *, for_retry: bool = False) -> int:
        """Return the wait until an unreserved permit is available."""
        bucket = self._refill(key, rate)
        now_ms = self._clock.now()
        missing = bucket.missing_tokens(now_ms, for_retry=for_retry)
        return max(0, -round(-missing / rate * MS_PER_SECOND))

    def available_ms(
        self, key: int, rate: float, *, for_retry: bool = False
    ) -> int:
        """Return the wait after which it is worth asking again.

        Explanation
        -----------
        A reserved permit becomes available if its caller does not retry.  If
        permits are rare, the wait ends when that may happen.
        """
        wait_ms = self.wait_ms(key, rate, for_retry=for_retry)
        bucket = self._buckets[key]
        if not bucket.reserved_times_ms:
            return wait_ms
        missing = max(0, 1 - bucket.tokens)
        refill_ms = -round(-missing / rate * MS_PER_SECOND)
        release_ms = (
            bucket.reserved_times_ms[0]
            + _RESERVATION_HOLD_MS
            - self._clock.now()
        )
        earliest_ms = max(refill_ms, release_ms)
        return earliest_ms if wait_ms - earliest_ms > _LONG_WAIT_MS else wait_ms

    def grant(
        self,
        key: int,
        rate: float,
        max_wait_ms: int,
        *,
        for_retry: bool = False,
    ) -> int | None:
        """Grant a permit.

        Parameters
        ----------
        rate : float
            Permits per second, above 0.
        max_wait_ms : int
            Longest acceptable wait.
        for_retry : bool
            Whether it is for a caller that was told to retry now.

        Returns
        -------
        int or None
            The milliseconds until the permit is valid, None if that exceeds
            `max_wait_ms`.

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
        """Reserve a permit for a caller's retry.

        Parameters
        ----------
        rate : float
            Permits per second, above 0.

        Returns
        -------
        int
            The milliseconds until the retry.  Nothing is reserved if they
            reach `MAX_RETRY_AFTER_MS`.

        Examples
        --------
        >>> from seampond.clock import ManualClock
        >>> buckets = TokenBuckets(ManualClock())
        >>> [buckets.reserve(7, 4.0) for _ in range(3)]
        [250, 964, 1678]
        >>> buckets.wait_ms(7, 4.0), buckets.wait_ms(7, 4.0, for_retry=True)
        (500, 500)

        """
        bucket = self._refill(key, rate)
        now_ms = self._clock.now()
        bucket.last_used_ms = now_ms
        missing = 1 + len(bucket.reserved_times_ms) - bucket.tokens
        refilled_ms = now_ms + max(0, -round(-missing / rate * MS_PER_SECOND))
        retry_ms = max(refilled_ms, bucket.next_reservation_ms)
        if retry_ms >= now_ms + MAX_RETRY_AFTER_MS:
            return MAX_RETRY_AFTER_MS
        bucket.next_reservation_ms = retry_ms + round(
            MS_PER_SECOND / (rate * RETRY_SHARE)
        )
        bucket.reserved_times_ms.append(retry_ms)
        return max(1, retry_ms - now_ms)

    def retain(self, is_local: Callable[[int], bool]) -> None:
        """Remove buckets that other gateways own, and unused ones."""
        oldest_ms = self._clock.now() - _IDLE_MS
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
        inflow = (now_ms - bucket.refilled_ms) * rate / MS_PER_SECOND
        bucket.refilled_ms = now_ms
        capacity = _BURST + rate * _BURST_S
        bucket.tokens = min(capacity, bucket.tokens + inflow)
        while (
            bucket.reserved_times_ms
            and bucket.reserved_times_ms[0] < now_ms - _RESERVATION_HOLD_MS
        ):
            bucket.reserved_times_ms.popleft()
        if rate != bucket.rate:
            bucket.rate = rate
            bucket.next_reservation_ms = now_ms
        return bucket
