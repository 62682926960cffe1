"""Pauses between failed calls to the store."""

import random
from collections.abc import Callable

from seampond.clock import Clock
from seampond.watches.freshness import TableFreshness

_MIN_PAUSE_MS = 100
# While proofs of other processes are this recent, failed calls are repeated
# only rarely.
_RECENT_PROOF_MS = 2500
_PROVED_PAUSE_MS = 3000


class RetryPause:
    """A pause that grows with each failed call.

    Parameters
    ----------
    max_pause_ms : int
        Maximum pause.
    interval_factor : Callable[[], float]
        Factor on `max_pause_ms` in a large fleet.

    """

    def __init__(
        self,
        clock: Clock,
        freshness: TableFreshness,
        max_pause_ms: int,
        interval_factor: Callable[[], float],
    ) -> None:
        """Start with the shortest pause."""
        self._clock = clock
        self._freshness = freshness
        self._configured_max_ms = max_pause_ms
        self._interval_factor = interval_factor
        self._next_ms = _MIN_PAUSE_MS

    def reset(self) -> None:
        """Go back to the shortest pause."""
        self._next_ms = _MIN_PAUSE_MS

    async def wait(self) -> None:
        """Wait after a failed call, at most until a change is missing."""
        pause_ms = self._next_ms * random.uniform(0.5, 1)
        if self._is_proved_by_others:
            await self._freshness.wait_until_behind(round(pause_ms))
        else:
            await self._clock.sleep(min(pause_ms, self._max_pause_ms))
        self._next_ms = min(self._max_pause_ms, self._next_ms * 2)

    @property
    def _max_pause_ms(self) -> int:
        """Current maximum of the pause.

        Explanation
        -----------
        The first answer after an outage is relayed to all processes, so each
        of them may retry less often the more there are.
        """
        longest_ms = round(self._configured_max_ms * self._interval_factor())
        if self._is_proved_by_others:
            return max(longest_ms, _PROVED_PAUSE_MS)
        return min(longest_ms, _PROVED_PAUSE_MS)

    @property
    def _is_proved_by_others(self) -> bool:
        """Whether recent proofs of other processes show a complete copy."""
        age_ms = self._clock.now() - self._freshness.proved_ms
        return not self._freshness.is_behind and age_ms < _RECENT_PROOF_MS
