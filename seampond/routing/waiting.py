"""The requests that wait in an entry; the lowest tier is shed first."""

from collections import deque
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.promises import Promises, Rule
from seampond.requests import Ticket

_WINDOW_MS = 10_000
_MIN_RETRY_MS = 1000
_MAX_RETRY_MS = 30_000


class DepartureRate:
    """How fast requests got a grant lately."""

    def __init__(self, clock: Clock) -> None:
        """Start with no departures."""
        self._clock = clock
        self._departures: deque[int] = deque()

    @property
    def per_ms(self) -> float:
        """Departures for each millisecond of the last ten seconds."""
        horizon = self._clock.now() - _WINDOW_MS
        while self._departures and self._departures[0] < horizon:
            self._departures.popleft()
        return len(self._departures) / _WINDOW_MS

    def note(self) -> None:
        """One request got its grant."""
        self._departures.append(self._clock.now())

    def time_for(self, count: int) -> int:
        """Give the time in which `count` requests leave, 1 s to 30 s."""
        rate = self.per_ms
        if not rate:
            return _MIN_RETRY_MS
        return max(_MIN_RETRY_MS, min(_MAX_RETRY_MS, round(count / rate)))


@dataclass(frozen=True, slots=True)
class RoomSize:
    """How many requests may wait, and how many bytes of bodies."""

    requests: int
    body_bytes: int


class WaitingRoom:
    """Holds the requests that wait, up to a size.

    Explanation
    -----------
    Where the newcomer does not fit, the newest requests of the lowest tier
    leave until it does; a newcomer of that tier or a lower one is not let
    in.
    """

    def __init__(self, size: RoomSize, promises: Promises) -> None:
        """Start empty."""
        self._size = size
        self._promises = promises
        self._by_tier: dict[int, dict[str, Ticket]] = {}
        self._count = 0
        self._bytes = 0

    def __len__(self) -> int:
        """Give the number of waiting requests."""
        return self._count

    @property
    def body_bytes(self) -> int:
        """Bytes of the waiting bodies."""
        return self._bytes

    @property
    def lowest_tier(self) -> int:
        """The lowest tier that waits; 0 if none does."""
        return max(
            (tier for tier, held in self._by_tier.items() if held), default=0
        )

    def enter(self, ticket: Ticket) -> list[Ticket]:
        """Let `ticket` in; give those to shed, which may be itself."""
        victims = []
        while not self._has_room_for(ticket):
            victims.append(self._shed(ticket))
            if victims[-1] is ticket:
                return victims
        held = self._by_tier.setdefault(ticket.work.tier, {})
        held[ticket.id] = ticket
        self._count += 1
        self._bytes += len(ticket.work.body)
        return victims

    def leave(self, ticket: Ticket) -> None:
        """Take `ticket` out, if it is in."""
        held = self._by_tier.get(ticket.work.tier, {})
        if held.pop(ticket.id, None):
            self._count -= 1
            self._bytes -= len(ticket.work.body)

    def _has_room_for(self, ticket: Ticket) -> bool:
        if self._count == 0:
            return True
        wanted = self._bytes + len(ticket.work.body)
        fits = wanted <= self._size.body_bytes
        return fits and self._count < self._size.requests

    def _shed(self, newcomer: Ticket) -> Ticket:
        victim = self._pick_victim(newcomer)
        self._promises.check(
            Rule.shed_order,
            victim.work.tier >= max(self.lowest_tier, newcomer.work.tier),
            step='shed',
        )
        self.leave(victim)
        return victim

    def _pick_victim(self, newcomer: Ticket) -> Ticket:
        tier = self.lowest_tier
        if newcomer.work.tier >= tier:
            return newcomer
        newest = next(reversed(self._by_tier[tier]))
        return self._by_tier[tier][newest]
