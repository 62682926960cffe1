"""Server processes that stream events, replaced when they end."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count, repeat

from seampond.clock import MS_PER_SECOND
from seampond.demo.fleet import free_ports
from seampond.platform.tests.rows import drop_server, put_server
from seampond.testing.event_server import Framing, ServerPlan
from seampond.testing.event_streams import ServerProcess
from seampond.testing.store import StandInStore

EVENT_COUNT = 10
_SLOTS = 8
_INTERVALS_MS = (20, 40, 60)
_PIECES = (1, 1, 2, 3)
_DRAINS_MS = (0, 1500)
_LATE_ROW_PROBABILITY = 0.4
_LATE_ROW_MAX_MS = 2500
_SAME_PORT_PROBABILITY = 0.5
_AWAY_MAX_MS = 800


@dataclass
class EventFleet:
    """Server processes; another one starts when one has ended.

    Parameters
    ----------
    framings : Sequence[Framing]
        How the servers may mark the ends of answers.
    servers : list[ServerProcess]
        Those that have not been ended.
    garbages : Iterator[tuple[bytes, ...]]
        What the next servers break streams off with.

    """

    store: StandInStore
    rng: random.Random
    framings: Sequence[Framing]
    servers: list[ServerProcess] = field(default_factory=list)
    garbages: Iterator[tuple[bytes, ...]] = field(
        default_factory=lambda: repeat(())
    )
    _started: list[ServerProcess] = field(default_factory=list)
    _ids: Iterator[int] = field(default_factory=count)
    _ports: Iterator[int] = field(default_factory=free_ports)

    async def add(self, port: int = 0) -> None:
        """Start a server under a new id, at a new port unless one is given."""
        plan = ServerPlan(
            f'i-{next(self._ids)}',
            port or next(self._ports),
            self.rng.choice(self.framings),
            events=EVENT_COUNT,
            interval_ms=self.rng.choice(_INTERVALS_MS),
            pieces=self.rng.choice(_PIECES),
            drain_ms=self.rng.choice(_DRAINS_MS),
            garbage=next(self.garbages),
        )
        server = ServerProcess(plan)
        self._started.append(server)
        await server.start()
        self.servers.append(server)
        self.put_row(server)

    def put_row(self, server: ServerProcess, **changes: str) -> None:
        """Write the row of a server."""
        put_server(
            self.store, server.plan.id, server.address, slots=_SLOTS, **changes
        )

    async def end(self, server: ServerProcess, number: signal.Signals) -> None:
        """Send a server a signal that ends it, and start another one."""
        if server not in self.servers or server.process is None:
            return
        self.servers.remove(server)
        server.signal(number)
        await server.process.wait()
        is_late = self.rng.random() < _LATE_ROW_PROBABILITY
        row_ms = self.rng.uniform(0, _LATE_ROW_MAX_MS) if is_late else 0
        is_same_port = self.rng.random() < _SAME_PORT_PROBABILITY
        async with asyncio.TaskGroup() as group:
            group.create_task(self._drop_row(server, row_ms))
            await asyncio.sleep(
                self.rng.uniform(0, _AWAY_MAX_MS) / MS_PER_SECOND
            )
            await self.add(server.plan.port if is_same_port else 0)

    async def stop(self) -> None:
        """Kill all servers."""
        for server in self._started:
            await server.kill()

    async def _drop_row(self, server: ServerProcess, after_ms: float) -> None:
        await asyncio.sleep(after_ms / MS_PER_SECOND)
        drop_server(self.store, server.plan.id)


@asynccontextmanager
async def run_event_fleet(
    fleet: EventFleet, servers: int
) -> AsyncIterator[EventFleet]:
    """Run a fleet of servers; kill them at the end."""
    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(servers):
                group.create_task(fleet.add())
        yield fleet
    finally:
        await fleet.stop()
