"""Memory and CPU time of links, configuration polls and VM lists."""

import asyncio
import gzip
import json
import random
import resource
import time

from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.http_tables import make_http_tables
from seampond.backing.standin.models import VmRow
from seampond.clock import Clock
from seampond.daemons import run_platform
from seampond.links import Connection
from seampond.links.messages import Pulse
from seampond.settings.models import PlatformStandInSettings
from seampond.slopes.processor import MICROSECONDS, Slope
from seampond.templates import Configuration
from seampond.templates.follow import read_changes

_LINK_COUNT = 400
_HEARTBEATS_PER_LINK = 20
_BYTES_PER_KIB = 1024
_POLL_COUNT = 300
_VM_COUNT = 4240


def peak_resident_bytes() -> int:
    """Return the peak resident size of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB


async def measure_links() -> list[Slope]:
    """Measure memory and heartbeat cost of links within this process."""
    server_links: list[Connection] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_links.append(Connection(reader, writer, Clock()))

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    before = peak_resident_bytes()
    client_links = []
    for _ in range(_LINK_COUNT):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        client_links.append(Connection(reader, writer, Clock()))
    while len(server_links) < _LINK_COUNT:
        await asyncio.sleep(0)
    growth_bytes = peak_resident_bytes() - before
    cost = await _exchange_heartbeats(client_links, server_links)
    for link in (*client_links, *server_links):
        await link.close()
    server.close()
    return [
        Slope('link, both ends', growth_bytes / _LINK_COUNT, 'bytes'),
        Slope('heartbeat, sent and received', cost, 'us'),
    ]


async def measure_polls() -> list[Slope]:
    """Measure polls without changes and the compressed size of a VM row."""
    settings = PlatformStandInSettings(
        listen='127.0.0.1:0', list_lag_ms=0, answer_delay_ms=0
    )
    async with run_platform(settings, Clock()) as running:
        async with open_client() as client:
            address = running.web.address
            caller = ServiceClient(f'http://{address}', client, 1000)
            tables = make_http_tables(caller)
            await read_changes(tables, Configuration(1))
            started = time.process_time()
            for _ in range(_POLL_COUNT):
                await read_changes(tables, Configuration(1))
            cpu_seconds = time.process_time() - started
    poll = Slope(
        'configuration poll', cpu_seconds / _POLL_COUNT * MICROSECONDS, 'us'
    )
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
        for number in range(_VM_COUNT)
    ]
    compressed = gzip.compress(json.dumps(rows).encode())
    return Slope('VM row, compressed', len(compressed) / _VM_COUNT, 'bytes')


async def _exchange_heartbeats(
    client_links: list[Connection], server_links: list[Connection]
) -> float:
    started = time.process_time()
    for _ in range(_HEARTBEATS_PER_LINK):
        for link in client_links:
            link.send(Pulse(1, 2, 3, 4, False, 5, 6))
        await asyncio.gather(
            *(server_link.receive() for server_link in server_links)
        )
    cpu_seconds = time.process_time() - started
    return cpu_seconds / _HEARTBEATS_PER_LINK / _LINK_COUNT * MICROSECONDS
