"""CPU time and memory of each role as a process under load."""

import asyncio
import re
import resource
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from urllib.request import urlopen

from seampond.backing.http_client import open_client
from seampond.slopes.processor import MICROSECONDS, Slope
from seampond.testing.caller import Caller, ChatRequest, check_chat
from seampond.testing.processes import Processes, run_processes

_CPU_SECONDS_PATTERN = re.compile(
    r'^process_cpu_seconds_total (\S+)$', re.MULTILINE
)
_RESIDENT_BYTES_PATTERN = re.compile(
    r'^process_resident_memory_bytes (\S+)$', re.MULTILINE
)
_IDLE_S = 8
_PERCENT = 100
_MAX_CONCURRENT = 16
_REQUEST_COUNT = 640
_FEW_TOKENS = 2
_MANY_TOKENS = 66
_STREAM_COUNT = 320
_AGENTS = ('agent-1', 'agent-2', 'agent-3', 'agent-4')
_ENTRIES = ('entry-1', 'entry-2')


@dataclass(frozen=True)
class ResourceUsage:
    """CPU time, and resident size of the largest process, of one role."""

    cpu_seconds: float
    max_resident_bytes: float


def _fetch_metrics(processes: Processes, name: str) -> str:
    settings_address = processes.address(name)
    if name.startswith('agent'):
        settings_address = processes.status_address(name)
    with urlopen(f'http://{settings_address}/metrics') as page:
        text: str = page.read().decode()
    return text


def _parse_metric(pattern: 're.Pattern[str]', text: str) -> float:
    match = pattern.search(text)
    if match is None:
        raise ValueError('the page lacks a process metric')
    return float(match.group(1))


def read_usage(processes: Processes, names: tuple[str, ...]) -> ResourceUsage:
    """Return resource usage from the metrics of the processes."""
    pages = [_fetch_metrics(processes, name) for name in names]
    return ResourceUsage(
        sum(_parse_metric(_CPU_SECONDS_PATTERN, page) for page in pages),
        max(_parse_metric(_RESIDENT_BYTES_PATTERN, page) for page in pages),
    )


async def _send(caller: Caller, chat: ChatRequest, count: int) -> None:
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT)

    async def send_one() -> None:
        async with semaphore:
            check_chat(chat, await caller.chat(chat))

    await asyncio.gather(*(send_one() for _ in range(count)))


async def _measure_unit_cost(
    processes: Processes, load: Callable[[], Awaitable[None]], count: int
) -> tuple[float, float]:
    """Return microseconds per unit of load at entries and at agents."""
    entries = read_usage(processes, _ENTRIES).cpu_seconds
    agents = read_usage(processes, _AGENTS).cpu_seconds
    await load()
    entry = read_usage(processes, _ENTRIES).cpu_seconds - entries
    agent = read_usage(processes, _AGENTS).cpu_seconds - agents
    return entry / count * MICROSECONDS, agent / count * MICROSECONDS


def _raise_rates(folder: Path) -> None:
    for path in folder.glob('engine-*.toml'):
        text = path.read_text()
        text = re.sub(
            'decode_tokens_per_s = .*', 'decode_tokens_per_s = 2000', text
        )
        path.write_text(text)
    seed = folder / 'seed.toml'
    seed.write_text(
        seed.read_text()
        .replace('requests_per_s = 200', 'requests_per_s = 100000')
        .replace('tokens_per_s = 50000', 'tokens_per_s = 100000000')
    )


async def _measure(processes: Processes, key: str) -> list[Slope]:
    async with open_client(_MAX_CONCURRENT) as client:
        caller = Caller(processes.url('entry-1'), key, client)
        while not (await caller.chat(ChatRequest('trainer-answer'))).is_ok:
            await asyncio.sleep(1 / _MAX_CONCURRENT)
        short_chat = ChatRequest('trainer-answer', max_tokens=_FEW_TOKENS)
        long_chat = ChatRequest('trainer-answer', max_tokens=_MANY_TOKENS)
        await _send(caller, short_chat, _STREAM_COUNT)
        request = await _measure_unit_cost(
            processes,
            lambda: _send(caller, short_chat, _REQUEST_COUNT),
            _REQUEST_COUNT,
        )
        stream = await _measure_unit_cost(
            processes,
            lambda: _send(caller, long_chat, _STREAM_COUNT),
            _STREAM_COUNT,
        )
    frames = _MANY_TOKENS - _FEW_TOKENS
    return [
        Slope('entry: short streamed request', request[0], 'us'),
        Slope('agent: short streamed request', request[1], 'us'),
        Slope('entry: token', (stream[0] - request[0]) / frames, 'us'),
        Slope('agent: token', (stream[1] - request[1]) / frames, 'us'),
    ]


def _measure_command(processes: Processes) -> Slope:
    """Measure one operators' command.

    RUSAGE_CHILDREN counts only children that have ended, so this runs first.
    """
    processes.run_command('template', 'list')
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_seconds = used.ru_utime + used.ru_stime
    return Slope('command: processor time', cpu_seconds * MICROSECONDS, 'us')


def _measure_idle(
    processes: Processes, role: str, names: tuple[str, ...]
) -> Slope:
    before = read_usage(processes, names).cpu_seconds
    started = time.monotonic()
    time.sleep(_IDLE_S)
    elapsed = time.monotonic() - started
    spent = read_usage(processes, names).cpu_seconds - before
    share = spent / len(names) / elapsed * _PERCENT
    return Slope(f'{role}: idle', share, '% of a core')


def measure_roles(folder: Path) -> list[Slope]:
    """Measure idle cost, requests and tokens of an example deployment."""
    with run_processes(folder, 'fitlink-kochi', _raise_rates) as processes:
        command = _measure_command(processes)
        key = processes.run_command('workspace', 'key', 'trainers')['key']
        idle = [
            _measure_idle(processes, 'entry', _ENTRIES),
            _measure_idle(processes, 'agent', _AGENTS),
        ]
        loaded = asyncio.run(_measure(processes, key))
        entries = read_usage(processes, _ENTRIES)
        agents = read_usage(processes, _AGENTS)
    return [
        command,
        *idle,
        Slope('entry: memory after load', entries.max_resident_bytes, 'bytes'),
        Slope('agent: memory after load', agents.max_resident_bytes, 'bytes'),
        *loaded,
    ]
