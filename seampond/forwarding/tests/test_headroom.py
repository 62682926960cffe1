"""How many slots requests of each rank leave free for others."""

import unittest

from seampond.forwarding.headroom import Headroom
from seampond.forwarding.job import Job
from seampond.testing.gateways import build_job, build_route

_SLOTS = 10
# Not the id of an exempt request.
_NAME = 'r1'


def build_ranked(tier: int, kind: int, name: str = _NAME) -> Job:
    """Return a request of a tier and a route priority."""
    return build_job(name, priority=tier, route=build_route(priority=kind))


class HeadroomTest(unittest.TestCase):
    """Reserved slots by rank."""

    def test_kinds_of_one_tier(self) -> None:
        """The most urgent kind reserves nothing."""
        ranks = [(1, kind) for kind in range(3)]
        self.assertEqual(self._count_reserved(ranks), [0, 1, 2])

    def test_single_kind_reserves_nothing(self) -> None:
        """Whatever its rank, nothing is more urgent."""
        self.assertEqual(self._count_reserved([(3, 2)]), [0])

    def test_tier_ranks_above_kind(self) -> None:
        """No request reserves fewer slots than a more urgent one."""
        ranks = [(tier, kind) for tier in (0, 1, 2) for kind in (0, 1, 2)]
        reserved = self._count_reserved(ranks)
        self.assertEqual(reserved, sorted(reserved))
        self.assertEqual(reserved[:4], [0, 0, 0, 0])

    def test_some_of_each_rank_reserve_nothing(self) -> None:
        """Guards against starvation of the lower ranks."""
        headroom = Headroom()
        headroom.record(build_ranked(1, 0))
        reserved = []
        for number in range(200):
            job = build_ranked(1, 2, f'r{number}')
            headroom.record(job)
            reserved.append(headroom.count_reserved(job, _SLOTS))
        self.assertIn(reserved.count(0), range(20, 60))

    def _count_reserved(self, ranks: list[tuple[int, int]]) -> list[int]:
        headroom = Headroom()
        jobs = [build_ranked(*rank) for rank in ranks]
        for job in jobs:
            headroom.record(job)
        return [headroom.count_reserved(job, _SLOTS) for job in jobs]
