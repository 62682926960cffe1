"""Memory and processor time of links between two real ends."""

import asyncio
import gzip
import json
import random
import resource
import time

from seampond.backing.http import Caller, open_client
from seampond.backing.http_tables import http_tables
from seampond.backing.standin.models import VmRow
from seampond.clock import Clock
from seampond.daemons import run_platform
from seampond.links import Connection
from seampond.links.messages import Pulse
from seampond.settings.models import PlatformStandInSettings
from seampond.slopes.processor import MICROSECONDS, Slope
from seampond.templates import Configuration
from seampond.templates.follow import read_changes

_LINKS = 400
_BEATS = 20
_KIB = 1024
_POLLS = 300
_VMS = 4240


def peak_resident_bytes() -> int:
    """Give the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB


async def measure_links() -> list[Slope]:
    """Open links, both ends here, and let each beat in turn."""
    ends: list[Connection] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends.append(Connection(reader, writer, Clock()))

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    before = peak_resident_bytes()
    dialed = []
    for _ in range(_LINKS):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        dialed.append(Connection(reader, writer, Clock()))
    while len(ends) < _LINKS:
        await asyncio.sleep(0)
    grown = peak_resident_bytes() - before
    cost = await _exchange_heartbeats(dialed, ends)
    for link in (*dialed, *ends):
        await link.close()
    server.close()
    return [
        Slope('link, both ends', grown / _LINKS, 'bytes'),
        Slope('heartbeat, sent and received', cost, 'us'),
    ]


async def measure_polls() -> list[Slope]:
    """Poll a stand-in that has nothing new; and weigh a VM list."""
    settings = PlatformStandInSettings(
        listen='127.0.0.1:0', list_lag_ms=0, answer_delay_ms=0
    )
    async with run_platform(settings, Clock()) as running:
        async with open_client() as client:
            address = running.web.address
            caller = Caller(f'http://{address}', client, 1000)
            tables = http_tables(caller)
            await read_changes(tables, Configuration(1))
            started = time.process_time()
            for _ in range(_POLLS):
                await read_changes(tables, Configuration(1))
            spent = time.process_time() - started
    poll = Slope('configuration poll', spent / _POLLS * MICROSECONDS, 'us')
    return [poll, _measure_vm_row()]


def _measure_vm_row() -> Slope:
    rng = random.Random(1)
    rows = [
        VmRow(
            name=f'backend-{number}',
            hall='hall-1',
            role='backend',
            address='10.{0}.{1}.{2}:7000'.format(*rng.choices(range(256), k=3)),
            pool=f'model-{number % 12}',
        ).model_dump()
        for number in range(_VMS)
    ]
    packed = gzip.compress(json.dumps(rows).encode())
    return Slope('VM row, compressed', len(packed) / _VMS, 'bytes')


async def _exchange_heartbeats(
    dialed: list[Connection], ends: list[Connection]
) -> float:
    started = time.process_time()
    for _ in range(_BEATS):
        for link in dialed:
            link.send(Pulse(1, 2, 3, 4, False, 5, 6))
        await asyncio.gather(*(end.receive() for end in ends))
    spent = time.process_time() - started
    return spent / _BEATS / _LINKS * MICROSECONDS
