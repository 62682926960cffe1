"""Trials of quarantined requests while the store is unreachable."""

import random
from collections.abc import Callable, Iterable

from seampond.clock import MS_PER_SECOND, Clock

_PAUSE_MS = 10 * MS_PER_SECOND
_REQUESTS_MAX = 1024


class LocalTrials:
    """Trials while the store is unreachable.

    Explanation
    -----------
    Only for requests that have succeeded before: all servers may have crashed
    twice under a part that all requests share.  Each gateway begins at a
    random time, so that one of all tries soon, and its success clears the
    fingerprint everywhere.

    Parameters
    ----------
    count_gateways : Callable[[], int]
        Returns the number of gateways that may be running.

    Examples
    --------
    >>> trials = LocalTrials(lambda: 1, Clock(lambda: 0), random.Random(1))
    >>> trials.claim(7)
    False

    """

    def __init__(
        self,
        count_gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without trials."""
        self._count_gateways = count_gateways
        self._clock = clock
        self._rng = rng
        self._due_ms: dict[int, float] = {}

    def is_due(self, fingerprint: int) -> bool:
        """Return True if a trial of a fingerprint is due."""
        now_ms = self._clock.now()
        if fingerprint not in self._due_ms:
            if len(self._due_ms) >= _REQUESTS_MAX:
                self._due_ms.pop(next(iter(self._due_ms)))
            self._due_ms[fingerprint] = (
                now_ms + self._rng.random() * self._pause_ms()
            )
        return now_ms >= self._due_ms[fingerprint]

    def claim(self, fingerprint: int) -> bool:
        """Claim a trial of a fingerprint; return whether one is due."""
        if not self.is_due(fingerprint):
            return False
        self._due_ms[fingerprint] = self._clock.now() + self._pause_ms()
        return True

    def forget(self, requests: Iterable[int]) -> None:
        """Forget requests that have been cleared."""
        for fingerprint in requests:
            self._due_ms.pop(fingerprint, None)

    def _pause_ms(self) -> int:
        """Return the pause of one gateway, for one trial of all in 10 s."""
        return _PAUSE_MS * self._count_gateways()
