"""What an answer's speed says of a version.

A good version was rolled back on a busy machine: `stage of a roll-out:
refused, bad answers`, while all its answers were 200.  Six of them in a row
were seen after 41 to 63 ms, where nine in ten of the old version's took 20 ms
at the most, on a route whose callers expect an answer within 1 s.
"""

import unittest
from dataclasses import replace

from seampond.clock import ManualClock
from seampond.forwarding.backend import Backend
from seampond.forwarding.models import RequestKind, Route
from seampond.forwarding.progress import AttemptRecord, Outcome
from seampond.gateway.version_policy import RolloutVersionPolicy
from seampond.rollouts import RolloutManager
from seampond.rollouts.manager import ExposureLimits
from seampond.rollouts.models import Tally
from seampond.sharing import hash_name
from seampond.testing.gateways import (
    POOL,
    build_backends,
    build_job,
    build_route,
    build_server,
    pick,
)
from seampond.testing.rollouts import NEW, OLD, build_order, build_stub_backends

_USUAL_MS = 20
_SEEN_MS = (63, 63, 58, 44, 62, 62)
_LATE_SEEN_MS = (140, 180, 200, 220, 240, 250, 260, 260)


class LivesTest(unittest.TestCase):
    """A server of the old version that starts again, while it has work."""

    def count_open(self, version: str) -> int:
        """Give the open work on the old version after the start."""
        clock = ManualClock(1000)
        first = build_server('i-1', version=OLD, started_ms=100)
        other = build_server('i-2', version=NEW, started_ms=100)
        backends = build_backends([first, other], clock)
        rollouts = RolloutManager(
            ExposureLimits(0.1, 50),
            lambda: 1,
            backends.all_in_pool,
            lambda pool: True,
            list,
            hash_name,
        )
        rollouts.apply_orders([build_order()], [], 1000, is_start=False)
        earlier = pick(backends, 'i-1')
        earlier.record_dispatch()
        self.assertEqual(rollouts.count_open_old(POOL), 1)
        later = replace(first, version=version, started_ms=200)
        backends.update([later], [])
        earlier.record_release()
        return rollouts.count_open_old(POOL)

    def test_work_of_an_earlier_life_is_not_open(self) -> None:
        """It ended with that life, whatever the version of the next."""
        for version in (OLD, NEW):
            self.assertEqual(self.count_open(version), 0)


class VersionsTest(unittest.TestCase):
    """A new version beside an old one that takes 20 ms."""

    def setUp(self) -> None:
        """Know no answer yet."""
        self.clock = ManualClock(1000)
        backends = build_stub_backends()
        rollouts = RolloutManager(
            ExposureLimits(0.1, 50),
            lambda: 1,
            lambda pool: backends,
            lambda pool: True,
            list,
            hash_name,
        )
        self.versions = RolloutVersionPolicy(rollouts, self.clock)

    def answer(self, route: Route, version: str, took_ms: int) -> None:
        """Note a whole answer that has just come."""
        backend = Backend(build_server('i-1', version=version))
        record = AttemptRecord(
            'i-1', 0, 1, _USUAL_MS, took_ms, duration_ms=took_ms
        )
        record.outcome = Outcome.complete.value
        job = build_job(route=route, pool=POOL)
        self.versions.record_attempt(job, backend, record)

    def count_bad(self, route: Route, *seen_ms: int) -> int:
        """Give how many answers of the new version were taken for bad."""
        for _ in range(40):
            self.answer(route, OLD, _USUAL_MS)
        rollouts = self.versions.manager
        rollouts.apply_orders([build_order()], [], 1000, is_start=False)
        for took_ms in seen_ms:
            self.answer(route, NEW, took_ms)
        told: Tally = rollouts.running[0].evidence.new_answers
        return told.bad

    def test_a_little_longer_is_not_slow(self) -> None:
        """Callers who expect an answer within 1 s do not notice."""
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, *_SEEN_MS), 0)

    def test_process_that_did_not_run_saw_it_late(self) -> None:
        """In one burst eight of ten answers were the new version's."""
        self.versions.stalls.record(740, 980)
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, *_LATE_SEEN_MS), 0)

    def test_slow_beyond_what_was_seen_late(self) -> None:
        """What is left is several times as long as usual."""
        self.versions.stalls.record(900, 980)
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, 260, 200, 180), 3)

    def test_much_longer_is_slow(self) -> None:
        """Four times as long, and more than callers take for the same."""
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, 80, 80, 80), 3)

    def test_who_is_in_a_hurry_notices_sooner(self) -> None:
        """The same answers, on a route with a target of 120 ms."""
        route = build_route(target_ms=120)
        self.assertEqual(self.count_bad(route, *_SEEN_MS), len(_SEEN_MS))

    def test_the_first_event_counts_likewise(self) -> None:
        """Where a stream has too few events to tell the time between them."""
        route = build_route(target_ms=1000, kind=RequestKind.stream)
        self.assertEqual(self.count_bad(route, *_SEEN_MS), 0)
