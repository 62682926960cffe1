"""One order as one gateway carries it out."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from seampond.rollouts.evidence import Evidence, Verdict
from seampond.rollouts.exposure import Exposure
from seampond.rollouts.models import Order, Report, Stage, State, Status, Step

# Some versions turn bad only later on, so a good one is not trusted sooner,
# and one with too few answers to be proved is trusted then if none speak
# against it: else a pool with little work would never get its new version.
_LEAST_TRIAL_PART = 0.25
_LATEST_TRIAL_PART = 0.5
# Of an order of 12 s, a trial of 3 s and a rise of 1.6 s leave the old streams
# 7 s to end; one in twenty takes over 4.5 s.
_RISE_STEP_MS = 400
_FIRST_PART = 0.1
_WHOLE_PART = 1.0
# On fewer servers than this a small part of the traffic would be no load, and
# some versions are bad only under load.
_TRIAL_SERVERS_PART = 0.2
# The new servers have to have so many of the old ones' places.
_LEAST_ROOM_PART = 0.5


class VersionedServer(Protocol):
    """A server, as far as a roll-out looks at it."""

    @property
    def id(self) -> str:
        """Its id."""

    @property
    def version(self) -> str:
        """The version of its software."""

    @property
    def slots(self) -> int:
        """How many requests it runs at once."""


class RolloutBackend(Protocol):
    """What stands for a server where requests are placed."""

    @property
    def server(self) -> VersionedServer:
        """The server."""

    @property
    def in_flight(self) -> int:
        """Our requests there."""

    @property
    def takes_work(self) -> bool:
        """Whether the list lets us send to it."""


BackendT = TypeVar('BackendT', bound=RolloutBackend)


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """What the list says of the servers of a pool, by version.

    Parameters
    ----------
    new_slots, old_slots : int
        The places of those that may be sent to.
    open_old : int
        Our requests on servers of another version than the target.

    """

    new_slots: int
    old_slots: int
    open_old: int


@dataclass
class Rollout:
    """One order as one gateway carries it out.

    Parameters
    ----------
    started_ms : int
        Our clock when the order was given, as far as we know.
    stage : Stage
        Our own; the store's word moves it to `closed` and back.
    is_rejected : bool
        Whether the version is bad, whatever stage we are bound to.

    """

    order: Order
    exposure: Exposure
    started_ms: int
    evidence: Evidence = field(default_factory=Evidence)
    stage: Stage = Stage.trial
    is_rejected: bool = False
    reason: str = ''
    proved_ms: int | None = None

    def count_servers(self, backends: Sequence[BackendT]) -> PoolCounts:
        """Count a pool's servers by version."""
        target = self.order.target
        new = [
            backend for backend in backends if backend.server.version == target
        ]
        old = [
            backend for backend in backends if backend.server.version != target
        ]
        return PoolCounts(
            sum(backend.server.slots for backend in new if backend.takes_work),
            sum(backend.server.slots for backend in old if backend.takes_work),
            sum(backend.in_flight for backend in old),
        )

    def reject(self, reason: str) -> None:
        """Send nothing to the version any more, for good.

        Explanation
        -----------
        Where the store may already have said that the old servers stop, they
        are not sent to before it says that the order is rolled back.
        """
        if not self.is_rejected:
            self.is_rejected = True
            self.reason = reason
        if self.stage is not Stage.closed:
            self.stage = Stage.refused

    def apply_status(self, status: Status) -> None:
        """Follow what the store says."""
        if status.state is State.done:
            self.stage = Stage.closed
        elif status.state is State.rolled_back:
            self.is_rejected = True
            self.stage = Stage.refused

    def apply_step(self, step: Step) -> None:
        """Follow the store: nobody sends to the old version any more."""
        if step.is_closing and self.stage is not Stage.refused:
            self.stage = Stage.closed

    def evaluate(self, now_ms: int, counted: PoolCounts) -> None:
        """Decide by what is known now how far to go."""
        if self.evidence.verdict is Verdict.bad:
            self.reject('bad answers')
        if self.is_rejected or self.stage is not Stage.trial:
            return
        if not counted.old_slots and counted.new_slots:
            self.reason = 'no other version serves'
            self.stage = Stage.moved
            return
        if now_ms > self._deadline_ms and not counted.new_slots:
            self.reject('no server of the version')
        elif self.proved_ms is None and self._is_trusted(now_ms):
            self.proved_ms = now_ms
        if (
            self._has_enough_slots(counted)
            and self.traffic_share(now_ms) >= _WHOLE_PART
        ):
            self.stage = Stage.moved

    def traffic_share(self, now_ms: int) -> float:
        """Give the part of our requests that goes to the new version."""
        if self.stage in {Stage.moved, Stage.closed}:
            return _WHOLE_PART
        if self.stage is Stage.refused or self.proved_ms is None:
            return 0
        steps = (now_ms - self.proved_ms) // _RISE_STEP_MS
        return min(_WHOLE_PART, _FIRST_PART * 2**steps)

    def group_backends(
        self, backends: Sequence[BackendT], now_ms: int, draw: float | None
    ) -> tuple[list[BackendT], ...]:
        """Give the servers to look at, those that come first before others.

        Parameters
        ----------
        draw : float or None
            From 0 to 1, drawn for the request; None for one that may not go
            to a version that is not proved: it was sent before, or takes up
            a stream.

        """
        target = self.order.target
        new = [
            backend for backend in backends if backend.server.version == target
        ]
        old = [
            backend for backend in backends if backend.server.version != target
        ]
        if self.stage is Stage.refused:
            return (old,)
        if self.stage is Stage.closed:
            return (new,)
        if self.stage is Stage.moved:
            return (new, old)
        if draw is not None and self._is_due(now_ms, draw):
            return (self._list_trial(new, now_ms), old)
        return (old,) if old else (new,)

    def build_report(self, pool: int, counted: PoolCounts) -> Report:
        """Give what the other gateways are told."""
        return Report(
            pool,
            self.order.version,
            Stage.refused if self.is_rejected else self.stage,
            counted.open_old,
            self.evidence.own,
        )

    @property
    def _deadline_ms(self) -> int:
        return self.started_ms + self.order.duration_ms

    def _is_trusted(self, now_ms: int) -> bool:
        age_ms = now_ms - self.started_ms
        duration_ms = self.order.duration_ms
        if age_ms < duration_ms * _LEAST_TRIAL_PART:
            return False
        if self.evidence.verdict is Verdict.good:
            return True
        is_late = age_ms >= duration_ms * _LATEST_TRIAL_PART
        has_answered = bool(self.evidence.new_answers.answers)
        # Where nobody asks for anything nobody can be harmed.
        is_idle = not self.evidence.totals
        is_untouched = has_answered or is_idle
        return is_late and is_untouched and not self.evidence.is_suspect

    def _has_enough_slots(self, counted: PoolCounts) -> bool:
        return counted.new_slots >= _LEAST_ROOM_PART * counted.old_slots

    def _is_due(self, now_ms: int, draw: float) -> bool:
        """Whether a request goes to the new version."""
        if self.proved_ms is None:
            return self.exposure.may_expose
        return draw < self.traffic_share(now_ms)

    def _list_trial(self, new: list[BackendT], now_ms: int) -> list[BackendT]:
        """Give the few new servers that every gateway tries first."""
        part = max(_TRIAL_SERVERS_PART, self.traffic_share(now_ms))
        count = max(1, round(part * len(new)))
        serving = [backend for backend in new if backend.takes_work]
        return sorted(serving, key=_by_id)[:count]


def _by_id(backend: RolloutBackend) -> str:
    return backend.server.id
