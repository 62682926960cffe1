"""Builders for gateway tests."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.forwarder import Forwarder, ForwarderContext
from seampond.forwarding.job import Job, Prompt
from seampond.forwarding.models import (
    HeaderNames,
    PoolShare,
    RequestKind,
    Route,
    Tenant,
)
from seampond.forwarding.progress import Progress
from seampond.forwarding.response_head import ResponseHead
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server import Server
from seampond.metrics.gateway import GatewayMetrics
from seampond.quarantine.local_trials import LocalTrials
from seampond.quarantine.quarantine import Quarantine
from seampond.quarantine.suspects import Suspects
from seampond.quarantine.trials import Trials
from seampond.sharing import hash_name
from seampond.testing.builders import build_promises
from seampond.watches import StoreClock

POOL = 'llm'
# Rows count as current for the whole of a test.
_PROVED_AHEAD_MS = 3_600_000
ZONE = 'a'
ID_HEADER = 'x-test-id'
STAMP_HEADER = 'x-test-stamp'
NOT_RUN_HEADER = 'x-test-not-run'
LEAVING_HEADER = 'x-test-leaving'
LIMIT_HEADER = 'x-test-limit'
NAMES = HeaderNames(
    request_id=ID_HEADER.encode(),
    deadline=b'x-test-deadline',
    tenant=b'x-test-tenant',
    instance=b'x-test-instance',
    expect_instance=b'x-test-expect',
    stamp=STAMP_HEADER.encode(),
    load=b'x-test-load',
    not_run=NOT_RUN_HEADER.encode(),
    leaving=LEAVING_HEADER.encode(),
    limit=LIMIT_HEADER.encode(),
    tokens=b'x-test-tokens',
    prompt=b'x-test-prompt',
    last_event=b'last-event-id',
    resumes=b'x-test-resumes',
    scheme='token',
    reserved=(b'x-test-',),
    caller_settable=frozenset(
        (
            ID_HEADER.encode(),
            b'x-test-tokens',
            b'x-test-prompt',
            b'x-test-resumes',
        )
    ),
)


class MemorySink:
    """A sink that stores the response to a caller in memory."""

    def __init__(self) -> None:
        """Create an empty sink."""
        self.has_started = False
        self.is_complete = False
        self.head = ResponseHead()
        self.body = b''

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Store the response head."""
        assert not self.has_started
        self.has_started = True
        self.head = head

    async def send(self, payload: bytes) -> None:
        """Append a part of the body."""
        self.body += payload

    async def finish(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


def build_route(**changes: Any) -> Route:
    """Return a route for idempotent requests with two attempts."""
    content: dict[str, Any] = {
        'name': 'r',
        'host': 'a.example',
        'prefix': '/x/',
        'kind': RequestKind.idempotent,
        'shares': (PoolShare(POOL, 1),),
        'timeout_ms': 5000,
        'target_ms': 1000,
        'priority': 1,
        'attempts': 2,
    }
    return Route(**(content | changes))


def build_job(request_id: str = 'r1', **changes: Any) -> Job:
    """Return a job for a request that has just arrived."""
    route = changes.pop('route', None) or build_route()
    now_ms = changes.pop('arrived_ms', Clock().now())
    content: dict[str, Any] = {
        'request_id': request_id.encode(),
        'method': b'POST',
        'target': b'/x/y?z=1',
        'headers': [
            (b'host', b'a.example'),
            (ID_HEADER.encode(), request_id.encode()),
        ],
        'body': b'ask',
        'route': route,
        'tenant': Tenant('t'),
        'pool': POOL,
        'priority': route.priority,
        'arrived_ms': now_ms,
        'max_wait_ms': route.timeout_ms,
        'deadline_ms': now_ms + route.timeout_ms,
        'prompt': Prompt(),
    }
    return Job(**(content | changes))


def build_server(server_id: str, address: str = '', **changes: Any) -> Server:
    """Return a server with four slots."""
    content: dict[str, Any] = {
        'id': server_id,
        'pool': POOL,
        'address': address or '127.0.0.1:9',
        'zone': ZONE,
        'slots': 4,
    }
    return Server(**(content | changes))


def build_backends(
    servers: Iterable[Server], clock: Clock | None = None
) -> Backends:
    """Return a registry of the given servers."""
    backends = Backends(clock or Clock(), NAMES.request_id)
    backends.replace_all(servers)
    return backends


def build_quarantine(clock: Clock | None = None) -> Quarantine:
    """Return a quarantine that has no store and so allows no trials."""
    clock = clock or Clock()
    return Quarantine(
        Suspects(clock),
        Trials(StoreClock(), clock),
        LocalTrials(lambda: 1, clock, random.Random(1)),
        hash_name,
        lambda: None,
        lambda permission: None,
        clock,
    )


def build_forwarder(
    backends: Backends,
    *,
    allowance: float = 100,
    gateways: int = 1,
    budget: RetryBudget | None = None,
) -> Forwarder:
    """Return a forwarder with a large retry budget by default."""
    clock = Clock()
    backends.confirm_rows(clock.now() + _PROVED_AHEAD_MS)
    default_budget = RetryBudget(0, allowance, 10_000, lambda: gateways, clock)
    return Forwarder(
        ForwarderContext(
            backends,
            Scheduler(
                backends, ZONE, clock, lambda: gateways, build_promises()
            ),
            budget or default_budget,
            NAMES,
            GatewayMetrics(),
            clock,
            lambda job: None,
            build_promises(),
            build_quarantine(clock),
        )
    )


def build_progress(**changes: Any) -> tuple[Progress, MemorySink]:
    """Return the progress of a request and the sink of its response."""
    sink = MemorySink()
    return Progress(build_job(**changes), sink), sink


def get_backend(backends: Backends, server_id: str) -> Backend:
    """Return the backend with the given server id."""
    backend = backends.get(server_id)
    assert backend is not None
    return backend


async def wait_until(condition: Any, seconds: float = 5) -> None:
    """Poll a condition until it holds.

    Raises
    ------
    TimeoutError
        If it does not hold in time.

    """
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
