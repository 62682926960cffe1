"""A deployment as separate processes, for tests."""

import json
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import sleep
from typing import Any
from urllib import error, request

from seampond.demo.fleet import copy_with_free_ports
from seampond.settings.load import load_any

EXAMPLES = Path(__file__).resolve().parent.parent.parent / 'examples'
_POLL_SECONDS = 0.05
_POLLS = 600
_STOP_SECONDS = 60

Prepare = Callable[[Path], None]


@dataclass
class Processes:
    """The running processes of a deployment, by role name."""

    folder: Path
    running: dict[str, 'subprocess.Popen[bytes]'] = field(default_factory=dict)

    def start(self, name: str) -> None:
        """Start a role from its settings file, `NAME.toml`."""
        role = name.partition('-')[0]
        path = self.folder / f'{name}.toml'
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            self.running[name] = subprocess.Popen(
                [sys.executable, '-m', 'seampond', role, '-s', str(path)],
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start every role and wait until the entries are linked."""
        names = {path.stem for path in self.folder.glob('*.toml')}
        roles = sorted(names - {'operator', 'seed'})
        for name in roles:
            self.start(name)
        agents = sum(role.startswith('agent') for role in roles)
        for entry in roles:
            if entry.startswith('entry'):
                self.wait_until_linked(entry, agents)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def wait(self, name: str) -> int:
        """Wait for the end of a process; give its exit status."""
        return self.running.pop(name).wait(_STOP_SECONDS)

    def address(self, name: str) -> str:
        """Give the address on which a role listens."""
        settings: Any = load_any(self.folder / f'{name}.toml')
        listen: str = settings.listen
        return listen

    def status_address(self, name: str) -> str:
        """Give the address of an agent's pages."""
        settings: Any = load_any(self.folder / f'{name}.toml')
        listen: str = settings.status_listen
        return listen

    def url(self, name: str) -> str:
        """Give the HTTP URL of a role."""
        address = self.address(name)
        return f'http://{address}'

    def read(self, name: str, path: str) -> Any:
        """Give the JSON of a page, None if it does not answer."""
        return self.read_at(self.address(name), path)

    def read_at(self, address: str, path: str) -> Any:
        """Give the JSON of a page at an address, None without answer."""
        try:
            with request.urlopen(f'http://{address}{path}') as page:
                return json.load(page)
        except (OSError, error.URLError):
            return None

    def wait_until_linked(self, entry: str, agents: int) -> None:
        """Wait until an entry is ready and linked to `agents` agents."""
        for _ in range(_POLLS):
            status = self.read(entry, '/status') or {'agents': []}
            ready = [
                agent for agent in status['agents'] if agent['state'] == 'ready'
            ]
            if len(ready) == agents and status['ready']:
                return
            sleep(_POLL_SECONDS)
        raise TimeoutError(f'{entry} did not come up: {status}')

    def command(self, *words: str) -> Any:
        """Run an operators' command and give its JSON."""
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'seampond',
                *words,
                '--json',
                '--settings',
                str(self.folder / 'operator.toml'),
            ],
            check=True,
            capture_output=True,
        )
        return json.loads(done.stdout)

    def stop_all(self) -> None:
        """End every process, by id."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()


@contextmanager
def run_processes(
    folder: Path, deployment: str, prepare: Prepare
) -> Iterator[Processes]:
    """Run every role of a deployment in a process of its own.

    Parameters
    ----------
    folder : Path
        An empty folder for settings and logs.
    prepare : Callable[[Path], None]
        Changes the settings in the folder before the start.

    """
    copy_with_free_ports(EXAMPLES / deployment, folder)
    prepare(folder)
    processes = Processes(folder)
    try:
        processes.start_all()
        yield processes
    finally:
        processes.stop_all()
