"""How one gateway carries out one order."""

import unittest
from collections.abc import Mapping

from seampond.rollouts import Report, RolloutManager, Stage, State, Status, Step
from seampond.rollouts.exposure import Exposure
from seampond.rollouts.latency import LatencySample
from seampond.rollouts.manager import ExposureLimits
from seampond.rollouts.models import Change, Tally
from seampond.rollouts.rollout import Rollout
from seampond.testing.rollouts import (
    NEW,
    OLD,
    POOL,
    ROUTE,
    Answers,
    StubBackend,
    build_order,
    build_stub_backends,
)

_GOOD = Answers(Tally(400, 4), Tally(60, 0))
_BAD = Answers(Tally(400, 4), Tally(20, 12))


def list_versions(groups: tuple[list[StubBackend], ...]) -> list[set[str]]:
    """Give the versions in each group."""
    return [{backend.server.version for backend in group} for group in groups]


class StageTest(unittest.TestCase):
    """The stages, by evidence and time."""

    def setUp(self) -> None:
        """Order a version of which four servers stand beside four others."""
        self.backends = build_stub_backends()
        self.rollout = Rollout(build_order(), Exposure(0.1, 5), 0)

    def evaluate(self, now_ms: int) -> Stage:
        """Decide, and give the stage."""
        counted = self.rollout.count_servers(self.backends)
        self.rollout.evaluate(now_ms, counted)
        return self.rollout.stage

    def test_few_requests_go_to_few_servers_at_first(self) -> None:
        """So that these carry a load; one that was sent before goes not."""
        first = self.rollout.group_backends(self.backends, 100, 0.5)
        self.assertEqual(list_versions(first), [{NEW}, {OLD}])
        self.assertEqual(len(first[0]), 1)
        again = self.rollout.group_backends(self.backends, 100, None)
        self.assertEqual(list_versions(again), [{OLD}])
        self.rollout.exposure.exposed = 50
        self.rollout.exposure.sent = 100
        spent = self.rollout.group_backends(self.backends, 100, 0)
        self.assertEqual(list_versions(spent), [{OLD}])

    def test_proved_version_takes_more_and_more(self) -> None:
        """But not in the first quarter of the time: some turn bad later."""
        self.rollout.evidence.apply_counts('a', 1, _GOOD.as_tallies())
        self.evaluate(1000)
        self.assertEqual(self.rollout.traffic_share(1000), 0)
        self.evaluate(3000)
        self.assertEqual(self.rollout.traffic_share(3000), 0.1)
        self.assertEqual(self.rollout.traffic_share(3900), 0.4)
        self.assertIs(self.evaluate(4700), Stage.moved)
        groups = self.rollout.group_backends(self.backends, 4700, None)
        self.assertEqual(list_versions(groups), [{NEW}, {OLD}])

    def test_bad_version_gets_nothing(self) -> None:
        """From any moment of the trial or of the rise on, for good."""
        for at_ms in (500, 4000, 20_000):
            with self.subTest(at_ms=at_ms):
                self.setUp()
                self.evaluate(at_ms)
                self.rollout.evidence.apply_counts('a', 1, _BAD.as_tallies())
                self.assertIs(self.evaluate(at_ms + 1), Stage.refused)
                groups = self.rollout.group_backends(self.backends, at_ms, 0)
                self.assertEqual(list_versions(groups), [{OLD}])

    def test_few_answers_without_a_bad_one_are_trusted_late(self) -> None:
        """Else a pool with little work would never get its new version."""
        few = Answers(Tally(40, 0), Tally(5, 0))
        self.rollout.evidence.apply_counts('a', 1, few.as_tallies())
        self.evaluate(5900)
        self.assertIsNone(self.rollout.proved_ms)
        self.evaluate(6000)
        self.assertEqual(self.rollout.proved_ms, 6000)

    def test_version_without_servers_is_given_up_in_the_end(self) -> None:
        """Nothing can move there."""
        self.backends = build_stub_backends(new=0)
        self.evaluate(11_000)
        self.assertFalse(self.rollout.is_rejected)
        self.evaluate(12_001)
        self.assertTrue(self.rollout.is_rejected)

    def test_version_that_serves_alone_has_moved(self) -> None:
        """An order for what is there already."""
        self.backends = build_stub_backends(old=0)
        self.assertIs(self.evaluate(10), Stage.moved)

    def test_too_few_new_servers_do_not_take_all(self) -> None:
        """The old ones would stop with half of the work waiting."""
        self.backends = build_stub_backends(old=6, new=1)
        self.rollout.evidence.apply_counts('a', 1, _GOOD.as_tallies())
        self.evaluate(3000)
        self.assertIs(self.evaluate(9000), Stage.trial)

    def test_closed_gateway_goes_back_by_the_stores_word_alone(self) -> None:
        """The old servers may have been told to stop."""
        step = Step(10, is_closing=True, since_ms=0, version=12)
        self.rollout.apply_step(step)
        self.rollout.evidence.apply_counts('a', 1, _BAD.as_tallies())
        self.assertIs(self.evaluate(5000), Stage.closed)
        groups = self.rollout.group_backends(self.backends, 5000, 0.5)
        self.assertEqual(list_versions(groups), [{NEW}])
        self.assertIs(
            self.rollout.build_report(1, self.counted).stage, Stage.refused
        )
        self.rollout.apply_status(Status(State.rolled_back, NEW, 13))
        groups = self.rollout.group_backends(self.backends, 5000, 0.5)
        self.assertEqual(list_versions(groups), [{OLD}])

    @property
    def counted(self):  # type: ignore[no-untyped-def]
        """The servers as they are counted."""
        return self.rollout.count_servers(self.backends)


class DeskTest(unittest.TestCase):
    """What is written of orders, and when."""

    def setUp(self) -> None:
        """Know one other gateway and no order."""
        self.backends = build_stub_backends()
        self.others: list[Mapping[int, Report]] | None = []
        self.pools = {POOL}
        self.manager = RolloutManager(
            ExposureLimits(0.1, 50),
            lambda: 2,
            lambda pool: self.backends,
            lambda pool: pool in self.pools,
            lambda: self.others,
            len,
        )
        self.manager.apply_states({}, {}, 0)

    def order(self, **changes: object) -> Rollout:
        """Give an order."""
        self.manager.apply_orders([build_order(**changes)], [], 0)
        return self.manager.running[0]

    def plan(self, now_ms: int) -> Change | None:
        """Give what would be written now, None for nothing."""
        changes = self.manager.plan_changes(now_ms)
        return changes[0] if changes else None

    def write(self, version: int, now_ms: int = 0) -> Change:
        """Let the next change be done in the store."""
        change = self.plan(now_ms)
        assert change is not None
        statuses: dict[str, Status | None] = {}
        steps: dict[str, Step | None] = {}
        if change.state is not None:
            statuses[POOL] = Status(change.state, change.target, version)
        if change.step is not None:
            told = change.step
            steps[POOL] = Step(
                told.order, told.is_closing, told.since_ms, version
            )
        self.manager.apply_states(statuses, steps, now_ms)
        return change

    def test_order_runs_first(self) -> None:
        """On the condition that no row has changed."""
        self.order()
        change = self.write(11)
        self.assertIs(change.state, State.running)
        self.assertEqual((change.order_version, change.status_version), (10, 0))
        self.assertIsNone(self.plan(0))

    def test_all_have_to_move_before_it_closes_and_empty_before_done(
        self,
    ) -> None:
        """Also one that is silent, and one that does not know the order."""
        rollout = self.order()
        self.write(11)
        rollout.stage = Stage.moved
        key = len(POOL)
        waits: tuple[list[Mapping[int, Report]] | None, ...] = (
            None,
            [{}],
            [{key: Report(key, 9, Stage.moved)}],
            [{key: Report(key, 10, Stage.trial)}],
            [{key: Report(key, 10, Stage.refused)}],
        )
        for others in waits:
            self.others = others
            with self.subTest(others=others):
                self.assertIsNone(self.plan(0))
        self.others = [{key: Report(key, 10, Stage.moved)}]
        closing = self.write(12, 5000)
        assert closing.step is not None
        self.assertTrue(closing.step.is_closing)
        for told in (
            Report(key, 10, Stage.moved),
            Report(key, 10, Stage.closed, open_old=1),
        ):
            self.others = [{key: told}]
            self.assertIsNone(self.plan(9000))
        self.others = [{key: Report(key, 10, Stage.closed)}]
        # One that has just started may not be on the list yet.
        self.assertIsNone(self.plan(5500))
        self.backends[0].in_flight = 1
        self.assertIsNone(self.plan(9000))
        self.backends[0].in_flight = 0
        done = self.write(13, 9000)
        self.assertIs(done.state, State.done)
        self.assertEqual(self.manager.running, [])

    def test_rest_of_a_finished_order(self) -> None:
        """The old ones are stopped; a refused version gets nothing."""
        for state, version in ((State.done, NEW), (State.rolled_back, OLD)):
            with self.subTest(state=state):
                self.setUp()
                self.order()
                self.manager.apply_states(
                    {POOL: Status(state, NEW, 11)}, {}, 50
                )
                groups = self.manager.group_backends(
                    POOL, self.backends, 60, 0.5
                )
                versions = [backend.server.version for backend in groups[0]]
                self.assertEqual(set(versions), {version})
                self.assertEqual(len(groups), 1)

    def test_status_of_an_earlier_order_is_none_of_this_one(self) -> None:
        """The same version may be ordered again."""
        self.manager.apply_states(
            {POOL: Status(State.rolled_back, NEW, 4)}, {}, 0
        )
        self.order()
        change = self.plan(0)
        assert change is not None
        self.assertIs(change.state, State.running)
        self.assertEqual(change.status_version, 4)

    def test_order_taken_back_is_rolled_back(self) -> None:
        """And one for a pool that the configuration does not name."""
        self.order()
        self.write(11)
        self.manager.apply_orders([], [POOL], 100)
        change = self.plan(100)
        assert change is not None
        self.assertIs(change.state, State.rolled_back)
        self.assertEqual(change.order_version, 0)
        self.setUp()
        self.pools.clear()
        self.order()
        self.manager.evaluate(100)
        change = self.plan(100)
        assert change is not None
        self.assertEqual(change.reason, 'no such pool')

    def test_later_order_replaces_one_that_runs(self) -> None:
        """With a trial of its own."""
        self.order()
        self.write(11)
        self.manager.apply_orders(
            [build_order(target='v3', version=20)], [], 100
        )
        rollout = self.manager.running[0]
        self.assertEqual(rollout.order.target, 'v3')
        self.assertIs(rollout.stage, Stage.trial)
        change = self.plan(100)
        assert change is not None
        self.assertEqual(change.target, 'v3')

    def test_other_gateways_word_is_enough_to_refuse(self) -> None:
        """At once, also while the store cannot be reached."""
        rollout = self.order()
        key = len(POOL)
        self.manager.apply_reports('b', 1, [Report(key, 10, Stage.refused)])
        self.assertIs(rollout.stage, Stage.refused)
        change = self.plan(0)
        assert change is not None
        self.assertIs(change.state, State.rolled_back)

    def test_gateway_that_starts_has_no_part_of_the_allowance(self) -> None:
        """An earlier life of it may have spent it."""
        self.assertEqual(self.order().exposure.allowance, 25)
        self.setUp()
        self.manager.apply_orders([build_order()], [], 0, is_start=True)
        self.assertEqual(self.manager.running[0].exposure.allowance, 0)

    def test_time_counts_from_the_order_also_for_a_later_start(self) -> None:
        """The step tells when it was given."""
        self.manager.apply_orders([build_order()], [], 9000, is_start=True)
        step = Step(10, is_closing=False, since_ms=2000, version=11)
        self.manager.apply_states({}, {POOL: step}, 9000)
        self.assertEqual(self.manager.running[0].started_ms, 2000)

    def test_slow_answers_are_bad(self) -> None:
        """Against what the old version takes on the same route."""
        for number in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + number),
                0,
                is_bad=False,
            )
        rollout = self.order()
        for _ in range(10):
            self.manager.record_answer(
                POOL, ROUTE, NEW, LatencySample('gap', 200), 0, is_bad=False
            )
        self.assertEqual(rollout.evidence.new_answers, Tally(10, 10))
        self.manager.evaluate(100)
        self.assertIs(rollout.stage, Stage.refused)

    def test_slowness_counts_only_beside_the_old_version(self) -> None:
        """Once it gets nothing, a burst would look like a bad version.

        Symptom: a good version was rolled back 0.4 s after it had taken all,
        with 11 of 51 answers bad, on a machine that had just become busy.
        Failures go on to count.
        """
        for number in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + number),
                0,
                is_bad=False,
            )
        rollout = self.order()
        rollout.stage = Stage.moved
        for is_bad in (False, True):
            self.manager.record_answer(
                POOL, ROUTE, NEW, LatencySample('gap', 900), 100, is_bad=is_bad
            )
        self.assertEqual(rollout.evidence.new_answers, Tally(2, 1))

    def test_send_without_an_answer_counts_if_it_took_long(self) -> None:
        """Callers also leave early for reasons of their own."""
        for number in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + number),
                0,
                is_bad=False,
            )
        rollout = self.order()
        for took_ms in (30, 900):
            self.manager.record_answer(
                POOL,
                ROUTE,
                NEW,
                LatencySample('gap', took_ms),
                100,
                is_bad=False,
                is_answer=False,
            )
        self.assertEqual(rollout.evidence.new_answers, Tally(1, 1))

    def test_nothing_is_written_before_the_states_are_read(self) -> None:
        """They may say that the order has ended."""
        self.manager.is_state_loaded = False
        self.order()
        self.assertIsNone(self.plan(0))

    def test_order_that_comes_turns_no_gateway_unready(self) -> None:
        """All would be at once, for as long as the store does not answer.

        One that starts while an order runs has to read its state first.
        """
        self.manager.is_state_loaded = False
        self.order()
        self.assertTrue(self.manager.is_ready)
        self.setUp()
        self.manager.apply_orders([build_order()], [], 0, is_start=True)
        self.assertFalse(self.manager.is_ready)
        self.manager.apply_states({}, {}, 0)
        self.assertTrue(self.manager.is_ready)

    def test_state_that_was_removed_is_written_anew(self) -> None:
        """A change that rests on a row that is gone would never be made."""
        self.order()
        self.write(11)
        self.assertEqual(self.manager.pools_with_state, {POOL})
        self.manager.apply_states({POOL: None}, {POOL: None}, 0)
        change = self.plan(0)
        assert change is not None
        self.assertEqual((change.status_version, change.step_version), (0, 0))

    def test_stuck_order_holds_up_no_other(self) -> None:
        """Each pool has a change of its own."""
        self.order()
        self.order(pool='api', version=12)
        pools = [change.pool for change in self.manager.plan_changes(0)]
        self.assertEqual(pools, [POOL, 'api'])

    def test_pool_that_nobody_asks_moves_late(self) -> None:
        """Nothing can be proved there, and nobody harmed."""
        rollout = self.order()
        self.manager.evaluate(5900)
        self.assertIsNone(rollout.proved_ms)
        self.manager.evaluate(6000)
        self.assertEqual(rollout.proved_ms, 6000)
