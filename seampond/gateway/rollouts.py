"""Orders and states of roll-outs followed, and decisions written."""

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

_LOOK_MS = 100
# Each that comes later in the order of names leaves the earlier ones this time
# to write: all come to the same decision.
_RANK_MS = 300
_MOST_RANKS = 4
# A write may have been done without an answer; the feed tells by then.
_AGAIN_MS = 400
_logger = logging.getLogger(__name__)
_Read = TypeVar('_Read')


class TransactionWriter(Protocol):
    """Writes rows of the store on conditions."""

    async def commit(self, change: RowTransaction) -> None:
        """Write all or none."""


class RolloutFollower:
    """Hands rows of the store on to the roll-outs.

    Parameters
    ----------
    is_active : asyncio.Event
        Set while the states of orders have to be followed.

    """

    def __init__(self, rollouts: RolloutManager, clock: Clock) -> None:
        """Start with no order."""
        self.manager = rollouts
        self.is_active = asyncio.Event()
        self._clock = clock
        self._is_start = True

    def handle_orders(self, page: Page) -> None:
        """Take an answer about the operators' table."""
        rows = [row for row in page.rows if is_order_row(row)]
        latest = {row.key: row for row in rows}
        orders = list(_read_all(latest.values(), parse_order))
        gone = [pool_name(row) for row in latest.values() if row.is_deleted]
        if page.is_snapshot:
            listed = set(map(pool_name, latest.values()))
            gone.extend(set(self.manager.pools_with_order) - listed)
        self.manager.apply_orders(
            orders, gone, self._clock.now(), is_start=self._is_start
        )
        self._is_start = False
        self._update_active()

    def handle_states(self, page: Page) -> None:
        """Take an answer about the table of states."""
        latest = {row.key: row for row in page.rows}
        statuses = [row for row in latest.values() if is_status_row(row)]
        steps = [row for row in latest.values() if is_step_row(row)]
        # A row that is not there any more is one that nothing rests on.
        lacking = self.manager.pools_with_state if page.is_snapshot else ()
        self.manager.apply_states(
            dict.fromkeys(lacking)
            | {pool_name(row): None for row in statuses}
            | dict(_read_named(statuses, parse_status)),
            dict.fromkeys(lacking)
            | {pool_name(row): None for row in steps}
            | dict(_read_named(steps, parse_step)),
            self._clock.now(),
        )
        self._update_active()

    def _update_active(self) -> None:
        if self.manager.has_running:
            self.is_active.set()
        else:
            self.is_active.clear()


def _read_all(
    rows: Iterable[Row], read: Callable[[Row], _Read]
) -> Iterator[_Read]:
    for _, told in _read_named(rows, read):
        yield told


def _read_named(
    rows: Iterable[Row], read: Callable[[Row], _Read]
) -> Iterator[tuple[str, _Read]]:
    """Read rows; one that is none is logged and passed over."""
    for row in rows:
        if row.is_deleted:
            continue
        try:
            yield pool_name(row), read(row)
        except PlatformError as error:
            _logger.error(
                'row of a roll-out refused',
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
    """Judge, and write what is decided, for as long as the process lives.

    Parameters
    ----------
    rank : Callable[[], int]
        How many others write before us.
    notify_peers : Callable[[], None]
        Lets the others hear of us at once.

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
        wait_ms = min(_MOST_RANKS, rank()) * _RANK_MS
        due = [
            change for change in changes if now_ms >= since_ms[change] + wait_ms
        ]
        for change in due:
            _check(rollouts, change, promises)
            await _write(writer, change)
        await clock.sleep(_AGAIN_MS if due else _LOOK_MS)


def _list_stages(rollouts: RolloutManager) -> list[tuple[Stage, bool]]:
    return [(one.stage, one.is_rejected) for one in rollouts.running]


def _check(
    rollouts: RolloutManager, change: Change, promises: Promises
) -> None:
    """Hold a decision against what was promised, before it is written."""
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
        _logger.info('another gateway wrote of the roll-out', extra=extra)
    except PlatformError as error:
        _logger.warning(
            'state of a roll-out not written',
            extra=extra | {'detail': error.message},
        )
    else:
        _logger.info('state of a roll-out written', extra=extra)
