"""Faults of server processes in a soak."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass

from seampond.platform.names import DRAINING_STATE
from seampond.testing.event_fleet import EventFleet
from seampond.testing.event_streams import ServerProcess
from seampond.testing.soak_faults import Fault, SoakContext

_DRAINING_ROW_PROBABILITY = 0.5
_DRAINING_ROW_MAX_MS = 500
_FROZEN_MS = (100, 3000)
_PAUSE_MAX_MS = 300
_POLL_MS = 20


@dataclass(frozen=True)
class ServerFaults:
    """The faults of the servers of a fleet; reports print their names."""

    fleet: EventFleet

    @property
    def kinds(self) -> Sequence[Fault]:
        """Faults to choose from, some of them more often."""
        return [
            self.kill_server,
            self.kill_server,
            self.kill_servers_in_series,
            self.stop_server,
            self.freeze_server,
            self.kill_frozen_server,
        ]

    async def kill_server(self, context: SoakContext) -> None:
        """Kill a server."""
        await self.fleet.end(await self._draw(context), signal.SIGKILL)

    async def kill_servers_in_series(self, context: SoakContext) -> None:
        """Kill some servers in a short time."""
        rng = self.fleet.rng
        async with asyncio.TaskGroup() as group:
            for _ in range(rng.randrange(2, 5)):
                group.create_task(self.kill_server(context))
                await context.clock.sleep(rng.uniform(0, _PAUSE_MAX_MS))

    async def stop_server(self, context: SoakContext) -> None:
        """Stop a server, with or without a draining row before."""
        rng = self.fleet.rng
        server = await self._draw(context)
        if rng.random() < _DRAINING_ROW_PROBABILITY:
            self.fleet.put_row(server, state=DRAINING_STATE)
            await context.clock.sleep(rng.uniform(0, _DRAINING_ROW_MAX_MS))
        await self.fleet.end(server, signal.SIGTERM)

    async def freeze_server(self, context: SoakContext) -> None:
        """Freeze a server for some time."""
        server = await self._draw(context)
        await self._freeze(server, context)
        server.signal(signal.SIGCONT)

    async def kill_frozen_server(self, context: SoakContext) -> None:
        """Kill a server that has been frozen for some time."""
        server = await self._draw(context)
        await self._freeze(server, context)
        await self.fleet.end(server, signal.SIGKILL)
        # Another fault may be waiting for it to end.
        server.signal(signal.SIGCONT)

    async def _draw(self, context: SoakContext) -> ServerProcess:
        """Return a running server, as soon as there is one."""
        while not self.fleet.servers:
            await context.clock.sleep(_POLL_MS)
        return self.fleet.rng.choice(self.fleet.servers)

    async def _freeze(
        self, server: ServerProcess, context: SoakContext
    ) -> None:
        server.signal(signal.SIGSTOP)
        await context.clock.sleep(self.fleet.rng.uniform(*_FROZEN_MS))
