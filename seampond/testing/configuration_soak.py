"""Gateway processes whose configuration changes while faults overlap.

`python -m seampond.testing.configuration_soak --seed 1 --seconds 20`
"""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.response_head import ExchangeError
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    ConfigurationRow,
    put_configuration,
)
from seampond.tasks import run_tasks
from seampond.testing.gateway_processes import (
    GatewayProcess,
    run_gateways,
    wait_ready,
)
from seampond.testing.signalling import run_signalling
from seampond.testing.soak_faults import (
    CONFIGURATION_FAULTS,
    SoakContext,
    inject_faults,
)
from seampond.testing.store import run_store

_DEADLINE_MS = 3000
# How long a gateway and the store must have been undisturbed.
_CONTACT_MS = 4000
_KEPT_KEYS = 60
_REQUEST_GAP_MS = 50
_TIMEOUT_MS = 2000
_QUIET_MS = 10_000
_SERVERS = 2
# Tenants beyond the first, for configurations of up to 125 KB.
_TENANTS = (0, 2000)
_GAPS_MS = (300, 800)
_BYTES_PER_S = (0, 1_000_000)
_DENIALS = (HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND)


@dataclass(frozen=True, slots=True)
class Change:
    """A configuration that was written, and the key that it added."""

    at_ms: int
    version: int
    key: str


@dataclass
class ConfigurationReport:
    """Counts of a soak; `wrong` lists the promises that were broken.

    Parameters
    ----------
    bound : int
        Answers of gateways that were undisturbed for long.

    """

    changes: int = 0
    bound: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class ConfigurationPlan:
    """The parameters of a soak.

    Parameters
    ----------
    seed : int
        Determines sizes, times and faults, but not the interleaving.
    seconds : float
        Duration of the faults.
    gateways : int
        Number of gateway processes.

    """

    seed: int
    seconds: float
    gateways: int = 3


class ConfigurationSoak:
    """Changes a configuration and asks each gateway for what it allows."""

    def __init__(self, context: SoakContext, tenants: int, gap_ms: int) -> None:
        """Start without a change."""
        self.report = ConfigurationReport(faults=context.faults)
        self._context = context
        self._clock = context.clock
        self._gap_ms = gap_ms
        self._row = replace(context.configuration, other_tenants=tenants)
        self._changes: deque[Change] = deque(maxlen=_KEPT_KEYS)

    async def change(self) -> None:
        """Add a key with each version, until cancelled."""
        while True:
            version = self._row.version + 1
            self._changes.append(
                Change(self._clock.now(), version, f'key-{version}')
            )
            keys = [change.key for change in self._changes]
            self._row = replace(self._row, version=version, keys=keys)
            put_configuration(self._context.store, self._row)
            self.report.changes += 1
            await self._clock.sleep(
                self._gap_ms * self._context.rng.uniform(0.5, 1.5)
            )

    async def ask(self, gateway: GatewayProcess) -> None:
        """Send requests on each connection as long as it lasts."""
        while True:
            await self._clock.sleep(_REQUEST_GAP_MS)
            try:
                connection = await open_connection(
                    gateway.ports[0], self._clock, b'', _TIMEOUT_MS
                )
            except ExchangeError:
                # The process has ended or is starting.
                self._context.record_disruption(gateway)
                continue
            with suppress(ExchangeError, TimeoutError):
                await self._use(connection, gateway)
            connection.close()

    async def _use(
        self, connection: Connection, gateway: GatewayProcess
    ) -> None:
        number = 0
        while True:
            number += 1
            change = self._newest_due()
            if change is not None:
                await self._send(connection, gateway, change, number)
            await self._clock.sleep(_REQUEST_GAP_MS)

    async def _send(
        self,
        connection: Connection,
        gateway: GatewayProcess,
        change: Change,
        number: int,
    ) -> None:
        """Send a request that every configuration in force allows."""
        sent_ms = self._clock.now()
        head = (
            f'GET /x/soak HTTP/1.1\r\nhost: {HOST}\r\n'
            f'{ID_HEADER}: {gateway.name}-{sent_ms}-{number}\r\n'
            f'authorization: Token {change.key}\r\n\r\n'
        )
        connection.send(b'soak', head.encode())
        async with asyncio.timeout(_TIMEOUT_MS / MS_PER_SECOND):
            answer = await connection.read_head()
            await connection.read_body(_KEPT_KEYS * MS_PER_SECOND)
        self.report.statuses[answer.status] += 1
        if self._is_bound(gateway, sent_ms):
            self.report.bound += 1
            self._check(gateway, change, answer.status)
        if not connection.finish(_TIMEOUT_MS):
            raise ExchangeError('closed', step='body', peer=gateway.name)

    def _check(
        self, gateway: GatewayProcess, change: Change, status: int
    ) -> None:
        if status in _DENIALS:
            age_ms = self._clock.now() - change.at_ms
            self.report.wrong.append(
                f'{gateway.name} answers {status} by an older version than '
                f'{change.version}, which was written {age_ms} ms before'
            )

    def _newest_due(self) -> Change | None:
        due_ms = self._clock.now() - _DEADLINE_MS
        due = [change for change in self._changes if change.at_ms <= due_ms]
        return due[-1] if due else None

    def _is_bound(self, gateway: GatewayProcess, at_ms: int) -> bool:
        """Whether the gateway and the store were undisturbed for long."""
        times = [
            *self._context.fleet.disrupted_ms.get(gateway.ports[0], ()),
            *self._context.store_disrupted_ms,
        ]
        is_calm = not self._context.store.is_down
        return is_calm and max(times, default=0) < at_ms - _CONTACT_MS


async def run_configuration_soak(
    folder: Path, plan: ConfigurationPlan
) -> ConfigurationReport:
    """Run gateways under faults and changes, then under changes alone."""
    rng = random.Random(plan.seed)
    clock = Clock()
    fault_ms = round(plan.seconds * MS_PER_SECOND)
    async with (
        run_store() as store,
        run_signalling(store, _SERVERS) as fleet,
        run_gateways(folder, store, count=plan.gateways) as gateways,
    ):
        configuration = ConfigurationRow()
        put_configuration(store, configuration)
        await wait_ready(
            gateways, make_client(plan.gateways, reuse_connections=False)
        )
        store.bytes_per_s = rng.choice(_BYTES_PER_S)
        context = SoakContext(
            gateways,
            fleet,
            store,
            rng,
            clock,
            clock.now() + fault_ms,
            configuration,
            CONFIGURATION_FAULTS,
        )
        soak = ConfigurationSoak(
            context, rng.choice(_TENANTS), rng.choice(_GAPS_MS)
        )
        async with run_tasks(
            soak.change(), *(soak.ask(gateway) for gateway in gateways)
        ):
            await inject_faults(context)
            store.orphan_feeds()
            context.record_store_disruption()
            await clock.sleep(_QUIET_MS)
    return soak.report


def main() -> int:
    """Run a soak and print its report; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--gateways', type=int, default=3)
    parser.add_argument('--folder', type=Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        plan = ConfigurationPlan(
            options.seed, options.seconds, options.gateways
        )
        report = asyncio.run(run_configuration_soak(folder, plan))
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
