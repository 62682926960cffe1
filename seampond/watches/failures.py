"""The log of calls that fail one after another."""

from collections.abc import Callable
from typing import Protocol

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError


class LogEvent(Protocol):
    """Logs an event with a detail and figures."""

    def __call__(self, event: str, detail: str, **figures: int) -> None:
        """Log it."""


class FailureLog:
    """Counts failed calls; logs each reason of a spell once, and its end.

    Explanation
    -----------
    A spell of failures may change its cause on the way: first there is no
    path to the store, then there is one that is too narrow for an answer.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts a failed call by its step.

    """

    def __init__(
        self, clock: Clock, count: Callable[[str], None], log_event: LogEvent
    ) -> None:
        """Start with no spell."""
        self._clock = clock
        self._count = count
        self._log_event = log_event
        self._reason = ''
        self._since_ms = 0

    def record_failure(self, error: PlatformError) -> None:
        """Count a failed call; log it where its reason is another one."""
        self._count(error.step)
        reason = f'{type(error).__name__} {error.message}'
        if reason == self._reason:
            return
        if not self._reason:
            self._since_ms = self._clock.now()
        self._reason = reason
        received = error.received if isinstance(error, CutAnswerError) else 0
        self._log_event('store call failed', reason, received=received)

    def record_success(self) -> None:
        """Log the end of a spell, if there was one."""
        if not self._reason:
            return
        self._log_event(
            'store answers again',
            self._reason,
            failed_ms=self._clock.now() - self._since_ms,
        )
        self._reason = ''
