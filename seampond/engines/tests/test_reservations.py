"""Reservations: order, eviction, floor."""

import unittest

from seampond.engines.entries import EntryPeer
from seampond.engines.reservations import Reservation, Reservations
from seampond.errors import PromiseError
from seampond.testing.builders import (
    FakeLink,
    build_promises,
    build_reserve,
)

HOLD_MS = 1000


def reservation(
    request_id: str, tier: int = 3, deadline_ms: int = 1000
) -> Reservation:
    entry = EntryPeer('entry-1', 'i', FakeLink())  # type: ignore[arg-type]
    reserve = build_reserve(request_id, tier=tier)
    return Reservation(entry, reserve, deadline_ms)


class ReservationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.held = Reservations(2, HOLD_MS, build_promises())

    def test_tier_goes_before_deadline(self) -> None:
        self.held.add(reservation('late-high', 1, 9000), 0)
        self.held.add(reservation('soon-low', 5, 10), 0)
        best = self.held.pop_best()
        assert best is not None
        self.assertEqual(best.id, 'late-high')

    def test_the_earlier_deadline_goes_first_within_a_tier(self) -> None:
        self.held.add(reservation('later', 3, 900), 0)
        self.held.add(reservation('sooner', 3, 100), 0)
        best = self.held.pop_best()
        assert best is not None
        self.assertEqual(best.id, 'sooner')

    def test_a_full_queue_turns_the_lowest_away(self) -> None:
        for tier in (4, 2):
            self.held.add(reservation(f't{tier}', tier), 0)
        turned = self.held.add(reservation('t1', 1), 0)
        assert turned is not None
        self.assertEqual(turned.id, 't4')

    def test_a_low_newcomer_is_itself_turned_away(self) -> None:
        for tier in (1, 2):
            self.held.add(reservation(f't{tier}', tier), 0)
        turned = self.held.add(reservation('t5', 5), 0)
        assert turned is not None
        self.assertEqual(turned.id, 't5')

    def test_nothing_below_a_turned_away_tier_enters_for_a_while(self) -> None:
        for number in range(3):
            self.held.add(reservation(f'r{number}', 3), 0)
        self.held.pop_best()
        lower = reservation('low', 4)
        self.assertIs(self.held.add(lower, HOLD_MS - 1), lower)
        self.assertIsNone(self.held.add(reservation('same', 3), 10))
        self.held.pop_best()
        self.assertIsNone(self.held.add(lower, HOLD_MS))

    def test_the_same_request_is_held_once(self) -> None:
        self.held.add(reservation('r1', 3, 100), 0)
        self.held.add(reservation('r1', 3, 200), 0)
        self.assertEqual(len(self.held), 1)
        self.held.pop_best()
        self.assertIsNone(self.held.pop_best())

    def test_turning_a_higher_tier_away_is_a_broken_promise(self) -> None:
        low, high = reservation('low', 5), reservation('high', 1)
        self.held._by_order[low.order] = low
        self.held._by_order[9, 0, 'high'] = high
        self.held._by_id.update({'low': low, 'high': high})
        with self.assertRaises(PromiseError):
            self.held._turn_last_away(0)
