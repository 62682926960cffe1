"""The order of the events of a stream, by their ids."""

from collections.abc import Iterable
from dataclasses import dataclass

# Equal steps after which a pool counts as regular again.
_REGULAR_AFTER = 1000
_ID_MAX_DIGITS = 18


@dataclass(slots=True)
class EventSteps:
    """By how much the ids of successive events differ in a pool.

    Examples
    --------
    >>> steps = EventSteps()
    >>> steps.record(2)
    >>> steps.record(2)
    >>> steps.regular_step
    2
    >>> steps.record(5)
    >>> steps.regular_step
    0

    """

    step: int = 0
    equal_count: int = 0
    has_changed: bool = False

    @property
    def regular_step(self) -> int:
        """The difference of all recent ids, 0 if they differ."""
        is_regular = self.equal_count >= _REGULAR_AFTER or not self.has_changed
        return self.step if is_regular else 0

    def record(self, step: int) -> None:
        """Record the difference of two successive ids of one run."""
        if step == self.step:
            self.equal_count += 1
            return
        self.has_changed = bool(self.step)
        self.step = step
        self.equal_count = 1


class EventOrder:
    """Checks that the ids of the events of a stream rise, over all runs.

    Explanation
    -----------
    A run that continues a stream must begin with the event after the last
    one: servers may ignore from which event they are asked to go on.  Ids
    that are not numbers have no order.

    Examples
    --------
    >>> order = EventOrder(EventSteps())
    >>> order.find_fault([b'1', b'2', b'3'])
    ''
    >>> order.begin_run()
    >>> order.find_fault([b'3', b'4'])
    'event 3 after event 3'
    >>> order.begin_run()
    >>> order.find_fault([b'5'])
    'event 5 after event 3'

    """

    def __init__(self, steps: EventSteps, last_id: bytes = b'') -> None:
        """Begin after an event, or at the start of a stream."""
        self._steps = steps
        # Callers without an event may name 0.
        self._last = _parse_number(last_id) or None
        self._is_first = True

    def begin_run(self) -> None:
        """Record that another run continues the stream."""
        self._is_first = True

    def find_fault(self, ids: Iterable[bytes]) -> str:
        """Record the ids of events; return how they break the order.

        Explanation
        -----------
        After a fault, the events are as if they had not arrived.
        """
        last, is_first = self._last, self._is_first
        for number in map(_parse_number, ids):
            if number is None:
                continue
            if last is not None and not self._follows(last, number, is_first):
                return f'event {number} after event {last}'
            last, is_first = number, False
        self._last = last
        self._is_first = is_first
        return ''

    def _follows(self, last: int, number: int, is_first: bool) -> bool:
        step = number - last
        if not is_first and step > 0:
            self._steps.record(step)
        expected = self._steps.regular_step if is_first else 0
        return step == expected if expected else step > 0


def is_later(ids: Iterable[bytes], last_id: bytes) -> bool:
    """Return True unless the first of some ids is at or before another.

    Examples
    --------
    >>> is_later([b'3', b'4'], b'3')
    False
    >>> is_later([b'a'], b'3')
    True

    """
    first = next(map(_parse_number, ids), None)
    last = _parse_number(last_id)
    return first is None or last is None or first > last


def _parse_number(text: bytes) -> int | None:
    is_number = text.isdigit() and len(text) <= _ID_MAX_DIGITS
    return int(text) if is_number else None
