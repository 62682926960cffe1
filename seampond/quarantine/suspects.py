"""Which requests may be the cause that servers end: the evidence.

Of the ten requests that a server cuts when it ends, one may be the cause.  It
is the one under which the next server ends too, and it never gets an answer.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from seampond.clock import MS_PER_DAY, MS_PER_MINUTE, Clock
from seampond.quarantine.models import Crash, CrashReport

# From so many ends on a request is sent on trial only.  One end cuts sound
# requests too; of those two servers in a row have ended under few.
QUARANTINE_CRASHES = 2
# A good answer within this time before an end: the request is sound at least
# now and then.
_PROVEN_MS = 10_000
_PROVEN_MAX = 2048
# Good answers are told where somebody may hold ends against the request.
_TOLD_MS = 5000
_TOLD_MAX = 64
_ENDS_KEPT = 4
_SUSPECTS_MAX = 1024
_CLEARED_MAX = 1024
_LOOK_MS = 1000
_FORGET_MS = 10 * MS_PER_MINUTE
_FORGET_QUARANTINED_MS = MS_PER_DAY


@dataclass(slots=True)
class Suspect:
    """A request under which a server has ended since its last good answer.

    Parameters
    ----------
    crashes : dict[int, Crash]
        By key of the server's life.
    observed : set[int]
        The lives whose ends we have seen ourselves.
    had_success : bool
        Whether it had got a good answer shortly before an end.

    """

    crashes: dict[int, Crash] = field(default_factory=dict)
    observed: set[int] = field(default_factory=set)
    had_success: bool = False

    @property
    def crash_count(self) -> int:
        """How many ends count against it.

        Explanation
        -----------
        Many copies of a popular request run at any moment, so a hall that
        loses its power ends several servers under it at once.  Of a request
        that had good answers only an end counts whose run began after the end
        before was seen; of any other, each end.
        """
        if not self.had_success:
            return len(self.crashes)
        counted = 0
        seen_ms = None
        for crash in sorted(
            self.crashes.values(), key=lambda known: known.at_ms
        ):
            if seen_ms is None or crash.started_ms > seen_ms:
                counted += 1
                seen_ms = crash.at_ms
        return counted

    def drop_redundant(self) -> None:
        """Drop an end without which as many strikes are left, or the first."""
        crash_count = self.crash_count
        for incarnation, crash in list(self.crashes.items()):
            self.crashes.pop(incarnation)
            if self.crash_count == crash_count:
                return
            self.crashes[incarnation] = crash
        self.crashes.pop(next(iter(self.crashes)))

    @property
    def last_ms(self) -> int:
        """When the last end was seen."""
        return max(crash.at_ms for crash in self.crashes.values())


class Suspects:
    """The evidence against requests, of all gateways together.

    Explanation
    -----------
    A union of ends and the latest good answer of each request, so it does not
    matter in which order, how often or through whom a word of it comes.

    Examples
    --------
    >>> suspects = Suspects(Clock(lambda: 0))
    >>> suspects.record_crash(7, incarnation=1, started_ms=0)
    >>> suspects.record_crash(7, incarnation=1, started_ms=0)
    >>> suspects.record_crash(7, incarnation=2, started_ms=0)
    >>> suspects.count_crashes(7)
    2
    >>> suspects.record_success(7)
    True
    >>> suspects.count_crashes(7)
    0

    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing against anybody."""
        self._clock = clock
        self._suspects: dict[int, Suspect] = {}
        # When a request last got a good answer, the latest at the end.
        self._good_ms: OrderedDict[int, int] = OrderedDict()
        self._cleared_ms: dict[int, int] = {}
        self._forget_ms = 0

    def __len__(self) -> int:
        """Give how many requests there is something against."""
        return len(self._suspects)

    def count_crashes(self, request: int) -> int:
        """Give how many ends count against a request."""
        suspect = self._suspects.get(request)
        return suspect.crash_count if suspect else 0

    def had_success(self, request: int) -> bool:
        """Tell whether a request had a good answer shortly before an end."""
        suspect = self._suspects.get(request)
        return suspect is not None and suspect.had_success

    def had_recent_success(self, request: int) -> bool:
        """Tell whether a request had a good answer of late."""
        good_ms = self._good_ms.get(request)
        if good_ms is None:
            return False
        return self._clock.now() - good_ms <= _PROVEN_MS

    def record_crash(
        self, request: int, incarnation: int, started_ms: int
    ) -> None:
        """Note that a server ended under a request of ours."""
        crash = Crash(incarnation, started_ms, self._clock.now())
        self._add(request, crash, had_success=self.had_recent_success(request))
        suspect = self._suspects.get(request)
        if suspect is not None:
            suspect.observed.add(incarnation)
            suspect.observed.intersection_update(suspect.crashes)
        self._forget()

    def record_success(self, request: int) -> bool:
        """Note a good answer; tell whether it clears the request."""
        self._good_ms[request] = self._clock.now()
        self._good_ms.move_to_end(request)
        if len(self._good_ms) > _PROVEN_MAX:
            self._good_ms.popitem(last=False)
        if request not in self._suspects:
            return False
        self._note_cleared(request, self._clock.now())
        return self._clear(request, self._clock.now())

    def list_crash_reports(self) -> list[CrashReport]:
        """Give what the others should know.

        Explanation
        -----------
        All that is known of requests in quarantine first, for whoever was
        cut off, or has just started, when it was first told; and our own of
        late.
        """
        now_ms = self._clock.now()
        by_strikes = sorted(
            self._suspects.items(),
            key=lambda known: known[1].crash_count,
            reverse=True,
        )
        told = [
            CrashReport(
                request,
                crash.incarnation,
                max(0, now_ms - crash.started_ms),
                max(0, now_ms - crash.at_ms),
                suspect.had_success,
            )
            for request, suspect in by_strikes
            for crash in suspect.crashes.values()
            if suspect.crash_count >= QUARANTINE_CRASHES
            or (
                crash.incarnation in suspect.observed
                and now_ms - crash.at_ms < _TOLD_MS
            )
        ]
        return told[:_TOLD_MAX]

    def list_cleared(self) -> dict[int, int]:
        """Give who was cleared of late, and how long ago."""
        now_ms = self._clock.now()
        latest = itertools.islice(reversed(self._cleared_ms.items()), _TOLD_MAX)
        return {
            request: now_ms - at_ms
            for request, at_ms in latest
            if now_ms - at_ms < _TOLD_MS
        }

    def apply_reports(
        self, crashes: Iterable[CrashReport], successes: Mapping[int, int]
    ) -> None:
        """Take what another gateway tells."""
        now_ms = self._clock.now()
        for told in crashes:
            crash = Crash(
                told.incarnation,
                now_ms - told.run_age_ms,
                now_ms - told.crash_age_ms,
            )
            self._add(told.request, crash, had_success=told.had_success)
        for request, ago_ms in successes.items():
            self._note_cleared(request, now_ms - ago_ms)
            self._clear(request, now_ms - ago_ms)
        self._forget()

    def _add(self, request: int, crash: Crash, *, had_success: bool) -> None:
        good_ms = max(
            self._good_ms.get(request, crash.at_ms - 1),
            self._cleared_ms.get(request, crash.at_ms - 1),
        )
        if good_ms >= crash.at_ms:
            return
        suspect = self._suspects.setdefault(request, Suspect())
        suspect.had_success = suspect.had_success or had_success
        known = suspect.crashes.get(crash.incarnation)
        if known is None or crash.at_ms < known.at_ms:
            suspect.crashes[crash.incarnation] = crash
        if len(suspect.crashes) > _ENDS_KEPT:
            suspect.drop_redundant()

    def _note_cleared(self, request: int, good_ms: int) -> None:
        """Remember a good answer: word of an end before it may come late."""
        known_ms = self._cleared_ms.pop(request, good_ms)
        self._cleared_ms[request] = max(known_ms, good_ms)
        if len(self._cleared_ms) > _CLEARED_MAX:
            self._cleared_ms.pop(next(iter(self._cleared_ms)))

    def _clear(self, request: int, good_ms: int) -> bool:
        """Drop the ends before a good answer; tell whether none is left."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return False
        suspect.crashes = {
            incarnation: crash
            for incarnation, crash in suspect.crashes.items()
            if crash.at_ms > good_ms
        }
        if suspect.crashes:
            return False
        self._suspects.pop(request)
        return True

    def _forget(self) -> None:
        """Drop what is old, and the least suspect where there are too many."""
        now_ms = self._clock.now()
        if now_ms < self._forget_ms:
            return
        self._forget_ms = now_ms + _LOOK_MS
        for request, suspect in list(self._suspects.items()):
            is_held = suspect.crash_count >= QUARANTINE_CRASHES
            kept_ms = _FORGET_QUARANTINED_MS if is_held else _FORGET_MS
            if now_ms - suspect.last_ms > kept_ms:
                self._suspects.pop(request)
        over = len(self._suspects) - _SUSPECTS_MAX
        if over > 0:
            by_weight = sorted(
                self._suspects,
                key=lambda known: self._suspects[known].crash_count,
            )
            for request in by_weight[:over]:
                self._suspects.pop(request)
