"""What each rank of work leaves free for others."""

import unittest

from seampond.forwarding.headroom import Headroom
from seampond.forwarding.job import Job
from seampond.testing.gateways import build_job, build_route

_SLOTS = 10
# Not one of the names of which one in five leaves nothing free.
_NAME = 'r1'


def build_ranked(tier: int, kind: int, name: str = _NAME) -> Job:
    """Give a request of a tenant's tier and a kind of work."""
    return build_job(name, priority=tier, route=build_route(priority=kind))


class HeadroomTest(unittest.TestCase):
    """Places by rank."""

    def test_kinds_of_one_tier(self) -> None:
        """The most urgent kind leaves nothing free."""
        ranks = [(1, kind) for kind in range(3)]
        self.assertEqual(self._free(ranks), [0, 1, 2])

    def test_one_kind_leaves_nothing_free(self) -> None:
        """Whatever its rank, there is nothing more urgent."""
        self.assertEqual(self._free([(3, 2)]), [0])

    def test_tier_goes_before_kind(self) -> None:
        """Nothing leaves less free than what ranks above it."""
        ranks = [(tier, kind) for tier in (0, 1, 2) for kind in (0, 1, 2)]
        free = self._free(ranks)
        self.assertEqual(free, sorted(free))
        self.assertEqual(free[:4], [0, 0, 0, 0])

    def test_some_of_each_rank_leave_nothing_free(self) -> None:
        """No rank is starved by what ranks above it."""
        headroom = Headroom()
        headroom.record(build_ranked(1, 0))
        free = []
        for number in range(200):
            job = build_ranked(1, 2, f'r{number}')
            headroom.record(job)
            free.append(headroom.count_reserved(job, _SLOTS))
        self.assertIn(free.count(0), range(20, 60))

    def _free(self, ranks: list[tuple[int, int]]) -> list[int]:
        headroom = Headroom()
        jobs = [build_ranked(*rank) for rank in ranks]
        for job in jobs:
            headroom.record(job)
        return [headroom.count_reserved(job, _SLOTS) for job in jobs]
