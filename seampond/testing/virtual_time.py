"""An event loop that runs on virtual time."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds: float = 0

    def select(self, timeout: float | None = None) -> Any:
        if timeout:
            self.seconds += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer.

    Explanation
    -----------
    Tests of time-outs run fast and independently of the machine's load.
    Nothing on the loop may wait for another process or a socket.
    """

    def __init__(self) -> None:
        """Start at time zero."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.seconds


def run_virtual(work: Callable[[Clock], Awaitable[None]]) -> None:
    """Run `work` on virtual time; it gets the clock of the loop."""
    loop = VirtualLoop()
    clock = Clock(lambda: round(loop.time() * MS_PER_SECOND))

    async def run() -> None:
        await work(clock)

    try:
        loop.run_until_complete(run())
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
