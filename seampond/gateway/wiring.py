"""Construction of a gateway's components."""

import asyncio
import functools
import random
import secrets
import sys
from collections.abc import Mapping

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.admission import Admission, ConfigurationState
from seampond.forwarding.app import GatewayApp
from seampond.forwarding.backends import Backends
from seampond.forwarding.forwarder import Forwarder, ForwarderContext
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server_runs import ServerRuns
from seampond.gateway.bounds import (
    compute_grace_ms,
    make_exposure_limits,
    make_quota_margin,
)
from seampond.gateway.caller_limits import make_caller_connections
from seampond.gateway.components import GatewayComponents
from seampond.gateway.followers import ConfigurationFollower, ServerFollower
from seampond.gateway.quarantine import make_quarantine
from seampond.gateway.rollouts import RolloutFollower
from seampond.gateway.stalls import EventLoopStalls
from seampond.gateway.version_policy import RolloutVersionPolicy
from seampond.loans.connections import ConnectionLoans
from seampond.loans.manager import RetryLoans
from seampond.metrics.gateway import GatewayMetrics
from seampond.permits.manager import PermitManager
from seampond.platform import HEADERS
from seampond.platform.names import (
    CONFIGURATION_TABLE,
    GATEWAYS_TABLE,
    SERVERS_TABLE,
    STATUS_TABLE,
)
from seampond.promises import Promises
from seampond.rollouts import Report, RolloutManager
from seampond.settings.gateway import BoundSettings, GatewaySettings
from seampond.sharing import Peers, Quotas, hash_name
from seampond.streams.known_origins import KnownOrigins
from seampond.streams.registry import OriginRegistry
from seampond.streams.stream_store import StreamStore
from seampond.watches import StoreClock, TableFreshness

_INCARNATION_BITS = 48


def connection_limit(
    configuration_state: ConfigurationState, peers: Peers, pool: str
) -> int:
    """Return how many connections one gateway may have to each server.

    Explanation
    -----------
    A server resets connections beyond the limit of its pool.  Each request
    uses one connection and prefers an idle one, so limiting the requests
    limits the connections.
    """
    configuration = configuration_state.configuration
    pool_settings = configuration.pools.get(pool) if configuration else None
    if pool_settings is None or not pool_settings.connections_max:
        return sys.maxsize
    return max(1, pool_settings.connections_max // peers.count)


def make_rollouts(
    bounds: BoundSettings,
    configuration_state: ConfigurationState,
    backends: Backends,
    peers: Peers,
    store_clock: StoreClock,
) -> RolloutManager:
    """Create the rollout manager."""

    def has_pool(pool: str) -> bool:
        configuration = configuration_state.configuration
        return configuration is None or pool in configuration.pools

    def list_reports() -> list[dict[int, Report]] | None:
        heartbeats = peers.list_heartbeats()
        if heartbeats is None:
            return None
        return [
            {report.pool: report for report in heartbeat.rollouts}
            for heartbeat in heartbeats
        ]

    return RolloutManager(
        make_exposure_limits(bounds),
        lambda: peers.count if peers.has_gateway_list else 0,
        backends.all_in_pool,
        has_pool,
        list_reports,
        hash_name,
        store_clock.to_store_ms,
        store_clock.to_local_ms,
    )


def _export_freshness(
    metrics: GatewayMetrics,
    configuration_state: ConfigurationState,
    freshness: Mapping[str, TableFreshness],
    clock: Clock,
) -> None:
    """Bind the metrics of configuration age and missing rows."""
    metrics.proof_age.set_function(
        lambda: (
            (configuration_state.proof_age_ms(clock.now()) or 0) / MS_PER_SECOND
        )
    )
    for table, table_freshness in freshness.items():
        metrics.missing.labels(table).set_function(
            functools.partial(_missing_seconds, table_freshness)
        )


def _missing_seconds(table_freshness: TableFreshness) -> float:
    return table_freshness.behind_ms / MS_PER_SECOND


def make_components(
    settings: GatewaySettings, clock: Clock
) -> GatewayComponents:
    """Create and connect the components of a gateway."""
    metrics = GatewayMetrics()
    promises = Promises(lambda rule: metrics.violations.labels(rule).inc())
    bounds = settings.bounds
    configuration_state = ConfigurationState(
        deadline_ms=bounds.configuration_deadline_ms
    )
    peers = Peers(settings.name, clock)
    is_heartbeat_due = asyncio.Event()
    quotas = Quotas(
        peers,
        make_quota_margin(bounds),
        clock,
        is_heartbeat_due.set,
        random.Random(),
    )
    backends = Backends(
        clock,
        HEADERS.request_id,
        compute_grace_ms(bounds),
        lambda pool: connection_limit(configuration_state, peers, pool),
        hash_name,
        lambda signal: metrics.server_signals.labels(signal).inc(),
    )
    store_clock = StoreClock()
    rollouts = make_rollouts(
        bounds, configuration_state, backends, peers, store_clock
    )
    stalls = EventLoopStalls()
    versions = RolloutVersionPolicy(rollouts, clock, stalls)
    permit_manager = PermitManager(
        peers,
        clock,
        backends.apply_limit_report,
        is_heartbeat_due.set,
        random.Random(),
        lambda outcome: metrics.permits.labels(outcome).inc(),
    )
    backends.on_limit = permit_manager.record_report
    scheduler = Scheduler(
        backends,
        settings.zone,
        clock,
        lambda: peers.count,
        promises,
        versions,
    )
    scheduler.availability.permits = permit_manager
    permit_manager.on_reply = scheduler.process_queues
    retry_budget = RetryBudget(
        bounds.retry_ratio,
        bounds.retry_allowance,
        round(bounds.retry_window_s * MS_PER_SECOND),
        lambda: peers.count,
        clock,
    )
    loans = RetryLoans(peers, retry_budget, random.Random())
    loan_counter = metrics.count(
        'seampond_connection_loans',
        'Loans of connections to servers, by the side of this gateway.',
        'side',
    )
    connection_loans = ConnectionLoans(
        peers,
        lambda: peers.summary.connection_lenders,
        backends,
        hash_name,
        lambda side: loan_counter.labels(side).inc(),
        clock,
        random.Random(),
    )
    connection_loans.on_borrowed = scheduler.process_queue
    scheduler.on_waiting = connection_loans.request
    quarantine = make_quarantine(
        backends, peers, store_clock, is_heartbeat_due.set, metrics, clock
    )
    configuration_follower = ConfigurationFollower(
        configuration_state, promises, metrics, clock
    )

    def confirm_servers(proved_ms: int) -> None:
        backends.confirm_rows(proved_ms)
        origins.verify_runs()

    freshness = {
        CONFIGURATION_TABLE: TableFreshness(
            clock, store_clock, configuration_follower.record_proof
        ),
        SERVERS_TABLE: TableFreshness(clock, store_clock, confirm_servers),
        GATEWAYS_TABLE: TableFreshness(
            clock, store_clock, lambda proved_ms: None
        ),
        STATUS_TABLE: TableFreshness(
            clock, store_clock, lambda proved_ms: None
        ),
    }
    _export_freshness(metrics, configuration_state, freshness, clock)
    configuration_state.is_outdated = lambda: (
        freshness[CONFIGURATION_TABLE].is_behind
    )
    known_origins = KnownOrigins(
        clock,
        backends.has_uncertain_version,
        ServerRuns(
            backends,
            hash_name,
            freshness[SERVERS_TABLE].request_proof,
            clock,
        ),
    )
    incarnation = secrets.randbits(_INCARNATION_BITS)

    def list_age_ms() -> int:
        return clock.now() - freshness[SERVERS_TABLE].proved_ms

    stream_store = StreamStore(
        known_origins.history,
        peers,
        store_clock,
        clock,
        list_age_ms,
        f'{settings.name}/{incarnation:x}/',
        is_first_start=settings.first_start,
    )
    origins = OriginRegistry(
        peers,
        known_origins,
        stream_store,
        clock,
        list_age_ms,
        random.Random(),
        lambda source: metrics.resumed.labels(source).inc(),
    )
    backends.failed_ms = lambda: freshness[SERVERS_TABLE].failed_ms
    server_follower = ServerFollower(backends, scheduler)
    server_follower.on_change = origins.update_servers
    server_follower.on_missed_changes = stream_store.request_read
    admission = Admission(
        configuration_state,
        HEADERS,
        clock,
        bounds.proof_ms,
        quotas.charge,
        quotas.refund,
        scheduler.has_spare_capacity,
    )
    forwarder = Forwarder(
        ForwarderContext(
            backends,
            scheduler,
            retry_budget,
            HEADERS,
            metrics,
            clock,
            admission.check_proof,
            promises,
            quarantine,
            versions,
            origins,
            loans.borrow,
            lambda: peers.has_serving_peer,
        )
    )
    web = GatewayApp(admission, forwarder, metrics, clock, promises)
    return GatewayComponents(
        settings=settings,
        clock=clock,
        metrics=metrics,
        promises=promises,
        configuration_state=configuration_state,
        backends=backends,
        scheduler=scheduler,
        web=web,
        configuration_follower=configuration_follower,
        freshness=freshness,
        peers=peers,
        quotas=quotas,
        retry_budget=retry_budget,
        is_heartbeat_due=is_heartbeat_due,
        incarnation=incarnation,
        server_follower=server_follower,
        rollout_follower=RolloutFollower(rollouts, clock),
        quarantine=quarantine,
        permit_manager=permit_manager,
        stalls=stalls,
        origins=origins,
        stream_store=stream_store,
        loans=loans,
        connection_loans=connection_loans,
        caller_connections=make_caller_connections(
            settings.callers, admission, clock
        ),
    )
