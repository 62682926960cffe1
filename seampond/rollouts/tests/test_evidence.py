"""Verdicts on versions that are as good as, or worse than, the old one."""

import random
import unittest

from seampond.rollouts.evidence import Evidence, Verdict
from seampond.rollouts.models import Tally, TallyKey
from seampond.testing.rollouts import ROUTE, VersionTallies

_OTHER_ROUTE = 2
_SEED_COUNT = 300


def simulate(
    old_bad_share: float,
    new_bad_share: float,
    max_answers: int = 400,
    seed: int = 0,
) -> tuple[Verdict, int]:
    """Simulate both versions; return the verdict and the bad answers."""
    rng = random.Random(seed)
    evidence = Evidence()
    for _ in range(60):
        evidence.record(
            ROUTE, is_new=False, is_bad=rng.random() < old_bad_share
        )
    for _ in range(max_answers):
        evidence.record(
            ROUTE, is_new=False, is_bad=rng.random() < old_bad_share
        )
        evidence.record(ROUTE, is_new=True, is_bad=rng.random() < new_bad_share)
        if evidence.verdict is not Verdict.unproved:
            break
    return evidence.verdict, evidence.new_answers.bad


class EvidenceTest(unittest.TestCase):
    """Verdicts by the answers of both versions."""

    def test_equally_good_version_is_proved(self) -> None:
        """Guards against a rejection for failures of the old version too."""
        for old_bad_share in (0, 0.02, 0.14):
            verdicts = [
                simulate(old_bad_share, old_bad_share, seed=seed)[0]
                for seed in range(_SEED_COUNT)
            ]
            with self.subTest(old_bad_share=old_bad_share):
                self.assertLessEqual(verdicts.count(Verdict.bad), 3)
                self.assertGreaterEqual(verdicts.count(Verdict.good), 290)

    def test_bad_version_is_rejected_early(self) -> None:
        """Guards against a verdict after the fiftieth bad answer."""
        for old_bad_share, new_bad_share in (
            (0, 0.3),
            (0.02, 0.4),
            (0.14, 0.5),
        ):
            outcomes = [
                simulate(old_bad_share, new_bad_share, seed=seed)
                for seed in range(_SEED_COUNT)
            ]
            verdicts = [
                bad for verdict, bad in outcomes if verdict is Verdict.bad
            ]
            with self.subTest(
                old_bad_share=old_bad_share, new_bad_share=new_bad_share
            ):
                self.assertGreater(len(verdicts), 290)
                self.assertLess(max(verdicts), 50)

    def test_bad_version_is_rarely_accepted(self) -> None:
        """Guards against more wrong verdicts than the test allows."""
        verdicts = [
            simulate(0.02, 0.3, seed=seed)[0] for seed in range(_SEED_COUNT)
        ]
        self.assertLessEqual(verdicts.count(Verdict.good), 6)

    def test_late_failures_are_detected(self) -> None:
        """Guards against early good answers that hide later failures."""
        evidence = Evidence()
        good = VersionTallies(Tally(1000, 10), Tally(1000, 10))
        evidence.apply_counts('a', 1, good.as_tallies())
        self.assertIs(evidence.verdict, Verdict.good)
        later = VersionTallies(Tally(1020, 10), Tally(1020, 18))
        evidence.apply_counts('a', 1, later.as_tallies())
        self.assertIs(evidence.verdict, Verdict.bad)

    def test_one_bad_route_rejects_version(self) -> None:
        """Guards against good routes that hide a bad one."""
        evidence = Evidence()
        first_route = VersionTallies(Tally(900, 9), Tally(300, 3))
        evidence.apply_counts('a', 1, first_route.as_tallies())
        new_bad_share = VersionTallies(Tally(60, 0), Tally(20, 9))
        evidence.apply_counts('b', 1, new_bad_share.as_tallies(_OTHER_ROUTE))
        self.assertIs(evidence.verdict, Verdict.bad)

    def test_large_route_without_answers_is_unproved(self) -> None:
        """Guards against accepting a version that is untested on a route."""
        evidence = Evidence()
        first_route = VersionTallies(Tally(900, 9), Tally(300, 3))
        evidence.apply_counts('a', 1, first_route.as_tallies())
        evidence.apply_counts(
            'a2', 1, {TallyKey(_OTHER_ROUTE, is_new=False): Tally(200, 0)}
        )
        self.assertIs(evidence.verdict, Verdict.unproved)

    def test_repeated_counts_are_added_once(self) -> None:
        """Guards against totals that are added again, also after a restart."""
        evidence = Evidence()
        first = VersionTallies(Tally(10, 0), Tally(4, 1))
        for _ in range(2):
            evidence.apply_counts('a', 1, first.as_tallies())
        self.assertEqual(evidence.new_answers, Tally(4, 1))
        second = VersionTallies(Tally(1, 0), Tally(2, 0))
        evidence.apply_counts('a', 2, second.as_tallies())
        self.assertEqual(evidence.new_answers, Tally(6, 1))

    def test_number_of_tallies_is_bounded(self) -> None:
        """Guards against a heartbeat that exceeds a datagram."""
        evidence = Evidence()
        for route in range(1, 3000):
            evidence.record(route, is_new=True, is_bad=False)
        self.assertLess(len(evidence.own), 520)
        self.assertEqual(evidence.new_answers.answers, 2999)
