"""Limit on the memory of all answers that servers have not completed."""

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from seampond.clock import Clock
from seampond.forwarding.response_head import Cut, ExchangeError

# Python objects that stand for one header.
_FIELD_BYTES = 160


class AnswerHolder(Protocol):
    """Something that holds a part of an answer.

    Attributes
    ----------
    peer : str
        Address of the server that sent it.

    """

    peer: str

    @property
    def held_bytes(self) -> int:
        """What it holds."""

    def give_way(self) -> None:
        """Give back all that it holds; its answer is lost."""


@dataclass(slots=True)
class _Holding:
    """What is counted for a holder, and since when."""

    held_bytes: int
    since_ms: int


class AnswerMemory:
    """What the answers of all servers hold together.

    Explanation
    -----------
    Answers are held until they can be passed on: a body until it is complete,
    a stream until the end of an event.  A server in trouble may send many
    answers without an end, each within the limits of one answer.  When memory
    is short, an answer of the server whose answers hold most gives way, the one
    that has used most memory for the longest time.  So a server whose answers
    end soon does not suffer from another one.

    Parameters
    ----------
    max_bytes : int
        Most that all may hold together.  A single answer may hold more.

    Examples
    --------
    >>> memory = AnswerMemory(100, Clock(lambda: 0))
    >>> memory.held_bytes
    0

    """

    def __init__(self, max_bytes: int, clock: Clock) -> None:
        """Start without answers."""
        self.max_bytes = max_bytes
        self._clock = clock
        self._held_bytes = 0
        self._holdings: dict[AnswerHolder, _Holding] = {}

    @property
    def held_bytes(self) -> int:
        """What all answers hold together."""
        return self._held_bytes

    def update(self, holder: AnswerHolder) -> None:
        """Count what a holder holds now; make room if it is too much."""
        held_bytes = holder.held_bytes
        if not held_bytes:
            self.remove(holder)
            return
        holding = self._holdings.get(holder)
        if holding is None:
            holding = _Holding(0, self._clock.now())
            self._holdings[holder] = holding
        self._held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        while self._held_bytes > self.max_bytes and len(self._holdings) > 1:
            longest = self._find_longest_use()
            self.remove(longest)
            longest.give_way()

    def remove(self, holder: AnswerHolder) -> None:
        """Stop counting a holder."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._held_bytes -= holding.held_bytes

    def _find_longest_use(self) -> AnswerHolder:
        """Return the holder that gives way."""
        by_peer: Counter[str] = Counter()
        for other, holding in self._holdings.items():
            by_peer[other.peer] += holding.held_bytes
        peer = max(by_peer, key=by_peer.__getitem__)
        return max(
            filter(lambda holder: holder.peer == peer, self._holdings),
            key=self._compute_use,
        )

    def _compute_use(self, holder: AnswerHolder) -> int:
        """Return the memory of a holder times how long it was used."""
        holding = self._holdings[holder]
        age_ms = self._clock.now() - holding.since_ms
        return holding.held_bytes * (1 + age_ms)


def make_unlimited_memory(clock: Clock) -> AnswerMemory:
    """Return a memory without a limit."""
    return AnswerMemory(sys.maxsize, clock)


class AnswerBuffer:
    """What one connection and its reader hold of an answer.

    Parameters
    ----------
    peer : str
        Address of the server.
    on_give_way : Callable[[], None]
        Called when the answer gives way to others.

    Attributes
    ----------
    received : bytearray
        What was received of the body and is not read yet.
    framing_bytes : int
        What was received since the last byte of the body.
    field_count : int
        Number of headers and trailers.

    """

    def __init__(
        self, peer: str, memory: AnswerMemory, on_give_way: Callable[[], None]
    ) -> None:
        """Start without an answer."""
        self.peer = peer
        self.received = bytearray()
        self.framing_bytes = 0
        self.field_count = 0
        self._memory = memory
        self._on_give_way = on_give_way
        self._field_bytes = 0
        self._retained_bytes = 0
        self._has_given_way = False

    @property
    def held_bytes(self) -> int:
        """What is held of the answer."""
        return (
            len(self.received)
            + self.framing_bytes
            + self._field_bytes
            + self._retained_bytes
        )

    def count_field(self, name: bytes, text: bytes) -> None:
        """Count a header or trailer."""
        self.field_count += 1
        self._field_bytes += len(name) + len(text) + _FIELD_BYTES

    def clear_fields(self) -> None:
        """Count the headers of another head."""
        self.field_count = 0
        self._field_bytes = 0

    def take(self) -> bytes:
        """Remove and return what was received of the body."""
        chunk = bytes(self.received)
        self.received.clear()
        return chunk

    def retain(self, size: int) -> None:
        """Count what the reader keeps of what it has taken."""
        self._retained_bytes = size
        self.update()

    def update(self) -> None:
        """Count what is held now."""
        self._memory.update(self)

    def check(self, step: str) -> None:
        """Check that the answer has not given way to others.

        Raises
        ------
        ExchangeError
            If it has.

        """
        if self._has_given_way:
            raise ExchangeError(
                'answer gave way to others, memory is short',
                step=step,
                peer=self.peer,
                cut=Cut.no_memory,
            )

    def give_way(self) -> None:
        """Give up the answer, since memory is short."""
        self.clear()
        self._has_given_way = True
        self._on_give_way()

    def clear(self) -> None:
        """Give back what is held; another answer may follow."""
        self.received = bytearray()
        self.framing_bytes = 0
        self.clear_fields()
        self._retained_bytes = 0
        self._has_given_way = False
        self._memory.remove(self)
