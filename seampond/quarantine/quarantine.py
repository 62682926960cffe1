"""Quarantine of requests that crash the servers that run them."""

import asyncio
import logging
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager, suppress

from seampond.clock import MS_PER_MINUTE, MS_PER_SECOND, Clock
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.server import Server
from seampond.quarantine.fingerprints import format_fingerprint
from seampond.quarantine.interrupted import InterruptedRun
from seampond.quarantine.local_trials import LocalTrials
from seampond.quarantine.models import CrashReport
from seampond.quarantine.outcomes import RunOutcomes
from seampond.quarantine.suspects import QUARANTINE_CRASHES, Suspects
from seampond.quarantine.trials import Trials

# How long a request waits for one that is active alone, as a part of the
# target.
_WAIT_PART = 0.21
# Retry-After when no further trial is planned.
_NO_TRIAL_RETRY_MS = 10 * MS_PER_MINUTE
_NOT_READY_RETRY_MS = 500
_ACTIVE_RETRY_MS = 250
_STEP = 'quarantine'
_logger = logging.getLogger(__name__)


class Quarantine:
    """Decides whether a request may be sent, given the servers it crashed.

    Explanation
    -----------
    A request is blamed by its own fingerprint and by those of the parts of
    its prompt, in the same way.  After one crash each gateway sends only one
    request with a fingerprint at a time.  After two the fingerprint is
    quarantined: requests with it are sent on trial only, by one gateway at a
    time and a few times in total.  A successful response clears all
    fingerprints of its request.

    Parameters
    ----------
    hash_name : Callable[[str], int]
        Returns the key of a server incarnation.
    notify_peers : Callable[[], None]
        Called to report new evidence to the other gateways without delay.
    count_trial : Callable[[str], None]
        Counts requested trials by whether they were permitted.

    Attributes
    ----------
    runs : RunOutcomes
        Records how the runs of this gateway end.

    """

    def __init__(
        self,
        suspects: Suspects,
        trials: Trials,
        local_trials: LocalTrials,
        hash_name: Callable[[str], int],
        notify_peers: Callable[[], None],
        count_trial: Callable[[str], None],
        clock: Clock,
    ) -> None:
        """Start without active requests."""
        self.suspects = suspects
        self.trials = trials
        self._local_trials = local_trials
        self._notify_peers = notify_peers
        self._count_trial = count_trial
        self._clock = clock
        self._hash_name = hash_name
        self._active: Counter[int] = Counter()
        self._active_ended = asyncio.Event()
        self.runs = RunOutcomes(hash_name, self._add_crash, self._clear, clock)

    def is_quarantined(self, job: Job) -> bool:
        """Return True if a request may be sent on trial only."""
        return any(map(self._is_quarantined, job.fingerprints))

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
        self.runs.clear_expired()
        job.crash_count = max(map(self._count_crashes, job.fingerprints))
        has_active_copy = self._active[job.fingerprint] > 0
        job.is_concurrent_duplicate = (
            has_active_copy
            and not self.suspects.had_recent_success(job.fingerprint)
        )
        if self.may_send(job):
            return
        tried = self._select_tried(job)
        may_try = self.trials.wait_ms(tried) == 0 or self._is_local_due(tried)
        if not may_try and not self._active[tried]:
            self.trials.request_read()
            raise self._refuse(job)

    @asynccontextmanager
    async def admit(self, job: Job) -> AsyncIterator[None]:
        """Admit a request, on trial if needed, for the `with` block.

        Raises
        ------
        Refusal
            If it may not be sent.

        """
        await self._wait_for_others(job)
        attempts_before = job.attempts
        self._active.update(job.fingerprints)
        try:
            if not self.may_send(job):
                await self._claim_trial(job)
            yield
        finally:
            # A trial that was not sent can still be used.
            job.is_trial = job.is_trial and job.attempts == attempts_before
            self._release(job)

    async def record_trial_server(self, job: Job, server: Server) -> bool:
        """Record where a job is sent on trial; return True if it may be."""
        if not job.is_trial or job.stored_trial is None:
            return True
        # A later start of a server that does not tell its start looks alike.
        key = self._hash_name(server.incarnation) if server.started_ms else 0
        return await self.trials.record_server(job.stored_trial, key)

    def apply_reports(
        self,
        crashes: Iterable[CrashReport],
        successes: Mapping[int, int],
        exits: Mapping[int, int],
    ) -> None:
        """Apply what another gateway's heartbeat reports.

        Parameters
        ----------
        successes : Mapping[int, int]
            Ages of successes by fingerprint.
        exits : Mapping[int, int]
            Ages of announced exits by server incarnation.

        """
        self.suspects.apply_reports(crashes, successes, exits)
        now_ms = self._clock.now()
        self.trials.apply_successes(
            {
                fingerprint: now_ms - age_ms
                for fingerprint, age_ms in successes.items()
            }
        )
        self._local_trials.forget(successes)

    def _is_quarantined(self, fingerprint: int) -> bool:
        crash_count = self.suspects.count_crashes(fingerprint)
        return crash_count >= QUARANTINE_CRASHES or self.trials.is_quarantined(
            fingerprint
        )

    def _count_crashes(self, fingerprint: int) -> int:
        """Return how many crashes make a fingerprint suspect.

        Explanation
        -----------
        A single one does not, if there were successes shortly before it.
        """
        crash_count = self.suspects.count_crashes(fingerprint)
        is_cleared = crash_count < QUARANTINE_CRASHES and (
            self.suspects.had_success(fingerprint)
        )
        return 0 if is_cleared else crash_count

    def _select_tried(self, job: Job) -> int:
        """Return the quarantined fingerprint that a trial of a job is for.

        Explanation
        -----------
        A part that is always accompanied by another one is quarantined with
        it.  The trial counts for the one without any known success, else for
        the most specific one, so that requests with the others only have
        their own trials.
        """
        return min(
            filter(self._is_quarantined, job.fingerprints),
            key=self.suspects.has_succeeded,
        )

    def _add_crash(self, run: InterruptedRun) -> None:
        """Blame the fingerprints of a run for the crash of its server."""
        now_ms = self._clock.now()
        if self.suspects.exits.is_announced(run.incarnation, now_ms):
            _logger.info(
                'request cut by an announced end of its server',
                extra={'fingerprint': format_fingerprint(run.fingerprints[0])},
            )
            return
        for fingerprint in run.fingerprints:
            before = self.suspects.count_crashes(fingerprint)
            self.suspects.record_crash(
                fingerprint, run.incarnation, run.started_ms
            )
            crash_count = self._count_crashes(fingerprint)
            if crash_count > before:
                self._notify_peers()
            if crash_count > max(before, QUARANTINE_CRASHES - 1):
                _logger.warning(
                    'request quarantined',
                    extra={
                        'fingerprint': format_fingerprint(fingerprint),
                        'is_part': fingerprint != run.fingerprints[0],
                        'ends': crash_count,
                    },
                )

    def _clear(self, fingerprints: Iterable[int], at_ms: int) -> None:
        """Clear the fingerprints of a successful request."""
        for fingerprint in fingerprints:
            is_quarantined = self._is_quarantined(fingerprint)
            self.suspects.record_success(fingerprint, at_ms)
            if is_quarantined:
                self.suspects.record_cleared(fingerprint, at_ms)
                self._lift(fingerprint, at_ms)

    def _lift(self, fingerprint: int, at_ms: int) -> None:
        """Lift the quarantine of a fingerprint."""
        self._notify_peers()
        self._local_trials.forget((fingerprint,))
        _logger.info(
            'request released from quarantine',
            extra={'fingerprint': format_fingerprint(fingerprint)},
        )
        self.trials.lift(fingerprint, at_ms)

    def _release(self, job: Job) -> None:
        self._active.subtract(job.fingerprints)
        for fingerprint in job.fingerprints:
            if not self._active[fingerprint]:
                self._active.pop(fingerprint, None)
        # Wakes the waiters; later ones wait on a new event.
        self._active_ended.set()
        self._active_ended = asyncio.Event()

    async def _wait_for_others(self, job: Job) -> None:
        """Wait while a request with a suspect fingerprint is active.

        Raises
        ------
        Refusal
            If the wait times out.

        """
        deadline_ms = self._clock.now() + _WAIT_PART * job.route.target_ms
        while any(map(self._is_occupied, job.fingerprints)):
            remaining_ms = deadline_ms - self._clock.now()
            if remaining_ms <= 0:
                raise self._refuse(job)
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                    await self._active_ended.wait()

    def _is_occupied(self, fingerprint: int) -> bool:
        """Return True if no other request with a fingerprint may run."""
        if not self._active[fingerprint]:
            return False
        is_suspect = self._count_crashes(fingerprint) > 0
        return is_suspect or self._is_quarantined(fingerprint)

    def _is_local_due(self, fingerprint: int) -> bool:
        """Return True if a trial is due without the store."""
        return (
            self.trials.is_store_unreachable
            and self.suspects.has_succeeded(fingerprint)
            and self._local_trials.is_due(fingerprint)
        )

    async def _claim_trial(self, job: Job) -> None:
        tried = self._select_tried(job)
        is_stored = await self.trials.claim(tried, job.deadline_ms)
        is_claimed = is_stored or (
            self._is_local_due(tried) and self._local_trials.claim(tried)
        )
        self._count_trial('given' if is_claimed else 'refused')
        if not is_claimed:
            raise self._refuse(job)
        job.is_trial = True
        job.stored_trial = tried if is_stored else None
        _logger.info(
            'trial of a quarantined request',
            extra={
                'request': job.request_id.decode('latin-1'),
                'fingerprint': format_fingerprint(tried),
            },
        )

    def _refuse(self, job: Job) -> Refusal:
        if not self.is_quarantined(job):
            return Refusal(
                Cause.quarantined, step=_STEP, retry_after_ms=_ACTIVE_RETRY_MS
            )
        wait_ms = self.trials.wait_ms(self._select_tried(job))
        retry_ms = _NO_TRIAL_RETRY_MS
        if wait_ms is not None:
            retry_ms = max(_ACTIVE_RETRY_MS, wait_ms)
        return Refusal(Cause.quarantined, step=_STEP, retry_after_ms=retry_ms)
