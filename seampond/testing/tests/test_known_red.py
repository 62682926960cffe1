"""Tests of running the tests that are known to fail."""

import itertools
import unittest

from seampond.testing.known_red import Verdict, parse_list, run_listed

_TIMES = 4


class _Case(unittest.TestCase):
    """Stands for the project's tests; its name keeps it uncollected."""

    counter = itertools.count()
    is_set_up = False

    @classmethod
    def setUpClass(cls) -> None:
        """Set up what the tests of the class need."""
        cls.is_set_up = True

    def check_set_up(self) -> None:
        """Fail without the set-up of the class."""
        self.assertTrue(self.is_set_up)

    def check_failing(self) -> None:
        """Fail always."""
        self.fail()

    def check_raising(self) -> None:
        """End with an error always."""
        raise OSError

    def check_sometimes(self) -> None:
        """Fail every other time."""
        self.assertTrue(next(self.counter) % 2)

    def check_passing(self) -> None:
        """Pass always."""
        self.assertTrue(self.counter)


class KnownRedTest(unittest.TestCase):
    """Guards against listed tests that are skipped or misreported."""

    def run_test(self, test: unittest.TestCase) -> Verdict:
        """Run a test and return its verdict."""
        tally = run_listed([test.id()], [test], _TIMES)[0]
        self.assertEqual(tally.runs, _TIMES)
        return tally.verdict

    def test_each_verdict(self) -> None:
        """Errors count as failures."""
        for name, verdict in (
            ('check_failing', Verdict.failing),
            ('check_raising', Verdict.failing),
            ('check_sometimes', Verdict.sometimes),
            ('check_passing', Verdict.passing),
        ):
            with self.subTest(name):
                self.assertIs(self.run_test(_Case(name)), verdict)

    def test_listed_test_runs_without_the_setup_of_its_class(self) -> None:
        """Tests on virtual time then run on real time."""
        verdict = self.run_test(_Case('check_set_up'))
        self.assertIs(verdict, Verdict.passing)

    def test_entry_without_a_test(self) -> None:
        """It is reported as missing, not as passing."""
        tally = run_listed(['pkg.test_gone'], [], _TIMES)[0]
        self.assertIs(tally.verdict, Verdict.not_found)

    def test_commas_in_an_entry(self) -> None:
        """Only the first comma ends the test id."""
        listed = parse_list('pkg.test_it, a, b\n\npkg.test_other, c\n')
        self.assertEqual(
            dict(listed), {'pkg.test_it': 'a, b', 'pkg.test_other': 'c'}
        )
