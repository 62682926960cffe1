"""A deployment in separate processes, for tests."""

import json
import shutil
import signal
import subprocess
import sys
import tempfile
import unittest
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
_POLL_INTERVAL_S = 0.05
_POLLS_MAX = 600
_STOP_TIMEOUT_S = 60
_TAIL_LINES = 12

PrepareFolder = Callable[[Path], None]


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
        """Wait for the end of a process; return its exit status."""
        return self.running.pop(name).wait(_STOP_TIMEOUT_S)

    def address(self, name: str) -> str:
        """Return the address on which a role listens."""
        settings: Any = load_any(self.folder / f'{name}.toml')
        listen: str = settings.listen
        return listen

    def status_address(self, name: str) -> str:
        """Return the address of an agent's status pages."""
        settings: Any = load_any(self.folder / f'{name}.toml')
        listen: str = settings.status_listen
        return listen

    def url(self, name: str) -> str:
        """Return the HTTP URL of a role."""
        address = self.address(name)
        return f'http://{address}'

    def read_page(self, name: str, path: str) -> Any:
        """Return the JSON of a page, None if the role does not answer."""
        return self.read_page_at(self.address(name), path)

    def read_page_at(self, address: str, path: str) -> Any:
        """Return the JSON of a page at an address, None without an answer."""
        try:
            with request.urlopen(f'http://{address}{path}') as page:
                return json.load(page)
        except (OSError, error.URLError):
            return None

    def check_running(self) -> None:
        """Check that no process has exited.

        Raises
        ------
        ChildProcessError
            If one has, with its exit status and the end of its log.

        """
        for name, process in self.running.items():
            status = process.poll()
            if status is not None:
                log = read_tail(self.folder / f'{name}.log')
                raise ChildProcessError(
                    f'{name} ended with status {status}: {log}'
                )

    def wait_until_linked(self, entry: str, agents: int) -> None:
        """Wait until an entry is ready and linked to `agents` agents."""
        for _ in range(_POLLS_MAX):
            status = self.read_page(entry, '/status') or {'agents': []}
            ready = [
                agent for agent in status['agents'] if agent['state'] == 'ready'
            ]
            if len(ready) == agents and status['ready']:
                return
            self.check_running()
            sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f'{entry} did not come up: {status}')

    def run_command(self, *words: str) -> Any:
        """Run an operator command and return its JSON output."""
        completed = subprocess.run(
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
        return json.loads(completed.stdout)

    def stop_all(self) -> None:
        """Kill all processes."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()


def read_tail(log: Path) -> str:
    """Return the last lines of a log."""
    lines = log.read_text(encoding='utf-8', errors='replace').splitlines()
    return '\n'.join(lines[-_TAIL_LINES:])


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """A test of processes that keeps their logs if it fails.

    Attributes
    ----------
    folder : Path
        Folder of the settings and logs.

    """

    folder: Path

    def run(
        self, outcome: unittest.TestResult | None = None
    ) -> unittest.TestResult | None:
        """Run the test in a folder that is removed if it passes."""
        outcome = self.defaultTestResult() if outcome is None else outcome
        failed_before = _count_failed(outcome)
        self.folder = Path(tempfile.mkdtemp(prefix='seampond-'))
        super().run(outcome)
        if _count_failed(outcome) == failed_before:
            shutil.rmtree(self.folder)
        else:
            self._show_logs()
        return outcome

    def _show_logs(self) -> None:
        lines = [f'logs of {self.id()} are kept in {self.folder}']
        for log in sorted(self.folder.glob('*.log')):
            lines.extend((f'{log.name}:', read_tail(log)))
        sys.stderr.write('\n'.join((*lines, '')))


def _count_failed(outcome: unittest.TestResult) -> int:
    return len(outcome.failures) + len(outcome.errors)


@contextmanager
def run_processes(
    folder: Path, deployment: str, prepare: PrepareFolder
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
