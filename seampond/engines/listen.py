"""The agent's listener: one task for each link from an entry."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.engines.agent import Agent
from seampond.engines.entries import EntryPeer
from seampond.errors import LinkError, PromiseError
from seampond.links import Connection, shake_hands
from seampond.links.trust import HelloMaker
from seampond.metrics import AgentMetrics
from seampond.settings.models import AgentSettings
from seampond.tasks import cancel_all, run_tasks

TIDY_MS = 250
_BACKLOG = 1024
_logger = logging.getLogger(__name__)


async def _serve_entry(agent: Agent, entry: EntryPeer) -> None:
    agent.came_up(entry)
    try:
        while True:
            for message in await entry.link.receive():
                # Counted and logged already; the act was not done.
                with suppress(PromiseError):
                    agent.take(entry, message)
    finally:
        agent.went_down(entry)


@dataclass
class Listener:
    """The links from entries, one task each."""

    agent: Agent
    settings: AgentSettings
    make_hello: HelloMaker
    clock: Clock
    metrics: AgentMetrics
    tasks: 'set[asyncio.Task[None]]' = field(default_factory=set)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one link until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        link = Connection(reader, writer, self.clock)
        try:
            await self._serve_link(link)
        except LinkError as error:
            kind = f'{type(error).__name__}:{error.step}'
            self.metrics.link_errors.labels(kind).inc()
        except asyncio.CancelledError:
            _logger.debug('link closed', extra={'peer': link.peer})
        finally:
            self.tasks.discard(task)
            await link.close()

    async def tidy(self) -> None:
        """Let the agent drop what has expired, until cancelled."""
        while True:
            await self.clock.sleep(TIDY_MS)
            self.agent.tidy()

    async def close(self) -> None:
        """Close all links."""
        await cancel_all(list(self.tasks))

    async def _serve_link(self, link: Connection) -> None:
        secret = self.settings.links.secret
        hello = await shake_hands(link, self.make_hello, secret, dialed=False)
        entry = EntryPeer(hello.name, hello.incarnation, link)
        await _serve_entry(self.agent, entry)


@asynccontextmanager
async def listen_for_entries(listener: Listener) -> AsyncIterator[None]:
    """Serve entries until the end of the `with`; then close their links."""
    host, _, port = listener.settings.listen.rpartition(':')
    server = await asyncio.start_server(
        listener.serve, host, int(port), backlog=_BACKLOG
    )
    try:
        async with run_tasks(listener.tidy()):
            yield
    finally:
        server.close()
        await listener.close()
