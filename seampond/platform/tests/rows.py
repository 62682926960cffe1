"""Writing of rows of the platform's tables, for tests of whole gateways."""

import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from seampond.platform import names
from seampond.testing.store import StandInStore

HOST = 'a.example'
KEY = 'k1'
IDEMPOTENT = 'idempotent'
ONCE = 'non_idempotent'
STREAM = 'streaming'
TENANT = 't1'
POOL = 's1'
ID_HEADER = names.HEADERS.request_id.decode()
STAMP_HEADER = names.HEADERS.stamp.decode()
DEADLINE_HEADER = names.HEADERS.deadline.decode()
TENANT_HEADER = names.HEADERS.tenant.decode()
PARTS_HEADER = names.HEADERS.prompt.decode()
TOKENS_HEADER = names.HEADERS.tokens.decode()


@dataclass(frozen=True, slots=True)
class ConfigurationRow:
    """A configuration of one route and one tenant.

    Parameters
    ----------
    keys : Sequence[str]
        The tenant's keys.
    weights : Sequence[tuple[str, int]]
        Pools of the route and their weights, empty for a single pool.
    connections_max : int
        Connections that each server accepts, 0 for any number.
    limits : dict[str, int]
        Limits on callers, with the names of the models.
    other_tenants : int
        Number of further tenants.
    may_resume : bool
        Whether a broken stream may be resumed.
    has_once_route : bool
        Whether there is a route, at `/once/`, whose streams may not be.
    timeout_ms : int
        Longest time to the end of an answer.

    """

    version: int = 1
    kind: str = IDEMPOTENT
    keys: Sequence[str] = (KEY,)
    weights: Sequence[tuple[str, int]] = ()
    connections_max: int = 0
    limits: dict[str, int] | None = None
    other_tenants: int = 0
    may_resume: bool = False
    has_once_route: bool = False
    timeout_ms: int = 5000

    def make(self) -> dict[str, Any]:
        """Return the row as the store holds it."""
        route: dict[str, Any] = {
            'name': 'r1',
            'host': HOST,
            'path-prefix': '/x/',
            'kind': self.kind,
            'timeout-ms': self.timeout_ms,
            'target-latency-ms': 1000,
            'service': POOL,
            'max-attempts': 2,
            'stream-resume': self.may_resume,
        }
        if self.weights:
            route['traffic-split'] = [
                {'service': pool, 'weight': weight}
                for pool, weight in self.weights
            ]
        routes = [route]
        if self.has_once_route:
            changes = {
                'name': 'r2',
                'path-prefix': '/once/',
                'stream-resume': False,
            }
            routes.append(route | changes)
        limits = {
            name.replace('_', '-'): limit
            for name, limit in (self.limits or {}).items()
        }
        return {
            'version': self.version,
            'routes': routes,
            'services': [{'name': POOL, 'max-conns': self.connections_max}],
            'tenants': [
                {'name': TENANT, 'api-keys': list(self.keys)},
                *(
                    {'name': f'other-{number}', 'api-keys': [f'k-{number}']}
                    for number in range(self.other_tenants)
                ),
            ],
            'limits': limits,
        }


def put_configuration(
    store: StandInStore, row: ConfigurationRow | None = None
) -> None:
    """Write a configuration as an operator would."""
    content = (row or ConfigurationRow()).make()
    store.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, content)


def read_configuration_version(store: StandInStore) -> int:
    """Return the store's version of the configuration's row."""
    key = (names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY)
    return int(str(store.rows[key]['ver']))


def put_server(
    store: StandInStore, server_id: str, address: str, **changes: Any
) -> None:
    """Write a server's row as the server would."""
    row = {
        'service': POOL,
        'address': address,
        'zone': 'a',
        'slots': 4,
        'state': names.READY_STATE,
    }
    store.put(names.SERVERS_TABLE, server_id, row | changes)


def drop_server(store: StandInStore, server_id: str) -> None:
    """Remove a server's row."""
    store.delete(names.SERVERS_TABLE, server_id)


def put_gateway(store: StandInStore, name: str) -> None:
    """Write the row of a gateway that does not answer."""
    store.put(names.GATEWAYS_TABLE, name, {'address': '127.0.0.1:9'})


def is_gateway_removed(store: StandInStore, name: str) -> bool:
    """Return True if the row of a gateway does not exist."""
    row = store.rows.get((names.GATEWAYS_TABLE, name), {'gone': True})
    return bool(row.get('gone'))


def put_order(
    store: StandInStore, target: str, duration_s: float, **changes: Any
) -> None:
    """Order a rollout as an operator would."""
    row = {
        'service': POOL,
        'target-version': target,
        'duration-s': duration_s,
    }
    key = f'{names.ROLLOUT_PREFIX}{POOL}'
    store.put(names.CONFIGURATION_TABLE, key, row | changes)


def drop_order(store: StandInStore) -> None:
    """Withdraw an order."""
    key = f'{names.ROLLOUT_PREFIX}{POOL}'
    store.delete(names.CONFIGURATION_TABLE, key)


def read_state(store: StandInStore) -> tuple[str, str]:
    """Return the state of a rollout and its target version."""
    key = f'{names.ROLLOUT_PREFIX}{POOL}'
    row = store.rows.get((names.STATUS_TABLE, key))
    if row is None:
        return '', ''
    status = json.loads(base64.b64decode(str(row['value'])))
    return status['state'], status['target-version']


def is_quarantine_empty(store: StandInStore) -> bool:
    """Return True if no row of a trial is left."""
    return all(
        row.get('gone')
        for (table, _), row in store.rows.items()
        if table == names.QUARANTINE_TABLE
    )
