"""How roll-outs steer a gateway's requests, and what they learn of them."""

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

_BAD = frozenset(
    (Outcome.failed.value, Outcome.in_doubt.value, Outcome.rejected.value)
)
# What callers notice of a longer wait, as a part of the target.  On a busy
# machine a good version was rolled back: six of its answers in a row were seen
# after 41 to 63 ms, where nine in ten of the old one's took 20 and callers
# expect an answer within 1 s.
_NOTICED_PART = 0.05


@dataclass
class RolloutVersionPolicy:
    """Sends requests where the roll-outs want them."""

    manager: RolloutManager
    clock: Clock
    stalls: EventLoopStalls = field(default_factory=EventLoopStalls)
    rng: random.Random = field(default_factory=random.Random)

    def group(
        self, job: Job, backends: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Give the servers to look at, those that come first before others."""
        is_fresh = not (job.attempts or job.has_streamed or job.last_event)
        draw = self.rng.random() if is_fresh else None
        return self.manager.group_backends(
            job.pool, backends, self.clock.now(), draw
        )

    def record_placement(self, backend: Backend) -> None:
        """Count a request against what may be exposed."""
        self.manager.record_placement(
            backend.server.pool, backend.server.version
        )

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Count an answer as good, failed or slow."""
        if record.outcome == Outcome.unreachable.value:
            return
        now_ms = self.clock.now()
        stalled_ms = self.stalls.total_ms(now_ms - record.duration_ms, now_ms)
        is_bad = record.outcome in _BAD
        # A cold server has said that it would be slow.
        is_cold = now_ms < backend.cold_until_ms
        self.manager.record_answer(
            backend.server.pool,
            hash_name(job.route.name),
            backend.server.version,
            None if is_bad or is_cold else _measure(job, record, stalled_ms),
            now_ms,
            is_bad=is_bad,
            is_answer=is_bad or record.first_byte_ms >= 0,
        )


def _measure(
    job: Job, record: AttemptRecord, stalled_ms: int
) -> LatencySample | None:
    """Give what tells best how fast an answer was.

    Explanation
    -----------
    What we did not see in time says nothing of the pauses of a stream.
    """
    if job.is_stream and record.mean_gap_ms:
        return None if stalled_ms else LatencySample('gap', record.mean_gap_ms)
    kind = 'first' if job.is_stream else 'answer'
    took_ms = (
        record.first_byte_ms
        if record.first_byte_ms >= 0
        else record.duration_ms
    )
    slower_ms = max(MIN_SLOWDOWN_MS, _NOTICED_PART * job.route.target_ms)
    return LatencySample(kind, max(0, took_ms - stalled_ms), slower_ms)
