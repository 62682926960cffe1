"""Following the store's tables over connections of their own."""

import functools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from seampond.gateway.components import GatewayComponents
from seampond.platform import open_table
from seampond.tasks import run_tasks
from seampond.watches import (
    HedgedSource,
    Page,
    Watch,
    compute_proof_age_ms,
    probe_on_request,
    probe_when_stale,
)

_CRITICAL_PAUSE_MS = 600
_ROUTINE_PAUSE_MS = 1500
_BATCH_MS = 250
_GATEWAYS_PROOF_AGE_MS = 8000


@dataclass(frozen=True, slots=True)
class FollowPolicy:
    """How promptly a table is followed.

    Parameters
    ----------
    max_pause_ms : int
        The longest pause after a failed call.
    batch_ms : int
        How long changes may be collected into one answer.
    proves_at_start : bool
        Whether a gateway verifies right after its start that its copy of the
        table is current.
    proof_age_ms : int or None
        Age at which the proof that the local copy is current is renewed; None
        for the age that follows from the configuration's deadline.

    """

    max_pause_ms: int
    batch_ms: int
    proves_at_start: bool
    proof_age_ms: int | None = None


# Tables followed promptly: an outdated configuration may hold a revoked key.
CRITICAL = FollowPolicy(_CRITICAL_PAUSE_MS, 0, proves_at_start=True)
ROUTINE = FollowPolicy(_ROUTINE_PAUSE_MS, _BATCH_MS, proves_at_start=False)
# Gateways also hear of each other by heartbeats.
RELAXED = FollowPolicy(
    _ROUTINE_PAUSE_MS,
    _BATCH_MS,
    proves_at_start=False,
    proof_age_ms=_GATEWAYS_PROOF_AGE_MS,
)


@asynccontextmanager
async def follow_table(
    components: GatewayComponents,
    table: str,
    handle_page: Callable[[Page], None],
    policy: FollowPolicy,
) -> AsyncIterator[None]:
    """Follow one table until the end of the `with`."""
    count_failure = functools.partial(_count_failure, components)
    clock = components.clock

    def deadline_ms() -> int:
        return components.settings.bounds.configuration_deadline_ms

    async with (
        _open_hedged(components, table, deadline_ms) as source,
        _open_hedged(components, table, deadline_ms) as probe_source,
    ):
        watch = Watch(
            source,
            probe_source,
            handle_page,
            components.settings.store.call_ms,
            clock,
            count_failure,
            components.freshness[table],
            policy.max_pause_ms,
            policy.batch_ms,
            lambda: components.peers.interval_factor,
            lambda: components.peers.is_follower,
            policy.proves_at_start,
            functools.partial(components.relay, table),
            deadline_ms,
        )
        components.watches[table] = watch
        proof_age_ms = policy.proof_age_ms
        async with run_tasks(
            watch.run(),
            probe_when_stale(
                watch,
                proof_age_ms or compute_proof_age_ms(deadline_ms()),
                lambda: components.peers.rank,
                clock,
            ),
            probe_on_request(watch, clock),
        ):
            yield


@asynccontextmanager
async def _open_hedged(
    components: GatewayComponents, table: str, deadline_ms: Callable[[], int]
) -> AsyncIterator[HedgedSource]:
    """Open a table, with a spare connection that is made when needed."""
    address, clock = components.settings.store.address, components.clock
    async with (
        open_table(address, table, clock) as source,
        open_table(address, table, clock) as spare,
    ):
        yield HedgedSource(
            source,
            spare,
            deadline_ms,
            functools.partial(_count_failure, components, 'hedged'),
        )


def _count_failure(components: GatewayComponents, step: str) -> None:
    components.metrics.store_failures.labels(step).inc()
