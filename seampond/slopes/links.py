"""Memory and processor time of links between two real ends."""

import asyncio
import resource
import time

from seampond.clock import Clock
from seampond.links import Connection
from seampond.links.messages import Pulse
from seampond.slopes.processor import MICROSECONDS, Slope

_LINKS = 400
_BEATS = 20
_KIB = 1024


def resident_bytes() -> int:
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
    before = resident_bytes()
    dialed = []
    for _ in range(_LINKS):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        dialed.append(Connection(reader, writer, Clock()))
    while len(ends) < _LINKS:
        await asyncio.sleep(0)
    grown = resident_bytes() - before
    cost = await _beat(dialed, ends)
    for link in (*dialed, *ends):
        await link.close()
    server.close()
    return [
        Slope('link, both ends', grown / _LINKS, 'bytes'),
        Slope('heartbeat, sent and received', cost, 'us'),
    ]


async def _beat(dialed: list[Connection], ends: list[Connection]) -> float:
    started = time.process_time()
    for _ in range(_BEATS):
        for link in dialed:
            link.send(Pulse(1, 2, 3, 4, False, 5, 6))
        await asyncio.gather(*(end.receive() for end in ends))
    spent = time.process_time() - started
    return spent / _BEATS / _LINKS * MICROSECONDS
