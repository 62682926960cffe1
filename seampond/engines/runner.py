"""Runs granted requests on the backend server, each in a task."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from seampond.backing.objects import Objects
from seampond.claims import Claim, ClaimRefusedError, Claims
from seampond.claims.answers import keep_answer, load_answer
from seampond.clock import Clock
from seampond.engines.call import BackendError
from seampond.engines.entries import EntryPeer
from seampond.engines.memory import TimedSet
from seampond.engines.runs import Run, Stage
from seampond.engines.slots import Slots
from seampond.links.messages import Cancel, Received, Resume
from seampond.metrics import AgentMetrics
from seampond.promises import Promises, Rule
from seampond.requests import Reason, RunStatus
from seampond.settings.models import AgentSettings
from seampond.tasks import cancel_all

# Longer than any entry keeps a request: an hour's deadline and its grace.
REMEMBER_MS = 7_200_000
_FIRST_SERVICE_MS = 1000.0
_SMOOTHING = 0.1
_logger = logging.getLogger(__name__)

CarryOut = Callable[[Run], Awaitable[None]]


class Runner:
    """The runs of one agent, kept until their answers were received.

    Parameters
    ----------
    carry_out : Callable[[Run], Awaitable[None]]
        Calls the backend server; raises `BackendError`.
    on_free : Callable[[], None]
        Called when a slot becomes free.

    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        promises: Promises,
        metrics: AgentMetrics,
        claims: Claims,
        objects: Objects,
        carry_out: CarryOut,
    ) -> None:
        """Start with nothing running."""
        self._settings = settings
        self._clock = clock
        self._promises = promises
        self._metrics = metrics
        self._claims = claims
        self._objects = objects
        self._carry_out = carry_out
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._service_ms = _FIRST_SERVICE_MS
        self.runs: dict[str, Run] = {}
        self.forgotten = TimedSet(REMEMBER_MS)
        self.slots = Slots(settings.backend.slots)
        self.on_free: Callable[[], None] = lambda: None
        self.is_leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and every answer was received."""
        return not self._tasks and not any(
            run.entry or self._may_be_resumed(run) for run in self.runs.values()
        )

    @property
    def service_ms(self) -> float:
        """How long a run took lately, smoothed."""
        return self._service_ms

    def start(self, run: Run) -> None:
        """Run a granted request."""
        self._promises.check(
            Rule.no_work_when_leaving,
            not self.is_leaving,
            step='start',
            peer=run.owner,
        )
        earlier = self.runs.get(run.id)
        self._promises.check(
            Rule.single_dispatch,
            earlier is None or earlier.was_not_run,
            step='start',
            peer=run.owner,
        )
        self.runs[run.id] = run
        self.slots.running += 1
        self._tasks[run.id] = asyncio.create_task(self._run(run))

    def cancel(self, cancel: Cancel) -> bool:
        """Stop a run that nobody waits for; False if there is none.

        Explanation
        -----------
        What may not be repeated and has been dispatched is finished, and
        its outcome kept.
        """
        run = self.runs.get(cancel.id)
        if run is None or run.grant.attempt != cancel.attempt:
            return False
        run.entry = None
        run.orphaned_ms = None
        if run.grant.repeatable or run.stage is Stage.granted:
            self._stop(run)
        return True

    def resume(self, entry: EntryPeer, resume: Resume) -> bool:
        """Go on with an answer over a new link; False if there is none."""
        run = self.runs.get(resume.id)
        if run is None or run.grant.attempt != resume.attempt:
            return False
        run.resume(entry, resume.next)
        return True

    def note_received(self, received: Received) -> None:
        """Drop the answer that the entry has whole."""
        run = self.runs.get(received.id)
        if run and run.stage is Stage.ended:
            run.entry = None
            run.parts.clear()

    async def close(self) -> None:
        """Stop what still runs and wait for its end."""
        await cancel_all(list(self._tasks.values()))

    def orphan(self, entry: EntryPeer) -> None:
        """The link of `entry` ended: hold its answers for a while."""
        for run in self.runs.values():
            if run.entry is entry:
                run.entry = None
                run.orphaned_ms = self._clock.now()

    def tidy(self, now_ms: int) -> None:
        """Forget what is long over; stop what lost its entry."""
        for run in list(self.runs.values()):
            is_over = run.stage is Stage.ended
            if is_over and now_ms - run.ended_ms > self._settings.keep_ms:
                self._forget(run, now_ms)
            elif not is_over and self._must_stop(run):
                self._stop(run)

        self.forgotten.tidy(now_ms)

    def _forget(self, run: Run, now_ms: int) -> None:
        self.runs.pop(run.id)
        if not run.was_not_run:
            self.forgotten.add(run.id, now_ms)

    def _must_stop(self, run: Run) -> bool:
        # The HTTP client may swallow a cancellation, so it is repeated.
        if run.is_cancelled:
            return True
        if run.orphaned_ms is None or not run.grant.repeatable:
            return False
        return not self._may_be_resumed(run)

    def _may_be_resumed(self, run: Run) -> bool:
        """Whether the entry may still ask for the rest over a new link."""
        if run.orphaned_ms is None:
            return False
        orphaned_ms = self._clock.now() - run.orphaned_ms
        return orphaned_ms <= self._settings.orphan_ms

    def _stop(self, run: Run) -> None:
        run.is_cancelled = True
        task = self._tasks.get(run.id)
        if task:
            task.cancel()

    async def _run(self, run: Run) -> None:
        started_ms = self._clock.now()
        try:
            await self._run_claimed(run)
        except asyncio.CancelledError:
            self._end_cancelled(run)
        except Exception:
            _logger.exception('run failed', extra={'request': run.id})
            self._end(run, RunStatus.maybe, Reason.internal)
        finally:
            self._free(run, started_ms)

    def _free(self, run: Run, started_ms: int) -> None:
        self._tasks.pop(run.id, None)
        self.slots.running -= 1
        took_ms = self._clock.now() - started_ms
        self._service_ms += _SMOOTHING * (took_ms - self._service_ms)
        self.on_free()

    async def _run_claimed(self, run: Run) -> None:
        if run.grant.repeatable:
            await self._dispatch_in_time(run, None)
            return
        claim = await self._claim(run)
        if claim is None:
            return
        await self._dispatch_in_time(run, claim)
        if run.was_not_run:
            self._claims.abandon(claim)
            return
        if run.is_whole:
            answer = run.whole_answer(claim.token)
            await keep_answer(self._objects, claim.key, answer)
        await self._claims.finish(claim, run.id)

    async def _claim(self, run: Run) -> Claim | None:
        try:
            # Later than this, the run itself would be late.
            until_ms = run.deadline_ms - round(self._service_ms)
            claim = await self._claims.make(
                run.grant.claim_key, run.id, until_ms, run.body_digest
            )
        except ClaimRefusedError as refused:
            if await self._replay(run, refused):
                return None
            word, reason = RunStatus.never, Reason.claim_store_down
            if refused.is_taken:
                word, reason = RunStatus.maybe, Reason.claim_taken
            self._metrics.claims.labels(reason.value).inc()
            self._end(run, word, reason)
            return None
        self._metrics.claims.labels('made').inc()
        return claim

    async def _replay(self, run: Run, refused: ClaimRefusedError) -> bool:
        """Give the kept answer of the run that holds the claim, if any."""
        if refused.held is None or not refused.is_done_for(run.body_digest):
            return False
        token = refused.held.content['token']
        key = run.grant.claim_key
        answer = await load_answer(self._objects, key, token)
        if answer is None:
            return False
        run.add_head(answer.status, answer.replay_headers)
        run.add_payload(answer.body)
        self._metrics.claims.labels('replayed').inc()
        self._end(run, RunStatus.done, None)
        return True

    async def _dispatch_in_time(self, run: Run, claim: Claim | None) -> None:
        if self._clock.now() >= run.deadline_ms or run.is_cancelled:
            self._end(run, RunStatus.never, Reason.deadline)
            return
        self._promises.check(
            Rule.single_dispatch, run.stage is Stage.granted, step='dispatch'
        )
        is_claimed = claim is not None and claim.key == run.grant.claim_key
        self._promises.check(
            Rule.single_claim,
            run.grant.repeatable or is_claimed,
            step='dispatch',
        )
        run.stage = Stage.dispatched
        try:
            await self._carry_out(run)
        except BackendError as error:
            self._end_failed(run, error)
        else:
            self._end(run, RunStatus.done, None)

    def _end_failed(self, run: Run, error: BackendError) -> None:
        if error.was_sent:
            self._count_waste(run)
            self._end(run, RunStatus.maybe, error.reason)
        else:
            self._end(run, RunStatus.never, error.reason)

    def _end_cancelled(self, run: Run) -> None:
        if run.stage is Stage.dispatched:
            self._count_waste(run)
            self._end(run, RunStatus.maybe, Reason.cancelled)
        else:
            self._end(run, RunStatus.never, Reason.cancelled)

    def _end(self, run: Run, word: RunStatus, reason: Reason | None) -> None:
        if run.stage is Stage.ended:
            return
        self._promises.check(
            Rule.true_not_run,
            word is not RunStatus.never or not run.parts,
            step='finish',
        )
        label = reason.value if reason else ''
        run.end(word, label, self._clock.now())
        if run.is_cancelled:
            run.parts.clear()
        self._metrics.dispatches.labels(label or 'whole').inc()

    def _count_waste(self, run: Run) -> None:
        # Without the engine's own word: our estimate of the prompt.
        wasted = run.usage.prompt_tokens or run.prompt_tokens
        self._metrics.prompt_tokens.labels('wasted').inc(wasted)
