"""Try servers in turn until a request has its final answer."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.forwarding.attempt import Attempt
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.event_order import EventSteps
from seampond.forwarding.job import Job
from seampond.forwarding.models import HeaderNames
from seampond.forwarding.planned_stop import StopLimits
from seampond.forwarding.progress import (
    AttemptRecord,
    Outcome,
    Progress,
    RetrySource,
)
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.retries import RetryBudget
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.stream_origins import NO_ORIGINS, OriginSource
from seampond.forwarding.versions import ANY_VERSION, VersionPolicy
from seampond.metrics.gateway import GatewayMetrics
from seampond.promises import Promises
from seampond.quarantine.quarantine import Quarantine

_MAX_UNREACHED = 4
_MIN_REMAINING_MS = 20
_STEP = 'forward'


class AbortedResponseError(Exception):
    """The answer has begun and cannot be completed."""


def _has_no_peer() -> bool:
    """Return False: there is no other gateway."""
    return False


async def _borrow_nothing(pool: str) -> bool:
    """Return False: no gateway lends retries."""
    return False


@dataclass(frozen=True)
class ForwarderContext:
    """The dependencies of a forwarder.

    Parameters
    ----------
    check_proof : Callable[[Job], None]
        Raises `Refusal` if the configuration is not proved to be current.
    promises : Promises
        Checks the rules that a send must not break.
    quarantine : Quarantine
        Holds back requests that are suspected of crashing servers.
    versions : VersionPolicy
        Records the outcome of each attempt.
    origins : OriginSource
        Records which versions began streams.
    borrow_retry : Callable[[str], Awaitable[bool]]
        Borrows a retry for a pool from another gateway if possible.
    has_ready_peer : Callable[[], bool]
        Returns whether another gateway accepts callers.

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
    origins: OriginSource = NO_ORIGINS
    borrow_retry: Callable[[str], Awaitable[bool]] = _borrow_nothing
    has_ready_peer: Callable[[], bool] = _has_no_peer


class Forwarder:
    """Sends requests to servers and relays their answers.

    Attributes
    ----------
    stop_limits : StopLimits
        Limits that a planned stop sets to requests.

    """

    def __init__(self, context: ForwarderContext) -> None:
        """Initialize the forwarder."""
        self.stop_limits = StopLimits(
            context.clock, context.backends, context.has_ready_peer
        )
        self._context = context
        self._clock = context.clock
        self._event_steps: defaultdict[str, EventSteps] = defaultdict(
            EventSteps
        )
        self._answer_ends = context.metrics.count(
            'seampond_gateway_answer_ends',
            'Answers of servers by how their end was marked.',
            'end',
        )
        self._cuts = context.metrics.count(
            'seampond_gateway_cut_answers',
            'Answers that end without an error and were cut, by where.',
            'cut',
        )

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return self._context.scheduler.waiting

    async def forward(self, progress: Progress) -> None:
        """Send a request to servers until it has its final answer.

        Raises
        ------
        Refusal
            If no part of an answer was sent to the caller.
        AbortedResponseError
            If the answer has begun and cannot be completed.

        """
        job = progress.job
        try:
            async with self.stop_limits.limit(job):
                await self._context.origins.resolve(job)
                progress.begin_stream(self._event_steps[job.pool])
                self._context.budget.record_first_attempt(
                    job.pool, is_stream=job.is_stream
                )
                await self._try_servers(progress)
        except TimeoutError:
            await self._answer_refusal(
                progress, self._make_timeout_refusal(job)
            )
        except Refusal as refusal:
            await self._answer_refusal(progress, refusal)
        finally:
            progress.drop_fallback(self._context.backends.answer_memory)

    async def _try_servers(self, progress: Progress) -> None:
        job = progress.job
        scheduler = self._context.scheduler
        while True:
            if job.is_resumed and job.origin is None:
                await self._context.origins.resolve_begun(job)
            self._context.quarantine.check(job)
            backend = await scheduler.acquire(job, progress.tried_servers)
            with ExitStack() as slot:
                slot.callback(scheduler.release, backend)
                outcome = await self._attempt(progress, backend, slot.close)
            self._context.metrics.attempts.labels(outcome.value).inc()
            if outcome is Outcome.complete:
                return
            if not await self._may_retry(progress, outcome):
                raise Refusal(
                    Cause.not_run,
                    step=_STEP,
                    retry_after_ms=scheduler.compute_retry_after_ms(job),
                )

    async def _attempt(
        self,
        progress: Progress,
        backend: Backend,
        release_slot: Callable[[], None],
    ) -> Outcome:
        context = self._context
        # The proof may have expired while the request waited, or a planned
        # stop may have begun.
        context.check_proof(progress.job)
        self.stop_limits.check(progress.job)
        attempt = Attempt(
            progress,
            backend,
            context.backends,
            context.names,
            context.clock,
            context.promises,
            context.quarantine,
            context.origins,
            release_slot,
        )
        async with context.quarantine.admit(progress.job):
            try:
                return await attempt.run()
            finally:
                self._count_end(attempt.record)
                # Cancelled attempts count too: the server may not respond.
                context.versions.record_attempt(
                    progress.job, backend, attempt.record
                )

    def _count_end(self, record: AttemptRecord) -> None:
        if record.end:
            self._answer_ends.labels(record.end).inc()
        if record.cut is not None:
            self._cuts.labels(record.cut.value).inc()

    async def _may_retry(self, progress: Progress, outcome: Outcome) -> bool:
        job = progress.job
        if job.deadline_ms - self._clock.now() < _MIN_REMAINING_MS:
            return False
        if outcome is Outcome.unreachable:
            progress.unreached_count += 1
            return progress.unreached_count < _MAX_UNREACHED
        if outcome is not Outcome.rejected and not job.route.may_repeat:
            return False
        if job.attempts >= job.route.attempts:
            return False
        source = await self._acquire_retry(job)
        progress.retry_sources.append(source)
        self._context.metrics.retries.labels(source.value).inc()
        return source is not RetrySource.exhausted

    async def _acquire_retry(self, job: Job) -> RetrySource:
        """Spend a retry of this gateway or of another one."""
        context = self._context
        if context.budget.try_acquire(job.pool, is_resumed=job.is_resumed):
            return RetrySource.own
        if await context.borrow_retry(job.pool):
            return RetrySource.lent
        return RetrySource.exhausted

    async def _answer_refusal(
        self, progress: Progress, refusal: Refusal
    ) -> None:
        """Send a server's error answer if there is one, else raise."""
        sink, fallback = progress.sink, progress.fallback_answer
        if sink.has_started:
            raise AbortedResponseError(refusal.cause.value)
        if fallback is not None and not fallback.is_lost:
            await sink.start(fallback.head, len(fallback.body))
            await sink.send(fallback.body)
            await sink.finish()
            return
        if progress.job.may_have_run and refusal.cause is not Cause.timeout:
            raise Refusal(Cause.in_doubt, step=_STEP) from refusal
        raise refusal

    def _make_timeout_refusal(self, job: Job) -> Refusal:
        if job.may_have_run:
            return Refusal(Cause.timeout, step=_STEP)
        return Refusal(
            Cause.waited_too_long,
            step=_STEP,
            retry_after_ms=self._context.scheduler.compute_retry_after_ms(job),
        )
