"""Runs the tests that are listed as known to fail."""

import enum
import unittest
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType


@enum.unique
class Verdict(enum.Enum):
    """The outcome of several runs of a listed test."""

    failing = 'still failing'
    sometimes = 'sometimes failing'
    passing = 'passing'
    not_found = 'no such test'


@dataclass(frozen=True, slots=True)
class Tally:
    """The number of runs and of failed runs of a test."""

    test_id: str
    runs: int
    failed: int

    @property
    def verdict(self) -> Verdict:
        """The verdict from the counts."""
        if not self.runs:
            return Verdict.not_found
        if not self.failed:
            return Verdict.passing
        is_always = self.failed == self.runs
        return Verdict.failing if is_always else Verdict.sometimes

    def __str__(self) -> str:
        """Return the line of the report.

        Examples
        --------
        >>> print(Tally('pkg.tests.CaseTest.test_it', 10, 3))
        pkg.tests.CaseTest.test_it: sometimes failing (3 of 10 runs failed)

        """
        verdict = self.verdict.value
        counts = f'{self.failed} of {self.runs} runs failed'
        return f'{self.test_id}: {verdict} ({counts})'


def parse_list(text: str) -> Mapping[str, str]:
    """Return the rest of each line of the list, by test id.

    Examples
    --------
    >>> parse_list('pkg.CaseTest.test_it, fails at 8: `run it`; issue 7')
    mappingproxy({'pkg.CaseTest.test_it': 'fails at 8: `run it`; issue 7'})

    """
    rows = [line.partition(',') for line in text.splitlines() if line.strip()]
    return MappingProxyType(
        {name.strip(): rest.strip() for name, _, rest in rows}
    )


def run_listed(
    listed: Iterable[str], tests: Iterable[unittest.TestCase], times: int
) -> list[Tally]:
    """Run each listed test `times` times.

    Parameters
    ----------
    tests : Iterable[unittest.TestCase]
        All tests of the project.

    """
    by_id = {test.id(): test for test in tests}
    return [
        _run_repeatedly(test_id, by_id.get(test_id), times)
        for test_id in listed
    ]


def _run_repeatedly(
    test_id: str, test: unittest.TestCase | None, times: int
) -> Tally:
    if test is None:
        return Tally(test_id, 0, 0)
    failed = 0
    for _ in range(times):
        # A suite also sets up the class of the test.
        suite = unittest.TestSuite([_copy(test)])
        outcome = unittest.TextTestRunner(verbosity=2).run(suite)
        failed += not outcome.wasSuccessful()
    return Tally(test_id, times, failed)


def _copy(test: unittest.TestCase) -> unittest.TestCase:
    """Return a fresh instance of a test."""
    name = test.id().rpartition('.')[2]
    return type(test)(name)
