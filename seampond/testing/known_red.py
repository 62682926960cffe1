"""The list of tests that are known to fail, and what runs of them show."""

import enum
import unittest
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType


@enum.unique
class Verdict(enum.Enum):
    """What some runs of one listed test have shown."""

    failing = 'still failing'
    sometimes = 'sometimes failing'
    passing = 'passing'
    not_found = 'no such test'


@dataclass(frozen=True, slots=True)
class Tally:
    """How often one test was run and failed."""

    test_id: str
    runs: int
    failed: int

    @property
    def verdict(self) -> Verdict:
        """What that shows."""
        if not self.runs:
            return Verdict.not_found
        if not self.failed:
            return Verdict.passing
        is_always = self.failed == self.runs
        return Verdict.failing if is_always else Verdict.sometimes

    def __str__(self) -> str:
        """Give the line of the report.

        Examples
        --------
        >>> print(Tally('pkg.tests.CaseTest.test_it', 10, 3))
        pkg.tests.CaseTest.test_it: sometimes failing (3 of 10 runs failed)

        """
        verdict = self.verdict.value
        counts = f'{self.failed} of {self.runs} runs failed'
        return f'{self.test_id}: {verdict} ({counts})'


def parse_list(text: str) -> Mapping[str, str]:
    """Read the list: the id of each test and the rest of its line.

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
    """Run each listed test some times.

    Parameters
    ----------
    tests : Iterable[unittest.TestCase]
        All tests that there are.

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
        outcome = unittest.TextTestRunner(verbosity=2).run(_copy(test))
        failed += not outcome.wasSuccessful()
    return Tally(test_id, times, failed)


def _copy(test: unittest.TestCase) -> unittest.TestCase:
    """Give a test that has not run yet."""
    name = test.id().rpartition('.')[2]
    return type(test)(name)
