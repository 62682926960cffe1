"""Construction of the quarantine of a gateway."""

import functools
import random
from collections.abc import Callable

from seampond.clock import Clock
from seampond.forwarding.backends import Backends
from seampond.forwarding.connection import open_connection
from seampond.forwarding.server import Listing, Server
from seampond.forwarding.server_checks import ServerChecks
from seampond.metrics.gateway import GatewayMetrics
from seampond.platform import HEADERS
from seampond.quarantine.exits import AnnouncedExits
from seampond.quarantine.local_trials import LocalTrials
from seampond.quarantine.quarantine import Quarantine
from seampond.quarantine.suspects import Suspects
from seampond.quarantine.trials import Trials
from seampond.sharing import Peers, hash_name
from seampond.watches import StoreClock


def make_quarantine(
    backends: Backends,
    peers: Peers,
    store_clock: StoreClock,
    notify_peers: Callable[[], None],
    metrics: GatewayMetrics,
    clock: Clock,
) -> Quarantine:
    """Create the quarantine and connect it to the servers.

    Parameters
    ----------
    notify_peers : Callable[[], None]
        Called to send a heartbeat without delay.

    """
    suspects = Suspects(clock, lambda: peers.heartbeat_interval_ms)
    quarantine = Quarantine(
        suspects,
        Trials(
            store_clock,
            clock,
            functools.partial(_has_survived, backends, suspects.exits),
        ),
        LocalTrials(lambda: peers.count, clock, random.Random()),
        hash_name,
        notify_peers,
        lambda permission: metrics.trials.labels(permission).inc(),
        clock,
    )
    check_counter = metrics.count(
        'seampond_server_checks',
        'Connections to servers that may have crashed, by what they showed.',
        'outcome',
    )
    checks = ServerChecks(
        backends,
        lambda server: open_connection(
            server.address, clock, HEADERS.request_id
        ),
        quarantine.runs.is_unclear,
        quarantine.runs.record_refused_connection,
        lambda outcome: check_counter.labels(outcome).inc(),
    )
    quarantine.runs.on_unclear = checks.request
    backends.on_connections_lost = checks.request
    backends.on_restart = quarantine.runs.record_restart
    backends.on_listing = functools.partial(_apply_listing, suspects, clock)
    metrics.suspects.set_function(lambda: len(quarantine.suspects))
    return quarantine


def _apply_listing(
    suspects: Suspects, clock: Clock, server: Server, listing: Listing
) -> None:
    """Record whether the end of a server is announced."""
    incarnation = hash_name(server.incarnation)
    if listing is Listing.serving:
        suspects.exits.record_listed(
            incarnation, is_unique=server.started_ms > 0
        )
        return
    if listing is Listing.draining:
        suspects.exits.record_draining(incarnation)
    else:
        suspects.exits.record_removed(incarnation, clock.now())
    suspects.drop_announced(incarnation)


def _has_survived(
    backends: Backends, exits: AnnouncedExits, incarnation: int, since_ms: int
) -> bool:
    """Return True if a server is known not to have crashed since a time."""
    backend = backends.find_incarnation(incarnation)
    is_listed = backend is not None and backend.is_listed
    return is_listed or exits.is_announced(incarnation, since_ms)
