"""Rollouts known to a gateway, and the changes it plans for the store."""

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

# By then a gateway that started before the closing step is listed: it writes
# its row at once, and the others collect such rows for 0.25 s.
_GATEWAY_LISTING_MS = 1000
# Stopped servers remain listed for some heartbeats.
_STOPPED_SERVERS_MS = 10_000
_MOVED_STAGES = frozenset((Stage.moved, Stage.closed))
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the requests that all gateways send to an unproved version.

    Parameters
    ----------
    share : float
        Share of the pool's requests.
    allowance : float
        Number of further requests.

    """

    share: float
    allowance: float


@dataclass
class _PoolState:
    """The order of one pool, and the store's rows on it."""

    order: Order | None = None
    status: Status | None = None
    step: Step | None = None
    rollout: Rollout | None = None
    closing_ms: int | None = None
    final_ms: int | None = None


@dataclass
class RolloutManager:
    """Carries out the rollouts of all pools.

    Parameters
    ----------
    limits : ExposureLimits
        Limits for all gateways together.
    count_gateways : Callable[[], int]
        Returns how many gateways may be running, including this one.
    backends_of : Callable[[str], Sequence[RolloutBackend]]
        Returns all known backends of a pool, including unlisted ones with
        open requests.
    has_pool : Callable[[str], bool]
        Whether the configuration has a pool.
    list_reports : Callable[[], Sequence[Mapping[int, Report]] or None]
        Returns the latest reports of each other gateway by pool, None while
        one of them is silent.
    hash_name : Callable[[str], int]
        Returns the key of a name in heartbeats.
    store_ms : Callable[[int], int]
        Converts a local time to the store's clock.
    local_ms : Callable[[int], int]
        Converts a time of the store's clock to the local one.
    is_state_loaded : bool
        Whether the states of orders were read from the store.

    """

    limits: ExposureLimits
    count_gateways: Callable[[], int]
    backends_of: Callable[[str], Sequence[RolloutBackend]]
    has_pool: Callable[[str], bool]
    list_reports: Callable[[], Sequence[Mapping[int, Report]] | None]
    hash_name: Callable[[str], int]
    store_ms: Callable[[int], int] = int
    local_ms: Callable[[int], int] = int
    latency_baseline: LatencyBaseline = field(default_factory=LatencyBaseline)
    is_state_loaded: bool = False
    _is_awaiting_state: bool = False
    _pools: dict[str, _PoolState] = field(default_factory=dict)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be sent.

        Explanation
        -----------
        A gateway that starts during a rollout must read its state first: the
        old version may be closed already.
        """
        return not self._is_awaiting_state

    @property
    def has_running(self) -> bool:
        """Whether any rollout is running."""
        return bool(self.running)

    @property
    def running(self) -> list[Rollout]:
        """The running rollouts."""
        return [
            pool_state.rollout
            for pool_state in self._pools.values()
            if pool_state.rollout is not None
        ]

    def apply_orders(
        self,
        orders: Iterable[Order],
        removed: Iterable[str],
        now_ms: int,
        *,
        is_start: bool = False,
    ) -> None:
        """Apply new orders and withdraw those of removed pools.

        Parameters
        ----------
        removed : Iterable[str]
            Pools that have no order any more.
        is_start : bool
            Whether the orders are the first since the gateway started.  They
            get no allowance, which an earlier incarnation may have used.

        """
        listed = list(orders)
        self._is_awaiting_state |= is_start and bool(listed)
        for order in listed:
            pool_state = self._pools.setdefault(order.pool, _PoolState())
            if (
                pool_state.order is None
                or order.version > pool_state.order.version
            ):
                allowance = 0 if is_start else self._allowance
                self._start_rollout(pool_state, order, now_ms, allowance)
        for pool in removed:
            pool_state = self._pools.get(pool, _PoolState())
            if pool_state.rollout is not None and pool_state.order is not None:
                pool_state.order = None
                pool_state.rollout.reject('order taken back')
                _log_change('rollout order withdrawn', pool_state.rollout)

    @property
    def pools_with_state(self) -> frozenset[str]:
        """The pools with a status or step in the store."""
        return frozenset(
            pool
            for pool, pool_state in self._pools.items()
            if pool_state.status is not None or pool_state.step is not None
        )

    @property
    def pools_with_order(self) -> list[str]:
        """The pools that have an order."""
        return [
            pool
            for pool, pool_state in self._pools.items()
            if pool_state.order is not None
        ]

    def apply_states(
        self,
        statuses: Mapping[str, Status | None],
        steps: Mapping[str, Step | None],
        now_ms: int,
    ) -> None:
        """Apply the store's rows on orders by pool, None for no row."""
        self.is_state_loaded = True
        self._is_awaiting_state = False
        for pool in statuses.keys() | steps.keys():
            pool_state = self._pools.setdefault(pool, _PoolState())
            pool_state.status = statuses.get(pool, pool_state.status)
            pool_state.step = steps.get(pool, pool_state.step)
        for pool_state in self._pools.values():
            self._apply_store_state(pool_state, now_ms)

    def apply_reports(
        self, name: str, incarnation: int, reports: Iterable[Report]
    ) -> None:
        """Apply the reports in another gateway's heartbeat."""
        by_key = {
            self.hash_name(pool): pool_state
            for pool, pool_state in self._items()
        }
        for report in reports:
            pool_state = by_key.get(report.pool)
            if pool_state is None or pool_state.rollout is None:
                continue
            rollout = pool_state.rollout
            if report.order != rollout.order.version:
                continue
            rollout.evidence.apply_counts(name, incarnation, report.tallies)
            if report.stage is Stage.refused:
                rollout.reject('another gateway found it bad')

    def build_reports(self) -> tuple[Report, ...]:
        """Return the reports for the next heartbeat."""
        return tuple(
            pool_state.rollout.build_report(
                self.hash_name(pool),
                pool_state.rollout.count_servers(self.backends_of(pool)),
            )
            for pool, pool_state in self._items()
            if pool_state.rollout is not None
        )

    def group_backends(
        self,
        pool: str,
        backends: Sequence[BackendT],
        now_ms: int,
        draw: float | None,
    ) -> tuple[Sequence[BackendT], ...]:
        """Return the backends that may be used, grouped by preference.

        Parameters
        ----------
        draw : float or None
            Random number from 0 to 1, None for a request that must not go to
            an unproved version.

        """
        pool_state = self._pools.get(pool)
        if pool_state is None:
            return (backends,)
        if pool_state.rollout is not None:
            return pool_state.rollout.group_backends(backends, now_ms, draw)
        status = pool_state.status
        if status is None or pool_state.final_ms is None:
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
        # Old servers have stopped by now but may still be listed.
        is_just_done = now_ms < pool_state.final_ms + _STOPPED_SERVERS_MS
        return (new,) if is_just_done and new else (backends,)

    def record_placement(self, pool: str, version: str) -> None:
        """Record that a request was placed on a server of a version."""
        rollout = self._find_rollout(pool)
        if rollout is not None:
            is_new = version == rollout.order.target
            rollout.exposure.record(is_new=is_new)

    def record_answer(
        self,
        pool: str,
        route: int,
        version: str,
        sample: LatencySample | None,
        now_ms: int,
        *,
        is_bad: bool,
        is_answer: bool = True,
    ) -> None:
        """Record the outcome of an attempt on a server.

        Parameters
        ----------
        sample : LatencySample or None
            The latency, None if it is not meaningful.
        is_answer : bool
            Whether the server answered.  Otherwise the attempt counts only if
            it was slow.

        """
        rollout = self._find_rollout(pool)
        is_new = rollout is not None and version == rollout.order.target
        if rollout is not None:
            # Without traffic to the old version a load spike could not be
            # told from a slow version: 11 slow answers of 51 rolled a good
            # one back on a machine that had just become busy.
            has_baseline = rollout.traffic_share(now_ms) < 1
            is_slow = (
                has_baseline
                and sample is not None
                and self.latency_baseline.is_slow(route, sample)
            )
            if is_answer or is_slow:
                rollout.evidence.record(
                    route, is_new=is_new, is_bad=is_bad or is_slow
                )
        is_baseline = is_answer and not is_bad and not is_new
        if sample is not None and is_baseline:
            self.latency_baseline.record(route, sample)

    def count_open_old(self, pool: str) -> int:
        """Return the open requests on servers other than the target version."""
        rollout = self._find_rollout(pool)
        if rollout is None:
            return 0
        return rollout.count_servers(self.backends_of(pool)).open_old

    def evaluate(self, now_ms: int) -> None:
        """Update the stage of each rollout."""
        for pool, pool_state in self._items():
            rollout = pool_state.rollout
            if rollout is None:
                continue
            before = rollout.stage, rollout.is_rejected
            if pool_state.order is not None and not self.has_pool(pool):
                rollout.reject('no such pool')
            rollout.evaluate(
                now_ms, rollout.count_servers(self.backends_of(pool))
            )
            if before != (rollout.stage, rollout.is_rejected):
                _log_change('rollout stage changed', rollout)

    def plan_changes(self, now_ms: int) -> list[Change]:
        """Return the next writes to the store, at most one per pool."""
        if not self.is_state_loaded:
            return []
        changes = [self._plan_change(pool, now_ms) for pool in self._pools]
        return [change for change in changes if change is not None]

    def _items(self) -> list[tuple[str, _PoolState]]:
        return list(self._pools.items())

    def _find_rollout(self, pool: str) -> Rollout | None:
        pool_state = self._pools.get(pool)
        return pool_state.rollout if pool_state else None

    @property
    def _allowance(self) -> float:
        """This gateway's part of the allowance, 0 until others are known."""
        gateway_count = self.count_gateways()
        return self.limits.allowance / gateway_count if gateway_count else 0

    def _start_rollout(
        self,
        pool_state: _PoolState,
        order: Order,
        now_ms: int,
        allowance: float,
    ) -> None:
        pool_state.order = order
        pool_state.closing_ms = None
        pool_state.final_ms = None
        exposure = Exposure(self.limits.share, allowance)
        pool_state.rollout = Rollout(order, exposure, now_ms)
        _log_change('rollout ordered', pool_state.rollout)
        if self.is_state_loaded:
            self._apply_store_state(pool_state, now_ms)

    def _apply_store_state(self, pool_state: _PoolState, now_ms: int) -> None:
        """Apply the store's status and step to a pool's rollout."""
        rollout = pool_state.rollout
        if rollout is None:
            return
        status = _status_for(pool_state.status, rollout.order)
        step = pool_state.step
        if step is not None and step.order == rollout.order.version:
            started_ms = self.local_ms(step.since_ms)
            rollout.started_ms = min(rollout.started_ms, started_ms)
            if step.is_closing and pool_state.closing_ms is None:
                pool_state.closing_ms = now_ms
            rollout.apply_step(step)
        if status is not None:
            rollout.apply_status(status)
            if status.state.is_final:
                pool_state.final_ms = now_ms
                pool_state.rollout = None
                _log_change('rollout finished', rollout)

    def _plan_change(self, pool: str, now_ms: int) -> Change | None:
        """Return the next write for one pool, if any."""
        pool_state = self._pools[pool]
        rollout = pool_state.rollout
        if rollout is None:
            return None
        order = rollout.order
        step = pool_state.step
        if step is not None and step.order != order.version:
            step = None
        if rollout.is_rejected:
            return self._build_change(pool_state, rollout, State.rolled_back)
        if step is None or _status_for(pool_state.status, order) is None:
            new_step = Step(order.version, False, self.store_ms(now_ms), 0)
            return self._build_change(
                pool_state, rollout, State.running, new_step
            )
        reports = self._collect_reports(pool, rollout)
        if reports is None:
            return None
        if step.is_closing:
            return self._plan_end(pool_state, rollout, reports, now_ms)
        closing = None
        if all(report.stage in _MOVED_STAGES for report in reports):
            new_step = Step(order.version, True, step.since_ms, 0)
            closing = self._build_change(pool_state, rollout, None, new_step)
        return closing

    def _plan_end(
        self,
        pool_state: _PoolState,
        rollout: Rollout,
        reports: Sequence[Report],
        now_ms: int,
    ) -> Change | None:
        """Finish once no gateway has open requests on the old version."""
        if (
            pool_state.closing_ms is None
            or now_ms < pool_state.closing_ms + _GATEWAY_LISTING_MS
        ):
            return None
        if not all(map(_is_drained, reports)):
            return None
        return self._build_change(pool_state, rollout, State.done)

    def _collect_reports(
        self, pool: str, rollout: Rollout
    ) -> list[Report] | None:
        """Return the reports of all gateways, None if one is missing."""
        others = self.list_reports()
        if others is None:
            return None
        key = self.hash_name(pool)
        reports = [
            rollout.build_report(
                key, rollout.count_servers(self.backends_of(pool))
            )
        ]
        for by_pool in others:
            report = by_pool.get(key)
            if report is None or report.order != rollout.order.version:
                return None
            reports.append(report)
        return reports

    def _build_change(
        self,
        pool_state: _PoolState,
        rollout: Rollout,
        state: State | None,
        step: Step | None = None,
    ) -> Change:
        status, stored_step = pool_state.status, pool_state.step
        return Change(
            rollout.order.pool,
            rollout.order.target,
            pool_state.order.version if pool_state.order else 0,
            status.version if status else 0,
            stored_step.version if stored_step else 0,
            rollout.reason,
            state,
            step,
        )


def _is_drained(report: Report) -> bool:
    return report.stage is Stage.closed and not report.open_old


def _status_for(status: Status | None, order: Order) -> Status | None:
    """Return a status if it belongs to this order, not an earlier one."""
    if status is None or status.version < order.version:
        return None
    return status if status.target == order.target else None


def _log_change(event: str, rollout: Rollout) -> None:
    """Log a change of a rollout with its evidence."""
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
