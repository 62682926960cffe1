"""Where the processor time of one gateway goes, by how many there are.

A real gateway process is run beside a stand-in store, stand-in servers and
the words of as many other gateways as are asked for, each at the pace that it
would keep, with some requests a second.  Two plays for each number: one to
measure the share of a core, one under the profiler to split it.
"""

import argparse
import asyncio
import cProfile
import pstats
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from seampond.gateway.__main__ import main as run_gateway
from seampond.slopes.gateway_fleet import FleetSize, run_fleet

# Unit of the CPU times in /proc/PID/stat (USER_HZ).
_CLOCK_TICKS_PER_S = 100
_WARM_UP_S = 3
_MEASUREMENT_S = 10
_SERVERS_PER_GATEWAY = 1.24
_WORKSPACES = 19
_MODULE = 'seampond.slopes.gateway_profile'
_FUNCTION_GROUPS = (
    ('take a heartbeat', 'datagram_received'),
    ('of it: decode', 'heartbeats.py:decode'),
    ('of it: quotas', 'quotas.py:apply_heartbeat'),
    ('of it: loads', 'update_remote_loads'),
    ('of it: sum of loads', 'loads.py:replace'),
    ('make a heartbeat', 'components.py:make_heartbeat'),
    ('encode it', 'heartbeats.py:encode'),
    ('send datagrams', 'sendto'),
    ('answers of the store', 'watch.py:_poll_once'),
    ('choose a server', 'scheduler.py:_find'),
    ('serve requests', 'app.py:_serve'),
    ('log lines', 'logging/__init__.py:_log'),
)


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    stat_text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    user_ticks, system_ticks = stat_text.rpartition(')')[2].split()[11:13]
    return (int(user_ticks) + int(system_ticks)) / _CLOCK_TICKS_PER_S


async def measure_cpu_share(pid: int) -> float:
    """Return the fraction of a core that a process uses after warm-up."""
    await asyncio.sleep(_WARM_UP_S)
    before = read_cpu_seconds(pid)
    await asyncio.sleep(_MEASUREMENT_S)
    return (read_cpu_seconds(pid) - before) / _MEASUREMENT_S


async def measure_fleet(
    sizes: FleetSize, *, is_profiled: bool
) -> tuple[float, str]:
    """Run one fleet; return the fraction of a core and the profile path."""
    folder = Path(tempfile.mkdtemp())
    async with run_fleet(sizes, folder) as arguments:
        if not is_profiled:
            arguments = arguments[:1]
        process = subprocess.Popen(
            [sys.executable, '-m', _MODULE, '--gateway', *arguments],
            stdout=subprocess.DEVNULL,
        )
        try:
            cores = await measure_cpu_share(process.pid)
        finally:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)
    return cores, str(folder / 'profile')


def run_gateway_child(arguments: list[str]) -> int:
    """Run the gateway, under the profiler if a profile path is given."""
    if len(arguments) == 1:
        return run_gateway(arguments)
    profile = cProfile.Profile()
    profile.enable()
    try:
        return run_gateway(arguments[:1])
    finally:
        profile.disable()
        profile.dump_stats(arguments[1])


def sum_matching(
    table: dict[Any, Any], function_name: str
) -> tuple[int, float]:
    """Return calls and seconds of functions matching `module:function`."""
    module, _, function = function_name.rpartition(':')
    calls, seconds = 0, 0
    for (path, _, name), row in table.items():
        if path.endswith(module) and function in name:
            calls += row[1]
            seconds += row[3]
    return calls, seconds


def format_profile(path: str) -> list[str]:
    """Return one line per function group with its calls and seconds."""
    table = pstats.Stats(path).stats  # type: ignore[attr-defined]
    lines = []
    for title, function_name in _FUNCTION_GROUPS:
        calls, seconds = sum_matching(table, function_name)
        lines.append(f'  {title:<24}{calls:>8} calls {seconds:>8.3f} s')
    return lines


def main() -> None:
    """Run a fleet of each size twice and print its costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--gateways', default='4,30,68,300')
    parser.add_argument('--workspaces', type=int, default=_WORKSPACES)
    parser.add_argument('--gateway', nargs='+', help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.gateway:
        sys.exit(run_gateway_child(options.gateway))
    for gateways_text in options.gateways.split(','):
        count = int(gateways_text)
        sizes = FleetSize(
            count, round(count * _SERVERS_PER_GATEWAY), options.workspaces
        )
        cores, _ = asyncio.run(measure_fleet(sizes, is_profiled=False))
        print(
            f'{count} gateways, {sizes.servers} servers: {cores:.3f} of a core'
        )
        _, path = asyncio.run(measure_fleet(sizes, is_profiled=True))
        print('\n'.join(format_profile(path)))


if __name__ == '__main__':
    main()
