"""Tests of the evidence that answers give about a server version.

A good version must not be rolled back for slowdowns that callers do not notice
or that stalls of the gateway's own process cause.
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
    get_backend,
)
from seampond.testing.rollouts import NEW, OLD, build_order, build_stub_backends

_USUAL_MS = 20
_OBSERVED_MS = (63, 63, 58, 44, 62, 62)
_DELAYED_MS = (140, 180, 200, 220, 240, 250, 260, 260)


class IncarnationTest(unittest.TestCase):
    """A server of the old version that restarts while it has work."""

    def count_open(self, version: str) -> int:
        """Return the open work on the old version after the restart."""
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
        earlier = get_backend(backends, 'i-1')
        earlier.record_dispatch()
        self.assertEqual(rollouts.count_open_old(POOL), 1)
        later = replace(first, version=version, started_ms=200)
        backends.update([later], [])
        earlier.record_release()
        return rollouts.count_open_old(POOL)

    def test_work_of_an_earlier_incarnation_is_not_open(self) -> None:
        """Whatever the version of the next incarnation."""
        for version in (OLD, NEW):
            self.assertEqual(self.count_open(version), 0)


class RolloutVersionPolicyTest(unittest.TestCase):
    """A new version beside an old one that takes 20 ms."""

    def setUp(self) -> None:
        """Start without evidence."""
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
        self.policy = RolloutVersionPolicy(rollouts, self.clock)

    def answer(self, route: Route, version: str, took_ms: int) -> None:
        """Record a complete answer."""
        backend = Backend(build_server('i-1', version=version))
        record = AttemptRecord(
            'i-1', 0, 1, _USUAL_MS, took_ms, duration_ms=took_ms
        )
        record.outcome = Outcome.complete.value
        job = build_job(route=route, pool=POOL)
        self.policy.record_attempt(job, backend, record)

    def count_bad(self, route: Route, *observed_ms: int) -> int:
        """Return how many answers of the new version counted as bad."""
        for _ in range(40):
            self.answer(route, OLD, _USUAL_MS)
        rollouts = self.policy.manager
        rollouts.apply_orders([build_order()], [], 1000, is_start=False)
        for took_ms in observed_ms:
            self.answer(route, NEW, took_ms)
        answers: Tally = rollouts.running[0].evidence.new_answers
        return answers.bad

    def test_unnoticeable_slowdown_is_ignored(self) -> None:
        """Against a target latency of 1 s."""
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, *_OBSERVED_MS), 0)

    def test_stalls_are_subtracted(self) -> None:
        """Answers seen late because of a stall are not slow."""
        self.policy.stalls.record(740, 980)
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, *_DELAYED_MS), 0)

    def test_slow_answers_beyond_a_stall(self) -> None:
        """The remaining latency is several times the usual one."""
        self.policy.stalls.record(900, 980)
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, 260, 200, 180), 3)

    def test_large_slowdown_is_slow(self) -> None:
        """Four times the usual latency, and noticeable to callers."""
        route = build_route(target_ms=1000)
        self.assertEqual(self.count_bad(route, 80, 80, 80), 3)

    def test_lower_target_makes_slowdown_noticeable(self) -> None:
        """The same answers with a target latency of 120 ms."""
        route = build_route(target_ms=120)
        self.assertEqual(
            self.count_bad(route, *_OBSERVED_MS), len(_OBSERVED_MS)
        )

    def test_first_event_of_a_stream_is_measured(self) -> None:
        """If a stream has too few events to measure its gaps."""
        route = build_route(target_ms=1000, kind=RequestKind.stream)
        self.assertEqual(self.count_bad(route, *_OBSERVED_MS), 0)
