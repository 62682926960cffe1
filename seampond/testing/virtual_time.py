"""An event loop on which waiting takes no time."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that moves the time on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds: float = 0

    def select(self, timeout: float | None = None) -> Any:
        if timeout:
            self.seconds += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time runs as far as its timers say, at once.

    Explanation
    -----------
    Minutes of timers pass in milliseconds, always in the same order, so a
    test of time-outs neither waits nor depends on how busy the machine is.
    Nothing on it may wait for another process or a socket.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Give the virtual time in seconds."""
        return self._skipping.seconds


def run_virtual(work: Callable[[Clock], Awaitable[None]]) -> None:
    """Run `work` on virtual time; it is handed the clock of it."""
    loop = VirtualLoop()
    clock = Clock(lambda: round(loop.time() * MS_PER_SECOND))

    async def run() -> None:
        await work(clock)

    try:
        loop.run_until_complete(run())
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
