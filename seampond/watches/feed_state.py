"""What the feed of a watch is doing, and since when."""

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
