"""What is known of a roll-out: the order, its state, what gateways report."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@enum.unique
class State(enum.Enum):
    """What the store says of an order; the last two are final."""

    running = 'running'
    done = 'done'
    rolled_back = 'rolled-back'

    @property
    def is_final(self) -> bool:
        """Whether it never changes again."""
        return self is not State.running


@enum.unique
class Stage(enum.IntEnum):
    """How far one gateway has come with an order.

    Explanation
    -----------
    In `trial` a small part of its requests goes to the new version, and once
    that is proved more and more.  In `moved` all go there that find a place.
    In `closed`, which it enters when the store says so, it never sends to the
    old version again, unless the store says that the order is rolled back.
    In `refused` it sends nothing to the new version.
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
        The store's version of the row; each write of it is another order.
    target : str
        The version of the servers' software that is to take the traffic.

    """

    pool: str
    target: str
    duration_ms: int
    version: int


@dataclass(frozen=True, slots=True)
class Status:
    """What the store says of the order for a target."""

    state: State
    target: str
    version: int


@dataclass(frozen=True, slots=True)
class Step:
    """What the gateways have agreed on beside the status.

    Parameters
    ----------
    order : int
        The version of the order that it belongs to.
    is_closing : bool
        Whether nobody sends to the old version any more.
    since_ms : int
        The store's steady clock when the order was first seen.
    version : int
        The store's version of the row.

    """

    order: int
    is_closing: bool
    since_ms: int
    version: int


@dataclass(slots=True)
class Tally:
    """Answers of one version on one route, and the bad among them."""

    answers: int = 0
    bad: int = 0

    def add(self, other: 'Tally') -> None:
        """Count others too."""
        self.answers += other.answers
        self.bad += other.bad

    def since(self, before: 'Tally') -> 'Tally':
        """Give what has come since an earlier count, never less than none."""
        return Tally(
            max(0, self.answers - before.answers), max(0, self.bad - before.bad)
        )


@dataclass(frozen=True, slots=True)
class TallyKey:
    """The route, by its key, and whether the new version answered."""

    route: int
    is_new: bool


@dataclass(frozen=True, slots=True)
class Report:
    """What one gateway tells the others of an order.

    Parameters
    ----------
    pool : int
        The key of the pool.
    order : int
        The version of the order.
    open_old : int
        Its requests that are at work on servers of the old version.
    tallies : Mapping[TallyKey, Tally]
        What it has counted in this life.

    """

    pool: int
    order: int
    stage: Stage
    open_old: int = 0
    tallies: Mapping[TallyKey, Tally] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """A write to the store, made only if nothing it rests on has changed.

    Parameters
    ----------
    pool : str
        Whose roll-out it is.
    target : str
        The version that the order names.
    order_version, status_version, step_version : int
        The rows' versions that the decision rests on, 0 for no row.
    state : State or None
        The state to write, None to leave it.
    step : Step or None
        The step to write, None to leave it.
    reason : str
        Why, for the log.

    """

    pool: str
    target: str
    order_version: int
    status_version: int
    step_version: int
    reason: str
    state: State | None = None
    step: Step | None = None
