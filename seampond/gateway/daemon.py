"""The gateway daemon: its parts run for the time of a `with`."""

import functools
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from starlette.types import ASGIApp, Receive, Scope, Send

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.forwarding.app import PlannedStop
from seampond.forwarding.caller_protocol import CallerProtocol
from seampond.gateway.components import GatewayComponents
from seampond.gateway.rollouts import execute_rollouts
from seampond.gateway.stalls import record_stalls
from seampond.gateway.status import build_status
from seampond.gateway.wiring import make_components
from seampond.pages import Pages, RenderedPage, render_page
from seampond.platform import READY_PATH, open_table
from seampond.platform.names import (
    CONFIGURATION_TABLE,
    GATEWAYS_TABLE,
    QUARANTINE_TABLE,
    SERVERS_TABLE,
    STATUS_TABLE,
)
from seampond.platform.quarantine import QuarantineTable
from seampond.settings.gateway import GatewaySettings
from seampond.sharing.transport import (
    TransportContext,
    apply_gateway_rows,
    exchange_heartbeats,
    register,
    unregister,
)
from seampond.suspension import watch_suspension
from seampond.tasks import run_tasks
from seampond.watches import Page, Watch, probe_when_stale
from seampond.web import WebServer, serve_http

_STOP_MARGIN_MS = 500
_PROOF_MS = 1500
_GATEWAYS_PROOF_MS = 8000
_CRITICAL_PAUSE_MS = 600
_ROUTINE_PAUSE_MS = 1500
_BATCH_MS = 250
# With the configuration at hand the trials are waited for 3 s at the most.
_TRIALS_PAUSE_MS = 250
_TRIALS_TRIES = 12
_LOOK_MS = 100
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LatencySample:
    """How fast a table is followed.

    Parameters
    ----------
    max_pause_ms : int
        The longest pause between two calls that fail.
    batch_ms : int
        How long changes may be gathered for one answer.
    proves_at_start : bool
        Whether a start asks at once whether what it has read is the newest.

    """

    max_pause_ms: int
    batch_ms: int
    proves_at_start: bool


# An older configuration may hold a key that was taken away since.
_CRITICAL = LatencySample(_CRITICAL_PAUSE_MS, 0, proves_at_start=True)
_ROUTINE = LatencySample(_ROUTINE_PAUSE_MS, _BATCH_MS, proves_at_start=False)


@dataclass
class RunningGateway:
    """A running gateway."""

    components: GatewayComponents
    server: WebServer

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings; nothing that runs is touched."""
        changed = self.components.apply_settings(settings)
        _logger.info('settings reloaded', extra={'changed': changed})

    async def drain(self) -> None:
        """Planned stop: not ready, linger, then finish what is open.

        Explanation
        -----------
        Callers are taken until the last request of the linger time is over:
        where all gateways stop in turn, nobody else would answer them.
        """
        web, clock = self.components.web, self.components.clock
        settings = self.components.settings
        now_ms = clock.now()
        stop = PlannedStop(
            now_ms + settings.linger_ms,
            now_ms + settings.bounds.stop_ms - _STOP_MARGIN_MS,
        )
        web.stop = stop
        _logger.info('gateway stops', extra={'open': web.open_requests})
        await clock.sleep(settings.linger_ms)
        await web.wait_for_open_requests()
        await self.server.drain(stop.close_ms - clock.now())
        _logger.info('gateway stopped', extra={'open': web.open_requests})


@asynccontextmanager
async def _watch(
    components: GatewayComponents,
    table: str,
    take: Callable[[Page], None],
    age_ms: int,
    policy: LatencySample,
) -> AsyncIterator[None]:
    """Follow one table until the end of the `with`.

    Parameters
    ----------
    age_ms : int
        How old a proof may be that we hold all changes of the table.
    """

    def count(step: str) -> None:
        components.metrics.store_failures.labels(step).inc()

    store, clock = components.settings.store, components.clock
    async with (
        open_table(store.address, table, clock) as source,
        open_table(store.address, table, clock) as probe_source,
    ):
        watch = Watch(
            source,
            probe_source,
            take,
            store.call_ms,
            clock,
            count,
            components.freshness[table],
            policy.max_pause_ms,
            policy.batch_ms,
            lambda: components.peers.interval_factor,
            lambda: components.peers.is_follower,
            policy.proves_at_start,
            functools.partial(components.relay, table),
        )
        components.watches[table] = watch
        async with run_tasks(
            watch.run(),
            probe_when_stale(
                watch, age_ms, lambda: components.peers.rank, clock
            ),
        ):
            yield


@asynccontextmanager
async def _share(components: GatewayComponents) -> AsyncIterator[None]:
    """Make ourselves known and exchange heartbeats until the end."""
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
    )
    async with (
        open_table(settings.store.address, GATEWAYS_TABLE, clock) as table,
        exchange_heartbeats(settings.peer_listen, sharing) as send_permit,
        run_tasks(
            register(table, components.peers, settings.peer_listen, clock)
        ),
    ):
        components.permit_manager.send = send_permit
        yield
        await unregister(table, components.peers)


def _take_operators(components: GatewayComponents, page: Page) -> None:
    """Take what operators have written: configurations and orders."""
    components.configuration_follower.handle_page(page)
    components.rollout_follower.handle_orders(page)


async def _follow_states(components: GatewayComponents) -> None:
    """Follow the states of roll-outs while an order is carried out.

    Explanation
    -----------
    Each call to the store is priced, and most of the time there is no order.
    """
    follower = components.rollout_follower
    while True:
        await follower.is_active.wait()
        async with _watch(
            components,
            STATUS_TABLE,
            follower.handle_states,
            _PROOF_MS,
            _CRITICAL,
        ):
            while follower.is_active.is_set():
                await components.clock.sleep(_LOOK_MS)
        components.watches.pop(STATUS_TABLE)


@asynccontextmanager
async def _run_rollouts(components: GatewayComponents) -> AsyncIterator[None]:
    """Carry out orders of roll-outs until the end of the `with`."""
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
    """Learn what was in quarantine before our start.

    Explanation
    -----------
    Nothing is sent before, or a request that has ended its servers ends more
    after each loss of all gateways.  A table that cannot be read while the
    configuration can is not waited for without end.
    """
    trials = components.quarantine.trials
    tries = 0
    while not trials.is_loaded:
        try:
            await trials.read()
        except PlatformError as error:
            tries += components.configuration_state.configuration is not None
            trials.is_loaded = tries >= _TRIALS_TRIES
            _logger.warning('trials not read', extra={'reason': error.message})
            await components.clock.sleep(_TRIALS_PAUSE_MS)


@asynccontextmanager
async def _run_quarantine(components: GatewayComponents) -> AsyncIterator[None]:
    """Hold the table of trials open until the end of the `with`."""
    address = components.settings.store.address
    trials = components.quarantine.trials
    async with open_table(address, QUARANTINE_TABLE, components.clock) as table:
        trials.table = QuarantineTable(table)
        trials.is_loaded = False
        async with run_tasks(_read_trials(components)):
            yield
        trials.table = None


def _port(address: str) -> int:
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
    """Give one application for callers, the balancer and operators.

    Explanation
    -----------
    One web server listens on all addresses, since each would wake up the
    process ten times a second.
    """
    pages = Pages(
        components.metrics.registry,
        lambda: components.is_ready,
        functools.partial(build_status, components),
        READY_PATH,
    )
    settings = components.settings
    other = {_port(settings.ready_listen), _port(settings.metrics_listen)}

    async def dispatch(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['server'][1] in other:
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
        for table, take, age_ms, policy in (
            (
                CONFIGURATION_TABLE,
                functools.partial(_take_operators, components),
                _PROOF_MS,
                _CRITICAL,
            ),
            (
                SERVERS_TABLE,
                components.server_follower.handle_page,
                _PROOF_MS,
                _ROUTINE,
            ),
            (
                GATEWAYS_TABLE,
                functools.partial(apply_gateway_rows, components.peers),
                _GATEWAYS_PROOF_MS,
                _ROUTINE,
            ),
        ):
            await stack.enter_async_context(
                _watch(components, table, take, age_ms, policy)
            )
        await stack.enter_async_context(_share(components))
        await stack.enter_async_context(_run_rollouts(components))
        await stack.enter_async_context(_run_quarantine(components))
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
                    CallerProtocol, lambda: components.web.admission.limits
                ),
            )
        )
        yield RunningGateway(components, server)
