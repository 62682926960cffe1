"""What the feed of a watch is doing, and since when."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

from seampond.clock import Clock


class FeedActivity(Enum):
    """What the feed of a watch is doing."""

    idle = 'idle'
    polling = 'polling'
    waiting = 'waiting'
    pausing = 'pausing'


class FeedState:
    """The current activity of a feed.

    Explanation
    -----------
    A feed is idle while another process follows the table.  A polling call
    returns at once, a waiting one when rows change.

    Attributes
    ----------
    calls : int
        Number of calls so far.

    Examples
    --------
    >>> from seampond.clock import ManualClock
    >>> clock = ManualClock()
    >>> state = FeedState(clock)
    >>> state.enter(FeedActivity.waiting)
    >>> clock.advance(250)
    >>> state.activity.value, state.duration_ms
    ('waiting', 250)

    """

    def __init__(self, clock: Clock) -> None:
        """Start idle."""
        self._clock = clock
        self._since_ms = clock.now()
        self._activity = FeedActivity.idle
        self._timeout: asyncio.Timeout | None = None
        self.calls = 0

    @property
    def is_waiting(self) -> bool:
        """Whether a call is pending that may hang for all of its time."""
        return self._activity is FeedActivity.waiting

    @property
    def activity(self) -> FeedActivity:
        """The current activity."""
        return self._activity

    @property
    def duration_ms(self) -> int:
        """How long the current activity has lasted."""
        return self._clock.now() - self._since_ms

    def enter(self, activity: FeedActivity) -> None:
        """Start an activity."""
        self._activity = activity
        self._since_ms = self._clock.now()

    @asynccontextmanager
    async def call(self, wait_ms: int) -> AsyncIterator[None]:
        """Make a call within the `with`, which the store may hold.

        Raises
        ------
        TimeoutError
            If the call was given up.

        """
        self.enter(FeedActivity.waiting if wait_ms else FeedActivity.polling)
        self.calls += 1
        self._timeout = asyncio.timeout(None)
        try:
            async with self._timeout:
                yield
        finally:
            self._timeout = None
            self.enter(FeedActivity.pausing)

    def give_up(self) -> None:
        """End the pending call."""
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())
