"""Evidence against requests, and its merging between gateways."""

import itertools
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from seampond.clock import ManualClock
from seampond.quarantine.models import CrashReport
from seampond.quarantine.suspects import QUARANTINE_CRASHES, Suspects

_REQUEST = 7


class SuspectsTest(unittest.TestCase):
    """Crashes that count against a request."""

    def setUp(self) -> None:
        """Start without suspects."""
        self.clock = ManualClock(100_000)
        self.suspects = Suspects(self.clock)

    def test_server_counts_once(self) -> None:
        """Guards against a faulty server that quarantines its requests."""
        for _ in range(20):
            self.suspects.record_crash(_REQUEST, 1, self.clock.now())
            self.clock.advance(50)
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 1)

    def test_success_clears_request(self) -> None:
        """Guards against crashes before the success, reported late."""
        self.suspects.record_crash(_REQUEST, 1, 0)
        reports = self.suspects.list_crash_reports()
        self.clock.advance(1000)
        self.assertTrue(
            self.suspects.record_success(_REQUEST, self.clock.now())
        )
        late = [
            CrashReport(
                crash.fingerprint, crash.incarnation, crash.run_age_ms, 900
            )
            for crash in reports
        ]
        self.suspects.apply_reports(late, {})
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 0)

    def test_gateways_repeat_what_others_have_cleared(self) -> None:
        """Only the gateway that had the success reports it, for a while."""
        self.suspects.record_crash(_REQUEST, 1, self.clock.now())
        other = Suspects(self.clock)
        other.apply_reports(self.suspects.list_crash_reports(), {})
        self.clock.advance(100)
        self.suspects.record_success(_REQUEST, self.clock.now())
        cleared = self.suspects.list_cleared()
        self.assertEqual(cleared, {_REQUEST: 0})
        other.apply_reports([], cleared)
        self.assertEqual(other.count_crashes(_REQUEST), 0)
        self.assertEqual(other.list_cleared(), {})
        self.clock.advance(1000)
        self.assertEqual(self.suspects.list_cleared(), {})

    def test_simultaneous_crashes_count_once(self) -> None:
        """Guards against quarantine of a good request by a power failure."""
        self.suspects.record_success(_REQUEST, self.clock.now())
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

    def test_simultaneous_crashes_count_without_success(self) -> None:
        """Guards against a request without success that counts too little."""
        for incarnation in range(3):
            self.suspects.record_crash(
                _REQUEST, incarnation, self.clock.now() - 30
            )
        self.assertEqual(self.suspects.count_crashes(_REQUEST), 3)

    def test_number_of_suspects_is_bounded(self) -> None:
        """Guards against unbounded memory, and loss of quarantined requests."""
        for incarnation in range(QUARANTINE_CRASHES):
            self.suspects.record_crash(_REQUEST, incarnation, self.clock.now())
        for request in range(100, 5100):
            self.suspects.record_crash(request, 1, self.clock.now())
            self.suspects.record_success(request + 10_000, self.clock.now())
            self.clock.advance(10)
        self.assertLess(len(self.suspects), 1200)
        self.assertLessEqual(len(self.suspects.list_crash_reports()), 64)
        crash_count = self.suspects.count_crashes(_REQUEST)
        self.assertEqual(crash_count, QUARANTINE_CRASHES)

    def test_old_evidence_expires(self) -> None:
        """Guards against evidence that is kept too long or too briefly."""
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


class MergeTest(unittest.TestCase):
    """Reports of several gateways, in any order and repeated."""

    @seed(21)
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_order_and_repetition_are_irrelevant(
        self, draws: st.DataObject
    ) -> None:
        """Guards against gateways that count crashes differently."""
        clock = ManualClock(100_000)
        crashes = draws.draw(
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
        batches = [[crash] for crash in crashes]
        order = draws.draw(st.permutations(batches))
        first, second = Suspects(clock), Suspects(clock)
        for batch in batches:
            first.apply_reports(batch, {})
        for batch in itertools.chain(order, batches):
            second.apply_reports(batch, {})
        self.assertEqual(
            first.count_crashes(_REQUEST), second.count_crashes(_REQUEST)
        )
        for suspects in (first, second):
            suspects.apply_reports([], {_REQUEST: 0})
            suspects.apply_reports(crashes, {})
            self.assertEqual(suspects.count_crashes(_REQUEST), 0)


class RefutedReportTest(unittest.TestCase):
    """One of two gateways knows why a crash does not count."""

    def setUp(self) -> None:
        """Start without suspects."""
        self.clock = ManualClock(100_000)
        self.knowing = Suspects(self.clock)
        self.other = Suspects(self.clock)

    def test_gateway_that_has_not_read_the_row_blames_a_planned_end(
        self,
    ) -> None:
        """Its peer knows that the servers drained, and says so."""
        for incarnation in range(QUARANTINE_CRASHES):
            self.knowing.exits.record_draining(incarnation)
            self.other.record_crash(_REQUEST, incarnation, self.clock.now())
        self.clock.advance(20)
        self._exchange()
        for suspects in (self.knowing, self.other):
            self.assertEqual(suspects.count_crashes(_REQUEST), 0)
        # Nothing is left to report.
        self.clock.advance(5000)
        self.assertEqual(self.other.list_crash_reports(), [])
        self.assertEqual(self.knowing.exits.list_reports(), {})

    def test_row_that_goes_after_a_crash_excuses_it(self) -> None:
        """A server that has crashed is silent, so its row lapses later."""
        for incarnation in range(QUARANTINE_CRASHES):
            self.other.record_crash(_REQUEST, incarnation, self.clock.now())
            self.clock.advance(3000)
            now_ms = self.clock.now()
            for suspects in (self.knowing, self.other):
                suspects.exits.record_removed(incarnation, now_ms)
                suspects.drop_announced(incarnation)
        self._exchange()
        for suspects in (self.knowing, self.other):
            crash_count = suspects.count_crashes(_REQUEST)
            self.assertEqual(crash_count, QUARANTINE_CRASHES)

    def test_gateway_that_missed_the_success_stays_quarantined(self) -> None:
        """It repeats its crashes, and hears again that they are cleared."""
        for incarnation in range(QUARANTINE_CRASHES):
            self.other.record_crash(_REQUEST, incarnation, self.clock.now())
        self._exchange()
        self.clock.advance(100)
        self.knowing.record_success(_REQUEST, self.clock.now())
        # The other one is silent for longer than successes are reported.
        self.clock.advance(60_000)
        self.assertEqual(self.knowing.list_cleared(), {})
        self._exchange()
        self.assertEqual(self.other.count_crashes(_REQUEST), 0)

    def _exchange(self) -> None:
        """Send a heartbeat each way, that of the other gateway first."""
        for sender, receiver in (
            (self.other, self.knowing),
            (self.knowing, self.other),
        ):
            receiver.apply_reports(
                sender.list_crash_reports(),
                sender.list_cleared(),
                sender.exits.list_reports(),
            )
