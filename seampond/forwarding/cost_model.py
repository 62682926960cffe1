"""Estimates of how long a request takes on a server, and of its cost there."""

from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.speeds import PoolSpeed

# Time to the first byte on an idle server of average speed.
_BASE_MS = 20.0
_PREFILL_TOKENS_PER_MS = 50.0
# Delay by each request that runs, or is queued, on the server.
_RUNNING_MS = 2.0
_QUEUED_MS = 150.0
# Cost of a server in another zone, as a fraction of the target latency.
_OTHER_ZONE_FRACTION = 0.02
_PAST_DEADLINE_COST_MS = 1500.0
_LONG_PROMPT_TOKENS = 4000
# Cost of a long prompt for each request that runs beside it.
_STALL_COST_MS = 60.0
_MAX_CACHED_PARTS = 4000
# Time after the first byte counts less than time before it, but it occupies
# a slot and exposes the stream to failures.
_GENERATION_WEIGHT = 0.1


def count_cached_tokens(backend: Backend, job: Job) -> int:
    """Return how many tokens of the prompt the server should have cached."""
    cached = 0
    for part, tokens in job.prompt.parts:
        if part not in backend.cached_parts:
            break
        cached += tokens
    return cached


def count_pending_tokens(backend: Backend, job: Job) -> int:
    """Return how many tokens of the prompt the server has to process."""
    return max(0, job.prompt.tokens - count_cached_tokens(backend, job))


def record_cached(backend: Backend, job: Job) -> None:
    """Record that the server has processed the prompt."""
    parts = backend.cached_parts
    for part, tokens in job.prompt.parts:
        parts.pop(part, None)
        parts[part] = tokens
    while len(parts) > _MAX_CACHED_PARTS:
        parts.pop(next(iter(parts)))


def estimate_first_byte_ms(
    backend: Backend, job: Job, pool: PoolSpeed, now_ms: int, load: int
) -> float:
    """Return the estimated time to the first byte of a response.

    Explanation
    -----------
    An engine processes prompts one after another, so pending prompts come
    first, and beyond its slots a request waits for another to end.  The
    estimate is at least the time for which a request of this gateway has
    been waiting on the server.

    Parameters
    ----------
    load : int
        Number of requests on the server.

    """
    over = max(0, load + 1 - backend.server.slots)
    if not job.is_stream:
        service_ms = backend.speed.service_ms or pool.service_ms
        return service_ms * (1 + over / backend.server.slots)
    pending = count_pending_tokens(backend, job) + backend.pending_tokens(
        now_ms
    )
    model_ms = _BASE_MS + pending / _PREFILL_TOKENS_PER_MS + _RUNNING_MS * load
    model_ms += _QUEUED_MS * over
    first_ms = pool.slowdown(backend.speed) * pool.ttfb_factor * model_ms
    return max(first_ms, float(backend.longest_wait_ms(now_ms)))


def compute_cost_ms(
    backend: Backend,
    job: Job,
    pool: PoolSpeed,
    zone: str,
    now_ms: int,
    first_ms: float,
) -> float:
    """Return the cost of a request on a server; the least is best.

    Explanation
    -----------
    The cost is the time to the first byte, plus a little for another zone
    and for generating the rest, plus much if the deadline would be missed.

    Parameters
    ----------
    first_ms : float
        Estimated time to the first byte.

    """
    cost_ms = first_ms + _RUNNING_MS * backend.load(now_ms)
    if backend.server.zone != zone:
        cost_ms += _OTHER_ZONE_FRACTION * job.route.target_ms
    if job.is_stream:
        generation_ms = estimate_generation_ms(backend, job, pool)
        if now_ms + cost_ms + generation_ms > job.deadline_ms:
            cost_ms += _PAST_DEADLINE_COST_MS
        cost_ms += _GENERATION_WEIGHT * generation_ms
        cost_ms += _stall_cost_ms(backend, job, now_ms)
    return cost_ms


def estimate_generation_ms(
    backend: Backend, job: Job, pool: PoolSpeed
) -> float:
    """Return the estimated time from first byte to end of a response."""
    if not job.is_stream:
        return 0
    return job.prompt.answer_tokens * pool.token_ms(backend.speed)


def _stall_cost_ms(backend: Backend, job: Job, now_ms: int) -> float:
    """Return the cost of a long prompt to the streams that run beside it.

    Explanation
    -----------
    While a server processes a long prompt, every stream on it pauses; on
    some servers longer than the route allows.
    """
    bound_ms = job.route.pause_ms
    pauses_long = bound_ms and backend.speed.pause_ms > bound_ms
    if (
        not pauses_long
        or count_pending_tokens(backend, job) < _LONG_PROMPT_TOKENS
    ):
        return 0
    return _STALL_COST_MS * backend.load(now_ms)


def min_first_byte_ms(job: Job) -> float:
    """Return the time to the first byte on an idle, average server."""
    if not job.is_stream:
        return 0
    return job.prompt.tokens / _PREFILL_TOKENS_PER_MS
