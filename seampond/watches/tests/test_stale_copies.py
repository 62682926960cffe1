"""Tests of copies that must stay complete whatever call hangs or fails."""

import logging
import unittest

from seampond.testing.table_fleet import draw_plan, play
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

    def test_large_versions_after_a_cut_shorter_than_timeouts(self) -> None:
        """No probe fails, and the call that the cut orphaned stays open."""
        cuts = [
            narrow.Cut(1, 3775, 819, refuses=False),
            narrow.Cut(0, 9468, 9277, refuses=False),
            narrow.Cut(0, 19_019, 1538, refuses=False),
        ]
        self.assertEqual(narrow.play(24, cuts, 400, 100_000), [])
