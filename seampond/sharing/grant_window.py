"""Sum of the units granted in a sliding window."""

from collections import deque
from dataclasses import dataclass, field

_SLOT_MS = 250


@dataclass(slots=True)
class GrantWindow:
    """Sum over a sliding window, kept in slots of fixed length.

    Parameters
    ----------
    length_ms : int
        Length of the window; a slot counts until all of it has left.

    Examples
    --------
    >>> window = GrantWindow(8000)
    >>> window.add(1000, 30)
    >>> window.add(5000, 12)
    >>> window.total(8900), window.total(9300), window.total(14_000)
    (42, 12, 0)

    """

    length_ms: int
    _slots: deque[tuple[int, float]] = field(default_factory=deque)
    _sum: float = 0

    def add(self, now_ms: int, units: float) -> None:
        """Add units granted now; a negative number is a refund."""
        self._sum += units
        slot_ms = now_ms - now_ms % _SLOT_MS
        if self._slots and self._slots[-1][0] == slot_ms:
            units += self._slots.pop()[1]
        self._slots.append((slot_ms, units))

    def total(self, now_ms: int) -> float:
        """Return the units granted in the window that ends now."""
        oldest_ms = now_ms - self.length_ms - _SLOT_MS
        while self._slots and self._slots[0][0] < oldest_ms:
            self._sum -= self._slots.popleft()[1]
        if not self._slots:
            self._sum = 0
        return self._sum

    def clear(self) -> None:
        """Remove all grants."""
        self._slots.clear()
        self._sum = 0
