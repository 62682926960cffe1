"""Rows of rollout orders, states and steps in the platform's store."""

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

_STATES_BY_NAME = MappingProxyType(
    {
        'running': State.running,
        'done': State.done,
        'rolled_back': State.rolled_back,
    }
)
_STATE_NAMES = MappingProxyType(
    {state: name for name, state in _STATES_BY_NAME.items()}
)


_ERROR_STEP = 'rollout'


class _Order(msgspec.Struct, frozen=True, rename='kebab'):
    service: str
    target_version: str
    duration_s: NonNegativeFloat


class _Status(msgspec.Struct, frozen=True, rename='kebab'):
    state: str
    target_version: str


class _Step(msgspec.Struct, frozen=True, rename='kebab'):
    """A step, shared among gateways only; the platform does not read it."""

    order: NonNegativeInt
    is_closing: bool
    since_ms: NonNegativeInt


def is_order_row(row: Row) -> bool:
    """Return True if a row of the configuration table is a rollout order."""
    return row.key.startswith(names.ROLLOUT_PREFIX)


def pool_name(row: Row) -> str:
    """Return the pool that a row is about."""
    return row.key.partition('/')[2]


def parse_order(row: Row) -> Order:
    """Parse an operator's order.

    Explanation
    -----------
    An order is identified by its row's version number without the era, so
    that an order kept by a restore of the store is still the same order.

    Raises
    ------
    PlatformError
        If the row is not valid; names the invalid field.

    Examples
    --------
    >>> text = b'{"service": "s", "target-version": "v2", "duration-s": 12}'
    >>> parse_order(Row('rollout/s', text, 7)).duration_ms
    12000

    """
    order = _decode(row, _Order)
    pool = pool_name(row)
    if order.service != pool:
        raise _make_error(row, f'`service` is {order.service!r}, not {pool!r}')
    if not order.target_version:
        raise _make_error(row, '`target-version` is empty')
    if not order.duration_s > 0:
        raise _make_error(row, '`duration-s` is not above 0')
    duration_ms = round(order.duration_s * MS_PER_SECOND)
    return Order(
        pool, order.target_version, duration_ms, revision_of(row.version)
    )


def parse_status(row: Row) -> Status:
    """Parse the status of an order.

    Raises
    ------
    PlatformError
        If the row is not valid.

    """
    status = _decode(row, _Status)
    state = _STATES_BY_NAME.get(status.state)
    if state is None:
        raise _make_error(row, f'`state` is {status.state!r}')
    return Status(state, status.target_version, revision_of(row.version))


def is_status_row(row: Row) -> bool:
    """Return True if a row of the status table is a rollout status."""
    return row.key.startswith(names.ROLLOUT_PREFIX)


def is_step_row(row: Row) -> bool:
    """Return True if a row of the status table is a rollout step."""
    return row.key.startswith(names.STEP_PREFIX)


def parse_step(row: Row) -> Step:
    """Parse a rollout step.

    Raises
    ------
    PlatformError
        If the row is not valid.

    """
    step = _decode(row, _Step)
    return Step(
        step.order, step.is_closing, step.since_ms, revision_of(row.version)
    )


def encode_transaction(change: Change) -> RowTransaction:
    """Return the transaction that writes a change.

    Explanation
    -----------
    It is committed only if the order, status and step are still those that
    the change was decided on.
    """
    key = f'{names.ROLLOUT_PREFIX}{change.pool}'
    step_key = f'{names.STEP_PREFIX}{change.pool}'
    status = (names.STATUS_TABLE, key)
    step = (names.STATUS_TABLE, step_key)
    puts: dict[tuple[str, str], bytes] = {}
    if change.state is not None:
        status_content = {
            'state': _STATE_NAMES[change.state],
            'target-version': change.target,
        }
        puts[status] = _encode_json(status_content)
    if change.step is not None:
        step_content = _Step(
            change.step.order, change.step.is_closing, change.step.since_ms
        )
        puts[step] = msgspec.json.encode(step_content)
    expected = {
        (names.CONFIGURATION_TABLE, key): change.order_version,
        status: change.status_version,
        step: change.step_version,
    }
    return RowTransaction(expected, puts)


def _encode_json(content: Mapping[str, str]) -> bytes:
    return json.dumps(content).encode()


def _decode(row: Row, model: type[Any]) -> Any:
    return decode_row(row.content, model, step=_ERROR_STEP, peer=row.key)


def _make_error(row: Row, message: str) -> PlatformError:
    return PlatformError(message, step=_ERROR_STEP, peer=row.key)
