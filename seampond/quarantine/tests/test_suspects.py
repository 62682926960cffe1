"""The evidence against requests, and how gateways come to the same."""

import itertools
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from seampond.clock import ManualClock
from seampond.quarantine.models import CrashReport
from seampond.quarantine.suspects import QUARANTINE_CRASHES, Suspects

_REQUEST = 7


class SuspectsTest(unittest.TestCase):
    """What counts against a request."""

    def setUp(self) -> None:
        """Know nothing."""
        self.clock = ManualClock(100_000)
        self.suspects = Suspects(self.clock)

    def test_one_server_counts_once(self) -> None:
        """A server that resets all it runs speaks against itself."""
        for _ in range(20):
            self.suspects.record_crash(_REQUEST, 1, self.clock.now())
            self.clock.advance(50)
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 1)

    def test_a_good_answer_clears(self) -> None:
        """And word of an end before it comes too late to count."""
        self.suspects.record_crash(_REQUEST, 1, 0)
        told = self.suspects.list_crash_reports()
        self.clock.advance(1000)
        self.assertTrue(self.suspects.record_success(_REQUEST))
        late = [
            CrashReport(crash.request, crash.incarnation, crash.run_age_ms, 900)
            for crash in told
        ]
        self.suspects.apply_reports(late, {})
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 0)

    def test_a_hall_that_ends_at_once_is_one_strike(self) -> None:
        """For a request that had good answers; all its runs began before."""
        self.suspects.record_success(_REQUEST)
        self.clock.advance(500)
        for incarnation in range(4):
            self.suspects.record_crash(
                _REQUEST, incarnation, self.clock.now() - 30
            )
            self.clock.advance(1)
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 1)
        self.clock.advance(2000)
        self.suspects.record_crash(_REQUEST, 9, self.clock.now() - 30)
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 2)

    def test_ends_at_once_count_where_nothing_speaks_for_it(self) -> None:
        """A request that never had an answer."""
        for incarnation in range(3):
            self.suspects.record_crash(
                _REQUEST, incarnation, self.clock.now() - 30
            )
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 3)

    def test_memory_is_bounded(self) -> None:
        """Requests that are never the same; the gravest are kept."""
        for incarnation in range(QUARANTINE_CRASHES):
            self.suspects.record_crash(_REQUEST, incarnation, self.clock.now())
        for request in range(100, 5100):
            self.suspects.record_crash(request, 1, self.clock.now())
            self.suspects.record_success(request + 10_000)
            self.clock.advance(10)
        self.assertLess(len(self.suspects), 1200)
        self.assertLessEqual(len(self.suspects.list_crash_reports()), 64)
        crash_count = self.suspects.count_crashes(_REQUEST)
        self.assertEqual(crash_count, QUARANTINE_CRASHES)

    def test_old_evidence_is_forgotten(self) -> None:
        """One end after ten minutes, a quarantine after a day."""
        self.suspects.record_crash(1, 1, self.clock.now())
        for incarnation in range(QUARANTINE_CRASHES):
            self.suspects.record_crash(2, incarnation, self.clock.now())
        self.clock.advance(601_000)
        self.suspects.apply_reports([], {})
        self.assertEqual(self.suspects.count_crashes(1), 0)
        self.assertEqual(self.suspects.count_crashes(2), QUARANTINE_CRASHES)
        self.clock.advance(86_400_000)
        self.suspects.apply_reports([], {})
        self.assertEqual(len(self.suspects), 0)


class ToldSuspectsTest(unittest.TestCase):
    """Words of several gateways, in any order, lost or doubled."""

    @seed(21)
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_order_and_repeats_do_not_matter(
        self, drawn: st.DataObject
    ) -> None:
        """Two that hear the same words come to the same strikes."""
        clock = ManualClock(100_000)
        crashes = drawn.draw(
            st.lists(
                st.builds(
                    CrashReport,
                    st.just(_REQUEST),
                    st.integers(0, 3),
                    st.integers(500, 900),
                    st.integers(0, 400),
                ),
                max_size=6,
            )
        )
        words = [[crash] for crash in crashes]
        order = drawn.draw(st.permutations(words))
        first, second = Suspects(clock), Suspects(clock)
        for word in words:
            first.apply_reports(word, {})
        for word in itertools.chain(order, words):
            second.apply_reports(word, {})
        self.assertEqual(
            first.count_crashes(_REQUEST), second.count_crashes(_REQUEST)
        )
        for known in (first, second):
            known.apply_reports([], {_REQUEST: 0})
            known.apply_reports(crashes, {})
            self.assertEqual(known.count_crashes(_REQUEST), 0)
