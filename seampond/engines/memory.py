"""Ids that an agent remembers for a time."""

from collections.abc import Hashable


class TimedSet:
    """Keys, each remembered for `keep_ms` after it was added.

    Examples
    --------
    >>> memory = TimedSet(100)
    >>> memory.add('r1', 0)
    >>> memory.tidy(99)
    >>> 'r1' in memory
    True
    >>> memory.tidy(100)
    >>> 'r1' in memory
    False

    """

    def __init__(self, keep_ms: int) -> None:
        """Start with none."""
        self._keep_ms = keep_ms
        self._added: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Give how many keys are remembered."""
        return len(self._added)

    def __contains__(self, key: Hashable) -> bool:
        """Whether the key is remembered."""
        return key in self._added

    def add(self, key: Hashable, now_ms: int) -> None:
        """Remember a key from now on."""
        self._added.pop(key, None)
        self._added[key] = now_ms

    def discard(self, key: Hashable) -> None:
        """Forget a key, if it is remembered."""
        self._added.pop(key, None)

    def tidy(self, now_ms: int) -> None:
        """Forget what is old; the oldest come first."""
        while self._added:
            oldest = next(iter(self._added))
            if now_ms - self._added[oldest] < self._keep_ms:
                return
            self._added.pop(oldest)
