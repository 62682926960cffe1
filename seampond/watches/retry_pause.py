"""Pauses between failed calls to the store."""

import random
from collections.abc import Callable

from seampond.clock import Clock
from seampond.watches.freshness import TableFreshness

_MIN_PAUSE_MS = 100
# While proofs of other processes are more recent than this part of the
# deadline, failed calls are repeated only rarely.  The rest is for the read.
_RECENT_PART = 0.8
# A process that the store turns away gains little by asking while its copy is
# proved: six such processes of 18 once made half of all calls.
_PROVED_PAUSE_MS = 3000
# Leaves time for a call that times out before the pause and for the read after
# it.
_UNPROVED_PART = 0.4


class RetryPause:
    """A pause that grows with each failed call.

    Parameters
    ----------
    max_pause_ms : int
        Maximum pause.
    interval_factor : Callable[[], float]
        Factor on `max_pause_ms` in a large fleet.
    deadline_ms : Callable[[], int]
        Time within which a change must be held.

    """

    def __init__(
        self,
        clock: Clock,
        freshness: TableFreshness,
        max_pause_ms: int,
        interval_factor: Callable[[], float],
        deadline_ms: Callable[[], int],
    ) -> None:
        """Start with the shortest pause."""
        self._clock = clock
        self._freshness = freshness
        self._configured_max_ms = max_pause_ms
        self._interval_factor = interval_factor
        self._deadline_ms = deadline_ms
        self._next_ms = _MIN_PAUSE_MS

    def reset(self) -> None:
        """Go back to the shortest pause."""
        self._next_ms = _MIN_PAUSE_MS

    async def wait(self) -> None:
        """Wait after a failed call, at most until a change is missing."""
        pause_ms = self._next_ms * random.uniform(0.5, 1)
        if self._is_proved_by_others:
            await self._wait_while_proved(self._clock.now() + round(pause_ms))
        else:
            await self._clock.sleep(min(pause_ms, self._max_pause_ms))
        self._next_ms = min(self._max_pause_ms, self._next_ms * 2)

    async def _wait_while_proved(self, end_ms: int) -> None:
        """Wait until `end_ms`, but no longer than proofs are recent."""
        proved_ms = -1
        while (
            self._is_proved_by_others and self._freshness.proved_ms > proved_ms
        ):
            proved_ms = self._freshness.proved_ms
            recent_until_ms = proved_ms + self._recent_ms
            left_ms = min(end_ms, recent_until_ms) - self._clock.now()
            if left_ms > 0:
                await self._freshness.wait_until_behind(left_ms)

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
        part_ms = round(self._deadline_ms() * _UNPROVED_PART)
        return min(longest_ms, _PROVED_PAUSE_MS, part_ms)

    @property
    def _is_proved_by_others(self) -> bool:
        """Whether recent proofs of other processes show a complete copy."""
        age_ms = self._clock.now() - self._freshness.proved_ms
        return not self._freshness.is_behind and age_ms < self._recent_ms

    @property
    def _recent_ms(self) -> int:
        return round(self._deadline_ms() * _RECENT_PART)
