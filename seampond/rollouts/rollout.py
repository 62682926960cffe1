"""A rollout as one gateway carries it out."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from seampond.rollouts.evidence import Evidence, Verdict
from seampond.rollouts.exposure import Exposure
from seampond.rollouts.models import Order, Report, Stage, State, Status, Step

# Shares of an order's duration.  Before the first no version is accepted, since
# some fail only after a while.  From the second on a version is accepted even
# with too few answers for a verdict, so that idle pools are moved too.
_MIN_TRIAL_SHARE = 0.25
_MAX_TRIAL_SHARE = 0.5
# The traffic share doubles at this interval; old streams end meanwhile.  An
# order of 12 s leaves them 7 s after a trial of 3 s and a ramp of 1.6 s; one
# stream in twenty takes over 4.5 s.
_RAMP_STEP_MS = 400
_INITIAL_TRAFFIC_SHARE = 0.1
_ALL_TRAFFIC = 1.0
# Share of the new servers used in a trial.  Few servers, since some versions
# fail only under load.
_TRIAL_SERVERS_SHARE = 0.2
# Slots of the new version needed, as a share of the old version's.
_MIN_SLOTS_SHARE = 0.5


class VersionedServer(Protocol):
    """The attributes of a server that rollouts use."""

    @property
    def id(self) -> str:
        """Id of the server."""

    @property
    def version(self) -> str:
        """Version of its software."""

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""


class RolloutBackend(Protocol):
    """The attributes of a backend that rollouts use."""

    @property
    def server(self) -> VersionedServer:
        """The server."""

    @property
    def in_flight(self) -> int:
        """Number of this gateway's open requests on the server."""

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to the server."""


BackendT = TypeVar('BackendT', bound=RolloutBackend)


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """Slots and requests of a pool by version.

    Parameters
    ----------
    new_slots, old_slots : int
        Slots of the servers that take new requests.
    open_old : int
        This gateway's open requests on servers other than the target version.

    """

    new_slots: int
    old_slots: int
    open_old: int


@dataclass
class Rollout:
    """A rollout as one gateway carries it out.

    Parameters
    ----------
    started_ms : int
        Local time of the order, as far as known.
    stage : Stage
        Stage of this gateway.  Only the store moves it to or from `closed`.
    is_rejected : bool
        Whether the version was found bad, in any stage.
    proved_ms : int or None
        When the version was accepted and the ramp began.

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
        """Return the slots and open requests by version."""
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
        """Stop sending to the new version for good.

        Explanation
        -----------
        A closed gateway keeps its stage until the store says that the order
        is rolled back, since the old servers may be stopping.
        """
        if not self.is_rejected:
            self.is_rejected = True
            self.reason = reason
        if self.stage is not Stage.closed:
            self.stage = Stage.refused

    def apply_status(self, status: Status) -> None:
        """Apply the order's status in the store."""
        if status.state is State.done:
            self.stage = Stage.closed
        elif status.state is State.rolled_back:
            self.is_rejected = True
            self.stage = Stage.refused

    def apply_step(self, step: Step) -> None:
        """Close the old version if the store's step says so."""
        if step.is_closing and self.stage is not Stage.refused:
            self.stage = Stage.closed

    def evaluate(self, now_ms: int, counts: PoolCounts) -> None:
        """Update the stage by the evidence and the servers available."""
        if self.evidence.verdict is Verdict.bad:
            self.reject('bad answers')
        if self.is_rejected or self.stage is not Stage.trial:
            return
        if not counts.old_slots and counts.new_slots:
            self.reason = 'no other version serves'
            self.stage = Stage.moved
            return
        if now_ms > self._deadline_ms and not counts.new_slots:
            self.reject('no server of the version')
        elif self.proved_ms is None and self._is_trusted(now_ms):
            self.proved_ms = now_ms
        if (
            self._has_enough_slots(counts)
            and self.traffic_share(now_ms) >= _ALL_TRAFFIC
        ):
            self.stage = Stage.moved

    def traffic_share(self, now_ms: int) -> float:
        """Return the share of requests that goes to the new version."""
        if self.stage in {Stage.moved, Stage.closed}:
            return _ALL_TRAFFIC
        if self.stage is Stage.refused or self.proved_ms is None:
            return 0
        steps = (now_ms - self.proved_ms) // _RAMP_STEP_MS
        return min(_ALL_TRAFFIC, _INITIAL_TRAFFIC_SHARE * 2**steps)

    def group_backends(
        self, backends: Sequence[BackendT], now_ms: int, draw: float | None
    ) -> tuple[list[BackendT], ...]:
        """Return the backends that may be used, grouped by preference.

        Parameters
        ----------
        draw : float or None
            Random number from 0 to 1, None for a request that must not go to
            an unproved version: a further attempt or a resumed stream.

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
        if draw is not None and self._uses_new_version(now_ms, draw):
            return (self._select_trial_backends(new, now_ms), old)
        return (old,) if old else (new,)

    def build_report(self, pool: int, counts: PoolCounts) -> Report:
        """Return the report for the other gateways."""
        return Report(
            pool,
            self.order.version,
            Stage.refused if self.is_rejected else self.stage,
            counts.open_old,
            self.evidence.own,
        )

    @property
    def _deadline_ms(self) -> int:
        return self.started_ms + self.order.duration_ms

    def _is_trusted(self, now_ms: int) -> bool:
        age_ms = now_ms - self.started_ms
        duration_ms = self.order.duration_ms
        if age_ms < duration_ms * _MIN_TRIAL_SHARE:
            return False
        if self.evidence.verdict is Verdict.good:
            return True
        is_late = age_ms >= duration_ms * _MAX_TRIAL_SHARE
        has_answered = bool(self.evidence.new_answers.answers)
        is_idle = not self.evidence.totals
        is_eligible = has_answered or is_idle
        return is_late and is_eligible and not self.evidence.is_suspect

    def _has_enough_slots(self, counts: PoolCounts) -> bool:
        return counts.new_slots >= _MIN_SLOTS_SHARE * counts.old_slots

    def _uses_new_version(self, now_ms: int, draw: float) -> bool:
        """Return True if a request goes to the new version."""
        if self.proved_ms is None:
            return self.exposure.may_expose
        return draw < self.traffic_share(now_ms)

    def _select_trial_backends(
        self, new: list[BackendT], now_ms: int
    ) -> list[BackendT]:
        """Return the new servers to use, the same few at every gateway."""
        share = max(_TRIAL_SERVERS_SHARE, self.traffic_share(now_ms))
        count = max(1, round(share * len(new)))
        available = [backend for backend in new if backend.takes_work]
        return sorted(available, key=_server_id)[:count]


def _server_id(backend: RolloutBackend) -> str:
    return backend.server.id
