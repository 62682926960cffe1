"""What the servers that we own the limits of may still get."""

from collections.abc import Callable
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock

# What may come at once, so that uneven arrivals use the limit: some requests
# and what the limit allows in a part of a second.
_BURST = 2.0
_BURST_S = 0.25
# An account that nobody asks for is forgotten, and begins anew at nothing.
_KEPT_MS = 60_000


@dataclass(slots=True)
class _Account:
    """What one server may still get; below zero permits are given ahead."""

    filled_ms: int
    level: float = 0
    asked_ms: int = 0


class Ledger:
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
    >>> ledger = Ledger(clock)
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

    def wait_ms(self, key: int, rate: float) -> int:
        """Give how long until there is a permit that nobody has."""
        missing = 1 - self._fill(key, rate).level
        return max(0, -round(-missing / rate * MS_PER_SECOND))

    def give(self, key: int, rate: float, patience_ms: int) -> int | None:
        """Give a permit.

        Parameters
        ----------
        rate : float
            Permits a second, more than none.
        patience_ms : int
            After how long it has to hold at the latest.

        Returns
        -------
        int or None
            The milliseconds after which it holds, None if that is too late.

        """
        wait_ms = self.wait_ms(key, rate)
        account = self._accounts[key]
        account.asked_ms = self._clock.now()
        if wait_ms > patience_ms:
            return None
        account.level -= 1
        return wait_ms

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
        return account
