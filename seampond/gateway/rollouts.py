"""Following of rollout orders and states, and writing of decisions."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol, TypeVar

from seampond.clock import Clock
from seampond.errors import ConflictError, PlatformError
from seampond.platform.rollouts import (
    encode_transaction,
    is_order_row,
    is_status_row,
    is_step_row,
    parse_order,
    parse_status,
    parse_step,
    pool_name,
)
from seampond.platform.store import RowTransaction
from seampond.promises import Promises, Rule
from seampond.rollouts import Change, RolloutManager, Stage, State
from seampond.watches import Page, Row

_CHECK_INTERVAL_MS = 100
# All gateways reach the same decision; each waits this long for every gateway
# ranked before it to write the decision first.
_WRITE_DELAY_PER_RANK_MS = 300
_RANKS_MAX = 4
# Long enough for the feed to show a write whose answer was lost.
_WRITE_RETRY_MS = 400
_logger = logging.getLogger(__name__)
_Parsed = TypeVar('_Parsed')


class TransactionWriter(Protocol):
    """Writes rows of the store conditionally."""

    async def commit(self, transaction: RowTransaction) -> None:
        """Write all rows or none."""


class RolloutFollower:
    """Passes rows of the store to the rollout manager.

    Parameters
    ----------
    is_active : asyncio.Event
        Set while the status table has to be followed.

    """

    def __init__(self, rollouts: RolloutManager, clock: Clock) -> None:
        """Create a follower without orders."""
        self.manager = rollouts
        self.is_active = asyncio.Event()
        self._clock = clock
        self._is_start = True

    def handle_orders(self, page: Page) -> None:
        """Apply an answer about the configuration table."""
        rows = [row for row in page.rows if is_order_row(row)]
        latest = {row.key: row for row in rows}
        orders = list(_parse_rows(latest.values(), parse_order))
        withdrawn = [
            pool_name(row) for row in latest.values() if row.is_deleted
        ]
        if page.is_snapshot:
            listed = set(map(pool_name, latest.values()))
            withdrawn.extend(set(self.manager.pools_with_order) - listed)
        self.manager.apply_orders(
            orders, withdrawn, self._clock.now(), is_start=self._is_start
        )
        self._is_start = False
        self._update_active()

    def handle_states(self, page: Page) -> None:
        """Apply an answer about the status table."""
        latest = {row.key: row for row in page.rows}
        statuses = [row for row in latest.values() if is_status_row(row)]
        steps = [row for row in latest.values() if is_step_row(row)]
        # A pool whose row is missing from a snapshot has no state any more.
        missing_pools = (
            self.manager.pools_with_state if page.is_snapshot else ()
        )
        self.manager.apply_states(
            dict.fromkeys(missing_pools)
            | {pool_name(row): None for row in statuses}
            | dict(_parse_by_pool(statuses, parse_status)),
            dict.fromkeys(missing_pools)
            | {pool_name(row): None for row in steps}
            | dict(_parse_by_pool(steps, parse_step)),
            self._clock.now(),
        )
        self._update_active()

    def _update_active(self) -> None:
        if self.manager.has_running:
            self.is_active.set()
        else:
            self.is_active.clear()


def _parse_rows(
    rows: Iterable[Row], parse: Callable[[Row], _Parsed]
) -> Iterator[_Parsed]:
    for _, parsed in _parse_by_pool(rows, parse):
        yield parsed


def _parse_by_pool(
    rows: Iterable[Row], parse: Callable[[Row], _Parsed]
) -> Iterator[tuple[str, _Parsed]]:
    """Parse rows by pool; invalid rows are logged and skipped."""
    for row in rows:
        if row.is_deleted:
            continue
        try:
            yield pool_name(row), parse(row)
        except PlatformError as error:
            _logger.error(
                'invalid rollout row ignored',
                extra={'key': row.key, 'reason': error.message},
            )


async def execute_rollouts(
    follower: RolloutFollower,
    writer: TransactionWriter,
    rank: Callable[[], int],
    notify_peers: Callable[[], None],
    promises: Promises,
    clock: Clock,
) -> None:
    """Evaluate rollouts and write the decisions until cancelled.

    Parameters
    ----------
    rank : Callable[[], int]
        Number of gateways that write before this one.
    notify_peers : Callable[[], None]
        Sends a heartbeat at once.

    """
    rollouts = follower.manager
    since_ms: dict[Change, int] = {}
    while True:
        await follower.is_active.wait()
        before = _list_stages(rollouts)
        rollouts.evaluate(clock.now())
        if before != _list_stages(rollouts):
            notify_peers()
        now_ms = clock.now()
        changes = rollouts.plan_changes(now_ms)
        since_ms = {change: since_ms.get(change, now_ms) for change in changes}
        wait_ms = min(_RANKS_MAX, rank()) * _WRITE_DELAY_PER_RANK_MS
        due = [
            change for change in changes if now_ms >= since_ms[change] + wait_ms
        ]
        for change in due:
            _check_promises(rollouts, change, promises)
            await _write(writer, change)
        await clock.sleep(_WRITE_RETRY_MS if due else _CHECK_INTERVAL_MS)


def _list_stages(rollouts: RolloutManager) -> list[tuple[Stage, bool]]:
    return [
        (rollout.stage, rollout.is_rejected) for rollout in rollouts.running
    ]


def _check_promises(
    rollouts: RolloutManager, change: Change, promises: Promises
) -> None:
    """Check a decision against the promises before it is written."""
    if change.state is State.done:
        promises.check(
            Rule.nothing_open_when_done,
            not rollouts.count_open_old(change.pool),
            step='rollout',
        )


async def _write(writer: TransactionWriter, change: Change) -> None:
    extra = {
        'pool': change.pool,
        'target': change.target,
        'state': change.state.value if change.state else '',
        'is_closing': bool(change.step and change.step.is_closing),
        'reason': change.reason,
    }
    try:
        await writer.commit(encode_transaction(change))
    except ConflictError:
        _logger.info(
            'rollout state already written by another gateway', extra=extra
        )
    except PlatformError as error:
        _logger.warning(
            'rollout state not written',
            extra=extra | {'detail': error.message},
        )
    else:
        _logger.info('rollout state written', extra=extra)
