"""Which of the servers that have a place is best for a request."""

from seampond.forwarding.backend import Backend
from seampond.forwarding.cost_model import (
    compute_cost_ms,
    estimate_first_byte_ms,
    estimate_generation_ms,
    min_first_byte_ms,
)
from seampond.forwarding.job import Job
from seampond.forwarding.speeds import PoolSpeed

# Whether it is a fallback, whether it is to be tried out, what is at risk
# there, what it costs; the least is best.
Score = tuple[bool, int, int, float]


def score_backend(
    backend: Backend, job: Job, pool: PoolSpeed, zone: str, now_ms: int
) -> Score | None:
    """Rate a server, the least is best; None for too late an answer.

    Explanation
    -----------
    A server that holds nothing is always tried: what is believed of its
    speed may be wrong, and only an answer tells.  A stream that was
    broken off is lost if it is not taken up.  A server whose row has gone
    comes after all others.
    """
    load = backend.load(now_ms)
    first_ms = estimate_first_byte_ms(backend, job, pool, now_ms, load)
    latest_ms = job.route.target_ms + min_first_byte_ms(job)
    if load and first_ms > latest_ms and not job.has_streamed:
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
    """Rate what a request that may end its server puts at risk; 0 is least.

    Explanation
    -----------
    As few others as may be should run beside it, and none of those that the
    same end has cut: the next one would speak against both.  The server that
    it has just ended holds none, but answers nobody yet.  Copies that come
    together go to one server until the first is answered: ten callers that
    bring a request which ends its server, to two gateways at one moment, ended
    six servers of six within 10 ms, now three (test_crashing).
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
    """Rate a server that has not answered since it wanted rest; 0 is least.

    Explanation
    -----------
    One request at a time finds out whether it is well: of the places that it
    has, all would be tried at the end of its rest.  What it turns away goes to
    another server, so it is done by who may still be sent there.

    Whether a limit holds on is told by answers alone, also where other servers
    are faster.
    """
    if not backend.signals.needs_probe:
        limit = backend.signals.limit
        return 0 if limit.is_set and limit.is_stale(now_ms) else 1
    may_go_on = not job.attempts and job.route.attempts > 1
    return 0 if may_go_on and not job.crash_count else 2
