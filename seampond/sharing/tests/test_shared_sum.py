"""The shared sum of a quota under loss, delay, doubling, restart, freeze."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.sharing.tests.test_quotas import _WINDOW_S, Fleet

_SLACK = 4000.0
_NUMBERS = st.integers(0, 4)
_EVENTS = st.tuples(
    st.sampled_from(('lose', 'delay', 'double', 'restart', 'freeze', 'none')),
    _NUMBERS,
    # How many beats it lasts, and how many requests come to each meanwhile.
    st.integers(1, 6),
    st.integers(0, 30),
    st.floats(5, 400),
)


class Trouble(Fleet):
    """A fleet whose heartbeats go astray."""

    def __init__(self, count: int) -> None:
        """Start with no trouble."""
        super().__init__(count, _SLACK)
        self.kind = 'none'
        self.name = ''
        self._held: list[tuple[str, str]] = []

    def tell(self, name: str, other: str) -> None:
        """Lose, hold back or double what one gateway says or hears."""
        is_struck = self.name in {name, other} and self.kind != 'none'
        if not is_struck or self.kind == 'restart':
            super().tell(name, other)
        elif self.kind == 'delay':
            self._held.append((name, other))
        elif self.kind == 'double':
            super().tell(name, other)
            super().tell(name, other)

    def strike(self, kind: str, number: int) -> None:
        """Let a trouble begin; what was held back comes now, out of order."""
        held = tuple(reversed(self._held))
        self._held.clear()
        self.kind = 'none'
        for name, other in held:
            self.tell(name, other)
        self.kind = kind
        self.name = self.names[number % len(self.names)]
        if kind == 'restart':
            self.restart(self.name)

    def ask_awake(self, asks: int, units: float) -> None:
        """Send each request to each gateway that is not frozen."""
        for name in self.names:
            if self.kind != 'freeze' or name != self.name:
                for _ in range(asks):
                    self.ask(name, units)


class SharedSumTest(unittest.TestCase):
    """The sum in any window, whatever happens to one gateway after another."""

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(st.integers(2, 5), st.lists(_EVENTS, min_size=4, max_size=14))
    def test_sum_stays_inside(
        self, count: int, events: list[tuple[str, int, int, int, float]]
    ) -> None:
        """What is given never exceeds what the bound allows."""
        fleet = Trouble(count)
        for kind, number, beats, asks, units in events:
            fleet.strike(kind, number)
            for _ in range(beats):
                fleet.beat()
                fleet.ask_awake(asks, units)
        if fleet.given:
            most = fleet.most_in(_WINDOW_S * 1000)
            self.assertLessEqual(most, fleet.allowed)
