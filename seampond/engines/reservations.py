"""The reservations an agent holds, best first."""

from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from seampond.engines.entries import EntryPeer
from seampond.links.messages import Reserve
from seampond.promises import Promises, Rule
from seampond.templates.models import LOWEST_TIER

OrderKey = tuple[int, int, str]


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request that an entry would like to run here."""

    entry: EntryPeer
    reserve: Reserve
    deadline_ms: int

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.reserve.id

    @property
    def order(self) -> OrderKey:
        """Tier first, then the earliest deadline."""
        return self.reserve.tier, self.deadline_ms, self.id


@dataclass(slots=True)
class Floor:
    """The lowest tier admitted until a moment; tiers below are refused."""

    tier: int = LOWEST_TIER
    until_ms: int = 0

    def current(self, now_ms: int) -> int:
        """Give the lowest tier admitted now."""
        return self.tier if now_ms < self.until_ms else LOWEST_TIER

    def raise_to(self, tier: int, now_ms: int, hold_ms: int) -> None:
        """Refuse everything below `tier` for the hold-down time."""
        self.tier = min(tier, self.current(now_ms))
        self.until_ms = now_ms + hold_ms


@dataclass
class Reservations:
    """Reservations in order, `size` at most; the lowest leaves first.

    Explanation
    -----------
    A full queue turns the last in order away, whether it was held or is
    the newcomer, and admits nothing below that tier for the hold-down
    time, so that what was turned away is never followed by lower work.
    """

    size: int
    hold_ms: int
    promises: Promises
    floor: Floor = field(default_factory=Floor)
    _by_order: 'SortedDict[OrderKey, Reservation]' = field(
        default_factory=SortedDict
    )
    _by_id: dict[str, Reservation] = field(default_factory=dict)

    def __len__(self) -> int:
        """Give the number held."""
        return len(self._by_id)

    def add(self, newcomer: Reservation, now_ms: int) -> Reservation | None:
        """Hold `newcomer`; give the one turned away for it, if any."""
        if newcomer.reserve.tier > self.floor.current(now_ms):
            return newcomer
        self.remove(newcomer.id)
        self._by_order[newcomer.order] = newcomer
        self._by_id[newcomer.id] = newcomer
        if len(self._by_id) <= self.size:
            return None
        return self._turn_last_away(now_ms)

    def remove(self, request_id: str) -> Reservation | None:
        """Take a reservation out; None if it is not held."""
        held = self._by_id.pop(request_id, None)
        if held:
            self._by_order.pop(held.order)
        return held

    def pop_best(self) -> Reservation | None:
        """Take the first in order out."""
        if not self._by_order:
            return None
        _, best = self._by_order.popitem(0)
        self._by_id.pop(best.id)
        return best

    def take_all(self, entry: EntryPeer | None = None) -> list[Reservation]:
        """Take out all, or all of one entry."""
        taken = [
            held
            for held in self._by_id.values()
            if entry is None or held.entry is entry
        ]
        for held in taken:
            self.remove(held.id)
        return taken

    def _turn_last_away(self, now_ms: int) -> Reservation:
        _, last = self._by_order.popitem()
        self._by_id.pop(last.id)
        lowest_kept = self._by_order.peekitem()[1].reserve.tier
        self.promises.check(
            Rule.shed_order,
            last.reserve.tier >= lowest_kept,
            step='turn away',
            peer=last.entry.name,
        )
        self.floor.raise_to(last.reserve.tier, now_ms, self.hold_ms)
        return last
