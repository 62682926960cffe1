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
class _Account:
    """What one server may still get; below zero permits are given ahead.

    Parameters
    ----------
    reserved : deque[int]
        The times at which callers were told to come back, in order.
    next_ms : int
        The first time that no caller has been told.
    rate : float
        The permits a second by which the times were told.

    """

    filled_ms: int
    level: float = 0
    asked_ms: int = 0
    reserved: deque[int] = field(default_factory=deque)
    next_ms: int = 0
    rate: float = 0

    def is_due(self, now_ms: int) -> bool:
        """Whether a caller that was told so may come back now."""
        return bool(self.reserved) and self.reserved[0] <= now_ms + _EARLY_MS

    def count_missing(self, now_ms: int, *, for_retry: bool) -> float:
        """Give how many permits have to flow in before one may be given.

        Explanation
        -----------
        What was reserved has to be there at its time, unless the permit is
        for one of those for whom it was.
        """
        missing = 1 - self.level
        if for_retry and self.is_due(now_ms):
            return missing
        needed = missing
        for count, at_ms in enumerate(self.reserved, 1):
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
    >>> ledger.give(7, 2.0, 100), ledger.wait_ms(7, 2.0)
    (None, 500)
    >>> clock.advance(450)
    >>> ledger.give(7, 2.0, 100), ledger.wait_ms(7, 2.0)
    (50, 550)

    """

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self._clock = clock
        self._accounts: dict[int, _Account] = {}

    def begin(self, key: int, rate: float) -> None:
        """Let permits of a limit that we own gather before anybody asks."""
        self._fill(key, rate).asked_ms = self._clock.now()

    def wait_ms(self, key: int, rate: float, *, for_retry: bool = False) -> int:
        """Give how long until there is a permit that nobody has."""
        account = self._fill(key, rate)
        now_ms = self._clock.now()
        missing = account.count_missing(now_ms, for_retry=for_retry)
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
        account = self._accounts[key]
        if not account.reserved:
            return wait_ms
        missing = max(0, 1 - account.level)
        flows_ms = -round(-missing / rate * MS_PER_SECOND)
        freed_ms = account.reserved[0] + _HELD_MS - self._clock.now()
        soonest_ms = max(flows_ms, freed_ms)
        return soonest_ms if wait_ms - soonest_ms > _RARE_MS else wait_ms

    def give(
        self,
        key: int,
        rate: float,
        patience_ms: int,
        *,
        for_retry: bool = False,
    ) -> int | None:
        """Give a permit.

        Parameters
        ----------
        rate : float
            Permits a second, more than none.
        patience_ms : int
            After how long it has to hold at the latest.
        for_retry : bool
            Whether it is for a caller that was told to come back now.

        Returns
        -------
        int or None
            The milliseconds after which it holds, None if that is too late.

        """
        wait_ms = self.wait_ms(key, rate, for_retry=for_retry)
        account = self._accounts[key]
        now_ms = self._clock.now()
        account.asked_ms = now_ms
        if wait_ms > patience_ms:
            return None
        account.level -= 1
        if for_retry and account.is_due(now_ms):
            account.reserved.popleft()
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
        account = self._fill(key, rate)
        now_ms = self._clock.now()
        account.asked_ms = now_ms
        missing = 1 + len(account.reserved) - account.level
        flows_ms = now_ms + max(0, -round(-missing / rate * MS_PER_SECOND))
        at_ms = max(flows_ms, account.next_ms)
        if at_ms >= now_ms + MAX_RETRY_AFTER_MS:
            return MAX_RETRY_AFTER_MS
        account.next_ms = at_ms + round(MS_PER_SECOND / (rate * RETRY_SHARE))
        account.reserved.append(at_ms)
        return max(1, at_ms - now_ms)

    def keep_only(self, is_ours: Callable[[int], bool]) -> None:
        """Forget the accounts that others keep now, and those out of use."""
        oldest_ms = self._clock.now() - _KEPT_MS
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if account.asked_ms >= oldest_ms and is_ours(key)
        }

    def _fill(self, key: int, rate: float) -> _Account:
        now_ms = self._clock.now()
        account = self._accounts.get(key)
        if account is None:
            account = _Account(now_ms, asked_ms=now_ms)
            self._accounts[key] = account
        flowed = (now_ms - account.filled_ms) * rate / MS_PER_SECOND
        account.filled_ms = now_ms
        most = _BURST + rate * _BURST_S
        account.level = min(most, account.level + flowed)
        while account.reserved and account.reserved[0] < now_ms - _HELD_MS:
            account.reserved.popleft()
        if rate != account.rate:
            account.rate = rate
            account.next_ms = now_ms
        return account
