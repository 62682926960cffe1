"""The agent daemon, which serves entries in front of a backend server."""

import logging
import secrets
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from starlette.applications import Starlette

from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.http_tables import make_http_tables
from seampond.backing.objects import make_http_objects
from seampond.claims import Claims
from seampond.clock import Clock
from seampond.engines import Agent, open_backend
from seampond.engines.listen import Listener, listen_for_entries
from seampond.engines.runner import Runner
from seampond.links.messages import Hello
from seampond.metrics import AgentMetrics
from seampond.page_routes import make_page_routes
from seampond.pages import Pages
from seampond.promises import Promises, Rule
from seampond.settings.models import AgentSettings
from seampond.web import WebServer, serve_http

_INCARNATION_BYTES = 8
_DRAIN_POLL_MS = 20
_SPARE_CONNECTIONS = 8  # for calls beyond the running requests
_logger = logging.getLogger(__name__)


@dataclass
class RunningAgent:
    """A running agent and its components.

    Parameters
    ----------
    incarnation : str
        Random identifier of this start of the process.
    web : WebServer
        Server of the status pages; None until it listens.

    """

    settings: AgentSettings
    clock: Clock
    agent: Agent
    promises: Promises
    metrics: AgentMetrics
    incarnation: str
    web: WebServer | None = None

    def make_hello(self, nonce: bytes) -> Hello:
        """Return the message that identifies this agent on a link."""
        return Hello(
            name=self.settings.name,
            incarnation=self.incarnation,
            nonce=nonce,
            pool=self.settings.backend.pool,
            hall=self.settings.hall,
            generation=self.agent.generation,
        )

    def show_status(self) -> dict[str, object]:
        """Return the status that `seampond status` prints."""
        pulse = self.agent.pulse
        return {
            'name': self.settings.name,
            'hall': self.settings.hall,
            'pool': self.settings.backend.pool,
            'running': pulse.running,
            'slots': pulse.slots,
            'asked': self.agent.open_asks,
            'queued': pulse.queued,
            'leaving': pulse.leaving,
            'generation': pulse.generation,
            'entries': sorted(entry.name for entry in self.agent.entries),
            'promises_broken': self.promises.broken,
        }

    async def drain(self) -> None:
        """Stop as planned: accept no new work and finish running requests.

        Explanation
        -----------
        Waits until the entries have received all answers, for `drain_ms` at
        most.  The promise `drain` is broken if work is left then.
        """
        self.agent.leave()
        deadline_ms = self.clock.now() + self.settings.drain_ms
        while not self.agent.is_idle and self.clock.now() < deadline_ms:
            await self.clock.sleep(_DRAIN_POLL_MS)
        self.promises.check(Rule.drain, self.agent.is_idle, step='drain')
        _logger.info('agent drained', extra={'agent': self.settings.name})


def _make_status_app(running: RunningAgent) -> Starlette:
    pages = Pages(
        running.metrics.registry,
        lambda: not running.agent.is_leaving,
        running.show_status,
    )
    return Starlette(routes=make_page_routes(pages))


@asynccontextmanager
async def run_agent(
    settings: AgentSettings, clock: Clock
) -> AsyncIterator[RunningAgent]:
    """Run an agent until the end of the `with`."""
    metrics = AgentMetrics()
    promises = Promises(lambda rule: metrics.violations.labels(rule).inc())
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    platform, backend = settings.platform, settings.backend
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(open_client())
        tables = make_http_tables(
            ServiceClient(platform.tables, client, platform.timeout_ms)
        )
        objects = make_http_objects(
            ServiceClient(platform.objects, client, platform.timeout_ms)
        )
        claims = Claims(tables, clock, f'{settings.name}/{incarnation}')
        # A separate client: claims do not wait for connections of streams.
        call = await stack.enter_async_context(
            open_backend(
                backend.url,
                backend.kind,
                backend.timeout_ms,
                connections=backend.slots_max + _SPARE_CONNECTIONS,
            )
        )
        runner = Runner(
            settings, clock, promises, metrics, claims, objects, call.carry_out
        )
        stack.push_async_callback(runner.close)
        agent = Agent(settings, clock, promises, metrics, runner)
        running = RunningAgent(
            settings, clock, agent, promises, metrics, incarnation
        )
        await stack.enter_async_context(
            listen_for_entries(
                Listener(agent, settings, running.make_hello, clock, metrics)
            )
        )
        running.web = await stack.enter_async_context(
            serve_http(_make_status_app(running), settings.status_listen)
        )
        yield running
