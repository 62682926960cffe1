"""A stand-in fleet around one gateway process."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from http import HTTPStatus
from itertools import islice
from pathlib import Path

import aiosonic

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND
from seampond.demo.fleet import free_ports
from seampond.platform.names import (
    GATEWAYS_TABLE,
    SERVERS_TABLE,
)
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    KEY,
    POOL,
    STAMP_HEADER,
    ConfigurationRow,
    put_configuration,
    put_server,
)
from seampond.sharing import (
    Heartbeat,
    Load,
    compute_heartbeat_interval_ms,
    hash_name,
)
from seampond.sharing.heartbeats import encode
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)
from seampond.testing.store import StandInStore, run_store

_SLOTS = 8
_REQUESTS_PER_S = 6
_SERVERS_PER_HEARTBEAT = 6
_UPTIME_MS = 60_000
_PENDING_TOKENS = 900
_PORT_COUNT = 4


@dataclass(frozen=True)
class FleetSize:
    """Number of gateways, servers and workspaces of a fleet."""

    gateways: int
    servers: int
    workspaces: int


def build_heartbeat(
    sizes: FleetSize, name: str, incarnation: int, sequence: int
) -> Heartbeat:
    """Return a heartbeat such as a loaded gateway sends."""
    rng = random.Random(incarnation)
    loaded_servers = rng.sample(
        range(sizes.servers), min(_SERVERS_PER_HEARTBEAT, sizes.servers)
    )
    return Heartbeat(
        name,
        incarnation,
        sequence,
        1,
        {
            hash_name(f't{number}'): float(sequence * (number + 1))
            for number in range(sizes.workspaces)
        },
        uptime_ms=_UPTIME_MS
        + sequence * compute_heartbeat_interval_ms(sizes.gateways),
        loads={
            hash_name(f'i-{server}'): Load(2, _PENDING_TOKENS)
            for server in loaded_servers
        },
    )


async def _serve(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
    writer.write(format_response(HTTPStatus.OK, headers, b'whole'))


def fill_store(
    store: StandInStore, sizes: FleetSize, server: str, peers: str
) -> None:
    """Store the configuration, the servers and the other gateways."""
    put_configuration(store, ConfigurationRow(other_tenants=sizes.workspaces))
    for number in range(sizes.servers):
        put_server(store, f'i-{number}', server, slots=_SLOTS)
    for number in range(sizes.gateways - 1):
        store.put(GATEWAYS_TABLE, f'peer-{number}', {'address': peers})


async def simulate_peers(sizes: FleetSize, port: int) -> None:
    """Send the heartbeats of all other gateways, evenly over time."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=('127.0.0.1', port)
    )
    heartbeat_interval_ms = compute_heartbeat_interval_ms(sizes.gateways)
    pause = heartbeat_interval_ms / MS_PER_SECOND / max(1, sizes.gateways - 1)
    sequence = 0
    try:
        while True:
            sequence += 1
            for number in range(sizes.gateways - 1):
                heartbeat = build_heartbeat(
                    sizes, f'peer-{number}', number + 1, sequence
                )
                transport.sendto(encode(heartbeat))
                await asyncio.sleep(pause)
    finally:
        transport.close()


async def simulate_callers(client: aiosonic.HTTPClient, port: int) -> None:
    """Send requests to the gateway at a constant rate."""
    number = 0
    while True:
        number += 1
        headers = {
            'Host': HOST,
            ID_HEADER: f'r{number}',
            'Authorization': f'Token {KEY}',
        }
        with suppress(OSError):
            answer = await client.request(
                f'http://127.0.0.1:{port}/x/y',
                method='POST',
                headers=headers,
                data=b'ask',
            )
            await answer.content()
        await asyncio.sleep(1 / _REQUESTS_PER_S)


def write_settings(folder: Path, store: str, ports: Sequence[int]) -> Path:
    """Write the settings file of the gateway."""
    lines = ['[gateway]', 'name = "g1"', 'zone = "a"']
    roles = ('listen', 'ready_listen', 'metrics_listen', 'peer_listen')
    for role, port in zip(roles, ports, strict=True):
        lines.append(f'{role} = "127.0.0.1:{port}"')
    lines += ['[gateway.store]', f'address = "{store}"']
    path = folder / 'gateway.toml'
    path.write_text('\n'.join(lines), encoding='utf-8')
    return path


@asynccontextmanager
async def run_fleet(sizes: FleetSize, folder: Path) -> AsyncIterator[list[str]]:
    """Run the fleet without the gateway.

    Yields
    ------
    list[str]
        The arguments that start the gateway: its settings file and the file
        for its profile.

    """
    ports = tuple(islice(free_ports(), _PORT_COUNT))
    receiver, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        asyncio.DatagramProtocol, local_addr=('127.0.0.1', 0)
    )
    host, port = receiver.get_extra_info('sockname')[:2]
    async with (
        run_store() as store,
        run_scripted(_serve) as server,
        asyncio.TaskGroup() as group,
    ):
        fill_store(store, sizes, server.address, f'{host}:{port}')
        settings = write_settings(folder, store.address, ports)
        tasks = [
            group.create_task(simulate_peers(sizes, ports[3])),
            group.create_task(simulate_callers(make_client(4), ports[0])),
        ]
        try:
            yield [str(settings), str(folder / 'profile')]
        finally:
            for task in tasks:
                task.cancel()
            receiver.close()
