"""Orders carried out by a fleet in steps of time, with troubles, seeded.

What the store says and what requests meet is held against the bounds: how many
reach a bad version, and how long after its fiftieth bad answer; nothing open on
the old version when the store says `done`; a good version done in its time
where nothing goes wrong.
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
_SLACK = 50
_STEP_MS = 50
_ORDER_MS = 3000
_LENGTH_MS = 20_000
_BEAT_MS = 300
_SILENT_MS = 900
_FORGET_MS = 20_000
_REQUESTS_A_STEP = 2
_KEY = 1
# How long a request lasts.
_MEAN_MS = 300
_LONG_MS = 3000
_ROUTES = (1, 1, 1, 2, 2, 3)
_BAD_ROUTE = 3
_USUAL_MS = 100
_BAD_ANSWERS = 50
_ROLLBACK_MS = 5000
# The part of the old version's answers that fail, of words that are lost and of
# writes that are done late, and of steps in which a gateway is struck.
_USUAL_BAD = 0.01
_LOST = 0.1
_LATE = 0.2
_STRIKE = 0.01


@dataclass
class Behaviour:
    """How the new version answers.

    Parameters
    ----------
    bad_part : float
        The part of its answers that fail or are slow.
    from_ms : int
        Since when, after the order.
    route : int or None
        On which route alone, None for all.
    is_slow : bool
        Whether they are slow, not failures.

    """

    bad_part: float = 0
    from_ms: int = 0
    route: int | None = None
    is_slow: bool = False

    def is_bad(self, route: int, age_ms: int, rng: random.Random) -> bool:
        """Draw whether one answer is bad."""
        if age_ms < self.from_ms or self.route not in {None, route}:
            return False
        return rng.random() < self.bad_part


@dataclass
class Open:
    """A request at work."""

    backend: StubBackend
    route: int
    ends_ms: int


@dataclass
class Gateway:
    """One gateway with what it believes, and its open requests."""

    fleet: 'Fleet'
    name: str
    life: int = 0
    asleep_until_ms: int = 0
    cut_until_ms: int = 0
    heard: dict[str, tuple[int, Mapping[int, Report]]] = field(
        default_factory=dict
    )
    open: list[Open] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start a life."""
        self.backends = build_stub_backends()
        self.manager = RolloutManager(
            ExposureLimits(_SHARE, _SLACK),
            lambda: _GATEWAYS,
            lambda pool: self.backends,
            lambda pool: True,
            self.list_reports,
            lambda name: _KEY,
        )

    def list_reports(self) -> list[Mapping[int, Report]] | None:
        """Give the word of all others, None if one is silent."""
        now_ms = self.fleet.now_ms
        words = []
        for other in self.fleet.gateways:
            if other is self or other.name == self.name:
                continue
            at_ms, told = self.heard.get(other.name, (-1, {}))
            if at_ms < now_ms - _FORGET_MS and at_ms >= 0:
                continue
            if at_ms < now_ms - _SILENT_MS:
                return None
            words.append(told)
        return words

    @property
    def is_up(self) -> bool:
        """Whether it runs at all just now."""
        return self.fleet.now_ms >= self.asleep_until_ms

    @property
    def is_cut(self) -> bool:
        """Whether store and other gateways are out of reach."""
        return self.fleet.now_ms < self.cut_until_ms

    @property
    def open_old(self) -> int:
        """Its requests on the old version."""
        return sum(one.backend.server.version == OLD for one in self.open)


class Fleet:
    """Gateways, servers of two versions, callers and a store."""

    def __init__(
        self,
        seed: int,
        behaviour: Behaviour,
        troubles: int,
        mean_ms: int = _MEAN_MS,
    ) -> None:
        """Start before the order."""
        self.rng = random.Random(seed)
        self.behaviour = behaviour
        self.troubles = troubles
        self.mean_ms = mean_ms
        self.now_ms = 0
        self.version = 10
        self.order = build_order(duration_ms=12_000)
        self.status: Status | None = None
        self.step: Step | None = None
        self.late: list[tuple[int, Change]] = []
        self.sent = 0
        self.exposed = 0
        self.bad = 0
        self.fiftieth_ms: int | None = None
        self.done_ms: int | None = None
        self.faults: list[str] = []
        self.gateways = [
            Gateway(self, f'g{number}') for number in range(_GATEWAYS)
        ]
        for gateway in self.gateways:
            gateway.manager.apply_orders([], [], 0, is_start=True)
            gateway.manager.apply_states({}, {}, 0)

    def run(self) -> None:
        """Live."""
        while self.now_ms < _LENGTH_MS:
            self.now_ms += _STEP_MS
            if self.now_ms == _ORDER_MS:
                for gateway in self.gateways:
                    self._tell_order(gateway)
            self._trouble()
            self._do_late()
            for gateway in self.gateways:
                if gateway.is_up:
                    self._live(gateway)

    def _happens(self, part: float) -> bool:
        return self.rng.random() < part

    def _live(self, gateway: Gateway) -> None:
        self._end_requests(gateway)
        if self.now_ms % _BEAT_MS == 0:
            self._beat(gateway)
        if self.now_ms % (2 * _STEP_MS) == 0 and not gateway.is_cut:
            self._read(gateway)
        gateway.manager.evaluate(self.now_ms)
        for change in gateway.manager.plan_changes(self.now_ms):
            self._write(gateway, change)
        for _ in range(_REQUESTS_A_STEP):
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
        if self.now_ms >= _ORDER_MS:
            self.sent += 1
            self.exposed += is_new
        self._check_send(is_new)
        gateway.manager.record_placement(POOL, backend.server.version)
        backend.in_flight += 1
        takes_ms = round(self.rng.expovariate(1 / self.mean_ms))
        route = self.rng.choice(_ROUTES)
        gateway.open.append(Open(backend, route, self.now_ms + takes_ms))

    def _check_send(self, is_new: bool) -> None:
        if not is_new or not self.behaviour.bad_part:
            return
        if self.fiftieth_ms is None:
            return
        if self.now_ms > self.fiftieth_ms + _ROLLBACK_MS:
            self.faults.append(f'{self.now_ms}: sent to a bad version')

    def _end_requests(self, gateway: Gateway) -> None:
        ended = [one for one in gateway.open if one.ends_ms <= self.now_ms]
        for one in ended:
            gateway.open.remove(one)
            one.backend.in_flight -= 1
            is_new = one.backend.server.version == NEW
            age_ms = self.now_ms - _ORDER_MS
            is_bad = is_new and self.behaviour.is_bad(
                one.route, age_ms, self.rng
            )
            self._note_bad(is_bad)
            took_ms = _USUAL_MS * self.rng.uniform(0.5, 2)
            if is_bad and self.behaviour.is_slow:
                took_ms *= 5
                is_bad = False
            gateway.manager.record_answer(
                POOL,
                one.route,
                one.backend.server.version,
                LatencySample('gap', took_ms),
                self.now_ms,
                is_bad=is_bad or self._happens(_USUAL_BAD),
            )

    def _note_bad(self, is_bad: bool) -> None:
        self.bad += is_bad
        if self.bad >= _BAD_ANSWERS and self.fiftieth_ms is None:
            self.fiftieth_ms = self.now_ms

    def _beat(self, gateway: Gateway) -> None:
        reports = gateway.manager.build_reports()
        for other in self.gateways:
            is_lost = self.troubles and self._happens(_LOST)
            is_apart = gateway.is_cut or other.is_cut or not other.is_up
            if other is gateway or is_apart or is_lost:
                continue
            told = {report.pool: report for report in reports}
            other.heard[gateway.name] = (self.now_ms, told)
            other.manager.apply_reports(gateway.name, gateway.life, reports)

    def _read(self, gateway: Gateway) -> None:
        gateway.manager.apply_states(
            {POOL: self.status} if self.status else {},
            {POOL: self.step} if self.step else {},
            self.now_ms,
        )

    def _tell_order(self, gateway: Gateway) -> None:
        gateway.manager.apply_orders([self.order], [], self.now_ms)

    def _write(self, gateway: Gateway, change: Change) -> None:
        if gateway.is_cut:
            return
        if self.troubles and self._happens(_LATE):
            late_ms = self.now_ms + self.rng.randrange(4000)
            self.late.append((late_ms, change))
            return
        self._apply(change)

    def _do_late(self) -> None:
        due = [entry for entry in self.late if entry[0] <= self.now_ms]
        for entry in due:
            self.late.remove(entry)
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
            told = change.step
            self.step = Step(
                told.order, told.is_closing, told.since_ms, self.version
            )

    def _apply_state(self, state: State) -> None:
        if self.status and self.status.state.is_final:
            self.faults.append(f'{self.now_ms}: a final state has changed')
        self.status = Status(state, NEW, self.version)
        if state is not State.done:
            return
        self.done_ms = self.now_ms
        for gateway in self.gateways:
            if gateway.open_old:
                self.faults.append(f'{self.now_ms}: cut at {gateway.name}')

    def _trouble(self) -> None:
        """Strike one gateway now and then."""
        if not self.troubles or not self._happens(_STRIKE):
            return
        gateway = self.rng.choice(self.gateways)
        kind = self.rng.choice(('kill', 'freeze', 'cut'))
        for_ms = self.rng.randrange(200, 4000)
        if kind == 'freeze':
            gateway.asleep_until_ms = self.now_ms + for_ms
        elif kind == 'cut':
            gateway.cut_until_ms = self.now_ms + for_ms
        else:
            self._kill(gateway, for_ms)

    def _kill(self, gateway: Gateway, for_ms: int) -> None:
        index = self.gateways.index(gateway)
        fresh = Gateway(self, gateway.name, gateway.life + 1)
        fresh.asleep_until_ms = self.now_ms + for_ms
        self.gateways[index] = fresh
        orders = [self.order] if self.now_ms >= _ORDER_MS else []
        fresh.manager.apply_orders(orders, [], self.now_ms, is_start=True)
        self._read(fresh)


class FleetTest(TestCase):
    """Seeds of one fleet."""

    def setUp(self) -> None:
        """Log nothing."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_good_version_is_done_in_its_time(self) -> None:
        """Where nothing goes wrong."""
        for seed in range(6):
            fleet = Fleet(seed, Behaviour(), 0)
            fleet.run()
            with self.subTest(seed=seed):
                self.assertEqual(fleet.faults, [])
                assert fleet.done_ms is not None
                self.assertLess(fleet.done_ms, _ORDER_MS + 12_000)

    def test_bad_version_is_rolled_back_inside_the_bounds(self) -> None:
        """Bad at once, on one route alone, or slow."""
        for name, behaviour in (
            ('fails', Behaviour(0.3)),
            ('fails on a route', Behaviour(0.6, route=_BAD_ROUTE)),
            ('slow', Behaviour(0.5, is_slow=True)),
        ):
            for seed in range(6):
                fleet = Fleet(seed, behaviour, seed % 2)
                fleet.run()
                with self.subTest(name=name, seed=seed):
                    self.assertEqual(fleet.faults, [])
                    assert fleet.status is not None
                    self.assertIs(fleet.status.state, State.rolled_back)
                    self.assertLessEqual(
                        fleet.exposed, _SHARE * fleet.sent + _SLACK
                    )

    def test_version_that_turns_bad_is_rolled_back(self) -> None:
        """While it takes more and more, or all."""
        for from_ms in (2000, 4000, 5000):
            for seed in range(4):
                fleet = Fleet(seed, Behaviour(0.4, from_ms), 0)
                fleet.run()
                with self.subTest(from_ms=from_ms, seed=seed):
                    self.assertEqual(fleet.faults, [])
                    assert fleet.status is not None
                    self.assertIsNot(fleet.status.state, State.running)

    def test_troubles_break_no_bound(self) -> None:
        """Kills, freezes, cuts, lost words, late and doubled writes."""
        for seed in range(30):
            part = self.subTest(seed=seed)
            behaviour = Behaviour(0.4 * (seed % 2), 1000 * (seed % 5))
            fleet = Fleet(seed, behaviour, 1)
            fleet.run()
            with part:
                self.assertEqual(fleet.faults, [])

    def test_an_end_with_open_work_is_found(self) -> None:
        """Where nobody looks whether the old version is empty."""
        with mock.patch('seampond.rollouts.manager._is_drained', _always):
            fleet = Fleet(0, Behaviour(), 0, _LONG_MS)
            fleet.run()
        self.assertTrue(fleet.faults)

    def test_a_version_that_nobody_judges_is_found(self) -> None:
        """Where no answer counts as bad."""
        with mock.patch.object(Rollout, 'reject', _never):
            fleet = Fleet(0, Behaviour(0.5), 0)
            fleet.run()
        self.assertTrue(fleet.faults)


def _always(report: Report) -> bool:
    """Take a gateway for empty, whatever it tells."""
    return True


def _never(rollout: Rollout, reason: str) -> None:
    """Go on."""
