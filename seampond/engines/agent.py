"""The agent: asks for work when its backend server has room."""

import logging
from collections.abc import Callable

from seampond.clock import Clock
from seampond.engines.asks import Asks
from seampond.engines.entries import EntryPeer
from seampond.engines.memory import TimedSet
from seampond.engines.reservations import Reservation, Reservations
from seampond.engines.runner import Runner
from seampond.engines.runs import Run
from seampond.links.messages import (
    About,
    Cancel,
    Deny,
    Finish,
    Grant,
    Message,
    Pulse,
    Received,
    Reserve,
    Resume,
    TurnAway,
    Withdraw,
)
from seampond.metrics import AgentMetrics
from seampond.promises import Promises
from seampond.requests import Reason, RunStatus
from seampond.settings.models import AgentSettings

_MIN_RETRY_MS = 1000
_MAX_RETRY_MS = 30_000
_logger = logging.getLogger(__name__)


class Agent:
    """All that one agent knows, and what it does with each message.

    Explanation
    -----------
    Only this process sends work to its backend server, so its own count
    is exact.  It asks for the best reservation when a slot is free; what
    it was granted and did not dispatch it refuses with "not run" and
    never dispatches later.
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        promises: Promises,
        metrics: AgentMetrics,
        runner: Runner,
    ) -> None:
        """Start with nothing held."""
        self._clock = clock
        self._metrics = metrics
        self._runner = runner
        self._reservations = Reservations(
            settings.backend.queue_max, settings.hold_down_ms, promises
        )
        self._asks = Asks(runner.slots, settings.ask_ms, settings.orphan_ms)
        self._refused = TimedSet(settings.keep_ms)
        self.entries: set[EntryPeer] = set()
        self.generation = 0
        runner.on_free = self.pump
        self._takers: dict[type[Message], Callable[..., None]] = {
            Reserve: self._take_reserve,
            Withdraw: self._take_withdraw,
            Grant: self._take_grant,
            Deny: self._take_deny,
            Cancel: self._take_cancel,
            Resume: self._take_resume,
            Received: self._take_received,
            Pulse: self._take_pulse,
        }

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._runner.is_leaving

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or may be granted, and all was received."""
        are_answered = self._asks.are_answered(self._clock.now())
        return are_answered and self._runner.is_idle

    @property
    def open_asks(self) -> int:
        """How many asks no entry has answered yet."""
        return self._runner.slots.asked

    @property
    def pulse(self) -> Pulse:
        """Our heartbeat."""
        slots = self._runner.slots
        return Pulse(
            running=slots.running,
            slots=slots.limit,
            queued=len(self._reservations),
            floor=self._reservations.floor.current(self._clock.now()),
            leaving=self.is_leaving,
            generation=self.generation,
            backlog_ms=self._backlog_ms(),
        )

    def leave(self) -> None:
        """Begin a planned stop: no new work, what runs finishes."""
        self._runner.is_leaving = True
        for held in self._reservations.take_all():
            self._turn_away(held, Reason.leaving)
        for entry in self.entries:
            entry.send(self.pulse)
        running = self._runner.slots.running
        _logger.info('agent leaves', extra={'running': running})

    def came_up(self, entry: EntryPeer) -> None:
        """A link from an entry is ready."""
        self.entries.add(entry)
        entry.send(self.pulse)
        _logger.info('link up', extra={'entry': entry.name})

    def went_down(self, entry: EntryPeer) -> None:
        """The link from an entry ended: drop what it only reserved."""
        self.entries.discard(entry)
        self._reservations.take_all(entry)
        self._asks.drop_all_of(entry, self._clock.now())
        self._runner.orphan(entry)
        _logger.info('link down', extra={'entry': entry.name})
        self.pump()

    def take(self, entry: EntryPeer, message: Message) -> None:
        """Act on a message from an entry."""
        taker = self._takers.get(type(message))
        if taker:
            taker(entry, message)
            self.pump()
        else:
            self._drop(message)

    def pump(self) -> None:
        """Ask for the best reservations while there are free slots."""
        now_ms = self._clock.now()
        while self._runner.slots.free and not self.is_leaving:
            best = self._reservations.pop_best()
            if best is None:
                break
            if best.deadline_ms <= now_ms:
                self._turn_away(best, Reason.deadline)
            else:
                self._asks.send(best, now_ms)
        self._show()

    def tidy(self) -> None:
        """Drop what has expired; called a few times a second."""
        now_ms = self._clock.now()
        self._asks.drop_expired(now_ms)
        self._runner.tidy(now_ms)
        self._refused.tidy(now_ms)
        self.pump()

    def _take_reserve(self, entry: EntryPeer, reserve: Reserve) -> None:
        now_ms = self._clock.now()
        reservation = Reservation(entry, reserve, now_ms + reserve.remaining_ms)
        if self.is_leaving:
            self._turn_away(reservation, Reason.leaving)
            return
        victim = self._reservations.add(reservation, now_ms)
        if victim:
            self._turn_away(victim, Reason.no_room)

    def _take_withdraw(self, _entry: EntryPeer, withdraw: Withdraw) -> None:
        self._reservations.remove(withdraw.id)

    def _take_deny(self, _entry: EntryPeer, deny: Deny) -> None:
        self._asks.note_answer(deny)

    def _take_grant(self, entry: EntryPeer, grant: Grant) -> None:
        now_ms = self._clock.now()
        reservation = self._asks.take_for(grant, now_ms)
        if self.is_leaving:
            self._refuse(entry, grant, Reason.leaving)
        elif reservation is None or (grant.id, grant.attempt) in self._refused:
            self._refuse(entry, grant, Reason.ask_expired)
        else:
            run = Run(
                grant,
                owner=entry.name,
                deadline_ms=now_ms + grant.remaining_ms,
                entry=entry,
                prompt_tokens=reservation.reserve.prompt_tokens,
            )
            self._runner.start(run)

    def _refuse(
        self, entry: EntryPeer, about: Grant | Resume, reason: Reason
    ) -> None:
        self._refused.add((about.id, about.attempt), self._clock.now())
        self._metrics.refusals.labels(reason.value).inc()
        entry.send(_make_end(about, RunStatus.never, reason))

    def _take_cancel(self, _entry: EntryPeer, cancel: Cancel) -> None:
        if not self._runner.cancel(cancel):
            self._drop(cancel)

    def _take_resume(self, entry: EntryPeer, resume: Resume) -> None:
        if self._runner.resume(entry, resume):
            return
        if resume.id in self._runner.forgotten:
            entry.send(_make_end(resume, RunStatus.maybe, Reason.agent_lost))
            return
        # The grant never came here; should it still come, it is refused.
        self._refuse(entry, resume, Reason.ask_expired)

    def _take_received(self, _entry: EntryPeer, received: Received) -> None:
        self._runner.note_received(received)

    def _take_pulse(self, entry: EntryPeer, pulse: Pulse) -> None:
        # The first one on a new link follows all that the entry resumes.
        self._asks.note_return(entry)
        entry.generation = pulse.generation
        self.generation = max(self.generation, pulse.generation)
        # The entry sets the pace: it knows how many links it keeps.
        entry.send(self.pulse)

    def _turn_away(self, held: Reservation, reason: Reason) -> None:
        self._metrics.refusals.labels(reason.value).inc()
        held.entry.send(
            TurnAway(
                held.id,
                held.reserve.attempt,
                reason=reason.value,
                floor=self._reservations.floor.current(self._clock.now()),
                retry_after_ms=max(_MIN_RETRY_MS, self._backlog_ms()),
            )
        )

    def _backlog_ms(self) -> int:
        waiting = len(self._reservations) + 1
        slots = max(1, self._runner.slots.limit)
        estimate = self._runner.service_ms * waiting / slots
        return max(0, min(_MAX_RETRY_MS, round(estimate)))

    def _drop(self, message: Message) -> None:
        kind = type(message).__name__.lower()
        self._metrics.dropped.labels(kind).inc()

    def _show(self) -> None:
        self._metrics.running.set(self._runner.slots.running)
        self._metrics.queued.set(len(self._reservations))
        self._metrics.slots.set(self._runner.slots.limit)


def _make_end(about: About, word: RunStatus, reason: Reason) -> Finish:
    """Give the end of a request that has no answer here."""
    return Finish(
        about.id, about.attempt, count=0, run=word.value, reason=reason.value
    )
