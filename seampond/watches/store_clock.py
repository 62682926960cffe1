"""The store's steady clock against ours."""

import math

from seampond.errors import PlatformError
from seampond.watches.rows import Page


class StoreClock:
    """Sets the store's steady clock against ours.

    Explanation
    -----------
    An answer was given after its call was sent and before it came, so the
    difference of the clocks lies between two bounds that each answer makes
    narrower.  An answer outside them belongs to another call.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.update(Page((), 1, 5010, 10, 14, False))
    >>> clock.update(Page((), 1, 7000, 500, 2003, False))
    >>> clock.to_local_ms(7000)
    2000

    """

    def __init__(self) -> None:
        """Start with no answer seen."""
        self._max_offset_ms = math.inf
        self._min_offset_ms = -math.inf

    def update(self, page: Page) -> None:
        """Learn from an answer.

        Raises
        ------
        PlatformError
            If the answer is older than the call.

        """
        max_offset_ms = page.store_ms - page.sent_ms
        min_offset_ms = page.store_ms - page.received_ms
        if max_offset_ms < self._min_offset_ms:
            raise PlatformError('answer older than the call', step='read')
        self._max_offset_ms = min(self._max_offset_ms, max_offset_ms)
        self._min_offset_ms = max(self._min_offset_ms, min_offset_ms)

    def to_local_ms(self, store_ms: int) -> int:
        """Give a moment of our clock that is not after the store's."""
        return store_ms - round(self._max_offset_ms)

    def to_store_ms(self, local_ms: int) -> int:
        """Give a moment of the store's clock that is not before ours.

        Examples
        --------
        >>> clock = StoreClock()
        >>> clock.update(Page((), 1, 5010, 10, 14, False))
        >>> clock.to_store_ms(20)
        5020

        """
        return local_ms + round(self._max_offset_ms)
