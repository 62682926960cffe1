"""An event loop that runs on virtual time."""

import asyncio
import selectors
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

from seampond import clock as clocks
from seampond.clock import MS_PER_SECOND, NS_PER_SECOND, Clock

# Real time that the kernel gets to deliver what was sent over loopback.
_DELIVERY_SECONDS = 0.001
# What is delivered takes some time on any network.
_LATENCY_SECONDS = 0.0001
# Not 0, which some records use for never, and later than the real clock of
# most machines, so that time goes back where a test mixes the two clocks.
_START_SECONDS = 1_000_000.0


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


class _LoopbackSelector(_VirtualTimeSelector):
    """A selector that advances virtual time once no socket is ready."""

    def select(self, timeout: float | None = None) -> Any:
        ready = selectors.DefaultSelector.select(self, 0)
        if not ready and timeout != 0:
            ready = selectors.DefaultSelector.select(self, _DELIVERY_SECONDS)
        if ready:
            self.seconds += _LATENCY_SECONDS
        else:
            self.seconds += timeout or 0
        return ready


class LoopbackLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time whose sockets are all its own.

    Explanation
    -----------
    Time passes only while nothing is ready to be read or written, so that a
    process without a processor brings neither less load nor later answers.
    Whatever answers over a socket must run on the same loop.
    """

    def __init__(self) -> None:
        """Start at a time that is not zero."""
        self._loopback_selector = _LoopbackSelector()
        self._loopback_selector.seconds = _START_SECONDS
        super().__init__(self._loopback_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._loopback_selector.seconds

    async def getaddrinfo(self, *args: Any, **kwargs: Any) -> Any:
        """Resolve an address, which is a number, without a thread."""
        return socket.getaddrinfo(*args, **kwargs)


class _LoopbackPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates loops on virtual time."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Create a loop."""
        return LoopbackLoop()


class VirtualTimeCase(IsolatedAsyncioTestCase):
    """Base of tests whose processes share one loop on virtual time."""

    @classmethod
    def setUpClass(cls) -> None:
        """Let the loop of each test run on virtual time."""
        super().setUpClass()
        policy = asyncio.get_event_loop_policy()
        cls.addClassCleanup(asyncio.set_event_loop_policy, policy)
        asyncio.set_event_loop_policy(_LoopbackPolicy())

    async def asyncSetUp(self) -> None:
        """Let clocks show the time of the loop, until the last clean-up."""
        loop = asyncio.get_running_loop()

        def read_ns() -> int:
            return round(loop.time() * NS_PER_SECOND)

        for name in ('read_steady_ns', 'read_awake_ns'):
            self.enterContext(mock.patch.object(clocks, name, read_ns))
        # Clean-ups run in reverse, so those of the other bases come first.
        await super().asyncSetUp()
