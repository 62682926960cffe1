"""Runs that ended without proof that their server survived them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock

# How long after a run its server may be seen to have crashed under it.
CONNECTION_REFUSED_MS = MS_PER_SECOND
RESTART_SEEN_MS = 3 * MS_PER_SECOND
# Data that arrived before a crash may be read after it.
_BUFFERED_DATA_MS = 50
# A server takes longer to restart.
_RESTART_MIN_MS = MS_PER_SECOND
# The connections of a server that crashes end at nearly the same time.
_RECENT_MS = 100
_RUNS_MAX = 1024


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run whose connection ended before it was clear why.

    Parameters
    ----------
    fingerprints : tuple[int, ...]
        Fingerprints of the request and of its prompt parts.
    incarnation : int
        Key of the server incarnation.
    started_ms, ended_ms : int
        When the request was sent, and when its run ended.
    is_answered : bool
        Whether the response is complete unless a crash has cut it.

    """

    fingerprints: tuple[int, ...]
    incarnation: int
    started_ms: int
    ended_ms: int
    is_answered: bool = False


class InterruptedRuns:
    """Interrupted runs, until their servers have crashed or survived them.

    Explanation
    -----------
    A server that crashes ends all its connections, while one that resets a
    single connection goes on.  A response without a length ends with its
    connection, so one that a crash has cut may look complete.

    Examples
    --------
    >>> runs = InterruptedRuns(Clock(lambda: 0))
    >>> runs.add(InterruptedRun((7,), 1, 0, 0))
    >>> runs.take_crashed(2, CONNECTION_REFUSED_MS)
    []
    >>> taken = runs.take_crashed(1, CONNECTION_REFUSED_MS)
    >>> [run.fingerprints for run in taken]
    [(7,)]

    """

    def __init__(self, clock: Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._runs: deque[InterruptedRun] = deque(maxlen=_RUNS_MAX)

    def add(self, run: InterruptedRun) -> None:
        """Add a run that has just ended."""
        self._runs.append(run)

    def has_recent(self, incarnation: int) -> bool:
        """Return True if a run on a server has just ended."""
        oldest_ms = self._clock.now() - _RECENT_MS
        for run in reversed(self._runs):
            if run.ended_ms < oldest_ms:
                return False
            if run.incarnation == incarnation:
                return True
        return False

    def take_crashed(
        self, incarnation: int, within_ms: int
    ) -> list[InterruptedRun]:
        """Remove and return the runs that a server has crashed under.

        Parameters
        ----------
        within_ms : int
            How long ago they may have ended.

        """
        oldest_ms = self._clock.now() - within_ms
        return self._take(
            lambda run: (
                run.incarnation == incarnation and run.ended_ms >= oldest_ms
            )
        )

    def take_survived(
        self, incarnation: int, connected_ms: int
    ) -> list[InterruptedRun]:
        """Remove and return the runs that a server has survived.

        Parameters
        ----------
        connected_ms : int
            When the connection was made that has just received data.

        """
        latest_ms = self._clock.now() - _BUFFERED_DATA_MS
        return self._take(
            lambda run: (
                run.incarnation == incarnation
                and run.ended_ms <= latest_ms
                and connected_ms < run.ended_ms + _RESTART_MIN_MS
            )
        )

    def take_expired(self) -> list[InterruptedRun]:
        """Remove and return the runs without news of their servers."""
        oldest_ms = self._clock.now() - RESTART_SEEN_MS
        expired: list[InterruptedRun] = []
        while self._runs and self._runs[0].ended_ms < oldest_ms:
            expired.append(self._runs.popleft())
        return expired

    def _take(
        self, is_taken: Callable[[InterruptedRun], bool]
    ) -> list[InterruptedRun]:
        taken = [run for run in self._runs if is_taken(run)]
        for run in taken:
            self._runs.remove(run)
        return taken
