"""Stages of a rollout at one gateway, and the changes it plans."""

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
    StubBackend,
    VersionTallies,
    build_order,
    build_stub_backends,
)

_GOOD = VersionTallies(Tally(400, 4), Tally(60, 0))
_BAD = VersionTallies(Tally(400, 4), Tally(20, 12))


def list_versions(groups: tuple[list[StubBackend], ...]) -> list[set[str]]:
    """Return the versions in each group."""
    return [{backend.server.version for backend in group} for group in groups]


class StageTest(unittest.TestCase):
    """Stages by evidence and time."""

    def setUp(self) -> None:
        """Create a rollout with four servers of each version."""
        self.backends = build_stub_backends()
        self.rollout = Rollout(build_order(), Exposure(0.1, 5), 0)

    def evaluate(self, now_ms: int) -> Stage:
        """Evaluate the rollout and return its stage."""
        counts = self.rollout.count_servers(self.backends)
        self.rollout.evaluate(now_ms, counts)
        return self.rollout.stage

    def test_trial_uses_few_requests_and_servers(self) -> None:
        """Guards against exposure beyond the limit, and of further attempts."""
        first_attempt = self.rollout.group_backends(self.backends, 100, 0.5)
        self.assertEqual(list_versions(first_attempt), [{NEW}, {OLD}])
        self.assertEqual(len(first_attempt[0]), 1)
        further_attempt = self.rollout.group_backends(self.backends, 100, None)
        self.assertEqual(list_versions(further_attempt), [{OLD}])
        self.rollout.exposure.exposed = 50
        self.rollout.exposure.sent = 100
        after_limit = self.rollout.group_backends(self.backends, 100, 0)
        self.assertEqual(list_versions(after_limit), [{OLD}])

    def test_proved_version_ramps_up(self) -> None:
        """Guards against a ramp before the minimum trial, or at once."""
        self.rollout.evidence.apply_counts('a', 1, _GOOD.as_tallies())
        self.evaluate(1000)
        self.assertEqual(self.rollout.traffic_share(1000), 0)
        self.evaluate(3000)
        self.assertEqual(self.rollout.traffic_share(3000), 0.1)
        self.assertEqual(self.rollout.traffic_share(3900), 0.4)
        self.assertIs(self.evaluate(4700), Stage.moved)
        groups = self.rollout.group_backends(self.backends, 4700, None)
        self.assertEqual(list_versions(groups), [{NEW}, {OLD}])

    def test_bad_version_gets_no_requests(self) -> None:
        """Guards against requests to a version found bad at any time."""
        for at_ms in (500, 4000, 20_000):
            with self.subTest(at_ms=at_ms):
                self.setUp()
                self.evaluate(at_ms)
                self.rollout.evidence.apply_counts('a', 1, _BAD.as_tallies())
                self.assertIs(self.evaluate(at_ms + 1), Stage.refused)
                groups = self.rollout.group_backends(self.backends, at_ms, 0)
                self.assertEqual(list_versions(groups), [{OLD}])

    def test_few_good_answers_are_accepted_late(self) -> None:
        """Guards against a pool with little traffic that is never moved."""
        few_answers = VersionTallies(Tally(40, 0), Tally(5, 0))
        self.rollout.evidence.apply_counts('a', 1, few_answers.as_tallies())
        self.evaluate(5900)
        self.assertIsNone(self.rollout.proved_ms)
        self.evaluate(6000)
        self.assertEqual(self.rollout.proved_ms, 6000)

    def test_version_without_servers_is_rejected(self) -> None:
        """Guards against an order that runs forever without servers."""
        self.backends = build_stub_backends(new=0)
        self.evaluate(11_000)
        self.assertFalse(self.rollout.is_rejected)
        self.evaluate(12_001)
        self.assertTrue(self.rollout.is_rejected)

    def test_only_version_counts_as_moved(self) -> None:
        """Guards against an order that waits for evidence in vain."""
        self.backends = build_stub_backends(old=0)
        self.assertIs(self.evaluate(10), Stage.moved)

    def test_too_few_new_servers_stay_in_trial(self) -> None:
        """Guards against a move to servers that lack slots."""
        self.backends = build_stub_backends(old=6, new=1)
        self.rollout.evidence.apply_counts('a', 1, _GOOD.as_tallies())
        self.evaluate(3000)
        self.assertIs(self.evaluate(9000), Stage.trial)

    def test_closed_gateway_returns_by_store_only(self) -> None:
        """Guards against requests to old servers that are stopping."""
        step = Step(10, is_closing=True, since_ms=0, version=12)
        self.rollout.apply_step(step)
        self.rollout.evidence.apply_counts('a', 1, _BAD.as_tallies())
        self.assertIs(self.evaluate(5000), Stage.closed)
        groups = self.rollout.group_backends(self.backends, 5000, 0.5)
        self.assertEqual(list_versions(groups), [{NEW}])
        self.assertIs(
            self.rollout.build_report(1, self.counts).stage, Stage.refused
        )
        self.rollout.apply_status(Status(State.rolled_back, NEW, 13))
        groups = self.rollout.group_backends(self.backends, 5000, 0.5)
        self.assertEqual(list_versions(groups), [{OLD}])

    @property
    def counts(self):  # type: ignore[no-untyped-def]
        """The slots and open requests by version."""
        return self.rollout.count_servers(self.backends)


class RolloutManagerTest(unittest.TestCase):
    """Changes that are planned for the store."""

    def setUp(self) -> None:
        """Create a manager without orders and reports."""
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
        """Apply an order and return its rollout."""
        self.manager.apply_orders([build_order(**changes)], [], 0)
        return self.manager.running[0]

    def plan(self, now_ms: int) -> Change | None:
        """Return the planned change, None for none."""
        changes = self.manager.plan_changes(now_ms)
        return changes[0] if changes else None

    def write(self, version: int, now_ms: int = 0) -> Change:
        """Apply the planned change in the store and read it back."""
        change = self.plan(now_ms)
        assert change is not None
        statuses: dict[str, Status | None] = {}
        steps: dict[str, Step | None] = {}
        if change.state is not None:
            statuses[POOL] = Status(change.state, change.target, version)
        if change.step is not None:
            step = change.step
            steps[POOL] = Step(
                step.order, step.is_closing, step.since_ms, version
            )
        self.manager.apply_states(statuses, steps, now_ms)
        return change

    def test_new_order_is_set_running(self) -> None:
        """Guards against a write that is not conditional on the rows."""
        self.order()
        change = self.write(11)
        self.assertIs(change.state, State.running)
        self.assertEqual((change.order_version, change.status_version), (10, 0))
        self.assertIsNone(self.plan(0))

    def test_closing_and_done_need_all_gateways(
        self,
    ) -> None:
        """Guards against ignoring gateways that are silent or behind."""
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
        for new_report in (
            Report(key, 10, Stage.moved),
            Report(key, 10, Stage.closed, open_old=1),
        ):
            self.others = [{key: new_report}]
            self.assertIsNone(self.plan(9000))
        self.others = [{key: Report(key, 10, Stage.closed)}]
        # A gateway that has just started may not be listed yet.
        self.assertIsNone(self.plan(5500))
        self.backends[0].in_flight = 1
        self.assertIsNone(self.plan(9000))
        self.backends[0].in_flight = 0
        done = self.write(13, 9000)
        self.assertIs(done.state, State.done)
        self.assertEqual(self.manager.running, [])

    def test_finished_order_selects_version(self) -> None:
        """Guards against requests to the version that was given up."""
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

    def test_status_of_earlier_order_is_ignored(self) -> None:
        """Guards against ending a repeated order by the old status."""
        self.manager.apply_states(
            {POOL: Status(State.rolled_back, NEW, 4)}, {}, 0
        )
        self.order()
        change = self.plan(0)
        assert change is not None
        self.assertIs(change.state, State.running)
        self.assertEqual(change.status_version, 4)

    def test_withdrawn_order_is_rolled_back(self) -> None:
        """Guards against a rollout without an order or a pool."""
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

    def test_later_order_replaces_running_one(self) -> None:
        """Guards against a new version that skips its trial."""
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

    def test_rejection_by_another_gateway_is_applied(self) -> None:
        """Guards against sending on while the store is unreachable."""
        rollout = self.order()
        key = len(POOL)
        self.manager.apply_reports('b', 1, [Report(key, 10, Stage.refused)])
        self.assertIs(rollout.stage, Stage.refused)
        change = self.plan(0)
        assert change is not None
        self.assertIs(change.state, State.rolled_back)

    def test_started_gateway_gets_no_allowance(self) -> None:
        """Guards against an allowance that is used once per restart."""
        self.assertEqual(self.order().exposure.allowance, 25)
        self.setUp()
        self.manager.apply_orders([build_order()], [], 0, is_start=True)
        self.assertEqual(self.manager.running[0].exposure.allowance, 0)

    def test_started_gateway_uses_time_of_order(self) -> None:
        """Guards against a trial that starts anew with the gateway."""
        self.manager.apply_orders([build_order()], [], 9000, is_start=True)
        step = Step(10, is_closing=False, since_ms=2000, version=11)
        self.manager.apply_states({}, {POOL: step}, 9000)
        self.assertEqual(self.manager.running[0].started_ms, 2000)

    def test_slow_answers_count_as_bad(self) -> None:
        """Guards against a slow version that is accepted."""
        for extra_ms in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + extra_ms),
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

    def test_slow_answers_need_baseline_traffic(self) -> None:
        """Guards against rejecting a good version for a load spike.

        Failures still count.
        """
        for extra_ms in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + extra_ms),
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

    def test_unanswered_attempt_counts_if_slow(self) -> None:
        """Guards against counting callers that leave early."""
        for extra_ms in range(40):
            self.manager.record_answer(
                POOL,
                ROUTE,
                OLD,
                LatencySample('gap', 20 + extra_ms),
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

    def test_no_write_before_states_are_loaded(self) -> None:
        """Guards against writes for an order that has ended."""
        self.manager.is_state_loaded = False
        self.order()
        self.assertIsNone(self.plan(0))

    def test_new_order_keeps_gateway_ready(self) -> None:
        """Guards against all gateways being unready while the store is down.

        A gateway that starts during a rollout must read its state first.
        """
        self.manager.is_state_loaded = False
        self.order()
        self.assertTrue(self.manager.is_ready)
        self.setUp()
        self.manager.apply_orders([build_order()], [], 0, is_start=True)
        self.assertFalse(self.manager.is_ready)
        self.manager.apply_states({}, {}, 0)
        self.assertTrue(self.manager.is_ready)

    def test_removed_state_is_written_again(self) -> None:
        """Guards against writes that expect a removed row."""
        self.order()
        self.write(11)
        self.assertEqual(self.manager.pools_with_state, {POOL})
        self.manager.apply_states({POOL: None}, {POOL: None}, 0)
        change = self.plan(0)
        assert change is not None
        self.assertEqual((change.status_version, change.step_version), (0, 0))

    def test_pools_are_planned_independently(self) -> None:
        """Guards against an order that blocks those of other pools."""
        self.order()
        self.order(pool='api', version=12)
        pools = [change.pool for change in self.manager.plan_changes(0)]
        self.assertEqual(pools, [POOL, 'api'])

    def test_idle_pool_is_accepted_late(self) -> None:
        """Guards against an idle pool that is never moved."""
        rollout = self.order()
        self.manager.evaluate(5900)
        self.assertIsNone(rollout.proved_ms)
        self.manager.evaluate(6000)
        self.assertEqual(rollout.proved_ms, 6000)
