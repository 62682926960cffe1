"""Gateways in processes of their own, from this or an earlier build."""

import asyncio
import io
import os
import signal
import subprocess
import sys
import tarfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import islice
from pathlib import Path

import aiosonic

from seampond.demo.fleet import free_ports
from seampond.platform.names import READY_PATH
from seampond.testing.store import StandInStore

GATEWAY_COUNT = 3
_PORTS_PER_GATEWAY = 4
_READY_TIMEOUT_S = 30
_LINE_END = '\n'
_FIRST_START = 'first_start = true'
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
    """A gateway process that can be restarted.

    Parameters
    ----------
    path : Path
        Its settings file.
    settings : str
        The settings but for that of the first start.
    build : Path or None
        Folder of the build that it runs, None for this one.

    """

    name: str
    ports: tuple[str, ...]
    path: Path
    settings: str
    build: Path | None = None
    process: asyncio.subprocess.Process | None = None
    has_started: bool = False

    async def start(self) -> None:
        """Start the process; its log is appended to."""
        self._write_settings()
        # Other waiters for the end of the old process must not restart it.
        self.process = None
        environment = dict(os.environ)
        if self.build is not None:
            environment['PYTHONPATH'] = str(self.build)
        with self.path.with_suffix('.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'seampond.gateway',
                str(self.path),
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self.build,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None:
            # It may have ended, and been reaped, a moment before.
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the process to end."""
        if self.process is not None:
            await self.process.wait()

    def _write_settings(self) -> None:
        """Write the settings; earlier builds know no setting of a start."""
        is_first = self.build is None and not self.has_started
        self.has_started = True
        first_line, _, rest = self.settings.partition(_LINE_END)
        lines = (
            [first_line, _FIRST_START, rest] if is_first else [first_line, rest]
        )
        self.path.write_text(_LINE_END.join(lines))


async def wait_ready(
    gateways: Sequence[GatewayProcess], client: aiosonic.HTTPClient
) -> None:
    """Wait until all gateways report that they are ready."""
    async with asyncio.timeout(_READY_TIMEOUT_S):
        for gateway in gateways:
            url = f'http://{gateway.ports[1]}{READY_PATH}'
            while not await _is_ready(client, url):
                await asyncio.sleep(0.1)


async def _is_ready(client: aiosonic.HTTPClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except Exception:  # noqa: BLE001 - any failure means not ready.
        return False
    return response.status_code == 200


@asynccontextmanager
async def run_gateways(
    folder: Path,
    store: StandInStore,
    build: Path | None = None,
    count: int = GATEWAY_COUNT,
    more_settings: str = '',
) -> AsyncIterator[list[GatewayProcess]]:
    """Run gateways; kill them at the end.

    Parameters
    ----------
    more_settings : str
        Further sections of the settings file.

    """
    gateways = []
    # These ports stay free while their gateway is down.
    ports = free_ports()
    for number in range(count):
        name = f'g{number}'
        gateway_ports = tuple(
            f'127.0.0.1:{port}' for port in islice(ports, _PORTS_PER_GATEWAY)
        )
        path = folder / f'{name}.toml'
        settings = _SETTINGS.format(
            name=name, ports=gateway_ports, store=store.address
        )
        gateways.append(
            GatewayProcess(
                name, gateway_ports, path, settings + more_settings, build
            )
        )
    try:
        for gateway in gateways:
            await gateway.start()
        yield gateways
    finally:
        for gateway in gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            await gateway.wait()


def unpack_build(commit: str, folder: Path) -> Path:
    """Extract the program of an earlier commit; return its folder.

    Raises
    ------
    subprocess.CalledProcessError
        If the repository does not have the commit.

    """
    root = Path(__file__).resolve().parent.parent.parent
    archived = subprocess.run(
        ['git', 'archive', commit, 'seampond'],
        cwd=root,
        check=True,
        capture_output=True,
    ).stdout
    folder.mkdir(parents=True)
    with tarfile.open(fileobj=io.BytesIO(archived)) as archive:
        archive.extractall(folder, filter='data')
    return folder
