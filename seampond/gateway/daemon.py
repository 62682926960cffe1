"""The gateway daemon, which runs a gateway's components."""

import functools
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from starlette.types import ASGIApp, Receive, Scope, Send

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.forwarding.caller_protocol import CallerProtocol
from seampond.forwarding.planned_stop import PlannedStop
from seampond.gateway.callers import make_caller_context
from seampond.gateway.components import GatewayComponents
from seampond.gateway.rollouts import execute_rollouts
from seampond.gateway.stalls import record_stalls
from seampond.gateway.status import build_status
from seampond.gateway.tables import (
    CRITICAL,
    RELAXED,
    ROUTINE,
    follow_table,
)
from seampond.gateway.wiring import make_components
from seampond.pages import Pages, RenderedPage, render_page
from seampond.platform import READY_PATH, open_table
from seampond.platform.names import (
    CONFIGURATION_TABLE,
    GATEWAYS_TABLE,
    QUARANTINE_TABLE,
    SERVERS_TABLE,
    STATUS_TABLE,
    STREAMS_TABLE,
)
from seampond.platform.quarantine import QuarantineTable
from seampond.platform.streams import StoredStreams
from seampond.settings.gateway import GatewaySettings
from seampond.sharing.dead_rows import remove_dead_rows
from seampond.sharing.transport import (
    TransportContext,
    apply_gateway_rows,
    exchange_heartbeats,
    register,
    unregister,
)
from seampond.suspension import watch_suspension
from seampond.tasks import run_tasks
from seampond.watches import Page
from seampond.web import WebServer, serve_http

_STOP_MARGIN_MS = 500
# A part of the margin.
_ANSWER_MS = 250
# Once a configuration is known, a gateway waits 3 s for the trials at most.
_TRIALS_RETRY_MS = 250
_TRIALS_TRIES_MAX = 12
_POLL_INTERVAL_MS = 100
_ADOPT_INTERVAL_MS = 2000
_logger = logging.getLogger(__name__)


@dataclass
class RunningGateway:
    """A running gateway."""

    components: GatewayComponents
    server: WebServer

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings without interrupting open requests."""
        changed = self.components.apply_settings(settings)
        _logger.info('settings reloaded', extra={'changed': changed})

    async def drain(self) -> None:
        """Stop as planned: not ready, linger, then finish open requests.

        Explanation
        -----------
        Requests are accepted during the linger time and until the last of
        them is done, since no other gateway may be up to answer callers.
        """
        web, clock = self.components.web, self.components.clock
        settings = self.components.settings
        now_ms = clock.now()
        stop = PlannedStop(
            now_ms + settings.linger_ms,
            now_ms + settings.bounds.stop_ms - _STOP_MARGIN_MS,
        )
        web.forwarder.stop_limits.begin(stop)
        _logger.info('gateway stops', extra={'open': web.open_requests})
        await clock.sleep(settings.linger_ms)
        await web.wait_for_open_requests(stop.close_ms)
        # Requests that end with the stop still get their answers.
        await self.server.drain(stop.close_ms + _ANSWER_MS - clock.now())
        _logger.info('gateway stopped', extra={'open': web.open_requests})


async def _adopt_history(components: GatewayComponents) -> None:
    """Learn which versions served before this gateway started."""
    while True:
        await components.origins.adopt_history()
        await components.clock.sleep(_ADOPT_INTERVAL_MS)


@asynccontextmanager
async def _share_with_peers(
    components: GatewayComponents,
) -> AsyncIterator[None]:
    """Register this gateway and exchange heartbeats until the end."""
    settings, clock = components.settings, components.clock
    sharing = TransportContext(
        components.peers,
        components.make_heartbeat,
        components.record_heartbeat_sent,
        components.handle_heartbeat,
        components.is_heartbeat_due,
        clock,
        lambda kind: components.metrics.dropped.labels(kind).inc(),
        components.handle_permit_message,
        components.origins.handle_message,
        components.handle_loan_message,
    )
    async with (
        open_table(settings.store.address, GATEWAYS_TABLE, clock) as table,
        exchange_heartbeats(settings.peer_listen, sharing) as senders,
        run_tasks(
            register(table, components.peers, settings.peer_listen, clock),
            remove_dead_rows(table, components.peers, clock),
        ),
    ):
        components.permit_manager.send = senders.send_permit
        components.origins.requests.send = senders.send_origin
        components.loans.send = senders.send_loan
        components.connection_loans.send = senders.send_loan
        async with run_tasks(_adopt_history(components)):
            yield
        await unregister(table, components.peers)


def _handle_operator_rows(components: GatewayComponents, page: Page) -> None:
    """Apply rows that operators write: configurations and orders."""
    components.configuration_follower.handle_page(page)
    components.rollout_follower.handle_orders(page)


async def _follow_states(components: GatewayComponents) -> None:
    """Follow the status table while an order is carried out.

    Explanation
    -----------
    The table is not followed otherwise, since each call to the store costs.
    """
    follower = components.rollout_follower
    while True:
        await follower.is_active.wait()
        async with follow_table(
            components, STATUS_TABLE, follower.handle_states, CRITICAL
        ):
            while follower.is_active.is_set():
                await components.clock.sleep(_POLL_INTERVAL_MS)
        components.watches.pop(STATUS_TABLE)


@asynccontextmanager
async def _run_rollouts(components: GatewayComponents) -> AsyncIterator[None]:
    """Carry out rollout orders until the end of the `with`."""
    clock, address = components.clock, components.settings.store.address
    async with (
        open_table(address, STATUS_TABLE, clock) as table,
        run_tasks(
            _follow_states(components),
            record_stalls(
                components.stalls, components.rollout_follower.is_active, clock
            ),
            execute_rollouts(
                components.rollout_follower,
                table,
                lambda: components.peers.rank,
                components.is_heartbeat_due.set,
                components.promises,
                clock,
            ),
        ),
    ):
        yield


async def _read_trials(components: GatewayComponents) -> None:
    """Load the trials that were stored before this gateway started.

    Explanation
    -----------
    The gateway is not ready before, so that a request that crashes servers is
    not sent again after all gateways restarted.  It gives up if this table
    remains unreadable while the configuration is known.
    """
    trials = components.quarantine.trials
    attempts = 0
    while not trials.is_loaded:
        try:
            await trials.read()
        except PlatformError as error:
            attempts += components.configuration_state.configuration is not None
            trials.is_loaded = attempts >= _TRIALS_TRIES_MAX
            _logger.warning('trials not read', extra={'reason': error.message})
            await components.clock.sleep(_TRIALS_RETRY_MS)


@asynccontextmanager
async def _run_quarantine(components: GatewayComponents) -> AsyncIterator[None]:
    """Keep the table of trials open until the end of the `with`."""
    address = components.settings.store.address
    trials = components.quarantine.trials
    async with open_table(address, QUARANTINE_TABLE, components.clock) as table:
        trials.table = QuarantineTable(table)
        trials.is_loaded = False
        async with run_tasks(_read_trials(components)):
            yield
        await trials.close()


@asynccontextmanager
async def _run_stream_store(
    components: GatewayComponents,
) -> AsyncIterator[None]:
    """Keep what the store knows of streams until the end of the `with`."""
    address, clock = components.settings.store.address, components.clock
    stream_store = components.stream_store
    async with (
        open_table(address, STREAMS_TABLE, clock) as reader,
        open_table(address, STREAMS_TABLE, clock) as writer,
    ):
        stream_store.table = StoredStreams(reader, writer)
        async with run_tasks(stream_store.run()):
            yield
        stream_store.table = None


def _port_of(address: str) -> int:
    return int(address.rpartition(':')[2])


async def _send_page(page: RenderedPage, send: Send) -> None:
    headers = [
        (b'content-type', page.media_type.encode()),
        (b'content-length', b'%d' % len(page.body)),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': page.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': page.body})


def make_app(components: GatewayComponents) -> ASGIApp:
    """Return the application for callers, the load balancer and operators.

    Explanation
    -----------
    One web server listens on all addresses, since each server wakes up the
    process ten times a second.
    """
    pages = Pages(
        components.metrics.registry,
        lambda: components.is_ready,
        functools.partial(build_status, components),
        READY_PATH,
    )
    settings = components.settings
    internal_ports = {
        _port_of(settings.ready_listen),
        _port_of(settings.metrics_listen),
    }

    async def dispatch(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['server'][1] in internal_ports:
            await _send_page(render_page(pages, scope['path']), send)
        else:
            await components.web(scope, receive, send)

    return dispatch


@asynccontextmanager
async def run_gateway(
    settings: GatewaySettings, clock: Clock
) -> AsyncIterator[RunningGateway]:
    """Run a gateway until the end of the `with`."""
    components = make_components(settings, clock)
    bounds = settings.bounds
    drain_ms = bounds.stop_ms - settings.linger_ms - _STOP_MARGIN_MS
    async with AsyncExitStack() as stack:
        for table, handle_page, policy in (
            (
                CONFIGURATION_TABLE,
                functools.partial(_handle_operator_rows, components),
                CRITICAL,
            ),
            (
                SERVERS_TABLE,
                components.server_follower.handle_page,
                ROUTINE,
            ),
            (
                GATEWAYS_TABLE,
                functools.partial(apply_gateway_rows, components.peers),
                RELAXED,
            ),
        ):
            await stack.enter_async_context(
                follow_table(components, table, handle_page, policy)
            )
        await stack.enter_async_context(_share_with_peers(components))
        await stack.enter_async_context(_run_rollouts(components))
        await stack.enter_async_context(_run_quarantine(components))
        await stack.enter_async_context(_run_stream_store(components))
        await stack.enter_async_context(
            run_tasks(
                watch_suspension(components.metrics.record_suspension, clock)
            )
        )
        server = await stack.enter_async_context(
            serve_http(
                make_app(components),
                settings.listen,
                settings.ready_listen,
                settings.metrics_listen,
                drain_ms=max(1, drain_ms),
                protocol=functools.partial(
                    CallerProtocol, make_caller_context(components)
                ),
            )
        )
        yield RunningGateway(components, server)
