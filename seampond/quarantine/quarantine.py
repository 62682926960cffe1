"""Quarantine of requests that crash the servers that run them."""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from seampond.clock import MS_PER_MINUTE, MS_PER_SECOND, Clock
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.server import Server
from seampond.quarantine.fingerprints import format_fingerprint
from seampond.quarantine.models import CrashReport
from seampond.quarantine.suspects import QUARANTINE_CRASHES, Suspects
from seampond.quarantine.trials import Trials

# How long a duplicate waits for the active one, as a part of the target.
_DUPLICATE_WAIT_PART = 0.21
# A server may still crash under a run for this long after it was abandoned.
_ABANDONED_MS = 1000
_ABANDONED_MAX = 64
# Retry-After when no further trial is planned.
_NO_TRIAL_RETRY_MS = 10 * MS_PER_MINUTE
_NOT_READY_RETRY_MS = 500
_STEP = 'quarantine'
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AbandonedRun:
    """A run that this gateway gave up while the server may continue it."""

    request: int
    incarnation: int
    started_ms: int
    at_ms: int


class Quarantine:
    """Decides whether a request may be sent, given the servers it crashed.

    Explanation
    -----------
    After one crash each gateway sends only one copy of a request at a time.
    After two the request is quarantined: it is sent on trial only, by one
    gateway at a time and a few times in total.  A successful response clears
    it.

    Parameters
    ----------
    hash_name : Callable[[str], int]
        Returns the key of a server incarnation.
    notify_peers : Callable[[], None]
        Called to report new evidence to the other gateways without delay.
    count_trial : Callable[[str], None]
        Counts requested trials by whether they were permitted.

    """

    def __init__(
        self,
        suspects: Suspects,
        trials: Trials,
        hash_name: Callable[[str], int],
        notify_peers: Callable[[], None],
        count_trial: Callable[[str], None],
        clock: Clock,
    ) -> None:
        """Start without active requests."""
        self.suspects = suspects
        self.trials = trials
        self._hash_name = hash_name
        self._notify_peers = notify_peers
        self._count_trial = count_trial
        self._clock = clock
        self._active: Counter[int] = Counter()
        self._copy_finished = asyncio.Event()
        self._abandoned_runs: deque[AbandonedRun] = deque(maxlen=_ABANDONED_MAX)
        self._lift_tasks: set[asyncio.Task[None]] = set()

    def is_quarantined(self, job: Job) -> bool:
        """Return True if a request may be sent on trial only."""
        request = job.fingerprint
        crash_count = self.suspects.count_crashes(request)
        return crash_count >= QUARANTINE_CRASHES or self.trials.is_quarantined(
            request
        )

    def may_send(self, job: Job) -> bool:
        """Return True if a request is not quarantined or is on trial."""
        return job.is_trial or not self.is_quarantined(job)

    def check(self, job: Job) -> None:
        """Set the job's crash count and refuse what may not be sent now.

        Raises
        ------
        Refusal
            If the request is quarantined and no trial is due, or if the
            trials are not loaded yet.

        """
        if not self.trials.is_loaded:
            raise Refusal(
                Cause.not_ready,
                step=_STEP,
                retry_after_ms=_NOT_READY_RETRY_MS,
            )
        job.crash_count = self.suspects.count_crashes(job.fingerprint)
        has_active_copy = self._active[job.fingerprint] > 0
        job.is_concurrent_duplicate = (
            has_active_copy
            and not self.suspects.had_recent_success(job.fingerprint)
        )
        if self.may_send(job):
            return
        wait_ms = self.trials.wait_ms(job.fingerprint)
        if wait_ms != 0 or self._active[job.fingerprint]:
            raise self._refuse(job)

    @asynccontextmanager
    async def admit(self, job: Job) -> AsyncIterator[None]:
        """Admit a request, on trial if needed, for the `with` block.

        Raises
        ------
        Refusal
            If it may not be sent.

        """
        request = job.fingerprint
        await self._wait_for_copies(job)
        if not self.may_send(job):
            await self._claim_trial(job)
        attempts_before = job.attempts
        self._active[request] += 1
        try:
            yield
        finally:
            # A trial that was not sent can still be used.
            job.is_trial = job.is_trial and job.attempts == attempts_before
            self._release(request)

    def apply_reports(
        self, crashes: Iterable[CrashReport], successes: Mapping[int, int]
    ) -> None:
        """Apply the crashes and successes in another gateway's heartbeat."""
        self.suspects.apply_reports(crashes, successes)
        self.trials.forget(successes)

    def record_crash(self, job: Job, server: Server, started_ms: int) -> None:
        """Record that a connection broke during a run of a request."""
        self._add_crash(
            job.fingerprint, self._hash_name(server.incarnation), started_ms
        )
        self.record_server_exit(server)

    def record_server_exit(self, server: Server) -> None:
        """Record that a server exited, also under recently abandoned runs."""
        incarnation = self._hash_name(server.incarnation)
        oldest_ms = self._clock.now() - _ABANDONED_MS
        for run in list(self._abandoned_runs):
            if run.at_ms < oldest_ms:
                self._abandoned_runs.remove(run)
            elif run.incarnation == incarnation:
                self._abandoned_runs.remove(run)
                self._add_crash(run.request, incarnation, run.started_ms)

    def record_abandoned_run(
        self, job: Job, server: Server, started_ms: int
    ) -> None:
        """Record that a run was abandoned while the server worked on it."""
        incarnation = self._hash_name(server.incarnation)
        now_ms = self._clock.now()
        self._abandoned_runs.append(
            AbandonedRun(job.fingerprint, incarnation, started_ms, now_ms)
        )

    def record_success(self, job: Job) -> None:
        """Record a successful response and lift the quarantine if any."""
        is_cleared = self.suspects.record_success(job.fingerprint)
        if not is_cleared and not self.trials.is_quarantined(job.fingerprint):
            return
        self._notify_peers()
        if self.trials.is_quarantined(job.fingerprint):
            _logger.info(
                'request released from quarantine',
                extra={'fingerprint': format_fingerprint(job.fingerprint)},
            )
            task = asyncio.create_task(self.trials.drop(job.fingerprint))
            self._lift_tasks.add(task)
            task.add_done_callback(self._lift_tasks.discard)

    def _add_crash(
        self, request: int, incarnation: int, started_ms: int
    ) -> None:
        before = self.suspects.count_crashes(request)
        self.suspects.record_crash(request, incarnation, started_ms)
        crash_count = self.suspects.count_crashes(request)
        if crash_count == before:
            return
        self._notify_peers()
        if crash_count >= QUARANTINE_CRASHES:
            _logger.warning(
                'request quarantined',
                extra={
                    'fingerprint': format_fingerprint(request),
                    'ends': crash_count,
                },
            )

    def _release(self, request: int) -> None:
        self._active[request] -= 1
        if not self._active[request]:
            self._active.pop(request)
        # Wakes the waiters; later ones wait on a new event.
        self._copy_finished.set()
        self._copy_finished = asyncio.Event()

    async def _wait_for_copies(self, job: Job) -> None:
        """Wait while another copy of a suspect request is active.

        Raises
        ------
        Refusal
            If the wait times out.

        """
        request = job.fingerprint
        deadline_ms = (
            self._clock.now() + _DUPLICATE_WAIT_PART * job.route.target_ms
        )
        while self._active[request] and self._allows_one_copy(request):
            remaining_ms = deadline_ms - self._clock.now()
            if remaining_ms <= 0:
                raise self._refuse(job)
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                    await self._copy_finished.wait()

    def _allows_one_copy(self, request: int) -> bool:
        crash_count = self.suspects.count_crashes(request)
        return crash_count > 0 and not self.suspects.had_success(request)

    async def _claim_trial(self, job: Job) -> None:
        is_claimed = await self.trials.claim(job.fingerprint)
        self._count_trial('given' if is_claimed else 'refused')
        if not is_claimed:
            raise self._refuse(job)
        job.is_trial = True
        _logger.info(
            'trial of a quarantined request',
            extra={
                'request': job.request_id.decode('latin-1'),
                'fingerprint': format_fingerprint(job.fingerprint),
            },
        )

    def _refuse(self, job: Job) -> Refusal:
        wait_ms = self.trials.wait_ms(job.fingerprint)
        retry_ms = _NO_TRIAL_RETRY_MS if wait_ms is None else max(1, wait_ms)
        return Refusal(Cause.quarantined, step=_STEP, retry_after_ms=retry_ms)
