"""What strikes gateways, servers and the store in a soak."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from seampond.clock import Clock
from seampond.platform.names import DRAINING_STATE, READY_STATE, SERVERS_TABLE
from seampond.platform.tests.rows import ConfigurationRow, put_configuration
from seampond.testing.gateway_processes import GatewayProcess
from seampond.testing.signalling import SignallingFleet
from seampond.testing.store import StandInStore

# How long a server says that it leaves before its row does, and after it.
_LEAVE_MS = 2500
_ROW_PART = 0.7
# How many gateways are set back to the earlier build once.
_BACK_PART = 0.3
_BETWEEN_MS = 800
_LIMITS = (0, 0.2, 0.7, 1.5, 4)

Fault = Callable[['SoakContext'], Awaitable[None]]


@dataclass
class SoakContext:
    """What faults may strike."""

    gateways: Sequence[GatewayProcess]
    fleet: SignallingFleet
    store: StandInStore
    rng: random.Random
    clock: Clock
    until_ms: int
    configuration: ConfigurationRow
    fault_kinds: Sequence[Fault]
    earlier_build: Path | None = None
    faults: Counter[str] = field(default_factory=Counter)

    def send_signal(
        self, gateway: GatewayProcess, number: signal.Signals
    ) -> None:
        """Send a gateway a signal, and note when that was."""
        self.record_disruption(gateway)
        gateway.signal(number)

    def record_disruption(self, gateway: GatewayProcess) -> None:
        """Note that a gateway has lost now what it was told."""
        disrupted_ms = self.fleet.disrupted_ms.setdefault(gateway.ports[0], [])
        disrupted_ms.append(self.clock.now())


async def _kill(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    context.send_signal(gateway, signal.SIGKILL)
    await _come_back(context, gateway)


async def _stop(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    context.send_signal(gateway, signal.SIGTERM)
    await _come_back(context, gateway)


async def _come_back(context: SoakContext, gateway: GatewayProcess) -> None:
    process = gateway.process
    await gateway.wait()
    # Until then it serves, and learns; what it has learned is gone with it.
    context.record_disruption(gateway)
    await context.clock.sleep(context.rng.uniform(100, 1000))
    # Another fault may have started it meanwhile.
    if gateway.process is process:
        await gateway.start()


async def _freeze(context: SoakContext) -> None:
    gateway = context.rng.choice(context.gateways)
    context.send_signal(gateway, signal.SIGSTOP)
    await context.clock.sleep(context.rng.uniform(300, 4000))
    context.send_signal(gateway, signal.SIGCONT)


async def _kill_all(context: SoakContext) -> None:
    for gateway in context.gateways:
        context.send_signal(gateway, signal.SIGKILL)
    backs = [_come_back(context, killed) for killed in context.gateways]
    await asyncio.gather(*backs)


async def _store_away(context: SoakContext) -> None:
    context.store.is_down = True
    await context.clock.sleep(context.rng.uniform(300, 2500))
    context.store.is_down = False


async def _crash_server(context: SoakContext) -> None:
    context.rng.choice(context.fleet.servers).crash()


async def _spoil_rows(context: SoakContext) -> None:
    for content in (b'[' * 100_000, b'{"slots": 1e999}', b'\xff'):
        number = context.rng.randrange(20)
        context.store.put(SERVERS_TABLE, f'bad-{number}', content)


async def _leave(context: SoakContext) -> None:
    """Let a server say that it leaves, with its row or without, and end."""
    server = context.rng.choice(context.fleet.signalling_servers)
    started_ms = server.started_ms
    server.is_draining = True
    await context.clock.sleep(context.rng.uniform(0, _LEAVE_MS))
    if context.rng.random() < _ROW_PART and server.started_ms == started_ms:
        server.put_row(state=DRAINING_STATE)
    await context.clock.sleep(_LEAVE_MS)
    if server.started_ms == started_ms:
        server.crash()


async def _want_rest(context: SoakContext) -> None:
    """Let a server turn all away and ask for rest, which it may exceed."""
    server = context.rng.choice(context.fleet.signalling_servers)
    server.retry_after = str(round(context.rng.uniform(0.5, 3), 2))
    server.is_overloaded = True
    await context.clock.sleep(context.rng.uniform(300, 4000))
    server.is_overloaded = False


async def _restore_store(context: SoakContext) -> None:
    """Let the store come back older; what others wrote comes again."""
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
    """Let a server name a limit for a while, and maybe another one."""
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


# The same, servers that speak of themselves, a store that comes back older.
# Apart, so that a seed of the first stays the run that it was.
LATER_FAULTS: tuple[Fault, ...] = (
    *FAULTS,
    _leave,
    _leave,
    _want_rest,
    _want_rest,
    _restore_store,
)


# The same, and limits: apart for the same reason.
LIMIT_FAULTS: tuple[Fault, ...] = (
    *LATER_FAULTS,
    _name_limit,
    _name_limit,
    _name_limit,
    _name_limit,
)


async def inject_faults(context: SoakContext) -> None:
    """Let faults come in series that overlap, until the time is over."""
    async with asyncio.TaskGroup() as group:
        while context.clock.now() < context.until_ms:
            await context.clock.sleep(context.rng.uniform(200, 2500))
            fault = context.rng.choice(context.fault_kinds)
            context.faults[fault.__name__] += 1
            group.create_task(fault(context))  # type: ignore[arg-type]


async def replace_builds(context: SoakContext) -> None:
    """Replace gateways of an earlier build one by one, sometimes back.

    Explanation
    -----------
    Where the time is over before all are replaced, the rest stays as it is.
    """
    for gateway in context.gateways:
        await _replace(context, gateway, None)
        if context.rng.random() < _BACK_PART:
            await _replace(context, gateway, context.earlier_build)
            await _replace(context, gateway, None)


async def _replace(
    context: SoakContext, gateway: GatewayProcess, build: Path | None
) -> None:
    """Stop a gateway, and start it anew from another build."""
    await context.clock.sleep(context.rng.uniform(0, _BETWEEN_MS))
    if context.clock.now() >= context.until_ms:
        return
    context.faults['replaced'] += 1
    gateway.build = build
    context.send_signal(gateway, signal.SIGTERM)
    await _come_back(context, gateway)
