"""Conversion between the store's monotonic clock and the local one."""

import logging
from dataclasses import dataclass

from seampond.clock import least_local_ms, least_remote_ms
from seampond.errors import PlatformError
from seampond.watches.rows import Page, era_of

# Both clocks are read in whole milliseconds, rounded down.
_RESOLUTION_MS = 1
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Reading:
    """A time of the store and the local time that bounds its moment."""

    store_ms: int
    local_ms: int


@dataclass(frozen=True, slots=True)
class _Bounds:
    """Readings that bound the store's clock.

    Parameters
    ----------
    latest : _Reading
        At its local time the store's clock showed this much at most.
    earliest : _Reading
        At its local time the store's clock showed this much at least.

    """

    latest: _Reading
    earliest: _Reading

    def latest_store_ms(self, local_ms: int) -> int:
        """Return the most that the store's clock can show."""
        distance_ms = self.latest.local_ms - local_ms
        return self.latest.store_ms - least_remote_ms(distance_ms)

    def earliest_store_ms(self, local_ms: int) -> int:
        """Return the least that the store's clock can show."""
        distance_ms = local_ms - self.earliest.local_ms
        return self.earliest.store_ms + least_remote_ms(distance_ms)

    def narrow(self, other: '_Bounds') -> '_Bounds':
        """Return the closer of the bounds at the time of the other ones."""
        is_earlier = other.latest.store_ms <= self.latest_store_ms(
            other.latest.local_ms
        )
        is_later = other.earliest.store_ms >= self.earliest_store_ms(
            other.earliest.local_ms
        )
        return _Bounds(
            other.latest if is_earlier else self.latest,
            other.earliest if is_later else self.earliest,
        )


class StoreClock:
    """Estimates the offset of the store's monotonic clock.

    Explanation
    -----------
    The store answers between the sending of a call and the receipt of its
    answer, so each answer bounds the offset.  The clocks may run at different
    rates, so a bound widens with the distance from its answer until a later
    answer gives a closer one.

    An answer that the store gave before its call belongs to another call.  An
    answer from after its receipt shows that the store's clock was set forward
    or the local one stood still, and a restored store may have another clock:
    the bounds then begin anew.

    Attributes
    ----------
    era : int
        Era of the store whose clock this is.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.update(Page((), 1, 5010, 10, 14, False))
    >>> clock.update(Page((), 1, 7000, 500, 2003, False))
    >>> clock.to_local_ms(7000)
    1998

    """

    def __init__(self) -> None:
        """Start without bounds."""
        self.era = 0
        self._bounds: _Bounds | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store has answered."""
        return self._bounds is not None

    def update(self, page: Page) -> None:
        """Narrow the bounds by an answer.

        Raises
        ------
        PlatformError
            If the answer was given before its call or before a restore.

        """
        era = era_of(page.version)
        if era < self.era:
            raise PlatformError('answer of an earlier era', step='read')
        answer = _Bounds(
            _Reading(page.store_ms, page.sent_ms),
            _Reading(page.store_ms, page.received_ms),
        )
        if self._bounds is None or era > self.era:
            self._bounds = answer
        else:
            self._bounds = self._narrow(self._bounds, answer)
        self.era = era

    def to_local_ms(self, store_ms: int) -> int:
        """Return the earliest local time that `store_ms` can stand for."""
        latest = self._known_bounds.latest
        distance_ms = store_ms - latest.store_ms - _RESOLUTION_MS
        return latest.local_ms + least_local_ms(distance_ms)

    def to_store_ms(self, local_ms: int) -> int:
        """Return the latest store time that `local_ms` can stand for.

        Examples
        --------
        >>> clock = StoreClock()
        >>> clock.update(Page((), 1, 5010, 10, 14, False))
        >>> clock.to_store_ms(20)
        5022

        """
        return self._known_bounds.latest_store_ms(local_ms + _RESOLUTION_MS)

    @property
    def _known_bounds(self) -> _Bounds:
        if self._bounds is None:
            raise PlatformError('store has not answered yet', step='read')
        return self._bounds

    def _narrow(self, bounds: _Bounds, answer: _Bounds) -> _Bounds:
        sent, received = answer.latest, answer.earliest
        earliest_ms = bounds.earliest_store_ms(sent.local_ms - _RESOLUTION_MS)
        if sent.store_ms < earliest_ms - _RESOLUTION_MS:
            raise PlatformError('answer older than the call', step='read')
        latest_ms = bounds.latest_store_ms(received.local_ms + _RESOLUTION_MS)
        if received.store_ms > latest_ms + _RESOLUTION_MS:
            _logger.warning(
                "store's clock was set forward",
                extra={'ms': received.store_ms - latest_ms},
            )
            return answer
        return bounds.narrow(answer)
