"""Choice of server versions during rollouts, and their evidence."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.progress import AttemptRecord, Outcome
from seampond.gateway.stalls import EventLoopStalls
from seampond.rollouts import RolloutManager
from seampond.rollouts.latency import MIN_SLOWDOWN_MS, LatencySample
from seampond.sharing import hash_name

_BAD_OUTCOMES = frozenset(
    (Outcome.failed.value, Outcome.in_doubt.value, Outcome.rejected.value)
)
# Smaller slowdowns, as a fraction of the target latency, are ignored: callers
# do not notice them, and on a busy machine a good version was rolled back for
# answers that took 41 to 63 ms instead of 20 where 1 s is expected.
_NOTICEABLE_FRACTION = 0.05


@dataclass
class RolloutVersionPolicy:
    """Selects server versions as the rollouts in progress require."""

    manager: RolloutManager
    clock: Clock
    stalls: EventLoopStalls = field(default_factory=EventLoopStalls)
    rng: random.Random = field(default_factory=random.Random)

    def group(
        self, job: Job, backends: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Return groups of servers, the preferred group first."""
        is_fresh = not (job.attempts or job.has_streamed or job.last_event)
        draw = self.rng.random() if is_fresh else None
        return self.manager.group_backends(
            job.pool, backends, self.clock.now(), draw
        )

    def record_placement(self, backend: Backend) -> None:
        """Record a dispatch, which counts towards the exposure limits."""
        self.manager.record_placement(
            backend.server.pool, backend.server.version
        )

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Record the result and latency of an attempt."""
        if record.outcome == Outcome.unreachable.value:
            return
        now_ms = self.clock.now()
        stalled_ms = self.stalls.total_ms(now_ms - record.duration_ms, now_ms)
        is_bad = record.outcome in _BAD_OUTCOMES
        # Slow answers of a cold server are expected.
        is_cold = now_ms < backend.cold_until_ms
        self.manager.record_answer(
            backend.server.pool,
            hash_name(job.route.name),
            backend.server.version,
            None
            if is_bad or is_cold
            else _make_sample(job, record, stalled_ms),
            now_ms,
            is_bad=is_bad,
            is_answer=is_bad or record.first_byte_ms >= 0,
        )


def _make_sample(
    job: Job, record: AttemptRecord, stalled_ms: int
) -> LatencySample | None:
    """Return the latency of an attempt, None if it cannot be measured.

    Explanation
    -----------
    The gaps of a stream cannot be measured if the event loop was stalled.
    """
    if job.is_stream and record.mean_gap_ms:
        return None if stalled_ms else LatencySample('gap', record.mean_gap_ms)
    kind = 'first' if job.is_stream else 'answer'
    took_ms = (
        record.first_byte_ms
        if record.first_byte_ms >= 0
        else record.duration_ms
    )
    slowdown_ms = max(
        MIN_SLOWDOWN_MS, _NOTICEABLE_FRACTION * job.route.target_ms
    )
    return LatencySample(kind, max(0, took_ms - stalled_ms), slowdown_ms)
