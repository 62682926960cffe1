"""All roll-outs that a gateway knows of, and what it would write of them."""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from seampond.rollouts.exposure import Exposure
from seampond.rollouts.latency import LatencyBaseline, LatencySample
from seampond.rollouts.models import (
    Change,
    Order,
    Report,
    Stage,
    State,
    Status,
    Step,
)
from seampond.rollouts.rollout import BackendT, Rollout, RolloutBackend

# A gateway that has started before the step was written is in the list of
# gateways by then: it writes its row at once, and the others gather such rows
# for 0.25 s.
_LISTED_MS = 1000
# The old servers' rows stay for three heartbeats after they have stopped.
_STOPPED_MS = 10_000
_MOVED = frozenset((Stage.moved, Stage.closed))
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """What all gateways together may send to an unproved version.

    Parameters
    ----------
    share : float
        Requests for each request that reaches the pool.
    allowance : float
        A fixed number beside them.

    """

    share: float
    allowance: float


@dataclass
class _PoolState:
    """What the store says of one pool."""

    order: Order | None = None
    status: Status | None = None
    step: Step | None = None
    rollout: Rollout | None = None
    closing_ms: int | None = None
    final_ms: int | None = None


@dataclass
class RolloutManager:
    """All roll-outs that a gateway knows of.

    Parameters
    ----------
    limits : ExposureLimits
        What all gateways together may expose.
    count_gateways : Callable[[], int]
        How many gateways there may be, this one among them.
    backends_of : Callable[[str], Sequence[RolloutBackend]]
        All servers of a pool that are known, also those that have left the
        list while something is open there.
    has_pool : Callable[[str], bool]
        Whether the configuration names a pool.
    list_reports : Callable[[], Sequence[Mapping[int, Report]] or None]
        What each other gateway that may be serving has told last, by pool;
        None while one of them is not heard.
    hash_name : Callable[[str], int]
        Gives the key by which gateways tell of a name.
    store_ms : Callable[[int], int]
        Gives a moment of our clock by the store's.
    local_ms : Callable[[int], int]
        Gives a moment of the store's clock by ours.

    """

    limits: ExposureLimits
    count_gateways: Callable[[], int]
    backends_of: Callable[[str], Sequence[RolloutBackend]]
    has_pool: Callable[[str], bool]
    list_reports: Callable[[], Sequence[Mapping[int, Report]] | None]
    hash_name: Callable[[str], int]
    store_ms: Callable[[int], int] = int
    local_ms: Callable[[int], int] = int
    slowness: LatencyBaseline = field(default_factory=LatencyBaseline)
    is_state_loaded: bool = False
    _is_awaiting_state: bool = False
    _pools: dict[str, _PoolState] = field(default_factory=dict)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be placed.

        Explanation
        -----------
        Who starts while an order runs may not send to the old version if the
        store says so; who runs when an order comes begins with its trial.
        """
        return not self._is_awaiting_state

    @property
    def has_running(self) -> bool:
        """Whether the states of orders have to be followed."""
        return bool(self.running)

    @property
    def running(self) -> list[Rollout]:
        """What is carried out just now."""
        return [
            known.rollout
            for known in self._pools.values()
            if known.rollout is not None
        ]

    def apply_orders(
        self,
        orders: Iterable[Order],
        gone: Iterable[str],
        now_ms: int,
        *,
        is_start: bool = False,
    ) -> None:
        """Take orders as they are written, and the pools without one.

        Parameters
        ----------
        is_start : bool
            Whether this is the first that we know of orders: an earlier life
            of ours may have spent our part of the allowance.

        """
        listed = list(orders)
        self._is_awaiting_state |= is_start and bool(listed)
        for order in listed:
            known = self._pools.setdefault(order.pool, _PoolState())
            if known.order is None or order.version > known.order.version:
                allowance = 0 if is_start else self._allowance
                self._start_rollout(known, order, now_ms, allowance)
        for pool in gone:
            known = self._pools.get(pool, _PoolState())
            if known.rollout is not None and known.order is not None:
                known.order = None
                known.rollout.reject('order taken back')
                _log_change('order of a roll-out taken back', known.rollout)

    @property
    def pools_with_state(self) -> frozenset[str]:
        """The pools of which the store says anything."""
        return frozenset(
            pool
            for pool, known in self._pools.items()
            if known.status is not None or known.step is not None
        )

    @property
    def pools_with_order(self) -> list[str]:
        """The pools that have an order."""
        return [
            pool
            for pool, known in self._pools.items()
            if known.order is not None
        ]

    def apply_states(
        self,
        statuses: Mapping[str, Status | None],
        steps: Mapping[str, Step | None],
        now_ms: int,
    ) -> None:
        """Take what the store says of orders, by pool; None: no row."""
        self.is_state_loaded = True
        self._is_awaiting_state = False
        for pool in statuses.keys() | steps.keys():
            known = self._pools.setdefault(pool, _PoolState())
            known.status = statuses.get(pool, known.status)
            known.step = steps.get(pool, known.step)
        for known in self._pools.values():
            self._apply_store_state(known, now_ms)

    def apply_reports(
        self, name: str, life: int, reports: Iterable[Report]
    ) -> None:
        """Take what another gateway tells."""
        by_key = {self.hash_name(pool): known for pool, known in self._items()}
        for report in reports:
            known = by_key.get(report.pool)
            if known is None or known.rollout is None:
                continue
            rollout = known.rollout
            if report.order != rollout.order.version:
                continue
            rollout.evidence.apply_counts(name, life, report.tallies)
            if report.stage is Stage.refused:
                rollout.reject('another gateway found it bad')

    def build_reports(self) -> tuple[Report, ...]:
        """Give what the others are told."""
        return tuple(
            known.rollout.build_report(
                self.hash_name(pool),
                known.rollout.count_servers(self.backends_of(pool)),
            )
            for pool, known in self._items()
            if known.rollout is not None
        )

    def group_backends(
        self,
        pool: str,
        backends: Sequence[BackendT],
        now_ms: int,
        draw: float | None,
    ) -> tuple[Sequence[BackendT], ...]:
        """Give the servers to look at, those that come first before others.

        Parameters
        ----------
        draw : float or None
            From 0 to 1, drawn for the request; None for one that may not go
            to a version that is not proved.

        """
        known = self._pools.get(pool)
        if known is None:
            return (backends,)
        if known.rollout is not None:
            return known.rollout.group_backends(backends, now_ms, draw)
        status = known.status
        if status is None or known.final_ms is None:
            return (backends,)
        target = status.target
        new = [
            backend for backend in backends if backend.server.version == target
        ]
        old = [
            backend for backend in backends if backend.server.version != target
        ]
        if status.state is State.rolled_back:
            return (old,)
        # The old ones have stopped, whatever the list still says.
        is_just_done = now_ms < known.final_ms + _STOPPED_MS
        return (new,) if is_just_done and new else (backends,)

    def record_placement(self, pool: str, version: str) -> None:
        """Note that a request has a place on a server."""
        rollout = self._find_rollout(pool)
        if rollout is not None:
            is_new = version == rollout.order.target
            rollout.exposure.record(is_new=is_new)

    def record_answer(
        self,
        pool: str,
        route: int,
        version: str,
        pace: LatencySample | None,
        now_ms: int,
        *,
        is_bad: bool,
        is_answer: bool = True,
    ) -> None:
        """Note how one send to a server ended.

        Parameters
        ----------
        pace : LatencySample or None
            How fast it was, None where that says nothing.
        is_answer : bool
            Whether anything came; else it counts only if that took too long.

        """
        rollout = self._find_rollout(pool)
        is_new = rollout is not None and version == rollout.order.target
        if rollout is not None:
            # Once the old version gets nothing, nothing tells a burst from a
            # slow version: a good one was rolled back by 11 slow answers of 51
            # on a machine that had just become busy.
            has_both = rollout.traffic_share(now_ms) < 1
            is_slow = (
                has_both
                and pace is not None
                and self.slowness.is_slow(route, pace)
            )
            if is_answer or is_slow:
                rollout.evidence.record(
                    route, is_new=is_new, is_bad=is_bad or is_slow
                )
        is_usual = is_answer and not is_bad and not is_new
        if pace is not None and is_usual:
            self.slowness.record(route, pace)

    def count_open_old(self, pool: str) -> int:
        """Give our requests on servers of another version than the target."""
        rollout = self._find_rollout(pool)
        if rollout is None:
            return 0
        return rollout.count_servers(self.backends_of(pool)).open_old

    def evaluate(self, now_ms: int) -> None:
        """Decide how far each roll-out goes."""
        for pool, known in self._items():
            rollout = known.rollout
            if rollout is None:
                continue
            before = rollout.stage, rollout.is_rejected
            if known.order is not None and not self.has_pool(pool):
                rollout.reject('no such pool')
            rollout.evaluate(
                now_ms, rollout.count_servers(self.backends_of(pool))
            )
            if before != (rollout.stage, rollout.is_rejected):
                _log_change('stage of a roll-out', rollout)

    def plan_changes(self, now_ms: int) -> list[Change]:
        """Give what should be written next, one for each pool at the most."""
        if not self.is_state_loaded:
            return []
        changes = [self._plan_change(pool, now_ms) for pool in self._pools]
        return [change for change in changes if change is not None]

    def _items(self) -> list[tuple[str, _PoolState]]:
        return list(self._pools.items())

    def _find_rollout(self, pool: str) -> Rollout | None:
        known = self._pools.get(pool)
        return known.rollout if known else None

    @property
    def _allowance(self) -> float:
        """Our part of the fixed number; none while we know of nobody."""
        gateways = self.count_gateways()
        return self.limits.allowance / gateways if gateways else 0

    def _start_rollout(
        self, known: _PoolState, order: Order, now_ms: int, allowance: float
    ) -> None:
        known.order = order
        known.closing_ms = None
        known.final_ms = None
        exposure = Exposure(self.limits.share, allowance)
        known.rollout = Rollout(order, exposure, now_ms)
        _log_change('roll-out ordered', known.rollout)
        if self.is_state_loaded:
            self._apply_store_state(known, now_ms)

    def _apply_store_state(self, known: _PoolState, now_ms: int) -> None:
        """Bring a roll-out in line with what the store says of it."""
        rollout = known.rollout
        if rollout is None:
            return
        status = _status_for(known.status, rollout.order)
        step = known.step
        if step is not None and step.order == rollout.order.version:
            started_ms = self.local_ms(step.since_ms)
            rollout.started_ms = min(rollout.started_ms, started_ms)
            if step.is_closing and known.closing_ms is None:
                known.closing_ms = now_ms
            rollout.apply_step(step)
        if status is not None:
            rollout.apply_status(status)
            if status.state.is_final:
                known.final_ms = now_ms
                known.rollout = None
                _log_change('end of a roll-out', rollout)

    def _plan_change(self, pool: str, now_ms: int) -> Change | None:
        """Give what the store should be told of one pool."""
        known = self._pools[pool]
        rollout = known.rollout
        if rollout is None:
            return None
        order = rollout.order
        step = known.step
        if step is not None and step.order != order.version:
            step = None
        if rollout.is_rejected:
            return self._build_change(known, rollout, State.rolled_back)
        if step is None or _status_for(known.status, order) is None:
            opened = Step(order.version, False, self.store_ms(now_ms), 0)
            return self._build_change(known, rollout, State.running, opened)
        reports = self._collect_reports(pool, rollout)
        if reports is None:
            return None
        if step.is_closing:
            return self._plan_end(known, rollout, reports, now_ms)
        closing = None
        if all(report.stage in _MOVED for report in reports):
            opened = Step(order.version, True, step.since_ms, 0)
            closing = self._build_change(known, rollout, None, opened)
        return closing

    def _plan_end(
        self,
        known: _PoolState,
        rollout: Rollout,
        reports: Sequence[Report],
        now_ms: int,
    ) -> Change | None:
        """Let the old servers stop, once nobody has anything open there."""
        if known.closing_ms is None or now_ms < known.closing_ms + _LISTED_MS:
            return None
        if not all(map(_is_empty, reports)):
            return None
        return self._build_change(known, rollout, State.done)

    def _collect_reports(
        self, pool: str, rollout: Rollout
    ) -> list[Report] | None:
        """Give the word of each gateway that may serve, None if one lacks."""
        others = self.list_reports()
        if others is None:
            return None
        key = self.hash_name(pool)
        reports = [
            rollout.build_report(
                key, rollout.count_servers(self.backends_of(pool))
            )
        ]
        for told in others:
            report = told.get(key)
            if report is None or report.order != rollout.order.version:
                return None
            reports.append(report)
        return reports

    def _build_change(
        self,
        known: _PoolState,
        rollout: Rollout,
        state: State | None,
        step: Step | None = None,
    ) -> Change:
        status, before = known.status, known.step
        return Change(
            rollout.order.pool,
            rollout.order.target,
            known.order.version if known.order else 0,
            status.version if status else 0,
            before.version if before else 0,
            rollout.reason,
            state,
            step,
        )


def _is_empty(report: Report) -> bool:
    return report.stage is Stage.closed and not report.open_old


def _status_for(status: Status | None, order: Order) -> Status | None:
    """Give a status if it was written for this order, not an earlier one."""
    if status is None or status.version < order.version:
        return None
    return status if status.target == order.target else None


def _log_change(event: str, rollout: Rollout) -> None:
    """Log one change of a roll-out, with what speaks for it."""
    answers = rollout.evidence.new_answers
    _logger.info(
        event,
        extra={
            'pool': rollout.order.pool,
            'target': rollout.order.target,
            'order': rollout.order.version,
            'stage': rollout.stage.name,
            'reason': rollout.reason,
            'answers': answers.answers,
            'bad': answers.bad,
        },
    )
