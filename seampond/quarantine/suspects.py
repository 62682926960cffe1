"""Evidence of which requests crash servers.

A crash interrupts all requests of a server.  The one that causes it also
crashes the next server and never succeeds.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from seampond.clock import MS_PER_DAY, MS_PER_MINUTE, Clock
from seampond.quarantine.exits import AnnouncedExits
from seampond.quarantine.models import Crash, CrashReport

# Number of crashes that quarantine a fingerprint.  A single crash also
# interrupts harmless requests.
QUARANTINE_CRASHES = 2
# A success at most this long before a crash counts in favor of a fingerprint.
_RECENT_SUCCESS_MS = 10_000
_SUCCESSES_MAX = 8192
# In how many heartbeats crashes and cleared requests are reported.
_REPORT_HEARTBEATS = 3
_REPORTS_MAX = 64
_DEFAULT_HEARTBEAT_MS = 300
_CRASHES_PER_SUSPECT = 4
_SUSPECTS_MAX = 1024
_CLEARED_MAX = 1024
_CLEANUP_INTERVAL_MS = 1000
_SUSPECT_TTL_MS = 10 * MS_PER_MINUTE
_QUARANTINED_TTL_MS = MS_PER_DAY
_NO_EXITS: Mapping[int, int] = MappingProxyType({})


def _default_heartbeat_ms() -> float:
    """Return the interval of heartbeats of a few gateways."""
    return _DEFAULT_HEARTBEAT_MS


@dataclass(slots=True)
class Suspect:
    """A fingerprint that a server crashed under since its last success.

    Parameters
    ----------
    crashes : dict[int, Crash]
        Crashes by key of the server incarnation.
    observed : set[int]
        Incarnations whose crash this gateway observed itself.
    had_success : bool
        Whether the fingerprint succeeded shortly before a crash.

    """

    crashes: dict[int, Crash] = field(default_factory=dict)
    observed: set[int] = field(default_factory=set)
    had_success: bool = False

    @property
    def crash_count(self) -> int:
        """Number of crashes that count against the fingerprint.

        Explanation
        -----------
        For a fingerprint that had succeeded, crashes of concurrent runs count
        once: a power failure of a hall crashes many servers at once under a
        popular fingerprint.
        """
        if not self.had_success:
            return len(self.crashes)
        count = 0
        last_counted_ms = None
        for crash in sorted(
            self.crashes.values(), key=lambda crash: crash.at_ms
        ):
            if last_counted_ms is None or crash.started_ms > last_counted_ms:
                count += 1
                last_counted_ms = crash.at_ms
        return count

    def drop_redundant(self) -> None:
        """Drop a crash that does not change the count, else the first."""
        crash_count = self.crash_count
        for incarnation, crash in list(self.crashes.items()):
            self.crashes.pop(incarnation)
            if self.crash_count == crash_count:
                return
            self.crashes[incarnation] = crash
        self.crashes.pop(next(iter(self.crashes)))

    @property
    def last_crash_ms(self) -> int:
        """Time of the latest crash."""
        return max(crash.at_ms for crash in self.crashes.values())


class Suspects:
    """The evidence against requests, merged from all gateways.

    Explanation
    -----------
    Crashes are merged as a set and successes by the latest, so reports may
    arrive in any order, repeatedly and from any gateway.

    Parameters
    ----------
    heartbeat_ms : Callable[[], float]
        Returns the interval of regular heartbeats.

    Attributes
    ----------
    exits : AnnouncedExits
        Announced ends of servers, which are no crashes.

    Examples
    --------
    >>> suspects = Suspects(Clock(lambda: 0))
    >>> suspects.record_crash(7, incarnation=1, started_ms=0)
    >>> suspects.record_crash(7, incarnation=1, started_ms=0)
    >>> suspects.record_crash(7, incarnation=2, started_ms=0)
    >>> suspects.count_crashes(7)
    2
    >>> suspects.record_success(7, at_ms=0)
    True
    >>> suspects.count_crashes(7)
    0

    """

    def __init__(
        self,
        clock: Clock,
        heartbeat_ms: Callable[[], float] = _default_heartbeat_ms,
    ) -> None:
        """Start without suspects."""
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self.exits = AnnouncedExits(clock)
        self._suspects: dict[int, Suspect] = {}
        # Time of the last success by fingerprint, the latest at the end.
        self._success_ms: OrderedDict[int, int] = OrderedDict()
        self._cleared_ms: dict[int, int] = {}
        # Until when this gateway reports some of them.
        self._report_until_ms: dict[int, float] = {}
        self._next_cleanup_ms = 0

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def count_crashes(self, fingerprint: int) -> int:
        """Return how many crashes count against a fingerprint."""
        suspect = self._suspects.get(fingerprint)
        return suspect.crash_count if suspect else 0

    def had_success(self, fingerprint: int) -> bool:
        """Return True if a fingerprint succeeded shortly before a crash."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.had_success

    def had_recent_success(self, fingerprint: int) -> bool:
        """Return True if a fingerprint succeeded recently."""
        success_ms = self._success_ms.get(fingerprint)
        if success_ms is None:
            return False
        return self._clock.now() - success_ms <= _RECENT_SUCCESS_MS

    def has_succeeded(self, fingerprint: int) -> bool:
        """Return True if any success of a fingerprint is known."""
        return fingerprint in self._success_ms or self.had_success(fingerprint)

    def record_crash(
        self, fingerprint: int, incarnation: int, started_ms: int
    ) -> None:
        """Record that a server crashed under a fingerprint of this gateway."""
        crash = Crash(incarnation, started_ms, self._clock.now())
        if self._is_refuted(fingerprint, crash):
            return
        self._add(
            fingerprint, crash, had_success=self.had_recent_success(fingerprint)
        )
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.observed.add(incarnation)
            suspect.observed.intersection_update(suspect.crashes)
        self._remove_expired()

    def record_success(self, fingerprint: int, at_ms: int) -> bool:
        """Record a success; return True if it clears the fingerprint."""
        known_ms = self._success_ms.get(fingerprint, at_ms)
        self._success_ms[fingerprint] = max(at_ms, known_ms)
        self._success_ms.move_to_end(fingerprint)
        if len(self._success_ms) > _SUCCESSES_MAX:
            self._success_ms.popitem(last=False)
        if fingerprint not in self._suspects:
            return False
        self.record_cleared(fingerprint, at_ms)
        return self._clear(fingerprint, at_ms)

    def record_cleared(self, fingerprint: int, at_ms: int) -> None:
        """Record a success that clears a fingerprint at all gateways."""
        self._record_cleared(fingerprint, at_ms)
        self._report_cleared(fingerprint)

    def list_crash_reports(self) -> list[CrashReport]:
        """Return the crashes to report in the next heartbeat.

        Explanation
        -----------
        Crashes of quarantined requests come first and are repeated as long as
        they are known, for gateways that missed the first report.  Others are
        reported for a while by the gateway that observed them.
        """
        now_ms = self._clock.now()
        by_crash_count = sorted(
            self._suspects.items(),
            key=lambda entry: entry[1].crash_count,
            reverse=True,
        )
        reports = [
            CrashReport(
                fingerprint,
                crash.incarnation,
                max(0, now_ms - crash.started_ms),
                max(0, now_ms - crash.at_ms),
                suspect.had_success,
            )
            for fingerprint, suspect in by_crash_count
            for crash in suspect.crashes.values()
            if suspect.crash_count >= QUARANTINE_CRASHES
            or (
                crash.incarnation in suspect.observed
                and now_ms - crash.at_ms < self._report_ms
            )
        ]
        return reports[:_REPORTS_MAX]

    def list_cleared(self) -> dict[int, int]:
        """Return the ages of the successes to report, by fingerprint."""
        now_ms = self._clock.now()
        self._report_until_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._report_until_ms.items()
            if until_ms > now_ms and fingerprint in self._cleared_ms
        }
        latest = itertools.islice(reversed(self._report_until_ms), _REPORTS_MAX)
        return {
            fingerprint: now_ms - self._cleared_ms[fingerprint]
            for fingerprint in latest
        }

    def apply_reports(
        self,
        crashes: Iterable[CrashReport],
        successes: Mapping[int, int],
        exits: Mapping[int, int] = _NO_EXITS,
    ) -> None:
        """Apply crashes, ages of successes and exits from another gateway.

        Explanation
        -----------
        A gateway that missed an earlier report repeats crashes that are
        refuted since.  It is told so in the next heartbeats.
        """
        now_ms = self._clock.now()
        for incarnation in self.exits.apply_reports(exits):
            self.drop_announced(incarnation)
        for report in crashes:
            crash = Crash(
                report.incarnation,
                now_ms - report.run_age_ms,
                now_ms - report.crash_age_ms,
            )
            if self._is_refuted(report.fingerprint, crash):
                self._report_refutation(report.fingerprint, crash)
            else:
                self._add(
                    report.fingerprint, crash, had_success=report.had_success
                )
        for fingerprint, age_ms in successes.items():
            self._record_cleared(fingerprint, now_ms - age_ms)
            self._clear(fingerprint, now_ms - age_ms)
        self._remove_expired()

    def drop_announced(self, incarnation: int) -> None:
        """Drop the crashes of an incarnation that were announced exits."""
        for fingerprint, suspect in list(self._suspects.items()):
            crash = suspect.crashes.get(incarnation)
            if crash is None:
                continue
            if self.exits.is_announced(incarnation, crash.at_ms):
                suspect.crashes.pop(incarnation)
            if not suspect.crashes:
                self._suspects.pop(fingerprint)

    @property
    def _report_ms(self) -> float:
        """How long something is reported."""
        return _REPORT_HEARTBEATS * self._heartbeat_ms()

    def _last_success_ms(self, fingerprint: int) -> float:
        """Return the time of the last known success."""
        return max(
            self._success_ms.get(fingerprint, -math.inf),
            self._cleared_ms.get(fingerprint, -math.inf),
        )

    def _is_refuted(self, fingerprint: int, crash: Crash) -> bool:
        """Return True if a crash does not count against a fingerprint."""
        return (
            self.exits.is_announced(crash.incarnation, crash.at_ms)
            or self._last_success_ms(fingerprint) >= crash.at_ms
        )

    def _report_refutation(self, fingerprint: int, crash: Crash) -> None:
        """Report to the other gateways why a crash does not count."""
        if self.exits.is_announced(crash.incarnation, crash.at_ms):
            self.exits.report(crash.incarnation, self._report_ms)
        else:
            success_ms = int(self._last_success_ms(fingerprint))
            self.record_cleared(fingerprint, success_ms)

    def _report_cleared(self, fingerprint: int) -> None:
        """Report the last success to the other gateways for a while."""
        self._report_until_ms.pop(fingerprint, None)
        until_ms = self._clock.now() + self._report_ms
        self._report_until_ms[fingerprint] = until_ms

    def _add(
        self, fingerprint: int, crash: Crash, *, had_success: bool
    ) -> None:
        suspect = self._suspects.setdefault(fingerprint, Suspect())
        suspect.had_success = suspect.had_success or had_success
        known = suspect.crashes.get(crash.incarnation)
        if known is None or crash.at_ms < known.at_ms:
            suspect.crashes[crash.incarnation] = crash
        if len(suspect.crashes) > _CRASHES_PER_SUSPECT:
            suspect.drop_redundant()

    def _record_cleared(self, fingerprint: int, success_ms: int) -> None:
        """Record a success, since an earlier crash may be reported late."""
        known_ms = self._cleared_ms.pop(fingerprint, success_ms)
        self._cleared_ms[fingerprint] = max(known_ms, success_ms)
        if len(self._cleared_ms) > _CLEARED_MAX:
            self._cleared_ms.pop(next(iter(self._cleared_ms)))

    def _clear(self, fingerprint: int, success_ms: int) -> bool:
        """Drop crashes before a success; return True if none are left."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        suspect.crashes = {
            incarnation: crash
            for incarnation, crash in suspect.crashes.items()
            if crash.at_ms > success_ms
        }
        if suspect.crashes:
            return False
        self._suspects.pop(fingerprint)
        return True

    def _remove_expired(self) -> None:
        """Remove old suspects, and those with few crashes beyond the cap."""
        now_ms = self._clock.now()
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + _CLEANUP_INTERVAL_MS
        for fingerprint, suspect in list(self._suspects.items()):
            is_quarantined = suspect.crash_count >= QUARANTINE_CRASHES
            ttl_ms = _QUARANTINED_TTL_MS if is_quarantined else _SUSPECT_TTL_MS
            if now_ms - suspect.last_crash_ms > ttl_ms:
                self._suspects.pop(fingerprint)
        excess = len(self._suspects) - _SUSPECTS_MAX
        if excess > 0:
            by_crash_count = sorted(
                self._suspects,
                key=lambda key: self._suspects[key].crash_count,
            )
            for fingerprint in by_crash_count[:excess]:
                self._suspects.pop(fingerprint)
