"""The entry daemon, which accepts requests and sends them to agents."""

import functools
import logging
import random
import secrets
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.http_tables import make_http_tables
from seampond.backing.vms import make_vm_lister
from seampond.callers.admission import AdmissionContext
from seampond.callers.app import ReadinessChecks, make_caller_app
from seampond.callers.protocol import EntryProtocol, make_entry_connections
from seampond.callers.responses import ResponseContext
from seampond.clock import Clock
from seampond.limits import Limiter
from seampond.links.messages import Hello
from seampond.membership.follow import (
    Members,
    PeerTasks,
    SubsetPlan,
    follow_members,
)
from seampond.metrics import EntryMetrics
from seampond.metrics.common import counts_by_labels
from seampond.pages import Pages
from seampond.promises import Promises, Rule
from seampond.routing.dispatcher import Dispatcher
from seampond.routing.keep import Keeping
from seampond.routing.place import Placement
from seampond.routing.retries import RetryBudget
from seampond.routing.waiting import DepartureRate, RoomSize, WaitingRoom
from seampond.settings.models import EntrySettings
from seampond.tasks import run_tasks
from seampond.templates.follow import ConfigurationHolder, follow_configuration
from seampond.templates.keys import KeyRing
from seampond.web import WebServer, serve_http

_INCARNATION_BYTES = 8
_logger = logging.getLogger(__name__)


@dataclass
class EntryComponents:
    """The components of one entry.

    Parameters
    ----------
    incarnation : str
        Random identifier of this start of the process.
    is_draining : bool
        Whether a planned stop has begun.

    """

    settings: EntrySettings
    clock: Clock
    metrics: EntryMetrics
    promises: Promises
    holder: ConfigurationHolder
    room: WaitingRoom
    dispatcher: Dispatcher
    incarnation: str
    members: Members
    is_draining: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.holder.current.generation > 0

    def make_hello(self, nonce: bytes) -> Hello:
        """Return the message that identifies this entry on a link."""
        return Hello(
            name=self.settings.name,
            incarnation=self.incarnation,
            nonce=nonce,
            hall=self.settings.hall,
            generation=self.holder.current.generation,
        )

    def show_status(self) -> dict[str, object]:
        """Return the status that `seampond status` prints."""
        agents = [
            {
                'name': peer.name,
                'pool': peer.vm.pool,
                'state': peer.state.value,
                'running': peer.load.pulse.running,
                'slots': peer.load.pulse.slots,
                'queued': peer.load.pulse.queued,
                'generation': peer.load.pulse.generation,
            }
            for peer in self.dispatcher.peers.values()
        ]
        return {
            'name': self.settings.name,
            'hall': self.settings.hall,
            'generation': self.holder.current.generation,
            'ready': self.is_ready,
            'draining': self.is_draining,
            'waiting': len(self.room),
            'open': self.dispatcher.open_tickets,
            'promises_broken': self.promises.broken,
            'requests': counts_by_labels(self.metrics.requests),
            'refusals': counts_by_labels(self.metrics.refusals),
            'retries': counts_by_labels(self.metrics.retries),
            'agents': agents,
        }


@dataclass
class RunningEntry:
    """A running entry."""

    components: EntryComponents
    web: WebServer

    @property
    def url(self) -> str:
        """The base URL for callers."""
        address = self.web.address
        return f'http://{address}'

    async def drain(self) -> None:
        """Stop as planned: not ready, linger, then finish open requests.

        Explanation
        -----------
        The load balancer sends requests until it sees that this entry is
        not ready; they are served meanwhile.
        """
        settings, clock = self.components.settings, self.components.clock
        _logger.info('entry draining', extra={'entry': settings.name})
        self.components.is_draining = True
        await clock.sleep(settings.linger_ms)
        await self.web.drain()
        self.components.promises.check(
            Rule.drain,
            self.components.dispatcher.open_tickets == 0,
            step='drain',
        )
        _logger.info('entry drained', extra={'entry': settings.name})


def build_components(settings: EntrySettings, clock: Clock) -> EntryComponents:
    """Return the components of an entry."""
    metrics = EntryMetrics()
    promises = Promises(lambda rule: metrics.violations.labels(rule).inc())
    size = RoomSize(
        settings.routing.waiting_max, settings.routing.waiting_max_bytes
    )
    room = WaitingRoom(size, promises)
    return EntryComponents(
        settings=settings,
        clock=clock,
        metrics=metrics,
        promises=promises,
        holder=ConfigurationHolder(promises, metrics.generation.set),
        room=room,
        dispatcher=Dispatcher(clock, promises, metrics, room),
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        members=Members(),
    )


def _make_response_context(components: EntryComponents) -> ResponseContext:
    settings = components.settings
    placement = Placement(
        dispatcher=components.dispatcher,
        room=components.room,
        rate=DepartureRate(components.clock),
        settings=settings.routing,
        clock=components.clock,
        metrics=components.metrics,
        hall=settings.hall,
        rng=random.Random(),
    )
    admission_context = AdmissionContext(
        holder=components.holder,
        keys=KeyRing(),
        limiter=Limiter(components.clock),
        members=components.members,
        clock=components.clock,
        body_max_bytes=settings.routing.body_max_bytes,
    )
    budget = RetryBudget(settings.routing.retry_share)
    return ResponseContext(
        admission_context, placement, components.promises, budget
    )


@asynccontextmanager
async def run_entry(
    settings: EntrySettings, clock: Clock
) -> AsyncIterator[RunningEntry]:
    """Run an entry until the end of the `with`."""
    components = build_components(settings, clock)
    platform = settings.platform
    keeping = Keeping(
        dispatcher=components.dispatcher,
        settings=settings.links,
        make_hello=components.make_hello,
        holder=components.holder,
        clock=clock,
        metrics=components.metrics,
    )
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(open_client())
        tables = make_http_tables(
            ServiceClient(platform.tables, client, platform.timeout_ms)
        )
        list_vms = make_vm_lister(
            ServiceClient(platform.vms, client, platform.timeout_ms)
        )
        configuration_updates = follow_configuration(
            tables, components.holder, clock, settings.config_poll_ms
        )
        membership_updates = follow_members(
            list_vms,
            PeerTasks(keeping, {}),
            components.members,
            SubsetPlan(
                settings.name,
                settings.routing.links_per_pool,
                settings.vms_poll_ms,
            ),
        )
        await stack.enter_async_context(
            run_tasks(configuration_updates, membership_updates)
        )
        readiness = ReadinessChecks(
            lambda: components.is_ready, lambda: components.is_draining
        )
        pages = Pages(
            components.metrics.registry,
            lambda: components.is_ready and not components.is_draining,
            components.show_status,
        )
        app = make_caller_app(
            _make_response_context(components), readiness, pages
        )
        web = await stack.enter_async_context(
            serve_http(
                app,
                settings.listen,
                drain_ms=settings.drain_ms,
                protocol=functools.partial(
                    EntryProtocol,
                    make_entry_connections(settings.routing, clock),
                    clock,
                ),
            )
        )
        yield RunningEntry(components, web)
