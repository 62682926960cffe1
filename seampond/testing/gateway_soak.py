"""Gateways as processes under seeded faults, seen from outside.

`python -m seampond.testing.gateway_soak --seed 1 --seconds 20`
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path

import aiosonic

from seampond.backing.http import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.demo.fleet import free_ports
from seampond.platform.names import (
    DRAINING,
    READY,
    READY_PATH,
    SERVERS_TABLE,
)
from seampond.platform.tests.rows import (
    IDEMPOTENT,
    ONCE,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.crashing import CRASHING_BODY
from seampond.testing.saying import SayingFleet, run_saying
from seampond.testing.store import StandInStore, run_store

GATEWAYS = 3
_SERVERS = 6
_PORTS = 4
_CALM_MS = 5000
_CONTACT_MS = 3000
_LATE_SENDS_MAX = 3
_ATTEMPTS_MAX = 2
_SERVED_PART = 0.9
_DRAIN_MS = 2000
_UNWANTED_MAX = 2
# How long a server says that it leaves before its row does, and after it.
_LEAVE_MS = 2500
_ROW_PART = 0.7
_SETTINGS = """[gateway]
name = "{name}"
zone = "a"
linger_ms = 50
listen = "{ports[0]}"
ready_listen = "{ports[1]}"
metrics_listen = "{ports[2]}"
peer_listen = "{ports[3]}"
[gateway.store]
address = "{store}"
[gateway.bounds]
stop_ms = 3000
[gateway.logs]
level = "INFO"
"""


@dataclass
class GatewayProcess:
    """One gateway, started again whenever it has ended."""

    name: str
    ports: tuple[str, ...]
    path: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it; its log goes on where the earlier one ended."""
        with self.path.with_suffix('.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'seampond.gateway',
                str(self.path),
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it is there."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def wait(self) -> None:
        """Wait until it has ended."""
        if self.process is not None:
            await self.process.wait()


@dataclass
class Scene:
    """What faults may strike."""

    gateways: Sequence[GatewayProcess]
    fleet: SayingFleet
    store: StandInStore
    rng: random.Random
    clock: Clock
    until_ms: int
    configuration: ConfigurationRow
    kinds: 'Sequence[Fault]'
    faults: Counter[str] = field(default_factory=Counter)

    def strike(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Send a gateway a signal, and note when that was."""
        struck_ms = self.fleet.struck_ms.setdefault(gateway.ports[0], [])
        struck_ms.append(self.clock.now())
        gateway.signal(number)


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
    born_ms = server.born_ms
    server.leaves = True
    await scene.clock.sleep(scene.rng.uniform(0, _LEAVE_MS))
    if scene.rng.random() < _ROW_PART and server.born_ms == born_ms:
        server.put_row(state=DRAINING)
    await scene.clock.sleep(_LEAVE_MS)
    if server.born_ms == born_ms:
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
            state = DRAINING if server.has_told_row else READY
            server.put_row(state=state)


Fault = Callable[[Scene], Awaitable[None]]
_FAULTS: tuple[Fault, ...] = (
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
_LATER_FAULTS: tuple[Fault, ...] = (
    *_FAULTS,
    _leave,
    _leave,
    _want_rest,
    _want_rest,
    _restore_store,
)


async def _inject(scene: Scene) -> None:
    """Let faults come in series that overlap, until the time is over."""
    async with asyncio.TaskGroup() as group:
        while scene.clock.now() < scene.until_ms:
            await scene.clock.sleep(scene.rng.uniform(200, 2500))
            fault = scene.rng.choice(scene.kinds)
            scene.faults[fault.__name__] += 1
            group.create_task(fault(scene))  # type: ignore[arg-type]


@dataclass
class SoakReport:
    """What was sent and seen; `wrong` is empty if every promise held."""

    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    ends: int = 0
    late_sends: int = 0
    wrong: list[str] = field(default_factory=list)


def _find_wrong_requests(fleet: SayingFleet, kind: str) -> list[str]:
    """Hold each request against what its caller was told."""
    sends = Counter(one.body for one in fleet.sent)
    # What a server has turned away may go to another one.
    runs = fleet.count_runs()
    most = 1 if kind == ONCE else _ATTEMPTS_MAX
    wrong = []
    for one in fleet.asked:
        if one.status == 200 and one.content != b'whole':
            wrong.append(f'{one.body!r}: answered {one.content!r}')
        if not one.body.startswith(b'sound'):
            continue
        if runs[one.body] > most:
            wrong.append(f'{one.body!r}: run more than {most} times')
        if sends[one.body] > _ATTEMPTS_MAX:
            wrong.append(f'{one.body!r}: sent more than {_ATTEMPTS_MAX} times')
        if one.status in (429, 503) and runs[one.body]:
            wrong.append(f'{one.body!r}: told not run, and run')
    return wrong


def _find_wrong(
    fleet: SayingFleet, kind: str, calm_ms: int, report: SoakReport
) -> list[str]:
    """Hold what callers and servers have seen against the promises."""
    wrong = _find_wrong_requests(fleet, kind)
    if report.late_sends > _LATE_SENDS_MAX:
        wrong.append(f'{report.late_sends} late sends of what ends servers')
    if fleet.count_sends_to_leaving(_DRAIN_MS):
        wrong.append('sends to a server that had said that it leaves')
    if fleet.count_unwanted_sends() > _UNWANTED_MAX:
        wrong.append('sends to a server that wanted rest')
    served = fleet.served_part(calm_ms)
    if served < _SERVED_PART:
        wrong.append(f'served {served:.2f} after the faults')
    return wrong


def _report(scene: Scene, kind: str) -> SoakReport:
    fleet = scene.fleet
    report = SoakReport(
        len(fleet.asked),
        Counter(one.status for one in fleet.asked),
        scene.faults,
        len(fleet.ends_ms),
        fleet.count_late_sends(_CONTACT_MS),
    )
    calm_ms = scene.until_ms + _CALM_MS + _CALM_MS // 2
    report.wrong = _find_wrong(fleet, kind, calm_ms, report)
    return report


def _read_logs(gateways: Sequence[GatewayProcess]) -> list[str]:
    """Give who found a promise of its own broken, or was surprised."""
    wrong = []
    for gateway in gateways:
        log = gateway.path.with_suffix('.log').read_text()
        if 'promise broken' in log or 'Traceback' in log:
            wrong.append(f'{gateway.name}: see its log')
    return wrong


async def _wait_ready(
    gateways: Sequence[GatewayProcess], client: aiosonic.HTTPClient
) -> None:
    async with asyncio.timeout(30):
        for gateway in gateways:
            url = f'http://{gateway.ports[1]}{READY_PATH}'
            while not await _is_ready(client, url):
                await asyncio.sleep(0.1)


async def _is_ready(client: aiosonic.HTTPClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except Exception:  # noqa: BLE001 - it is not up yet, however that shows.
        return False
    return response.status_code == 200


@asynccontextmanager
async def _run_gateways(
    folder: Path, store: StandInStore
) -> AsyncIterator[list[GatewayProcess]]:
    gateways = []
    # Of a range of their own: a port of a gateway that is down stays free.
    ports = free_ports()
    for number in range(GATEWAYS):
        name = f'g{number}'
        own = tuple(f'127.0.0.1:{port}' for port in islice(ports, _PORTS))
        path = folder / f'{name}.toml'
        path.write_text(
            _SETTINGS.format(name=name, ports=own, store=store.address)
        )
        gateways.append(GatewayProcess(name, own, path))
    try:
        for gateway in gateways:
            await gateway.start()
        yield gateways
    finally:
        for gateway in gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            await gateway.wait()


def _make_sound(number: int) -> bytes:
    return b'sound %d' % number


def _make_popular(number: int) -> bytes:
    return b'popular'


def _make_deadly(number: int) -> bytes:
    return CRASHING_BODY


async def _play(scene: Scene, addresses: Sequence[str], for_ms: int) -> None:
    """Bring sound, popular and deadly requests under faults, then in calm."""
    fleet = scene.fleet
    whole_ms = for_ms + 2 * _CALM_MS

    async with asyncio.TaskGroup() as group:
        group.create_task(_inject(scene))
        for make_body, every_ms in (
            (_make_sound, 40),
            (_make_popular, 120),
            (_make_deadly, 350),
        ):
            group.create_task(
                fleet.keep_asking(addresses, make_body, every_ms, whole_ms)
            )


async def soak(
    folder: Path, seed: int, seconds: float, *, is_later: bool = False
) -> SoakReport:
    """Run gateways under faults for some seconds, then in calm.

    Parameters
    ----------
    is_later : bool
        Whether servers speak of themselves and the store comes back older.
    seed : int
        Decides the kind of route and the faults; the interleaving is the
        machine's.

    """
    rng = random.Random(seed)
    kind = rng.choice((IDEMPOTENT, ONCE))
    clock = Clock()
    for_ms = round(seconds * MS_PER_SECOND)
    async with (
        run_store() as store,
        run_saying(store, _SERVERS, CRASHING_BODY.__eq__) as fleet,
        _run_gateways(folder, store) as gateways,
    ):
        configuration = ConfigurationRow(kind=kind)
        put_configuration(store, configuration)
        await _wait_ready(gateways, make_client(GATEWAYS, reuses=False))
        scene = Scene(
            gateways,
            fleet,
            store,
            rng,
            clock,
            clock.now() + for_ms,
            configuration,
            _LATER_FAULTS if is_later else _FAULTS,
        )
        await _play(scene, [one.ports[0] for one in gateways], for_ms)
        report = _report(scene, kind)
        report.wrong.extend(_read_logs(gateways))
    return report


def main() -> int:
    """Parse the arguments, run, report; 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--folder', type=Path)
    parser.add_argument('--later', action='store_true')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            soak(folder, options.seed, options.seconds, is_later=options.later)
        )
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
