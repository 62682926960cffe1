"""A restartable timer of the event loop."""

import asyncio
from collections.abc import Callable

from seampond.clock import MS_PER_SECOND


class Timer:
    """Calls a function unless it is stopped before."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Initialize a timer that does not run."""
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the function will be called."""
        return self._handle is not None

    def start(self, delay_ms: float) -> None:
        """Call the function after a time, counted from now."""
        self.stop()
        self._handle = asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND, self._call
        )

    def stop(self) -> None:
        """Do not call the function."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _call(self) -> None:
        self._handle = None
        self._callback()
