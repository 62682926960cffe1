"""Whether a version is proved good or bad by its answers, route by route."""

import enum
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from seampond.rollouts.models import Tally, TallyKey

# Bad answers beyond the old version's part of them that make a version bad.
_WORSE_PART = 0.2
# With less an old version that never fails would damn a new one for one answer.
_LEAST_PART = 0.02
_MOST_PART = 0.7
# The chance to call a version bad on one route that is as good as the old one,
# and to call one good that is worse by `_WORSE_PART`.
_FALSE_BAD = 0.0005
_FALSE_GOOD = 0.01
_BAD_SCORE = math.log((1 - _FALSE_GOOD) / _FALSE_BAD)
_GOOD_SCORE = math.log(_FALSE_GOOD / (1 - _FALSE_BAD))
# Old answers of a route that tell its usual part of bad ones; with fewer, what
# is usual on all routes counts.
_FEW_ANSWERS = 20
# A route with a smaller part of the answers is judged with all others.
_LEAST_ROUTE_PART = 0.05
# All routes together, beside the keys of the routes.
_ALL = -1
# Beyond so many routes the rest is counted together: a heartbeat tells 17 bytes
# for each count, and has to fit into one datagram of 64 KB.
_COUNTS_MAX = 512
_OTHERS = 0


@enum.unique
class Verdict(enum.Enum):
    """What the answers of a version say of it so far."""

    unproved = 'unproved'
    good = 'good'
    bad = 'bad'


@dataclass(slots=True)
class SequentialTest:
    """Compares a version with the old one after each few answers.

    Explanation
    -----------
    The sequential probability ratio test of "as good as the old one" against
    "worse by a fifth of all answers" (Wald, 1945) says when a version is
    proved good.  It is called bad by the same ratio since its lowest point
    (Page's cumulative sum, 1954), so that one that turns bad later on is
    found as fast as one that was bad from the start.

    Parameters
    ----------
    total, lowest : float
        The logarithm of the likelihood ratio, now and at its least.

    Examples
    --------
    >>> test = SequentialTest()
    >>> test.update(Tally(30, 0), usual_part=0.0)
    >>> test.is_good, test.is_bad
    (True, False)
    >>> test.update(Tally(8, 5), usual_part=0.0)
    >>> test.is_good, test.is_bad
    (False, True)

    """

    total: float = 0
    lowest: float = 0

    @property
    def score(self) -> float:
        """How much speaks against the version since its best moment."""
        return self.total - self.lowest

    @property
    def is_bad(self) -> bool:
        """Whether the version is worse here."""
        return self.score >= _BAD_SCORE

    @property
    def is_good(self) -> bool:
        """Whether it is as good, and nothing of late says otherwise."""
        return self.total <= _GOOD_SCORE and not self.is_suspect

    @property
    def is_suspect(self) -> bool:
        """Whether half of what is needed speaks against it."""
        return self.score >= _BAD_SCORE / 2

    def update(self, fresh: Tally, usual_part: float) -> None:
        """Take new answers; `usual_part` of the old version's are bad."""
        usual = min(_MOST_PART, max(_LEAST_PART, usual_part))
        worse = usual + _WORSE_PART
        for_bad = math.log(worse / usual)
        for_good = math.log((1 - worse) / (1 - usual))
        self.total += fresh.bad * for_bad
        self.total += (fresh.answers - fresh.bad) * for_good
        self.lowest = min(self.lowest, self.total)


@dataclass(slots=True)
class _Told:
    """The newest count of one life of a gateway."""

    life: int
    tallies: Mapping[TallyKey, Tally]


@dataclass
class Evidence:
    """All gateways' answers of both versions since the order.

    Parameters
    ----------
    own : dict[TallyKey, Tally]
        What this gateway has counted, which it tells the others.
    totals : dict[TallyKey, Tally]
        What all have counted, also those that are gone.

    """

    own: dict[TallyKey, Tally] = field(default_factory=dict)
    totals: dict[TallyKey, Tally] = field(default_factory=dict)
    _told: dict[str, _Told] = field(default_factory=dict)
    _tests: dict[int, SequentialTest] = field(default_factory=dict)

    def record(self, route: int, *, is_new: bool, is_bad: bool) -> None:
        """Count one answer of ours."""
        key = TallyKey(route, is_new)
        if key not in self.own and len(self.own) >= _COUNTS_MAX:
            key = TallyKey(_OTHERS, is_new)
        fresh = Tally(1, int(is_bad))
        self.own.setdefault(key, Tally()).add(fresh)
        self._add(key, fresh)

    def apply_counts(
        self, name: str, life: int, tallies: Mapping[TallyKey, Tally]
    ) -> None:
        """Take what another gateway has counted in one life of it."""
        before = self._told.get(name)
        known = before.tallies if before and before.life == life else {}
        for key, tally in tallies.items():
            self._add(key, tally.since(known.get(key, Tally())))
        self._told[name] = _Told(life, tallies)

    @property
    def verdict(self) -> Verdict:
        """What the answers say so far."""
        if any(test.is_bad for test in self._tests.values()):
            return Verdict.bad
        needed = [_ALL, *self._list_large()]
        tests = [self._tests.get(route) for route in needed]
        if all(test is not None and test.is_good for test in tests):
            return Verdict.good
        return Verdict.unproved

    @property
    def is_suspect(self) -> bool:
        """Whether much speaks against the version on some route."""
        return any(test.is_suspect for test in self._tests.values())

    @property
    def new_answers(self) -> Tally:
        """All answers of the new version."""
        return self._sum(is_new=True)

    def _add(self, key: TallyKey, fresh: Tally) -> None:
        if not fresh.answers:
            return
        self.totals.setdefault(key, Tally()).add(fresh)
        if key.is_new:
            for route in (key.route, _ALL):
                test = self._tests.setdefault(route, SequentialTest())
                test.update(fresh, self._usual_part(key.route))

    def _usual_part(self, route: int) -> float:
        """Give the part of bad answers of the old version on a route.

        Explanation
        -----------
        With its standard error on top: of 300 versions that failed as often as
        the old one, 0.14 of all answers, 6 were called bad without it.
        """
        old = self.totals.get(TallyKey(route, is_new=False), Tally())
        if old.answers < _FEW_ANSWERS:
            old = self._sum(is_new=False)
        if not old.answers:
            return 0
        part = old.bad / old.answers
        return part + math.sqrt(part * (1 - part) / old.answers)

    def _sum(self, *, is_new: bool) -> Tally:
        whole = Tally()
        for key, tally in self.totals.items():
            if key.is_new == is_new:
                whole.add(tally)
        return whole

    def _list_large(self) -> list[int]:
        """Give the routes that have to be proved by themselves."""
        by_route: Counter[int] = Counter()
        for key, tally in self.totals.items():
            by_route[key.route] += tally.answers
        least = by_route.total() * _LEAST_ROUTE_PART
        return [route for route, count in by_route.items() if count >= least]
