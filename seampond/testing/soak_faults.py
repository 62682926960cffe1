"""Faults of gateways, servers and the store in a soak."""

import asyncio
import random
import signal
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from seampond.clock import Clock
from seampond.platform.names import DRAINING_STATE, READY_STATE, SERVERS_TABLE
from seampond.platform.tests.rows import ConfigurationRow, put_configuration
from seampond.testing.gateway_processes import GatewayProcess
from seampond.testing.signalling import SignallingFleet
from seampond.testing.store import StandInStore

# Longest delay of the row after the drain signal, and time until the crash.
_DRAIN_STEP_MS = 2500
_DRAINING_ROW_PROBABILITY = 0.7
_DOWNGRADE_PROBABILITY = 0.3
_REPLACE_INTERVAL_MAX_MS = 800
_HANG_UP_S = 1
_OTHER_TENANTS_MAX = 20
_LIMITS = (0, 0.2, 0.7, 1.5, 4)

Fault = Callable[['SoakContext'], Awaitable[None]]


@dataclass
class LoadBalancer(Sequence[str]):
    """Addresses of gateways, of which one may get most new connections.

    Parameters
    ----------
    preferred : str
        The address that gets most of them, empty for none.

    """

    addresses: Sequence[str]
    preferred: str = ''

    def __len__(self) -> int:
        """Return the number of gateways."""
        return len(self.addresses)

    def __getitem__(self, index: Any) -> Any:
        """Return the address for a turn."""
        if self.preferred and index:
            return self.preferred
        return self.addresses[index]


@dataclass
class SoakContext:
    """What faults act on, and how often each was injected."""

    gateways: Sequence[GatewayProcess]
    fleet: SignallingFleet
    store: StandInStore
    rng: random.Random
    clock: Clock
    until_ms: int
    configuration: ConfigurationRow
    fault_kinds: Sequence[Fault]
    earlier_build: Path | None = None
    balancer: LoadBalancer = field(default_factory=lambda: LoadBalancer(()))
    faults: Counter[str] = field(default_factory=Counter)
    store_disrupted_ms: list[int] = field(default_factory=list)

    def send_signal(
        self, gateway: GatewayProcess, number: signal.Signals
    ) -> Process | None:
        """Send a signal to a gateway and record the time.

        Returns
        -------
        Process or None
            The process that got it, None while the gateway is being started.

        """
        self.record_disruption(gateway)
        gateway.signal(number)
        return gateway.process

    def record_disruption(self, gateway: GatewayProcess) -> None:
        """Record that a gateway may have lost the signals it received."""
        disrupted_ms = self.fleet.disrupted_ms.setdefault(gateway.ports[0], [])
        disrupted_ms.append(self.clock.now())

    def record_store_disruption(self) -> None:
        """Record that the store may have lost or refused calls."""
        self.store_disrupted_ms.append(self.clock.now())


# Reports print the names of the fault functions.
async def _kill(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    await _end(context, [gateway], signal.SIGKILL)


async def _stop(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    await _end(context, [gateway], signal.SIGTERM)


async def _restart(
    context: SoakContext, gateway: GatewayProcess, process: Process | None
) -> None:
    """Start a gateway again once a process of it has ended."""
    if process is None:
        return
    await process.wait()
    # It received signals until it ended; those are lost too.
    context.record_disruption(gateway)
    await context.clock.sleep(context.rng.uniform(100, 1000))
    # Another fault may have restarted it.
    if gateway.process is process:
        await gateway.start()


async def _freeze(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    context.send_signal(gateway, signal.SIGSTOP)
    await context.clock.sleep(context.rng.uniform(300, 4000))
    context.send_signal(gateway, signal.SIGCONT)


async def _hang_up(context: SoakContext) -> None:
    """Send a hang-up; start the gateway again if that ends it."""
    gateway = context.rng.choice(context.gateways)
    process = context.send_signal(gateway, signal.SIGHUP)
    with suppress(TimeoutError):
        async with asyncio.timeout(_HANG_UP_S):
            await gateway.wait()
        # It had not yet set up its signal handlers.
        await _restart(context, gateway, process)


async def _change_configuration(context: SoakContext) -> None:
    """Write another version of the configuration."""
    context.configuration = replace(
        context.configuration,
        version=context.configuration.version + 1,
        other_tenants=context.rng.randrange(_OTHER_TENANTS_MAX),
    )
    put_configuration(context.store, context.configuration)


async def _freeze_in_series(context: SoakContext) -> None:
    """Freeze gateways one after another, for overlapping times."""
    async with asyncio.TaskGroup() as group:
        for _ in range(context.rng.randrange(2, 5)):
            group.create_task(_freeze(context))
            await context.clock.sleep(context.rng.uniform(0, 500))


async def _kill_all(context: SoakContext) -> None:
    await _end(context, context.gateways, signal.SIGKILL)


async def _end(
    context: SoakContext,
    gateways: Sequence[GatewayProcess],
    number: signal.Signals,
) -> None:
    """End gateways at once, and start them again."""
    ended = [context.send_signal(gateway, number) for gateway in gateways]
    await asyncio.gather(
        *(
            _restart(context, gateway, process)
            for gateway, process in zip(gateways, ended, strict=True)
        )
    )


async def end_some(
    context: SoakContext, number: signal.Signals = signal.SIGKILL
) -> None:
    """End one, some or all gateways at once, and start them again."""
    rng = context.rng
    total = len(context.gateways)
    count = rng.choice((1, rng.randint(1, total), total))
    await _end(context, rng.sample(context.gateways, count), number)


async def _kill_some(context: SoakContext) -> None:
    await end_some(context)


async def _stop_some(context: SoakContext) -> None:
    await end_some(context, signal.SIGTERM)


async def _store_away(context: SoakContext) -> None:
    context.store.is_down = True
    context.record_store_disruption()
    await context.clock.sleep(context.rng.uniform(300, 2500))
    context.store.is_down = False
    context.record_store_disruption()


async def _orphan_feeds(context: SoakContext) -> None:
    """Lose the answers of the calls that wait in the store."""
    context.store.orphan_feeds()
    context.record_store_disruption()


async def _compact_store(context: SoakContext) -> None:
    """Let the store forget its history."""
    context.store.compact()
    context.record_store_disruption()


async def _crash_server(context: SoakContext) -> None:
    context.rng.choice(context.fleet.servers).crash()


async def _crash_half(context: SoakContext) -> None:
    """Let half of the servers lose power at once."""
    half = len(context.fleet.servers) // 2
    for server in context.rng.sample(context.fleet.servers, half):
        server.crash()


async def _skew_connections(context: SoakContext) -> None:
    """Send most new connections to one gateway."""
    gateway = context.rng.choice(context.gateways)
    context.balancer.preferred = gateway.ports[0]
    await context.clock.sleep(context.rng.uniform(1000, 5000))
    context.balancer.preferred = ''


async def _spoil_rows(context: SoakContext) -> None:
    for content in (b'[' * 100_000, b'{"slots": 1e999}', b'\xff'):
        number = context.rng.randrange(20)
        context.store.put(SERVERS_TABLE, f'bad-{number}', content)


async def _leave(context: SoakContext) -> None:
    """Drain and crash a server, with or without a draining row."""
    server = context.rng.choice(context.fleet.signalling_servers)
    started_ms = server.started_ms
    server.is_draining = True
    await context.clock.sleep(context.rng.uniform(0, _DRAIN_STEP_MS))
    if (
        context.rng.random() < _DRAINING_ROW_PROBABILITY
        and server.started_ms == started_ms
    ):
        server.put_row(state=DRAINING_STATE)
    await context.clock.sleep(_DRAIN_STEP_MS)
    if server.started_ms == started_ms:
        server.crash()


async def _want_rest(context: SoakContext) -> None:
    """Let a server reject all requests and ask callers to back off."""
    server = context.rng.choice(context.fleet.signalling_servers)
    server.retry_after = str(round(context.rng.uniform(0.5, 3), 2))
    server.is_overloaded = True
    await context.clock.sleep(context.rng.uniform(300, 4000))
    server.is_overloaded = False


async def _restore_store(context: SoakContext) -> None:
    """Restore the store from a backup; servers write their rows again."""
    context.store.is_down = True
    await context.clock.sleep(context.rng.uniform(100, 1000))
    lost_ms = context.rng.uniform(500, 3000)
    context.store.restore_backup(round(context.clock.now() - lost_ms))
    context.store.is_down = False
    await context.clock.sleep(context.rng.uniform(0, 1000))
    put_configuration(context.store, context.configuration)
    for server in context.fleet.signalling_servers:
        if server.is_up:
            state = DRAINING_STATE if server.is_row_draining else READY_STATE
            server.put_row(state=state)


async def _name_limit(context: SoakContext) -> None:
    """Let a server report one or two limits in turn."""
    server = context.rng.choice(context.fleet.signalling_servers)
    for _ in range(context.rng.randrange(1, 3)):
        server.limit = str(context.rng.choice(_LIMITS))
        await context.clock.sleep(context.rng.uniform(3000, 9000))
    server.limit = ''


FAULTS: tuple[Fault, ...] = (
    _kill,
    _stop,
    _freeze,
    _freeze,
    _kill_all,
    _store_away,
    _crash_server,
    _crash_server,
    _spoil_rows,
)


# For soaks with a prompt part that crashes servers, also while servers crash of
# themselves and most new connections go to one gateway.
PART_FAULTS: tuple[Fault, ...] = (
    *FAULTS,
    _crash_half,
    _crash_half,
    _skew_connections,
    _skew_connections,
)


# For soaks in which the configuration changes all the time.
CONFIGURATION_FAULTS: tuple[Fault, ...] = (
    _kill,
    _stop,
    _freeze,
    _kill_all,
    _store_away,
    _orphan_feeds,
    _orphan_feeds,
    _compact_store,
)


# For soaks in which servers of other versions are released.
RELEASE_FAULTS: tuple[Fault, ...] = (
    _kill,
    _kill,
    _stop,
    _freeze,
    _kill_all,
    _store_away,
    _orphan_feeds,
)


# For soaks that check each event of streams.
STREAM_FAULTS: tuple[Fault, ...] = (
    *RELEASE_FAULTS,
    _stop,
    _freeze,
    _freeze_in_series,
    _hang_up,
    _change_configuration,
    _change_configuration,
)


# For soaks in which one, some or all gateways end at once.
LOSS_FAULTS: tuple[Fault, ...] = (
    *STREAM_FAULTS,
    _kill_some,
    _kill_some,
    _kill_some,
    _stop_some,
)


# For soaks in which only single gateways are killed.
KILLS: tuple[Fault, ...] = (_kill,)


# Adds server signals and store restores.  A tuple of its own, since the runs
# of a seed depend on the faults to choose from.
SIGNAL_FAULTS: tuple[Fault, ...] = (
    *FAULTS,
    _leave,
    _leave,
    _want_rest,
    _want_rest,
    _restore_store,
)


# Adds server limits, for the same reason in a tuple of its own.
LIMIT_FAULTS: tuple[Fault, ...] = (
    *SIGNAL_FAULTS,
    _name_limit,
    _name_limit,
    _name_limit,
    _name_limit,
)


async def inject_faults(context: SoakContext) -> None:
    """Inject random, overlapping faults until the end of the fault time."""
    async with asyncio.TaskGroup() as group:
        while context.clock.now() < context.until_ms:
            await context.clock.sleep(context.rng.uniform(200, 2500))
            fault = context.rng.choice(context.fault_kinds)
            context.faults[fault.__name__] += 1
            group.create_task(fault(context))  # type: ignore[arg-type]


async def replace_builds(context: SoakContext) -> None:
    """Upgrade the gateways of an earlier build, with random downgrades.

    Explanation
    -----------
    Gateways that are not replaced by the end of the fault time are left.
    """
    for gateway in context.gateways:
        await _replace(context, gateway, None)
        if context.rng.random() < _DOWNGRADE_PROBABILITY:
            await _replace(context, gateway, context.earlier_build)
            await _replace(context, gateway, None)


async def _replace(
    context: SoakContext, gateway: GatewayProcess, build: Path | None
) -> None:
    """Stop a gateway and restart it from another build."""
    await context.clock.sleep(context.rng.uniform(0, _REPLACE_INTERVAL_MAX_MS))
    if context.clock.now() >= context.until_ms:
        return
    context.faults['replaced'] += 1
    gateway.build = build
    await _end(context, [gateway], signal.SIGTERM)
