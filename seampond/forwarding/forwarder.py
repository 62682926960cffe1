"""One request: servers tried in turn until there is a final answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.attempt import Attempt
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.job import Job
from seampond.forwarding.models import HeaderNames
from seampond.forwarding.progress import Outcome, Progress
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.versions import ANY_VERSION, VersionPolicy
from seampond.metrics.gateway import GatewayMetrics
from seampond.promises import Promises
from seampond.quarantine.quarantine import Quarantine

_UNREACHED_MAX = 4
_MIN_LEFT_MS = 20
_STEP = 'forward'


class AbortedResponseError(Exception):
    """The answer has begun and cannot be made whole."""


@dataclass(frozen=True)
class ForwarderContext:
    """What a forwarder works with.

    Parameters
    ----------
    check_proof : Callable[[Job], None]
        Raises `Refusal` if the request may not be sent just now.
    promises : Promises
        Checks each send before it is made.
    quarantine : Quarantine
        Holds requests back that end their servers.
    versions : VersionPolicy
        Told how each send ended.

    """

    backends: Backends
    scheduler: Scheduler
    budget: RetryBudget
    names: HeaderNames
    metrics: GatewayMetrics
    clock: Clock
    check_proof: Callable[[Job], None]
    promises: Promises
    quarantine: Quarantine
    versions: VersionPolicy = ANY_VERSION


class Forwarder:
    """Sends requests to servers and their answers back."""

    def __init__(self, parts: ForwarderContext) -> None:
        """Keep the parts."""
        self._parts = parts
        self._clock = parts.clock

    @property
    def waiting(self) -> int:
        """How many requests wait for a place."""
        return self._parts.scheduler.waiting

    async def forward(self, progress: Progress) -> None:
        """Carry one request through to its final answer.

        Raises
        ------
        Refusal
            If nothing of an answer was sent to the caller.
        CutError
            If the answer has begun and cannot be made whole.

        """
        job = progress.job
        self._parts.budget.record_first_attempt(job.pool)
        progress.splitter.last_id = job.last_event
        left_ms = max(0, job.deadline_ms - self._clock.now())
        try:
            async with asyncio.timeout(left_ms / MS_PER_SECOND):
                await self._try_servers(progress)
        except TimeoutError:
            await self._give_up(progress, self._late(job))
        except Refusal as refusal:
            await self._give_up(progress, refusal)

    async def _try_servers(self, progress: Progress) -> None:
        job = progress.job
        scheduler = self._parts.scheduler
        while True:
            self._parts.quarantine.check(job)
            backend = await scheduler.acquire(job, progress.tried_servers)
            try:
                outcome = await self._attempt(progress, backend)
            finally:
                scheduler.release(backend)
            self._parts.metrics.attempts.labels(outcome.value).inc()
            if outcome is Outcome.complete:
                return
            if not self._may_try_again(progress, outcome):
                raise Refusal(
                    Cause.not_run,
                    step=_STEP,
                    retry_after_ms=scheduler.compute_retry_after_ms(job),
                )

    async def _attempt(self, progress: Progress, backend: Backend) -> Outcome:
        parts = self._parts
        # The request may have waited: look again before it is sent.
        parts.check_proof(progress.job)
        attempt = Attempt(
            progress,
            backend,
            parts.backends,
            parts.names,
            parts.clock,
            parts.promises,
            parts.quarantine,
        )
        async with parts.quarantine.admit(progress.job):
            try:
                return await attempt.run()
            finally:
                # Also of one that was given up: its server may have been mute.
                parts.versions.record_attempt(
                    progress.job, backend, attempt.record
                )

    def _may_try_again(self, progress: Progress, outcome: Outcome) -> bool:
        job = progress.job
        if job.deadline_ms - self._clock.now() < _MIN_LEFT_MS:
            return False
        if outcome is Outcome.unreachable:
            progress.unreached_count += 1
            return progress.unreached_count < _UNREACHED_MAX
        if outcome is not Outcome.rejected and not job.route.may_repeat:
            return False
        if job.attempts >= job.route.attempts:
            return False
        return self._parts.budget.try_acquire(
            job.pool, is_resumed=job.has_streamed
        )

    async def _give_up(self, progress: Progress, refusal: Refusal) -> None:
        """Give the final answer: the server's own failure, or ours."""
        sink, kept = progress.sink, progress.fallback_answer
        if sink.has_started:
            raise AbortedResponseError(refusal.cause.value)
        if kept is not None:
            await sink.start(kept.head, len(kept.body))
            await sink.send(kept.body)
            await sink.finish()
            return
        if progress.job.may_have_run and refusal.cause is not Cause.timeout:
            raise Refusal(Cause.in_doubt, step=_STEP) from refusal
        raise refusal

    def _late(self, job: Job) -> Refusal:
        if job.may_have_run:
            return Refusal(Cause.timeout, step=_STEP)
        return Refusal(
            Cause.waited_too_long,
            step=_STEP,
            retry_after_ms=self._parts.scheduler.compute_retry_after_ms(job),
        )
