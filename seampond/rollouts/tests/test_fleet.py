"""Seeded simulation of rollouts in a fleet with faults.

The tests check that exposure to a bad version is limited, that it is rolled
back in time, that no requests are open on the old version when the store says
`done`, and that a good version is done in time.
"""

import logging
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from unittest import TestCase, mock

from seampond.rollouts import (
    Change,
    Report,
    RolloutManager,
    State,
    Status,
    Step,
)
from seampond.rollouts.latency import LatencySample
from seampond.rollouts.manager import ExposureLimits
from seampond.rollouts.rollout import Rollout
from seampond.testing.rollouts import (
    NEW,
    OLD,
    POOL,
    StubBackend,
    build_order,
    build_stub_backends,
)

_GATEWAYS = 6
_SHARE = 0.1
_ALLOWANCE = 50
_TICK_MS = 50
_ORDERED_MS = 3000
_DURATION_MS = 20_000
_HEARTBEAT_INTERVAL_MS = 300
_SILENT_AFTER_MS = 900
_FORGOTTEN_AFTER_MS = 20_000
_REQUESTS_PER_TICK = 2
_KEY = 1
_MEAN_SERVICE_MS = 300
_LONG_SERVICE_MS = 3000
_ROUTES = (1, 1, 1, 2, 2, 3)
_BAD_ROUTE = 3
_BASELINE_LATENCY_MS = 100
_MAX_BAD_ANSWERS = 50
_MAX_ROLLBACK_MS = 5000
# Probabilities of a bad answer of the old version, of a lost heartbeat, of a
# delayed write, and of a fault in a tick.
_OLD_BAD_SHARE = 0.01
_LOSS_RATE = 0.1
_DELAY_RATE = 0.2
_FAULT_RATE = 0.01


@dataclass
class Behaviour:
    """Behaviour of the new version.

    Parameters
    ----------
    bad_share : float
        Share of its answers that are bad.
    from_ms : int
        Time after the order from which answers are bad.
    route : int or None
        The only route with bad answers, None for all.
    is_slow : bool
        Whether bad answers are slow rather than failures.

    """

    bad_share: float = 0
    from_ms: int = 0
    route: int | None = None
    is_slow: bool = False

    def is_bad(self, route: int, age_ms: int, rng: random.Random) -> bool:
        """Return True if an answer is bad, at random."""
        if age_ms < self.from_ms or self.route not in {None, route}:
            return False
        return rng.random() < self.bad_share


@dataclass
class OpenRequest:
    """An open request."""

    backend: StubBackend
    route: int
    ends_ms: int


@dataclass
class Gateway:
    """One gateway with its rollouts, received reports and open requests."""

    fleet: 'Fleet'
    name: str
    incarnation: int = 0
    frozen_until_ms: int = 0
    partitioned_until_ms: int = 0
    received: dict[str, tuple[int, Mapping[int, Report]]] = field(
        default_factory=dict
    )
    open: list[OpenRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the manager of a new incarnation."""
        self.backends = build_stub_backends()
        self.manager = RolloutManager(
            ExposureLimits(_SHARE, _ALLOWANCE),
            lambda: _GATEWAYS,
            lambda pool: self.backends,
            lambda pool: True,
            self.list_reports,
            lambda name: _KEY,
        )

    def list_reports(self) -> list[Mapping[int, Report]] | None:
        """Return the reports of all others, None if one is silent."""
        now_ms = self.fleet.now_ms
        reports = []
        for other in self.fleet.gateways:
            if other is self or other.name == self.name:
                continue
            at_ms, by_pool = self.received.get(other.name, (-1, {}))
            if at_ms < now_ms - _FORGOTTEN_AFTER_MS and at_ms >= 0:
                continue
            if at_ms < now_ms - _SILENT_AFTER_MS:
                return None
            reports.append(by_pool)
        return reports

    @property
    def is_up(self) -> bool:
        """Whether the gateway is running."""
        return self.fleet.now_ms >= self.frozen_until_ms

    @property
    def is_partitioned(self) -> bool:
        """Whether the store and the other gateways are unreachable."""
        return self.fleet.now_ms < self.partitioned_until_ms

    @property
    def open_old(self) -> int:
        """Number of open requests on the old version."""
        return sum(
            request.backend.server.version == OLD for request in self.open
        )


class Fleet:
    """Gateways, servers of two versions, callers and a store."""

    def __init__(
        self,
        seed: int,
        behaviour: Behaviour,
        has_faults: int,
        mean_service_ms: int = _MEAN_SERVICE_MS,
    ) -> None:
        """Start without an order."""
        self.rng = random.Random(seed)
        self.behaviour = behaviour
        self.has_faults = has_faults
        self.mean_service_ms = mean_service_ms
        self.now_ms = 0
        self.version = 10
        self.order = build_order(duration_ms=12_000)
        self.status: Status | None = None
        self.step: Step | None = None
        self.delayed: list[tuple[int, Change]] = []
        self.sent = 0
        self.exposed = 0
        self.bad = 0
        self.bad_limit_ms: int | None = None
        self.done_ms: int | None = None
        self.violations: list[str] = []
        self.gateways = [
            Gateway(self, f'g{number}') for number in range(_GATEWAYS)
        ]
        for gateway in self.gateways:
            gateway.manager.apply_orders([], [], 0, is_start=True)
            gateway.manager.apply_states({}, {}, 0)

    def run(self) -> None:
        """Run the simulation."""
        while self.now_ms < _DURATION_MS:
            self.now_ms += _TICK_MS
            if self.now_ms == _ORDERED_MS:
                for gateway in self.gateways:
                    self._send_order(gateway)
            self._inject_fault()
            self._apply_delayed()
            for gateway in self.gateways:
                if gateway.is_up:
                    self._run_gateway(gateway)

    def _draw(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _run_gateway(self, gateway: Gateway) -> None:
        self._finish_requests(gateway)
        if self.now_ms % _HEARTBEAT_INTERVAL_MS == 0:
            self._send_heartbeat(gateway)
        if self.now_ms % (2 * _TICK_MS) == 0 and not gateway.is_partitioned:
            self._read(gateway)
        gateway.manager.evaluate(self.now_ms)
        for change in gateway.manager.plan_changes(self.now_ms):
            self._write(gateway, change)
        for _ in range(_REQUESTS_PER_TICK):
            self._send(gateway)

    def _send(self, gateway: Gateway) -> None:
        draw = self.rng.random()
        groups = gateway.manager.group_backends(
            POOL, gateway.backends, self.now_ms, draw
        )
        group = next(filter(None, groups), None)
        if group is None:
            return
        backend = self.rng.choice(list(group))
        is_new = backend.server.version == NEW
        if self.now_ms >= _ORDERED_MS:
            self.sent += 1
            self.exposed += is_new
        self._check_send(is_new)
        gateway.manager.record_placement(POOL, backend.server.version)
        backend.in_flight += 1
        takes_ms = round(self.rng.expovariate(1 / self.mean_service_ms))
        route = self.rng.choice(_ROUTES)
        gateway.open.append(OpenRequest(backend, route, self.now_ms + takes_ms))

    def _check_send(self, is_new: bool) -> None:
        if not is_new or not self.behaviour.bad_share:
            return
        if self.bad_limit_ms is None:
            return
        if self.now_ms > self.bad_limit_ms + _MAX_ROLLBACK_MS:
            self.violations.append(f'{self.now_ms}: sent to a bad version')

    def _finish_requests(self, gateway: Gateway) -> None:
        ended = [
            request
            for request in gateway.open
            if request.ends_ms <= self.now_ms
        ]
        for request in ended:
            gateway.open.remove(request)
            request.backend.in_flight -= 1
            is_new = request.backend.server.version == NEW
            age_ms = self.now_ms - _ORDERED_MS
            is_bad = is_new and self.behaviour.is_bad(
                request.route, age_ms, self.rng
            )
            self._count_bad(is_bad)
            took_ms = _BASELINE_LATENCY_MS * self.rng.uniform(0.5, 2)
            if is_bad and self.behaviour.is_slow:
                took_ms *= 5
                is_bad = False
            gateway.manager.record_answer(
                POOL,
                request.route,
                request.backend.server.version,
                LatencySample('gap', took_ms),
                self.now_ms,
                is_bad=is_bad or self._draw(_OLD_BAD_SHARE),
            )

    def _count_bad(self, is_bad: bool) -> None:
        self.bad += is_bad
        if self.bad >= _MAX_BAD_ANSWERS and self.bad_limit_ms is None:
            self.bad_limit_ms = self.now_ms

    def _send_heartbeat(self, gateway: Gateway) -> None:
        reports = gateway.manager.build_reports()
        for other in self.gateways:
            is_lost = self.has_faults and self._draw(_LOSS_RATE)
            is_unreachable = (
                gateway.is_partitioned
                or other.is_partitioned
                or not other.is_up
            )
            if other is gateway or is_unreachable or is_lost:
                continue
            by_pool = {report.pool: report for report in reports}
            other.received[gateway.name] = (self.now_ms, by_pool)
            other.manager.apply_reports(
                gateway.name, gateway.incarnation, reports
            )

    def _read(self, gateway: Gateway) -> None:
        gateway.manager.apply_states(
            {POOL: self.status} if self.status else {},
            {POOL: self.step} if self.step else {},
            self.now_ms,
        )

    def _send_order(self, gateway: Gateway) -> None:
        gateway.manager.apply_orders([self.order], [], self.now_ms)

    def _write(self, gateway: Gateway, change: Change) -> None:
        if gateway.is_partitioned:
            return
        if self.has_faults and self._draw(_DELAY_RATE):
            due_ms = self.now_ms + self.rng.randrange(4000)
            self.delayed.append((due_ms, change))
            return
        self._apply(change)

    def _apply_delayed(self) -> None:
        due = [entry for entry in self.delayed if entry[0] <= self.now_ms]
        for entry in due:
            self.delayed.remove(entry)
            self._apply(entry[1])

    def _apply(self, change: Change) -> None:
        known = (
            self.order.version,
            self.status.version if self.status else 0,
            self.step.version if self.step else 0,
        )
        if known != (
            change.order_version,
            change.status_version,
            change.step_version,
        ):
            return
        self.version += 1
        if change.state is not None:
            self._apply_state(change.state)
        if change.step is not None:
            step = change.step
            self.step = Step(
                step.order, step.is_closing, step.since_ms, self.version
            )

    def _apply_state(self, state: State) -> None:
        if self.status and self.status.state.is_final:
            self.violations.append(f'{self.now_ms}: a final state has changed')
        self.status = Status(state, NEW, self.version)
        if state is not State.done:
            return
        self.done_ms = self.now_ms
        for gateway in self.gateways:
            if gateway.open_old:
                self.violations.append(f'{self.now_ms}: cut at {gateway.name}')

    def _inject_fault(self) -> None:
        """Inject a random fault at one gateway."""
        if not self.has_faults or not self._draw(_FAULT_RATE):
            return
        gateway = self.rng.choice(self.gateways)
        kind = self.rng.choice(('kill', 'freeze', 'cut'))
        duration_ms = self.rng.randrange(200, 4000)
        if kind == 'freeze':
            gateway.frozen_until_ms = self.now_ms + duration_ms
        elif kind == 'cut':
            gateway.partitioned_until_ms = self.now_ms + duration_ms
        else:
            self._restart(gateway, duration_ms)

    def _restart(self, gateway: Gateway, duration_ms: int) -> None:
        index = self.gateways.index(gateway)
        fresh = Gateway(self, gateway.name, gateway.incarnation + 1)
        fresh.frozen_until_ms = self.now_ms + duration_ms
        self.gateways[index] = fresh
        orders = [self.order] if self.now_ms >= _ORDERED_MS else []
        fresh.manager.apply_orders(orders, [], self.now_ms, is_start=True)
        self._read(fresh)


class FleetTest(TestCase):
    """Simulations with several seeds."""

    def setUp(self) -> None:
        """Disable logging."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_good_version_is_done_in_time(self) -> None:
        """Guards against a rollout that exceeds its duration without faults."""
        for seed in range(6):
            fleet = Fleet(seed, Behaviour(), 0)
            fleet.run()
            with self.subTest(seed=seed):
                self.assertEqual(fleet.violations, [])
                assert fleet.done_ms is not None
                self.assertLess(fleet.done_ms, _ORDERED_MS + 12_000)

    def test_bad_version_is_rolled_back_within_limits(self) -> None:
        """Guards against versions that fail, fail on one route, or are slow."""
        for name, behaviour in (
            ('fails', Behaviour(0.3)),
            ('fails on a route', Behaviour(0.6, route=_BAD_ROUTE)),
            ('slow', Behaviour(0.5, is_slow=True)),
        ):
            for seed in range(6):
                fleet = Fleet(seed, behaviour, seed % 2)
                fleet.run()
                with self.subTest(name=name, seed=seed):
                    self.assertEqual(fleet.violations, [])
                    assert fleet.status is not None
                    self.assertIs(fleet.status.state, State.rolled_back)
                    self.assertLessEqual(
                        fleet.exposed, _SHARE * fleet.sent + _ALLOWANCE
                    )

    def test_late_failures_are_rolled_back(self) -> None:
        """Guards against failures during the ramp or after the move."""
        for from_ms in (2000, 4000, 5000):
            for seed in range(4):
                fleet = Fleet(seed, Behaviour(0.4, from_ms), 0)
                fleet.run()
                with self.subTest(from_ms=from_ms, seed=seed):
                    self.assertEqual(fleet.violations, [])
                    assert fleet.status is not None
                    self.assertIsNot(fleet.status.state, State.running)

    def test_faults_violate_no_limit(self) -> None:
        """Guards against violations under restarts, partitions and loss."""
        for seed in range(30):
            sub_test = self.subTest(seed=seed)
            behaviour = Behaviour(0.4 * (seed % 2), 1000 * (seed % 5))
            fleet = Fleet(seed, behaviour, 1)
            fleet.run()
            with sub_test:
                self.assertEqual(fleet.violations, [])

    def test_check_finds_open_requests_when_done(self) -> None:
        """Guards against a check that misses requests on the old version."""
        with mock.patch(
            'seampond.rollouts.manager._is_drained', _is_always_drained
        ):
            fleet = Fleet(0, Behaviour(), 0, _LONG_SERVICE_MS)
            fleet.run()
        self.assertTrue(fleet.violations)

    def test_check_finds_bad_version_without_rollback(self) -> None:
        """Guards against a check that misses a bad version in use."""
        with mock.patch.object(Rollout, 'reject', _never_reject):
            fleet = Fleet(0, Behaviour(0.5), 0)
            fleet.run()
        self.assertTrue(fleet.violations)


def _is_always_drained(report: Report) -> bool:
    """Regard every gateway as drained."""
    return True


def _never_reject(rollout: Rollout, reason: str) -> None:
    """Keep the version."""
