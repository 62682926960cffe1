"""Counting and logging of failed calls to the store."""

from collections.abc import Callable
from typing import Protocol

from seampond.clock import Clock
from seampond.errors import CutAnswerError, PlatformError


class LogEvent(Protocol):
    """Logs an event with a detail and numeric fields."""

    def __call__(self, event: str, detail: str, **figures: int) -> None:
        """Log the event."""


class FailureLog:
    """Counts failed calls and logs each change of their reason.

    Explanation
    -----------
    Consecutive failures with the same reason are logged once, and so is the
    first success after them.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts a failed call by its step.
    log_event : LogEvent
        Logs an event.

    """

    def __init__(
        self, clock: Clock, count: Callable[[str], None], log_event: LogEvent
    ) -> None:
        """Start without failures."""
        self._clock = clock
        self._count = count
        self._log_event = log_event
        self._reason = ''
        self._since_ms = 0

    def record_failure(self, error: PlatformError) -> None:
        """Count a failed call; log it if its reason has changed."""
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
        """Log the first success after failed calls."""
        if not self._reason:
            return
        self._log_event(
            'store answers again',
            self._reason,
            failed_ms=self._clock.now() - self._since_ms,
        )
        self._reason = ''
