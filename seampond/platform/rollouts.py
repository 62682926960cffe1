"""Orders and states of roll-outs as the platform's store keeps them."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from seampond.clock import MS_PER_SECOND
from seampond.errors import PlatformError
from seampond.platform import names
from seampond.platform.rows import NonNegativeFloat, NonNegativeInt, decode_row
from seampond.platform.store import RowTransaction
from seampond.rollouts import Change, Order, State, Status, Step
from seampond.watches import Row, revision_of

_STATES = MappingProxyType(
    {
        'running': State.running,
        'done': State.done,
        'rolled_back': State.rolled_back,
    }
)
_WORDS = MappingProxyType({state: word for word, state in _STATES.items()})


_STEP = 'rollout'


class _Order(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    target_version: str
    duration_s: NonNegativeFloat


class _Status(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    target_version: str


class _Step(msgspec.Struct, frozen=True, rename='kebab'):
    """Our own row beside the status, which the platform does not read."""

    order: NonNegativeInt
    is_closing: bool
    since_ms: NonNegativeInt


def is_order_row(row: Row) -> bool:
    """Tell whether a row of the operators' table is about a roll-out."""
    return row.key.startswith(names.ROLLOUT_PREFIX)


def pool_name(row: Row) -> str:
    """Give the pool that a row is about."""
    return row.key.partition('/')[2]


def parse_order(row: Row) -> Order:
    """Read an operator's order.

    Explanation
    -----------
    It is known by the store's own number, as are its state and step: a row
    that a restore of the store has kept is still the same order.

    Raises
    ------
    PlatformError
        If it is none; says which field is wrong.

    Examples
    --------
    >>> text = b'{"service": "s", "target-version": "v2", "duration-s": 12}'
    >>> parse_order(Row('rollout/s', text, 7)).duration_ms
    12000

    """
    order = _decode(row, _Order)
    pool = pool_name(row)
    if order.service != pool:
        raise _refuse(row, f'`service` is {order.service!r}, not {pool!r}')
    if not order.target_version:
        raise _refuse(row, '`target-version` is empty')
    if not order.duration_s > 0:
        raise _refuse(row, '`duration-s` is not above 0')
    duration_ms = round(order.duration_s * MS_PER_SECOND)
    return Order(
        pool, order.target_version, duration_ms, revision_of(row.version)
    )


def parse_status(row: Row) -> Status:
    """Read what the store says of an order.

    Raises
    ------
    PlatformError
        If it is none.

    """
    status = _decode(row, _Status)
    state = _STATES.get(status.state)
    if state is None:
        raise _refuse(row, f'`state` is {status.state!r}')
    return Status(state, status.target_version, revision_of(row.version))


def is_status_row(row: Row) -> bool:
    """Tell whether a row of the table of states is about a roll-out."""
    return row.key.startswith(names.ROLLOUT_PREFIX)


def is_step_row(row: Row) -> bool:
    """Tell whether a row is what the gateways agree on beside a state."""
    return row.key.startswith(names.STEP_PREFIX)


def parse_step(row: Row) -> Step:
    """Read what the gateways have agreed on.

    Raises
    ------
    PlatformError
        If it is nothing of that kind.

    """
    step = _decode(row, _Step)
    return Step(
        step.order, step.is_closing, step.since_ms, revision_of(row.version)
    )


def encode_transaction(change: Change) -> RowTransaction:
    """Give the rows that a change rests on and those that it writes."""
    key = f'{names.ROLLOUT_PREFIX}{change.pool}'
    step_key = f'{names.STEP_PREFIX}{change.pool}'
    status = (names.STATUS_TABLE, key)
    step = (names.STATUS_TABLE, step_key)
    puts: dict[tuple[str, str], bytes] = {}
    if change.state is not None:
        told = {
            'state': _WORDS[change.state],
            'target-version': change.target,
        }
        puts[status] = _encode(told)
    if change.step is not None:
        told_step = _Step(
            change.step.order, change.step.is_closing, change.step.since_ms
        )
        puts[step] = msgspec.json.encode(told_step)
    expected = {
        (names.CONFIGURATION_TABLE, key): change.order_version,
        status: change.status_version,
        step: change.step_version,
    }
    return RowTransaction(expected, puts)


def _encode(told: Mapping[str, str]) -> bytes:
    return json.dumps(told).encode()


def _decode(row: Row, wanted: type[Any]) -> Any:
    return decode_row(row.content, wanted, step=_STEP, peer=row.key)


def _refuse(row: Row, why: str) -> PlatformError:
    return PlatformError(why, step=_STEP, peer=row.key)
