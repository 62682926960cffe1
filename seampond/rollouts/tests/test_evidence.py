"""When a version counts as good, and when as bad."""

import random
import unittest

from seampond.rollouts.evidence import Evidence, Verdict
from seampond.rollouts.models import Tally, TallyKey
from seampond.testing.rollouts import ROUTE, Answers

_OTHER_ROUTE = 2
_TRIALS = 300


def play(
    usual: float, part: float, most: int = 400, seed: int = 0
) -> tuple[Verdict, int]:
    """Let both versions answer; give the verdict and the bad answers."""
    rng = random.Random(seed)
    evidence = Evidence()
    for _ in range(60):
        evidence.record(ROUTE, is_new=False, is_bad=rng.random() < usual)
    for _ in range(most):
        evidence.record(ROUTE, is_new=False, is_bad=rng.random() < usual)
        evidence.record(ROUTE, is_new=True, is_bad=rng.random() < part)
        if evidence.verdict is not Verdict.unproved:
            break
    return evidence.verdict, evidence.new_answers.bad


class EvidenceTest(unittest.TestCase):
    """Answers of both versions, in the same seconds."""

    def test_version_as_good_as_the_old_one_is_proved(self) -> None:
        """Also where the old one fails every seventh time."""
        for usual in (0, 0.02, 0.14):
            found = [
                play(usual, usual, seed=seed)[0] for seed in range(_TRIALS)
            ]
            with self.subTest(usual=usual):
                self.assertLessEqual(found.count(Verdict.bad), 3)
                self.assertGreaterEqual(found.count(Verdict.good), 290)

    def test_bad_version_is_found_before_fifty_bad_answers(self) -> None:
        """Nobody is to send there a while after the fiftieth."""
        for usual, part in ((0, 0.3), (0.02, 0.4), (0.14, 0.5)):
            ends = [play(usual, part, seed=seed) for seed in range(_TRIALS)]
            found = [bad for verdict, bad in ends if verdict is Verdict.bad]
            with self.subTest(usual=usual, part=part):
                self.assertGreater(len(found), 290)
                self.assertLess(max(found), 50)

    def test_bad_version_is_seldom_called_good(self) -> None:
        """By the error that is allowed, and some luck."""
        found = [play(0.02, 0.3, seed=seed)[0] for seed in range(_TRIALS)]
        self.assertLessEqual(found.count(Verdict.good), 6)

    def test_version_that_turns_bad_is_found_as_fast(self) -> None:
        """A thousand good answers do not speak for what comes after."""
        evidence = Evidence()
        good = Answers(Tally(1000, 10), Tally(1000, 10))
        evidence.apply_counts('a', 1, good.as_tallies())
        self.assertIs(evidence.verdict, Verdict.good)
        turned = Answers(Tally(1020, 10), Tally(1020, 18))
        evidence.apply_counts('a', 1, turned.as_tallies())
        self.assertIs(evidence.verdict, Verdict.bad)

    def test_one_bad_route_is_enough(self) -> None:
        """All the others are good."""
        evidence = Evidence()
        whole = Answers(Tally(900, 9), Tally(300, 3))
        evidence.apply_counts('a', 1, whole.as_tallies())
        part = Answers(Tally(60, 0), Tally(20, 9))
        evidence.apply_counts('b', 1, part.as_tallies(_OTHER_ROUTE))
        self.assertIs(evidence.verdict, Verdict.bad)

    def test_large_route_without_answers_is_not_proved(self) -> None:
        """It may be the one that is bad."""
        evidence = Evidence()
        whole = Answers(Tally(900, 9), Tally(300, 3))
        evidence.apply_counts('a', 1, whole.as_tallies())
        evidence.apply_counts(
            'a2', 1, {TallyKey(_OTHER_ROUTE, is_new=False): Tally(200, 0)}
        )
        self.assertIs(evidence.verdict, Verdict.unproved)

    def test_counts_that_come_twice_or_anew_count_once(self) -> None:
        """A gateway tells its whole count each time; a new life begins at 0."""
        evidence = Evidence()
        first = Answers(Tally(10, 0), Tally(4, 1))
        for _ in range(2):
            evidence.apply_counts('a', 1, first.as_tallies())
        self.assertEqual(evidence.new_answers, Tally(4, 1))
        second = Answers(Tally(1, 0), Tally(2, 0))
        evidence.apply_counts('a', 2, second.as_tallies())
        self.assertEqual(evidence.new_answers, Tally(6, 1))

    def test_counts_of_many_routes_fit_into_a_heartbeat(self) -> None:
        """A configuration may have thousands of routes."""
        evidence = Evidence()
        for route in range(1, 3000):
            evidence.record(route, is_new=True, is_bad=False)
        self.assertLess(len(evidence.own), 520)
        self.assertEqual(evidence.new_answers.answers, 2999)
