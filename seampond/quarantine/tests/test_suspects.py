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
            self.suspects.note_end(_REQUEST, 1, self.clock.now())
            self.clock.advance(50)
        self.assertEqual(self.suspects.count_strikes(_REQUEST), 1)

    def test_a_good_answer_clears(self) -> None:
        """And word of an end before it comes too late to count."""
        self.suspects.note_end(_REQUEST, 1, 0)
        told = self.suspects.tell_ends()
        self.clock.advance(1000)
        self.assertTrue(self.suspects.note_good(_REQUEST))
        late = [
            CrashReport(end.request, end.life, end.started_ago_ms, 900)
            for end in told
        ]
        self.suspects.take(late, {})
        self.assertEqual(self.suspects.count_strikes(_REQUEST), 0)

    def test_a_hall_that_ends_at_once_is_one_strike(self) -> None:
        """For a request that had good answers; all its runs began before."""
        self.suspects.note_good(_REQUEST)
        self.clock.advance(500)
        for life in range(4):
            self.suspects.note_end(_REQUEST, life, self.clock.now() - 30)
            self.clock.advance(1)
        self.assertEqual(self.suspects.count_strikes(_REQUEST), 1)
        self.clock.advance(2000)
        self.suspects.note_end(_REQUEST, 9, self.clock.now() - 30)
        self.assertEqual(self.suspects.count_strikes(_REQUEST), 2)

    def test_ends_at_once_count_where_nothing_speaks_for_it(self) -> None:
        """A request that never had an answer."""
        for life in range(3):
            self.suspects.note_end(_REQUEST, life, self.clock.now() - 30)
        self.assertEqual(self.suspects.count_strikes(_REQUEST), 3)

    def test_memory_is_bounded(self) -> None:
        """Requests that are never the same; the gravest are kept."""
        for life in range(QUARANTINE_CRASHES):
            self.suspects.note_end(_REQUEST, life, self.clock.now())
        for request in range(100, 5100):
            self.suspects.note_end(request, 1, self.clock.now())
            self.suspects.note_good(request + 10_000)
            self.clock.advance(10)
        self.assertLess(len(self.suspects), 1200)
        self.assertLessEqual(len(self.suspects.tell_ends()), 64)
        strikes = self.suspects.count_strikes(_REQUEST)
        self.assertEqual(strikes, QUARANTINE_CRASHES)

    def test_old_evidence_is_forgotten(self) -> None:
        """One end after ten minutes, a quarantine after a day."""
        self.suspects.note_end(1, 1, self.clock.now())
        for life in range(QUARANTINE_CRASHES):
            self.suspects.note_end(2, life, self.clock.now())
        self.clock.advance(601_000)
        self.suspects.take([], {})
        self.assertEqual(self.suspects.count_strikes(1), 0)
        self.assertEqual(self.suspects.count_strikes(2), QUARANTINE_CRASHES)
        self.clock.advance(86_400_000)
        self.suspects.take([], {})
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
        ends = drawn.draw(
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
        words = [[end] for end in ends]
        order = drawn.draw(st.permutations(words))
        first, second = Suspects(clock), Suspects(clock)
        for word in words:
            first.take(word, {})
        for word in itertools.chain(order, words):
            second.take(word, {})
        self.assertEqual(
            first.count_strikes(_REQUEST), second.count_strikes(_REQUEST)
        )
        for known in (first, second):
            known.take([], {_REQUEST: 0})
            known.take(ends, {})
            self.assertEqual(known.count_strikes(_REQUEST), 0)
