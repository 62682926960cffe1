"""The components of one gateway and its exchange with other gateways."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from seampond.clock import Clock
from seampond.forwarding.admission import ConfigurationState
from seampond.forwarding.app import GatewayApp
from seampond.forwarding.backend import RemoteLoad
from seampond.forwarding.backends import Backends
from seampond.forwarding.caller_connections import CallerConnections
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.scheduler import Scheduler
from seampond.gateway.bounds import (
    compute_grace_ms,
    make_exposure_limits,
    make_quota_margin,
)
from seampond.gateway.caller_limits import compute_connections_max
from seampond.gateway.followers import ConfigurationFollower, ServerFollower
from seampond.gateway.memory_limits import (
    compute_answers_max_bytes,
    compute_callers_max_bytes,
)
from seampond.gateway.rollouts import RolloutFollower
from seampond.gateway.stalls import EventLoopStalls
from seampond.loans.connections import ConnectionLoans
from seampond.loans.manager import RetryLoans
from seampond.loans.messages import LoanMessage, LoanReply, LoanRequest
from seampond.metrics.gateway import GatewayMetrics
from seampond.permits.manager import PermitManager
from seampond.permits.messages import PermitReply, PermitRequest
from seampond.promises import Promises
from seampond.quarantine.quarantine import Quarantine
from seampond.settings.gateway import GatewaySettings
from seampond.sharing import (
    Heartbeat,
    Load,
    Peers,
    Quotas,
    RelayedPage,
    hash_name,
)
from seampond.streams.registry import OriginRegistry
from seampond.streams.stream_store import StreamStore
from seampond.watches import FreshnessProof, Page, TableFreshness, Watch

_PROOF_SENT_MS = 1000
# A page must fit into one datagram of 64 KB together with a heartbeat.
_RELAYED_PAGE_MAX_BYTES = 8192
_RELAYED_PAGES_MAX = 5


@dataclass
class GatewayComponents:
    """The components of one gateway."""

    settings: GatewaySettings
    clock: Clock
    metrics: GatewayMetrics
    promises: Promises
    configuration_state: ConfigurationState
    backends: Backends
    scheduler: Scheduler
    web: GatewayApp
    configuration_follower: ConfigurationFollower
    freshness: Mapping[str, TableFreshness]
    peers: Peers
    quotas: Quotas
    retry_budget: RetryBudget
    is_heartbeat_due: asyncio.Event
    incarnation: int
    server_follower: ServerFollower
    rollout_follower: RolloutFollower
    quarantine: Quarantine
    permit_manager: PermitManager
    stalls: EventLoopStalls
    origins: OriginRegistry
    stream_store: StreamStore
    loans: RetryLoans
    connection_loans: ConnectionLoans
    caller_connections: CallerConnections
    watches: dict[str, Watch] = field(default_factory=dict)
    _pages_to_relay: list[RelayedPage] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Limit the memory of answers."""
        self._limit_answers()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        is_loaded = all(
            (
                self.configuration_state.configuration is not None,
                self.server_follower.is_loaded,
                self.rollout_follower.manager.is_ready,
                self.quarantine.trials.is_loaded,
            )
        )
        return is_loaded and not self.web.is_stopping

    @property
    def is_store_unreachable(self) -> bool:
        """Whether calls of this gateway to the store fail."""
        return any(watch.is_failing for watch in self.watches.values())

    def apply_settings(self, settings: GatewaySettings) -> list[str]:
        """Apply changed settings; return the keys that changed.

        Explanation
        -----------
        Bounds and limits take effect at once.  Addresses, name and zone need
        a restart.
        """
        before = _flatten(msgspec.to_builtins(self.settings))
        after = _flatten(msgspec.to_builtins(settings))
        self.settings = settings
        bounds = settings.bounds
        self.web.admission.max_proof_age_ms = bounds.proof_ms
        self.configuration_state.deadline_ms = bounds.configuration_deadline_ms
        self.retry_budget.set_bounds(bounds.retry_ratio, bounds.retry_allowance)
        self.quotas.margin = make_quota_margin(bounds)
        self.rollout_follower.manager.limits = make_exposure_limits(bounds)
        self.backends.grace_ms = compute_grace_ms(bounds)
        self._limit_answers()
        connections = self.caller_connections
        connections.connections_max = compute_connections_max(settings.callers)
        connections.memory_max_bytes = compute_callers_max_bytes(
            settings.callers
        )
        return sorted(key for key in after if before.get(key) != after[key])

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of another gateway."""
        self.quotas.apply_heartbeat(heartbeat)
        self.rollout_follower.manager.apply_reports(
            heartbeat.name, heartbeat.incarnation, heartbeat.rollouts
        )
        self.quarantine.apply_reports(
            heartbeat.crashes, heartbeat.successes, heartbeat.exits
        )
        self.permit_manager.apply_reports(heartbeat.limit_reports)
        # Pages go first: proofs trigger reads of the changes still missing.
        for relayed in heartbeat.pages:
            self._handle_relayed_page(relayed)
        for table, freshness in self.freshness.items():
            proof = heartbeat.proofs.get(hash_name(table))
            if proof is not None:
                freshness.apply_proof(proof)
        now_ms = self.clock.now()
        self.backends.update_remote_loads(
            {
                server: RemoteLoad(load.running, load.pending_tokens, now_ms)
                for server, load in self.peers.load_totals.pop_changed().items()
            }
        )

    def handle_permit_message(
        self, message: PermitRequest | PermitReply
    ) -> None:
        """Handle a request or reply about permits from another gateway."""
        if isinstance(message, PermitRequest):
            self.permit_manager.handle_request(message)
        else:
            self.permit_manager.handle_reply(message)

    def handle_loan_message(self, address: str, message: LoanMessage) -> None:
        """Handle a request or reply about loans from another gateway."""
        if isinstance(message, LoanRequest | LoanReply):
            self.loans.handle_message(address, message)
        else:
            self.connection_loans.handle_message(address, message)

    def make_heartbeat(self, sequence: int) -> Heartbeat:
        """Return the heartbeat to send to the other gateways."""
        self.permit_manager.expire()
        self.connection_loans.expire()
        self.metrics.peers.set(self.peers.count)
        return Heartbeat(
            self.settings.name,
            self.incarnation,
            sequence,
            self.web.admission.version,
            self.quotas.spent_by_tenant(),
            self.web.is_stopping,
            self.quotas.uptime_ms,
            self._loads(),
            proofs=self._recent_proofs(),
            levels=self.quotas.levels_for_newcomers(),
            is_store_unreachable=self.is_store_unreachable,
            pages=tuple(self._pages_to_relay),
            rollouts=self.rollout_follower.manager.build_reports(),
            crashes=tuple(self.quarantine.suspects.list_crash_reports()),
            successes=self.quarantine.suspects.list_cleared(),
            exits=self.quarantine.suspects.exits.list_reports(),
            limit_reports=self.permit_manager.collect_reports(),
            issues_permits=True,
            keeps_origins=True,
            lends_retries=True,
            lends_connections=True,
        )

    def record_heartbeat_sent(self) -> None:
        """Record that the last heartbeat was sent to all other gateways."""
        self.quotas.record_sent()
        self._pages_to_relay.clear()

    def relay(self, table: str, since: int, page: Page) -> None:
        """Relay an answer of the store to the other gateways at once.

        Explanation
        -----------
        This saves them calls to the store.  Pages that are too large for a
        datagram are not relayed, but the proof in the heartbeat announces
        the new version.
        """
        self.is_heartbeat_due.set()
        if not page.rows or len(self._pages_to_relay) >= _RELAYED_PAGES_MAX:
            return
        if sum(row.size for row in page.rows) > _RELAYED_PAGE_MAX_BYTES:
            return
        self._pages_to_relay.append(
            RelayedPage(
                hash_name(table), since, page.version, page.store_ms, page.rows
            )
        )

    def _limit_answers(self) -> None:
        self.backends.answer_memory.max_bytes = compute_answers_max_bytes(
            self.settings.answers
        )

    def _handle_relayed_page(self, relayed: RelayedPage) -> None:
        """Apply a page of the store that another gateway has read."""
        page = Page(
            relayed.rows,
            relayed.version,
            relayed.store_ms,
            0,
            0,
            is_snapshot=False,
        )
        for table, watch in self.watches.items():
            if hash_name(table) == relayed.table:
                watch.apply_relayed(relayed.since, page)

    def _recent_proofs(self) -> dict[int, FreshnessProof]:
        """Return recent proofs; they are repeated since heartbeats get lost."""
        oldest_ms = self.clock.now() - _PROOF_SENT_MS
        return {
            hash_name(table): freshness.proof
            for table, freshness in self.freshness.items()
            if freshness.proof is not None
            and freshness.proof_updated_ms > oldest_ms
        }

    def _loads(self) -> dict[int, Load]:
        return {
            hash_name(backend.server.incarnation): Load(
                backend.in_flight, backend.own_pending_tokens
            )
            for backend in self.backends
            if backend.in_flight
        }


def _flatten(tree: dict[str, Any], prefix: str = '') -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, child in tree.items():
        if isinstance(child, dict):
            flat.update(_flatten(child, f'{prefix}{name}.'))
        else:
            flat[f'{prefix}{name}'] = child
    return flat
