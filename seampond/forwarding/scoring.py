"""Scores by which the best server for a request is chosen."""

from seampond.forwarding.backend import Backend
from seampond.forwarding.cost_model import (
    compute_cost_ms,
    estimate_first_byte_ms,
    estimate_generation_ms,
    min_first_byte_ms,
)
from seampond.forwarding.job import Job
from seampond.forwarding.speeds import PoolSpeed

# Whether the server is only a fallback, its rank for probing, the crash risk
# and the cost; the least is best.
Score = tuple[bool, int, int, float]


def score_backend(
    backend: Backend, job: Job, pool: PoolSpeed, zone: str, now_ms: int
) -> Score | None:
    """Return the score of a server, None if its response would be late.

    Explanation
    -----------
    An idle server is never ruled out as too slow: its estimated speed may be
    wrong, and only a response corrects it.  Nor is any server for a stream
    that was interrupted, which would be lost.  A server whose row has gone
    ranks after all others.
    """
    load = backend.load(now_ms)
    first_ms = estimate_first_byte_ms(backend, job, pool, now_ms, load)
    latest_ms = job.route.target_ms + min_first_byte_ms(job)
    if load and first_ms > latest_ms and not job.is_resumed:
        return None
    finish_ms = now_ms + first_ms + estimate_generation_ms(backend, job, pool)
    if (
        backend.signals.is_draining
        and finish_ms > backend.signals.drain_until_ms
    ):
        return None
    cost_ms = compute_cost_ms(backend, job, pool, zone, now_ms, first_ms)
    return (
        not backend.takes_work,
        _probe_rank(backend, job, now_ms),
        _crash_risk(backend, job, load),
        cost_ms,
    )


def _crash_risk(backend: Backend, job: Job, load: int) -> int:
    """Return what a request that may crash its server puts at risk.

    Explanation
    -----------
    A suspect should run beside as few requests as possible, and beside no
    other suspect, so that a crash implicates only one of them.  A server that
    has just failed has no load but may be down.  Concurrent duplicates go to
    one server until the first is answered, so that a crashing request
    crashes fewer servers.
    """
    if job.crash_count:
        shared = backend.suspect_count + (backend.consecutive_failures > 0)
        return load + backend.server.slots * shared
    if backend.trial_count:
        return backend.server.slots
    is_apart = (
        job.is_concurrent_duplicate and job.fingerprint not in backend.running
    )
    return int(is_apart)


def _probe_rank(backend: Backend, job: Job, now_ms: int) -> int:
    """Return the rank of a server that has not answered since its back-off.

    Explanation
    -----------
    A single request probes whether the server has recovered.  If the server
    refuses it, it goes to another one, so only a request that may be sent
    again is used; it prefers the server to be probed.

    A limit whose report is stale is probed in the same way, even where other
    servers are faster, since only responses report limits.
    """
    if not backend.signals.needs_probe:
        limit = backend.signals.limit
        return 0 if limit.is_set and limit.is_stale(now_ms) else 1
    may_go_on = not job.attempts and job.route.attempts > 1
    return 0 if may_go_on and not job.crash_count else 2
