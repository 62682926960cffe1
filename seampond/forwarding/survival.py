"""Checks whether servers have survived answers that end with a connection."""

import functools
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.connection import Connection
from seampond.forwarding.job import Job
from seampond.forwarding.response_head import (
    ConnectTimeoutError,
    ExchangeError,
)

# The connections of a process that ends are closed within this time.
_EXIT_MS = 100
# An end that has arrived may be read after a later connection was made.
_LATE_READ_MS = 20
_WAIT_FRACTION = 0.1
# Leaves time to end the answer before its deadline.
_DEADLINE_MARGIN_MS = 20
_logger = logging.getLogger(__name__)


def compute_survival_wait_ms(job: Job, now_ms: int) -> int:
    """Return how long to observe a server after the end of its answer.

    Explanation
    -----------
    The events of a stream have been passed on by then, but any other answer
    waits for the check.

    Examples
    --------
    >>> from seampond.testing.gateways import build_job, build_route
    >>> job = build_job(route=build_route(target_ms=125), arrived_ms=0)
    >>> compute_survival_wait_ms(job, now_ms=50)
    12
    >>> compute_survival_wait_ms(job, now_ms=job.deadline_ms)
    0

    """
    left_ms = job.deadline_ms - now_ms - _DEADLINE_MARGIN_MS
    wait_ms = _EXIT_MS
    if not job.is_stream:
        wait_ms = min(wait_ms, round(_WAIT_FRACTION * job.route.target_ms))
    return max(0, min(wait_ms, left_ms))


async def has_survived(
    backends: Backends,
    backend: Backend,
    clock: Clock,
    ended_ms: int,
    wait_ms: int,
    keep_alive_ms: int,
) -> bool:
    """Return whether a server runs on after an answer has ended.

    Explanation
    -----------
    The system of a process that is killed closes its connections without a
    reset, so the end of a connection alone does not complete an answer.  A
    server that runs on accepts a connection and keeps it.  One that resets
    it may only have too many, and accepts another one.  Where another
    process listens at the same address by now, a refused connection since,
    the row of the other server, or other answers that were cut at the same
    moment show that the server has ended; the latter do not if an earlier
    connection is still open.

    Parameters
    ----------
    ended_ms : int
        When the end of the answer arrived, which may have waited for other
        checks since.
    wait_ms : int
        How long the connection must stay open.
    keep_alive_ms : int
        How long the connection may stay idle after that, for the next
        request.

    """
    open_spare = functools.partial(
        _open_spare, backends, backend, clock, keep_alive_ms
    )
    try:
        async with open_spare() as spare:
            await clock.sleep(wait_ms)
            is_kept = spare.is_open
        if not is_kept:
            async with open_spare():
                """The server still listens."""
    except ConnectTimeoutError:
        # A full backlog; the system of a machine whose process has ended
        # refuses.
        _logger.info(
            'server busy at the end of its answer',
            extra={'server': backend.server.id},
        )
    except ExchangeError as error:
        if error.is_lost:
            backend.refused_ms = clock.now()
        return False
    has_ended = _has_ended(backend, ended_ms)
    return not (has_ended or _is_replaced(backends, backend))


def _has_ended(backend: Backend, ended_ms: int) -> bool:
    """Return True if other connections show that its process has ended."""
    since_ms = ended_ms - _EXIT_MS
    if backend.refused_ms >= since_ms:
        return True
    return backend.closed_ms >= since_ms and not _lives(backend, ended_ms)


def _lives(backend: Backend, ended_ms: int) -> bool:
    """Return True if a process lives that may have ended at a time.

    Explanation
    -----------
    The system closes all connections of a process that ends.  One that was
    made before and is open shows that it lives, unless its end would not have
    been read.
    """
    return any(
        connection.is_open
        and not connection.is_paused
        and connection.connected_ms < ended_ms - _LATE_READ_MS
        for connection in backend.connections
    )


def _is_replaced(backends: Backends, backend: Backend) -> bool:
    """Return True if another server or process has taken its address."""
    if backend.is_listed or not backend.is_current:
        return not backend.is_current
    address = backend.server.address
    return any(
        other.is_listed and other.server.address == address
        for other in backends
    )


@asynccontextmanager
async def _open_spare(
    backends: Backends, backend: Backend, clock: Clock, keep_alive_ms: int
) -> AsyncIterator[Connection]:
    """Open a connection that is kept for the next request if possible."""
    connection = await backends.connect(backend)
    is_kept = False
    try:
        yield connection
        is_kept = connection.is_open and backend.takes_work
    finally:
        if is_kept:
            connection.idle_until_ms = clock.now() + keep_alive_ms
            backend.idle.append(connection)
        else:
            connection.close()
            backend.connections.discard(connection)
