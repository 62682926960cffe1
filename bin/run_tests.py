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


def list_known_red() -> Mapping[str, str]:
    """Give the known red tests: id and the rest of its line."""
    return parse_list(KNOWN_RED.read_text(encoding='utf-8'))


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Give the single tests of a suite."""
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from flatten(part)
        else:
            yield part


def load_doctests() -> unittest.TestSuite:
    """Collect the doctests of every module outside the tests."""
    suite = unittest.TestSuite()
    for found in pkgutil.walk_packages(seampond.__path__, 'seampond.'):
        if '.tests' in found.name or found.name.endswith('__main__'):
            continue
        module = importlib.import_module(found.name)
        finder = doctest.DocTestFinder(exclude_empty=True)
        suite.addTests(doctest.DocTestSuite(module, test_finder=finder))
    return suite


def collect(pattern: str) -> unittest.TestSuite:
    """Collect all tests whose id holds `pattern`."""
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / 'seampond'), top_level_dir=str(ROOT))
    tests = [*flatten(load_doctests()), *flatten(found)]
    return unittest.TestSuite(test for test in tests if pattern in test.id())


def split_red(
    suite: unittest.TestSuite, known: Mapping[str, str]
) -> unittest.TestSuite:
    """Print the known red tests and give the others."""
    kept = unittest.TestSuite()
    for test in flatten(suite):
        cause = known.get(test.id())
        if cause is None:
            kept.addTest(test)
        else:
            print(f'KNOWN RED, not run: {test.id()}: {cause}')
    return kept


def close(passed: int, failed: int) -> int:
    """Print the closing line and give the exit status."""
    print(f'{passed} passed, {failed} failed')
    return int(failed > 0 or passed == 0)


def run_known_red(pattern: str, known: Mapping[str, str], times: int) -> int:
    """Run the listed tests whose id holds `pattern`; give the exit status."""
    listed = [test_id for test_id in known if pattern in test_id]
    if not listed:
        print(f'{KNOWN_RED.name} lists no test whose id holds {pattern!r}')
        return int(bool(pattern))
    tallies = run_listed(listed, flatten(collect(pattern)), times)
    print(*tallies, sep='\n')
    passing = sum(tally.verdict is Verdict.passing for tally in tallies)
    return close(passing, len(tallies) - passing)


def run_others(pattern: str, known: Mapping[str, str]) -> int:
    """Run all tests that are not listed; give the exit status."""
    suite = split_red(collect(pattern), known)
    runner = unittest.TextTestRunner(verbosity=2 if pattern else 1)
    outcome = runner.run(suite)
    failed = len(outcome.failures) + len(outcome.errors)
    failed += len(outcome.unexpectedSuccesses)
    return close(outcome.testsRun - failed, failed)


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('pattern', nargs='?', default='')
    parser.add_argument('--known-red', action='store_true')
    parser.add_argument('--times', type=int, default=1, metavar='N')
    options = parser.parse_args()
    if options.times < 1:
        parser.error('--times: run each test once at least')
    return options


def main() -> int:
    """Run what was asked for; give the exit status."""
    options = parse_arguments()
    known = list_known_red()
    logging.getLogger('asyncio').setLevel(logging.ERROR)
    # A hung test ends the run with a traceback, never in silence.
    faulthandler.dump_traceback_later(MAX_SECONDS, exit=True)
    if options.known_red:
        return run_known_red(options.pattern, known, options.times)
    return run_others(options.pattern, known)


if __name__ == '__main__':
    sys.exit(main())
