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
    >>> time = StoreClock()
    >>> time.update(Page((), 1, 5010, 10, 14, False))
    >>> time.update(Page((), 1, 7000, 500, 2003, False))
    >>> time.to_local_ms(7000)
    2000

    """

    def __init__(self) -> None:
        """Start with no answer seen."""
        self._most_ms = math.inf
        self._least_ms = -math.inf

    def update(self, page: Page) -> None:
        """Learn from an answer.

        Raises
        ------
        PlatformError
            If the answer is older than the call.

        """
        most_ms = page.store_ms - page.sent_ms
        least_ms = page.store_ms - page.received_ms
        if most_ms < self._least_ms:
            raise PlatformError('answer older than the call', step='read')
        self._most_ms = min(self._most_ms, most_ms)
        self._least_ms = max(self._least_ms, least_ms)

    def to_local_ms(self, store_ms: int) -> int:
        """Give a moment of our clock that is not after the store's."""
        return store_ms - round(self._most_ms)

    def to_store_ms(self, local_ms: int) -> int:
        """Give a moment of the store's clock that is not before ours.

        Examples
        --------
        >>> time = StoreClock()
        >>> time.update(Page((), 1, 5010, 10, 14, False))
        >>> time.to_store_ms(20)
        5020

        """
        return local_ms + round(self._most_ms)
