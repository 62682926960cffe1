"""Run doctests and unit tests; pass over what KNOWN-RED.txt lists.

With --known-red run only the listed tests and tell which still fail.
"""

import argparse
import doctest
import faulthandler
import importlib
import logging
import pkgutil
import sys
import unittest
from collections.abc import Iterator, Mapping
from pathlib import Path

import seampond
from seampond.testing.known_red import Verdict, parse_list, run_listed

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MAX_SECONDS = 1800


def read_known_red() -> Mapping[str, str]:
    """Return the tests listed in KNOWN-RED.txt with their causes."""
    return parse_list(KNOWN_RED.read_text(encoding='utf-8'))


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a nested suite."""
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from flatten(part)
        else:
            yield part


def load_doctests() -> unittest.TestSuite:
    """Collect the doctests of all modules except tests."""
    suite = unittest.TestSuite()
    for discovered in pkgutil.walk_packages(seampond.__path__, 'seampond.'):
        if '.tests' in discovered.name or discovered.name.endswith('__main__'):
            continue
        module = importlib.import_module(discovered.name)
        finder = doctest.DocTestFinder(exclude_empty=True)
        suite.addTests(doctest.DocTestSuite(module, test_finder=finder))
    return suite


def collect(pattern: str) -> unittest.TestSuite:
    """Collect all tests whose id contains `pattern`."""
    loader = unittest.TestLoader()
    discovered = loader.discover(
        str(ROOT / 'seampond'), top_level_dir=str(ROOT)
    )
    tests = [*flatten(load_doctests()), *flatten(discovered)]
    return unittest.TestSuite(test for test in tests if pattern in test.id())


def exclude_known_red(
    suite: unittest.TestSuite, known_red: Mapping[str, str]
) -> unittest.TestSuite:
    """Print the known red tests and return a suite of the others."""
    remaining = unittest.TestSuite()
    for test in flatten(suite):
        cause = known_red.get(test.id())
        if cause is None:
            remaining.addTest(test)
        else:
            print(f'KNOWN RED, not run: {test.id()}: {cause}')
    return remaining


def print_summary(passed: int, failed: int) -> int:
    """Print the summary line and return the exit status."""
    print(f'{passed} passed, {failed} failed')
    return int(failed > 0 or passed == 0)


def run_known_red(
    pattern: str, known_red: Mapping[str, str], times: int
) -> int:
    """Run the listed tests matching `pattern` and return the exit status."""
    listed = [test_id for test_id in known_red if pattern in test_id]
    if not listed:
        print(f'{KNOWN_RED.name} lists no test whose id holds {pattern!r}')
        return int(bool(pattern))
    tallies = run_listed(listed, flatten(collect(pattern)), times)
    print(*tallies, sep='\n')
    passing = sum(tally.verdict is Verdict.passing for tally in tallies)
    return print_summary(passing, len(tallies) - passing)


def run_others(pattern: str, known_red: Mapping[str, str]) -> int:
    """Run all tests that are not listed and return the exit status."""
    suite = exclude_known_red(collect(pattern), known_red)
    runner = unittest.TextTestRunner(verbosity=2 if pattern else 1)
    outcome = runner.run(suite)
    failed = len(outcome.failures) + len(outcome.errors)
    failed += len(outcome.unexpectedSuccesses)
    return print_summary(outcome.testsRun - failed, failed)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pattern', nargs='?', default='')
    parser.add_argument('--known-red', action='store_true')
    parser.add_argument('--times', type=int, default=1, metavar='N')
    options = parser.parse_args()
    if options.times < 1:
        parser.error('--times: run each test once at least')
    return options


def main() -> int:
    """Run the selected tests and return the exit status."""
    options = parse_arguments()
    known_red = read_known_red()
    logging.getLogger('asyncio').setLevel(logging.ERROR)
    # A hung test ends the run with a traceback of all threads.
    faulthandler.dump_traceback_later(MAX_SECONDS, exit=True)
    if options.known_red:
        return run_known_red(options.pattern, known_red, options.times)
    return run_others(options.pattern, known_red)


if __name__ == '__main__':
    sys.exit(main())
