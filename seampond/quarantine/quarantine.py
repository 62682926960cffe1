"""Keeps requests that end their servers from ending more of them."""

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

# How long a copy waits for the one that is under way, as a part of the target.
_PATIENCE = 0.21
# A server may end under a run that we gave up shortly before.
_LEFT_MS = 1000
_LEFT_MAX = 64
# When to come back where nothing tells when the next trial may be.
_NEVER_MS = 10 * MS_PER_MINUTE
_NOT_READY_MS = 500
_STEP = 'quarantine'
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AbandonedRun:
    """A run that we gave up, whose server may still be at work on it."""

    request: int
    incarnation: int
    started_ms: int
    at_ms: int


class Quarantine:
    """Decides whether a request may be sent, by the servers that it ended.

    Explanation
    -----------
    A request under which no server has ended is sent as ever.  After one end
    only one copy of it at a time is sent by each gateway, so that a caller
    that comes with many does not end as many servers; after two it is sent
    on trial only, by one gateway at a time and a few times in all.  Its first
    good answer clears it.

    Parameters
    ----------
    hash_name : Callable[[str], int]
        Gives the key by which gateways tell of a server's life.
    notify_peers : Callable[[], None]
        Called when the others should hear of new evidence at once.
    count_trial : Callable[[str], None]
        Counts a trial that was wanted, by whether leave was given.

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
        """Start with nothing under way."""
        self.suspects = suspects
        self.trials = trials
        self._hash_name = hash_name
        self._notify_peers = notify_peers
        self._count_trial = count_trial
        self._clock = clock
        self._active: Counter[int] = Counter()
        self._copy_finished = asyncio.Event()
        self._abandoned_runs: deque[AbandonedRun] = deque(maxlen=_LEFT_MAX)
        self._lift_tasks: set[asyncio.Task[None]] = set()

    def is_quarantined(self, job: Job) -> bool:
        """Tell whether a request may be sent on trial only."""
        request = job.fingerprint
        crash_count = self.suspects.count_crashes(request)
        return crash_count >= QUARANTINE_CRASHES or self.trials.is_quarantined(
            request
        )

    def may_send(self, job: Job) -> bool:
        """Tell whether a request may be sent now, asked once more."""
        return job.is_trial or not self.is_quarantined(job)

    def check(self, job: Job) -> None:
        """Note how suspect a request is, before a place is looked for.

        Raises
        ------
        Refusal
            If it may not be sent for now; it gets the final answer at once.

        """
        if not self.trials.is_loaded:
            raise Refusal(
                Cause.not_ready, step=_STEP, retry_after_ms=_NOT_READY_MS
            )
        job.crash_count = self.suspects.count_crashes(job.fingerprint)
        is_under_way = self._active[job.fingerprint] > 0
        job.is_concurrent_duplicate = (
            is_under_way
            and not self.suspects.had_recent_success(job.fingerprint)
        )
        if self.may_send(job):
            return
        wait_ms = self.trials.wait_ms(job.fingerprint)
        if wait_ms != 0 or self._active[job.fingerprint]:
            raise self._refuse(job)

    @asynccontextmanager
    async def admit(self, job: Job) -> AsyncIterator[None]:
        """Let a request be sent until the end of the `with`.

        Raises
        ------
        Refusal
            If it may not be sent.

        """
        request = job.fingerprint
        await self._wait_for_copies(job)
        if not self.may_send(job):
            await self._claim_trial(job)
        sends = job.attempts
        self._active[request] += 1
        try:
            yield
        finally:
            # A trial that reached no server is not used up.
            job.is_trial = job.is_trial and job.attempts == sends
            self._release(request)

    def apply_reports(
        self, crashes: Iterable[CrashReport], successes: Mapping[int, int]
    ) -> None:
        """Take what another gateway tells."""
        self.suspects.apply_reports(crashes, successes)
        self.trials.forget(successes)

    def record_crash(self, job: Job, server: Server, started_ms: int) -> None:
        """Note that a connection broke with a request on it."""
        self._add_crash(
            job.fingerprint, self._hash_name(server.incarnation), started_ms
        )
        self.record_server_exit(server)

    def record_server_exit(self, server: Server) -> None:
        """Note that a server has ended: runs given up shortly before count."""
        incarnation = self._hash_name(server.incarnation)
        oldest_ms = self._clock.now() - _LEFT_MS
        for run in list(self._abandoned_runs):
            if run.at_ms < oldest_ms:
                self._abandoned_runs.remove(run)
            elif run.incarnation == incarnation:
                self._abandoned_runs.remove(run)
                self._add_crash(run.request, incarnation, run.started_ms)

    def record_abandoned_run(
        self, job: Job, server: Server, started_ms: int
    ) -> None:
        """Note that a run was given up while its server was at work."""
        incarnation = self._hash_name(server.incarnation)
        now_ms = self._clock.now()
        self._abandoned_runs.append(
            AbandonedRun(job.fingerprint, incarnation, started_ms, now_ms)
        )

    def record_success(self, job: Job) -> None:
        """Note that a server has answered a request and lives."""
        is_cleared = self.suspects.record_success(job.fingerprint)
        if not is_cleared and not self.trials.is_quarantined(job.fingerprint):
            return
        self._notify_peers()
        if self.trials.is_quarantined(job.fingerprint):
            _logger.info(
                'request out of quarantine',
                extra={'fingerprint': format_fingerprint(job.fingerprint)},
            )
            drop = asyncio.create_task(self.trials.drop(job.fingerprint))
            self._lift_tasks.add(drop)
            drop.add_done_callback(self._lift_tasks.discard)

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
                'request in quarantine',
                extra={
                    'fingerprint': format_fingerprint(request),
                    'ends': crash_count,
                },
            )

    def _release(self, request: int) -> None:
        self._active[request] -= 1
        if not self._active[request]:
            self._active.pop(request)
        # Who waits for a copy looks again; who comes later waits anew.
        self._copy_finished.set()
        self._copy_finished = asyncio.Event()

    async def _wait_for_copies(self, job: Job) -> None:
        """Wait while a copy of a request under which a server ended is open.

        Raises
        ------
        Refusal
            If that takes too long.

        """
        request = job.fingerprint
        until_ms = self._clock.now() + _PATIENCE * job.route.target_ms
        while self._active[request] and self._allows_one_copy(request):
            left_ms = until_ms - self._clock.now()
            if left_ms <= 0:
                raise self._refuse(job)
            with suppress(TimeoutError):
                async with asyncio.timeout(left_ms / MS_PER_SECOND):
                    await self._copy_finished.wait()

    def _allows_one_copy(self, request: int) -> bool:
        crash_count = self.suspects.count_crashes(request)
        return crash_count > 0 and not self.suspects.had_success(request)

    async def _claim_trial(self, job: Job) -> None:
        is_ours = await self.trials.claim(job.fingerprint)
        self._count_trial('given' if is_ours else 'refused')
        if not is_ours:
            raise self._refuse(job)
        job.is_trial = True
        _logger.info(
            'request on trial',
            extra={
                'request': job.request_id.decode('latin-1'),
                'fingerprint': format_fingerprint(job.fingerprint),
            },
        )

    def _refuse(self, job: Job) -> Refusal:
        wait_ms = self.trials.wait_ms(job.fingerprint)
        retry_ms = _NEVER_MS if wait_ms is None else max(1, wait_ms)
        return Refusal(Cause.quarantined, step=_STEP, retry_after_ms=retry_ms)
