"""Statistical evidence on a version from its answers, per route."""

import enum
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from seampond.rollouts.models import Tally, TallyKey

# Excess share of bad answers, over the old version's, of a bad version.
_EXCESS_BAD_SHARE = 0.2
# Bounds of the baseline.  The lower one keeps a single bad answer from
# rejecting a version if the old one never fails.
_MIN_BASELINE = 0.02
_MAX_BASELINE = 0.7
# Error probabilities on one route: rejecting a version as good as the old one,
# and accepting one that is worse by `_EXCESS_BAD_SHARE`.
_FALSE_BAD = 0.0005
_FALSE_GOOD = 0.01
_BAD_SCORE = math.log((1 - _FALSE_GOOD) / _FALSE_BAD)
_GOOD_SCORE = math.log(_FALSE_GOOD / (1 - _FALSE_BAD))
# With fewer old answers on a route the baseline is that of all routes.
_MIN_BASELINE_ANSWERS = 20
# A route with a smaller share of the answers needs no verdict of its own.
_LARGE_ROUTE_SHARE = 0.05
# Key of the test over all routes.
_ALL_ROUTES = -1
# Further routes are counted together: each tally takes 17 bytes of a heartbeat,
# which must fit into one datagram of 64 KB.
_TALLIES_MAX = 512
_OTHER_ROUTES = 0


@enum.unique
class Verdict(enum.Enum):
    """Verdict on a version by its answers so far."""

    unproved = 'unproved'
    good = 'good'
    bad = 'bad'


@dataclass(slots=True)
class SequentialTest:
    """Sequential test of a version against the old one.

    Explanation
    -----------
    A sequential probability ratio test (Wald, 1945) of "as good as the old
    version" against "worse by a fifth of all answers" decides that a version
    is good.  The cumulative sum of the same ratio since its minimum (Page,
    1954) decides that it is bad, which also detects a late change quickly.

    Parameters
    ----------
    total, lowest : float
        Log-likelihood ratio, and its minimum so far.

    Examples
    --------
    >>> test = SequentialTest()
    >>> test.update(Tally(30, 0), baseline_share=0.0)
    >>> test.is_good, test.is_bad
    (True, False)
    >>> test.update(Tally(8, 5), baseline_share=0.0)
    >>> test.is_good, test.is_bad
    (False, True)

    """

    total: float = 0
    lowest: float = 0

    @property
    def score(self) -> float:
        """Evidence against the version since the minimum."""
        return self.total - self.lowest

    @property
    def is_bad(self) -> bool:
        """Whether the version is worse than the old one."""
        return self.score >= _BAD_SCORE

    @property
    def is_good(self) -> bool:
        """Whether the version is as good, without recent counterevidence."""
        return self.total <= _GOOD_SCORE and not self.is_suspect

    @property
    def is_suspect(self) -> bool:
        """Whether the evidence reaches half of what rejects the version."""
        return self.score >= _BAD_SCORE / 2

    def update(self, added: Tally, baseline_share: float) -> None:
        """Add answers, given the share of bad ones of the old version."""
        baseline = min(_MAX_BASELINE, max(_MIN_BASELINE, baseline_share))
        worse = baseline + _EXCESS_BAD_SHARE
        bad_weight = math.log(worse / baseline)
        good_weight = math.log((1 - worse) / (1 - baseline))
        self.total += added.bad * bad_weight
        self.total += (added.answers - added.bad) * good_weight
        self.lowest = min(self.lowest, self.total)


@dataclass(slots=True)
class _ReportedCounts:
    """The latest counts of another gateway's incarnation."""

    incarnation: int
    tallies: Mapping[TallyKey, Tally]


@dataclass
class Evidence:
    """Answers of both versions since the order, from all gateways.

    Parameters
    ----------
    own : dict[TallyKey, Tally]
        Counts of this gateway, which it reports to the others.
    totals : dict[TallyKey, Tally]
        Counts of all gateways, including those that have stopped.

    """

    own: dict[TallyKey, Tally] = field(default_factory=dict)
    totals: dict[TallyKey, Tally] = field(default_factory=dict)
    _last_counts: dict[str, _ReportedCounts] = field(default_factory=dict)
    _tests: dict[int, SequentialTest] = field(default_factory=dict)

    def record(self, route: int, *, is_new: bool, is_bad: bool) -> None:
        """Count an answer to this gateway."""
        key = TallyKey(route, is_new)
        if key not in self.own and len(self.own) >= _TALLIES_MAX:
            key = TallyKey(_OTHER_ROUTES, is_new)
        added = Tally(1, int(is_bad))
        self.own.setdefault(key, Tally()).add(added)
        self._add(key, added)

    def apply_counts(
        self, name: str, incarnation: int, tallies: Mapping[TallyKey, Tally]
    ) -> None:
        """Add the growth of the counts of another gateway's incarnation."""
        last = self._last_counts.get(name)
        known = last.tallies if last and last.incarnation == incarnation else {}
        for key, tally in tallies.items():
            self._add(key, tally.since(known.get(key, Tally())))
        self._last_counts[name] = _ReportedCounts(incarnation, tallies)

    @property
    def verdict(self) -> Verdict:
        """The verdict on the new version so far."""
        if any(test.is_bad for test in self._tests.values()):
            return Verdict.bad
        needed = [_ALL_ROUTES, *self._list_large_routes()]
        tests = [self._tests.get(route) for route in needed]
        if all(test is not None and test.is_good for test in tests):
            return Verdict.good
        return Verdict.unproved

    @property
    def is_suspect(self) -> bool:
        """Whether the version is suspect on some route."""
        return any(test.is_suspect for test in self._tests.values())

    @property
    def new_answers(self) -> Tally:
        """All answers of the new version."""
        return self._sum_tallies(is_new=True)

    def _add(self, key: TallyKey, added: Tally) -> None:
        if not added.answers:
            return
        self.totals.setdefault(key, Tally()).add(added)
        if key.is_new:
            for route in (key.route, _ALL_ROUTES):
                test = self._tests.setdefault(route, SequentialTest())
                test.update(added, self._baseline_share(key.route))

    def _baseline_share(self, route: int) -> float:
        """Return the old version's share of bad answers on a route.

        Explanation
        -----------
        Its standard error is added, to allow for a baseline of few answers.
        """
        old = self.totals.get(TallyKey(route, is_new=False), Tally())
        if old.answers < _MIN_BASELINE_ANSWERS:
            old = self._sum_tallies(is_new=False)
        if not old.answers:
            return 0
        share = old.bad / old.answers
        return share + math.sqrt(share * (1 - share) / old.answers)

    def _sum_tallies(self, *, is_new: bool) -> Tally:
        total = Tally()
        for key, tally in self.totals.items():
            if key.is_new == is_new:
                total.add(tally)
        return total

    def _list_large_routes(self) -> list[int]:
        """Return the routes that need a verdict of their own."""
        by_route: Counter[int] = Counter()
        for key, tally in self.totals.items():
            by_route[key.route] += tally.answers
        min_count = by_route.total() * _LARGE_ROUTE_SHARE
        return [
            route for route, count in by_route.items() if count >= min_count
        ]
