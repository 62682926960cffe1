"""Conversion between the store's monotonic clock and the local one."""

import math

from seampond.errors import PlatformError
from seampond.watches.rows import Page


class StoreClock:
    """Estimates the offset of the store's monotonic clock.

    Explanation
    -----------
    The store answers between the sending of a call and the receipt of its
    answer, so each answer narrows the bounds on the offset.  An answer outside
    the bounds belongs to another call.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.update(Page((), 1, 5010, 10, 14, False))
    >>> clock.update(Page((), 1, 7000, 500, 2003, False))
    >>> clock.to_local_ms(7000)
    2000

    """

    def __init__(self) -> None:
        """Start with an unbounded offset."""
        self._max_offset_ms = math.inf
        self._min_offset_ms = -math.inf

    def update(self, page: Page) -> None:
        """Narrow the bounds by an answer.

        Raises
        ------
        PlatformError
            If the answer was given before its call.

        """
        max_offset_ms = page.store_ms - page.sent_ms
        min_offset_ms = page.store_ms - page.received_ms
        if max_offset_ms < self._min_offset_ms:
            raise PlatformError('answer older than the call', step='read')
        self._max_offset_ms = min(self._max_offset_ms, max_offset_ms)
        self._min_offset_ms = max(self._min_offset_ms, min_offset_ms)

    def to_local_ms(self, store_ms: int) -> int:
        """Return the earliest local time that `store_ms` can stand for."""
        return store_ms - round(self._max_offset_ms)

    def to_store_ms(self, local_ms: int) -> int:
        """Return the latest store time that `local_ms` can stand for.

        Examples
        --------
        >>> clock = StoreClock()
        >>> clock.update(Page((), 1, 5010, 10, 14, False))
        >>> clock.to_store_ms(20)
        5020

        """
        return local_ms + round(self._max_offset_ms)
