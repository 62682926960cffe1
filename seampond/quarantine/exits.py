"""Ends of servers that were announced before they came."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from seampond.clock import Clock

_EXITS_MAX = 4096
_REPORTS_MAX = 64
# Draining is final for an incarnation, so it holds for any time; no age in
# reports is larger.
_AGE_MAX_MS = 4_294_967_295
_ALWAYS_MS = -_AGE_MAX_MS


class AnnouncedExits:
    """Server incarnations whose end was announced, and since when.

    Explanation
    -----------
    A server with a planned end announces it by its row, which says that it
    drains or goes while the server still serves.  The requests that such an
    end cuts are no evidence against them.  A row also goes some time after a
    crash, so a row that has gone only speaks for what follows.

    Another gateway may not have read the row.  It learns of an announced exit
    in reply to its report of a crash, so nothing is sent where all know.

    Examples
    --------
    >>> exits = AnnouncedExits(Clock(lambda: 0))
    >>> exits.record_removed(7, at_ms=500)
    >>> exits.is_announced(7, at_ms=400), exits.is_announced(7, at_ms=600)
    (False, True)
    >>> exits.record_draining(7)
    >>> exits.is_announced(7, at_ms=400)
    True

    """

    def __init__(self, clock: Clock) -> None:
        """Start without exits."""
        self._clock = clock
        self._since_ms: OrderedDict[int, int] = OrderedDict()
        self._report_until_ms: dict[int, float] = {}

    def record_draining(self, incarnation: int) -> None:
        """Record that an incarnation has announced its end."""
        self._record(incarnation, _ALWAYS_MS)

    def record_removed(self, incarnation: int, at_ms: int) -> None:
        """Record that the row of an incarnation had gone at a time."""
        self._record(incarnation, at_ms)

    def is_announced(self, incarnation: int, at_ms: int) -> bool:
        """Return True if the end of an incarnation was announced by a time."""
        since_ms = self._since_ms.get(incarnation)
        return since_ms is not None and since_ms <= at_ms

    def record_listed(self, incarnation: int, *, is_unique: bool) -> None:
        """Record that the row of an incarnation says that it serves.

        Parameters
        ----------
        is_unique : bool
            Whether a later start of the server has another key.  If not, it
            may have been another process that drained.

        """
        since_ms = self._since_ms.get(incarnation)
        if since_ms is not None and (since_ms > 0 or not is_unique):
            self._since_ms.pop(incarnation)

    def report(self, incarnation: int, for_ms: float) -> None:
        """Report an exit to the other gateways for a while."""
        self._report_until_ms[incarnation] = self._clock.now() + for_ms

    def list_reports(self) -> dict[int, int]:
        """Return the ages of the announcements to report, by incarnation."""
        now_ms = self._clock.now()
        self._report_until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._report_until_ms.items()
            if until_ms > now_ms and incarnation in self._since_ms
        }
        return {
            incarnation: now_ms - self._since_ms[incarnation]
            for incarnation in list(self._report_until_ms)[-_REPORTS_MAX:]
        }

    def apply_reports(self, ages_ms: Mapping[int, int]) -> Iterable[int]:
        """Apply another gateway's reports; return the incarnations."""
        now_ms = self._clock.now()
        for incarnation, age_ms in ages_ms.items():
            is_always = age_ms >= _AGE_MAX_MS
            self._record(
                incarnation, _ALWAYS_MS if is_always else now_ms - age_ms
            )
        return ages_ms.keys()

    def _record(self, incarnation: int, since_ms: int) -> None:
        known_ms = self._since_ms.pop(incarnation, since_ms)
        self._since_ms[incarnation] = min(known_ms, since_ms)
        if len(self._since_ms) > _EXITS_MAX:
            self._since_ms.popitem(last=False)
