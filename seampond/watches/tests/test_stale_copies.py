"""Tests of copies that must stay complete whatever call hangs or fails."""

import logging
import unittest
from dataclasses import replace

from seampond.testing.fleet_draws import (
    draw_absence,
    draw_lost_calls,
    draw_outages,
)
from seampond.testing.table_fleet import Disturbance, Plan, draw_plan, play
from seampond.watches.tests import test_narrow_links as narrow

_DRAWN_SEEDS = 250
# Seeds beyond the drawn ones that have shown an overdue copy.
_FAILED_SEEDS = (
    *(265, 267, 271, 299, 303, 307, 314, 321, 324, 330, 333, 349, 351),
    *(367, 370, 376, 382, 386, 413, 432, 464, 484, 486, 500, 503, 511),
    *(515, 534, 541, 545, 565, 571, 578, 580, 595, 603, 604, 610, 613),
    *(615, 617, 619, 635, 644, 650, 653, 666, 669, 680, 684, 700, 707),
    *(747, 766, 770, 771, 777, 794, 796, 805, 830, 884, 894, 1083, 1332),
    *(1375,),
)
_ABSENCE_SEEDS = (*range(20), 41, 74, 182, 501)
_OUTAGE_SEEDS = (*range(12), 1223)
_LOST_CALL_SEEDS = (
    *range(20),
    *(24, 50, 75, 84, 103, 116, 118, 130, 136, 142, 161, 166, 193),
    *(195, 196, 209, 243, 247, 289, 293, 297),
)
_SILENCE_LENGTHS_MS = range(5500, 7400, 60)


class StaleCopiesTest(unittest.TestCase):
    """Fleets on virtual time in which links fail and processes are alone."""

    def setUp(self) -> None:
        """Drop the log of the simulated failures, which is long."""
        logger = logging.getLogger('seampond.watches')
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.ERROR)

    def test_drawn_disturbances(self) -> None:
        """Short and long cuts in series, lost answers, lagging reads."""
        for seed in range(_DRAWN_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play(draw_plan(seed), seed).late, [])

    def test_seeds_that_have_failed(self) -> None:
        """A seed that showed an overdue copy once must not do so again."""
        for seed in _FAILED_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(draw_plan(seed), seed).late, [])

    def test_call_made_in_the_last_moments_of_a_silence(self) -> None:
        """It times out long after the path is back, with many changes due."""
        for length_ms in _SILENCE_LENGTHS_MS:
            cuts = [
                Disturbance('cut', 3000, length_ms, number)
                for number in range(2)
            ]
            alone = Disturbance('alone', 500, 31_000)
            plan = Plan(400, 100_000, 625, 3000, (*cuts, alone), members=2)
            with self.subTest(length_ms=length_ms):
                self.assertEqual(play(plan, 1).late, [])

    def test_changes_too_long_for_a_call_after_an_absence(self) -> None:
        """A process that hears no others does not know what it lacks."""
        for seed in _ABSENCE_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(draw_absence(seed), seed).late, [])

    def test_store_silent_to_all(self) -> None:
        """Nobody tells a process that its copy is old."""
        for seed in _OUTAGE_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(draw_outages(seed), seed).late, [])

    def test_single_lost_calls(self) -> None:
        """One call that goes unanswered must not make a copy overdue."""
        for seed in _LOST_CALL_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(draw_lost_calls(seed), seed).late, [])

    def test_many_processes_of_which_the_first_are_cut_off(self) -> None:
        """The others wait for those before them, but not for too long."""
        plan = replace(draw_outages(0), members=100)
        self.assertEqual(play(plan, 0).late, [])

    def test_large_versions_after_a_cut_shorter_than_timeouts(self) -> None:
        """No probe fails, and the call that the cut orphaned stays open."""
        cuts = [
            narrow.Cut(1, 3775, 819, refuses=False),
            narrow.Cut(0, 9468, 9277, refuses=False),
            narrow.Cut(0, 19_019, 1538, refuses=False),
        ]
        self.assertEqual(narrow.play(24, cuts, 400, 100_000), [])
