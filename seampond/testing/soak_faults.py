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

Fault = Callable[['Scene'], Awaitable[None]]


@dataclass
class Scene:
    """What faults may strike."""

    gateways: Sequence[GatewayProcess]
    fleet: SignallingFleet
    store: StandInStore
    rng: random.Random
    clock: Clock
    until_ms: int
    configuration: ConfigurationRow
    kinds: Sequence[Fault]
    earlier: Path | None = None
    faults: Counter[str] = field(default_factory=Counter)

    def strike(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Send a gateway a signal, and note when that was."""
        self.note_struck(gateway)
        gateway.signal(number)

    def note_struck(self, gateway: GatewayProcess) -> None:
        """Note that a gateway has lost now what it was told."""
        struck_ms = self.fleet.struck_ms.setdefault(gateway.ports[0], [])
        struck_ms.append(self.clock.now())


async def _kill(scene: Scene) -> None:
    gateway = scene.rng.choice(scene.gateways)
    scene.strike(gateway, signal.SIGKILL)
    await _come_back(scene, gateway)


async def _stop(scene: Scene) -> None:
    gateway = scene.rng.choice(scene.gateways)
    scene.strike(gateway, signal.SIGTERM)
    await _come_back(scene, gateway)


async def _come_back(scene: Scene, gateway: GatewayProcess) -> None:
    process = gateway.process
    await gateway.wait()
    # Until then it serves, and learns; what it has learned is gone with it.
    scene.note_struck(gateway)
    await scene.clock.sleep(scene.rng.uniform(100, 1000))
    # Another fault may have started it meanwhile.
    if gateway.process is process:
        await gateway.start()


async def _freeze(scene: Scene) -> None:
    gateway = scene.rng.choice(scene.gateways)
    scene.strike(gateway, signal.SIGSTOP)
    await scene.clock.sleep(scene.rng.uniform(300, 4000))
    scene.strike(gateway, signal.SIGCONT)


async def _kill_all(scene: Scene) -> None:
    for gateway in scene.gateways:
        scene.strike(gateway, signal.SIGKILL)
    backs = [_come_back(scene, killed) for killed in scene.gateways]
    await asyncio.gather(*backs)


async def _store_away(scene: Scene) -> None:
    scene.store.is_down = True
    await scene.clock.sleep(scene.rng.uniform(300, 2500))
    scene.store.is_down = False


async def _crash_server(scene: Scene) -> None:
    scene.rng.choice(scene.fleet.servers).crash()


async def _spoil_rows(scene: Scene) -> None:
    for content in (b'[' * 100_000, b'{"slots": 1e999}', b'\xff'):
        number = scene.rng.randrange(20)
        scene.store.put(SERVERS_TABLE, f'bad-{number}', content)


async def _leave(scene: Scene) -> None:
    """Let a server say that it leaves, with its row or without, and end."""
    server = scene.rng.choice(scene.fleet.saying)
    started_ms = server.started_ms
    server.leaves = True
    await scene.clock.sleep(scene.rng.uniform(0, _LEAVE_MS))
    if scene.rng.random() < _ROW_PART and server.started_ms == started_ms:
        server.put_row(state=DRAINING_STATE)
    await scene.clock.sleep(_LEAVE_MS)
    if server.started_ms == started_ms:
        server.crash()


async def _want_rest(scene: Scene) -> None:
    """Let a server turn all away and ask for rest, which it may exceed."""
    server = scene.rng.choice(scene.fleet.saying)
    server.rest = str(round(scene.rng.uniform(0.5, 3), 2))
    server.is_full = True
    await scene.clock.sleep(scene.rng.uniform(300, 4000))
    server.is_full = False


async def _restore_store(scene: Scene) -> None:
    """Let the store come back older; what others wrote comes again."""
    scene.store.is_down = True
    await scene.clock.sleep(scene.rng.uniform(100, 1000))
    lost_ms = scene.rng.uniform(500, 3000)
    scene.store.go_back(round(scene.clock.now() - lost_ms))
    scene.store.is_down = False
    await scene.clock.sleep(scene.rng.uniform(0, 1000))
    put_configuration(scene.store, scene.configuration)
    for server in scene.fleet.saying:
        if server.is_up:
            state = DRAINING_STATE if server.has_told_row else READY_STATE
            server.put_row(state=state)


async def _name_limit(scene: Scene) -> None:
    """Let a server name a limit for a while, and maybe another one."""
    server = scene.rng.choice(scene.fleet.saying)
    for _ in range(scene.rng.randrange(1, 3)):
        server.limit = str(scene.rng.choice(_LIMITS))
        await scene.clock.sleep(scene.rng.uniform(3000, 9000))
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


async def inject(scene: Scene) -> None:
    """Let faults come in series that overlap, until the time is over."""
    async with asyncio.TaskGroup() as group:
        while scene.clock.now() < scene.until_ms:
            await scene.clock.sleep(scene.rng.uniform(200, 2500))
            fault = scene.rng.choice(scene.kinds)
            scene.faults[fault.__name__] += 1
            group.create_task(fault(scene))  # type: ignore[arg-type]


async def replace_builds(scene: Scene) -> None:
    """Replace gateways of an earlier build one by one, sometimes back.

    Explanation
    -----------
    Where the time is over before all are replaced, the rest stays as it is.
    """
    for gateway in scene.gateways:
        await _replace(scene, gateway, None)
        if scene.rng.random() < _BACK_PART:
            await _replace(scene, gateway, scene.earlier)
            await _replace(scene, gateway, None)


async def _replace(
    scene: Scene, gateway: GatewayProcess, build: Path | None
) -> None:
    """Stop a gateway, and start it anew from another build."""
    await scene.clock.sleep(scene.rng.uniform(0, _BETWEEN_MS))
    if scene.clock.now() >= scene.until_ms:
        return
    scene.faults['replaced'] += 1
    gateway.build = build
    scene.strike(gateway, signal.SIGTERM)
    await _come_back(scene, gateway)
