"""Which server suits a request best."""

from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.speeds import PoolSpeed

_FIRST_MS = 20.0
_TOKENS_PER_MS = 50.0
_RUNNING_MS = 2.0
_QUEUED_MS = 150.0
# What a server in another zone costs, as a part of the target.
_OTHER_ZONE_PART = 0.02
_TOO_SLOW_MS = 1500.0
_LONG_TOKENS = 4000
_STALL_MS = 60.0
_PARTS_MAX = 4000
# What a moment after the first event costs against one before it: a place is
# held that long, and whatever fails meanwhile breaks the answer off.  Measured
# on days of qalhat-cores: 0.1 against 0 and 0.3.
_MADE_PART = 0.1


def count_cached_tokens(backend: Backend, job: Job) -> int:
    """Give the tokens of the prompt that the server should still hold."""
    kept = 0
    for part, tokens in job.prompt.parts:
        if part not in backend.cached_parts:
            break
        kept += tokens
    return kept


def count_pending_tokens(backend: Backend, job: Job) -> int:
    """Give the tokens of the prompt that the server has to read."""
    return max(0, job.prompt.tokens - count_cached_tokens(backend, job))


def record_cached(backend: Backend, job: Job) -> None:
    """Remember that the server has read this prompt."""
    parts = backend.cached_parts
    for part, tokens in job.prompt.parts:
        parts.pop(part, None)
        parts[part] = tokens
    while len(parts) > _PARTS_MAX:
        parts.pop(next(iter(parts)))


def estimate_first_byte_ms(
    backend: Backend, job: Job, pool: PoolSpeed, now_ms: int, load: int
) -> float:
    """Give the time to the first byte of an answer.

    Explanation
    -----------
    An engine reads prompts one after another, so what others wait to have
    read comes first; beyond its slots a request waits for one to end.  A
    server on which a request of ours has waited long is not faster for the
    next one.

    Parameters
    ----------
    load : int
        How many requests the server holds.

    """
    over = max(0, load + 1 - backend.server.slots)
    if not job.is_stream:
        service_ms = backend.speed.service_ms or pool.service_ms
        return service_ms * (1 + over / backend.server.slots)
    pending_tokens = count_pending_tokens(
        backend, job
    ) + backend.pending_tokens(now_ms)
    model_ms = _FIRST_MS + pending_tokens / _TOKENS_PER_MS + _RUNNING_MS * load
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
    """Give the cost of a server for a request; the least is best.

    Explanation
    -----------
    The cost is the time to the first byte, with a little for another zone and
    for the time that the rest of the answer takes, and much where it would
    not be whole in time.

    Parameters
    ----------
    first_ms : float
        The time to the first byte, as it is expected there.

    """
    cost_ms = first_ms + _RUNNING_MS * backend.load(now_ms)
    if backend.server.zone != zone:
        cost_ms += _OTHER_ZONE_PART * job.route.target_ms
    if job.is_stream:
        made_ms = estimate_generation_ms(backend, job, pool)
        if now_ms + cost_ms + made_ms > job.deadline_ms:
            cost_ms += _TOO_SLOW_MS
        cost_ms += _MADE_PART * made_ms
        cost_ms += _stall_cost_ms(backend, job, now_ms)
    return cost_ms


def estimate_generation_ms(
    backend: Backend, job: Job, pool: PoolSpeed
) -> float:
    """Give the time from the first byte of an answer to its end."""
    if not job.is_stream:
        return 0
    return job.prompt.answer_tokens * pool.token_ms(backend.speed)


def _stall_cost_ms(backend: Backend, job: Job, now_ms: int) -> float:
    """Give the cost of a long prompt to the streams beside it.

    Explanation
    -----------
    While a server reads a long prompt, every stream on it pauses; on some
    servers so long that all of them are late.
    """
    bound_ms = job.route.pause_ms
    pauses_long = bound_ms and backend.speed.pause_ms > bound_ms
    if not pauses_long or count_pending_tokens(backend, job) < _LONG_TOKENS:
        return 0
    return _STALL_MS * backend.load(now_ms)


def min_first_byte_ms(job: Job) -> float:
    """Give the time to the first byte that no server betters by much."""
    if not job.is_stream:
        return 0
    return job.prompt.tokens / _TOKENS_PER_MS
