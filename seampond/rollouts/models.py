"""Data model of rollouts: orders, their states and gateways' reports."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@enum.unique
class State(enum.Enum):
    """State of an order in the store; the last two are final."""

    running = 'running'
    done = 'done'
    rolled_back = 'rolled-back'

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self is not State.running


@enum.unique
class Stage(enum.IntEnum):
    """Stage of an order at one gateway.

    Explanation
    -----------
    In `trial` a small share of requests goes to the new version, and a growing
    one after the version is proved.  In `moved` the new version is preferred.
    In `closed`, which the store decides, nothing is sent to the old version
    unless the order is rolled back.  In `refused` nothing is sent to the new
    version.
    """

    trial = 1
    moved = 2
    closed = 3
    refused = 4


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a pool's traffic to another version.

    Parameters
    ----------
    version : int
        The store's version of the row; each write is a new order.
    target : str
        The software version that receives the traffic.

    """

    pool: str
    target: str
    duration_ms: int
    version: int


@dataclass(frozen=True, slots=True)
class Status:
    """The store's row on the state of an order."""

    state: State
    target: str
    version: int


@dataclass(frozen=True, slots=True)
class Step:
    """The store's row on the progress of an order.

    Parameters
    ----------
    order : int
        Version of the order.
    is_closing : bool
        Whether gateways no longer send to the old version.
    since_ms : int
        When the order was first seen, on the store's monotonic clock.
    version : int
        The store's version of the row.

    """

    order: int
    is_closing: bool
    since_ms: int
    version: int


@dataclass(slots=True)
class Tally:
    """Number of answers of one version on one route, and of bad ones."""

    answers: int = 0
    bad: int = 0

    def add(self, other: 'Tally') -> None:
        """Add another tally."""
        self.answers += other.answers
        self.bad += other.bad

    def since(self, earlier: 'Tally') -> 'Tally':
        """Return the increase since an earlier tally, at least 0."""
        return Tally(
            max(0, self.answers - earlier.answers),
            max(0, self.bad - earlier.bad),
        )


@dataclass(frozen=True, slots=True)
class TallyKey:
    """Key of a tally: the route's key, and whether the version is new."""

    route: int
    is_new: bool


@dataclass(frozen=True, slots=True)
class Report:
    """A gateway's report on an order.

    Parameters
    ----------
    pool : int
        Key of the pool.
    order : int
        Version of the order.
    open_old : int
        The gateway's open requests on servers of the old version.
    tallies : Mapping[TallyKey, Tally]
        Counts of the gateway's incarnation.

    """

    pool: int
    order: int
    stage: Stage
    open_old: int = 0
    tallies: Mapping[TallyKey, Tally] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """A conditional write to the store.

    Parameters
    ----------
    pool : str
        Pool of the rollout.
    target : str
        Target version of the order.
    order_version, status_version, step_version : int
        Expected versions of the rows, 0 for no row.
    state : State or None
        State to write, None to keep it.
    step : Step or None
        Step to write, None to keep it.
    reason : str
        Reason for the log.

    """

    pool: str
    target: str
    order_version: int
    status_version: int
    step_version: int
    reason: str
    state: State | None = None
    step: Step | None = None
