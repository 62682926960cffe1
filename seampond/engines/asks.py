"""The asks whose answer has not come."""

from dataclasses import dataclass

from seampond.engines.entries import EntryPeer
from seampond.engines.memory import TimedSet
from seampond.engines.reservations import Reservation
from seampond.engines.slots import Slots
from seampond.links.messages import About, Ask, Grant


@dataclass(frozen=True, slots=True)
class OpenAsk:
    """A reservation that we asked for, and when."""

    reservation: Reservation
    asked_ms: int


class Asks:
    """Open asks; each holds a slot until its answer or its end.

    Explanation
    -----------
    An entry answers each ask that it reads, with a grant or a denial.  An
    ask that has expired holds no slot any more, but its grant may still
    come: an agent that ends before leaves the request in doubt.

    Parameters
    ----------
    lifetime_ms : int
        A grant that comes later than this is refused.
    absence_ms : int
        How long an entry whose link ended may take to return.

    """

    def __init__(self, slots: Slots, lifetime_ms: int, absence_ms: int) -> None:
        """Start with none."""
        self._slots = slots
        self._lifetime_ms = lifetime_ms
        self._open: dict[str, OpenAsk] = {}
        self._expired: dict[tuple[str, int], OpenAsk] = {}
        self._absent = TimedSet(absence_ms)

    def are_answered(self, now_ms: int) -> bool:
        """Whether no grant can be on its way any more."""
        self._absent.tidy(now_ms)
        return not (self._open or self._expired or self._absent)

    def send(self, reservation: Reservation, now_ms: int) -> None:
        """Ask the entry for the request."""
        self._open[reservation.id] = OpenAsk(reservation, now_ms)
        self._slots.asked += 1
        attempt = reservation.reserve.attempt
        reservation.entry.send(Ask(reservation.id, attempt))

    def note_answer(self, about: About) -> OpenAsk | None:
        """End the ask that a grant or a denial answers; None without one."""
        self._expired.pop((about.id, about.attempt), None)
        return self._drop(about.id)

    def drop_expired(self, now_ms: int) -> None:
        """Free the slots of the asks that are too old."""
        for ask in list(self._open.values()):
            if self._is_expired(ask, now_ms):
                reservation = ask.reservation
                self._drop(reservation.id)
                key = (reservation.id, reservation.reserve.attempt)
                self._expired[key] = ask

    def drop_all_of(self, entry: EntryPeer, now_ms: int) -> None:
        """End the asks of an entry whose link ended."""
        asks = [*self._open.values(), *self._expired.values()]
        if any(ask.reservation.entry is entry for ask in asks):
            self._absent.add(entry.name, now_ms)
        for ask in asks:
            if ask.reservation.entry is entry:
                reservation = ask.reservation
                self._drop(reservation.id)
                key = (reservation.id, reservation.reserve.attempt)
                self._expired.pop(key, None)

    def note_return(self, entry: EntryPeer) -> None:
        """An entry has a new link and has said what it resumes."""
        self._absent.discard(entry.name)

    def take_for(self, grant: Grant, now_ms: int) -> Reservation | None:
        """End the ask that `grant` answers; None if it is not valid.

        Explanation
        -----------
        Between ask and grant this process may have been frozen, so the
        age of the ask is checked by our own clock.
        """
        ask = self.note_answer(grant)
        if ask is None or self._is_expired(ask, now_ms):
            return None
        if ask.reservation.reserve.attempt != grant.attempt:
            return None
        return ask.reservation

    def _drop(self, request_id: str) -> OpenAsk | None:
        ask = self._open.pop(request_id, None)
        if ask:
            self._slots.asked -= 1
        return ask

    def _is_expired(self, ask: OpenAsk, now_ms: int) -> bool:
        return now_ms - ask.asked_ms > self._lifetime_ms
