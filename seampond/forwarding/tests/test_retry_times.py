"""Replay of a burst: how many callers are served in time."""

import asyncio
import random
import unittest
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Refusal
from seampond.forwarding.retry_times import spread_retry_ms
from seampond.forwarding.scheduler import RetryAfterFunction, Scheduler
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    ZONE,
    build_backends,
    build_job,
    build_route,
    build_server,
)
from seampond.testing.virtual_time import run_virtual

_SEEDS = range(4)
_SLOTS = 10
_SERVERS = 2
_SERVICE_MS = 500
_TARGET_MS = 850
_DEADLINE_MS = 15_000
# Requests per second; the servers can serve 40.
_CALM_PER_S = 36
_BURST_PER_S = 75
_BURST_FROM_MS = 4000
_BURST_UNTIL_MS = 9000
_LENGTH_MS = 14_000
_ROUTE = build_route(target_ms=_TARGET_MS, timeout_ms=_DEADLINE_MS)


def retry_by_time_left(job: Job, now_ms: int, draw: float) -> int:
    """Spread retries over the time that the callers have left."""
    return round((job.deadline_ms - now_ms) * (0.08 + 0.22 * draw))


@dataclass
class Served:
    """Counts of callers and of how they were served."""

    asked: int = 0
    in_time: int = 0
    late: int = 0

    @property
    def fraction_in_time(self) -> float:
        """The fraction of all callers that was served in time."""
        return self.in_time / self.asked


class Replay:
    """One pool under a burst; each caller retries once."""

    def __init__(
        self, clock: Clock, seed: int, compute_retry_ms: RetryAfterFunction
    ) -> None:
        """Start with an empty queue."""
        backends = build_backends(
            (
                build_server(f'i-{number}', slots=_SLOTS)
                for number in range(_SERVERS)
            ),
            clock,
        )
        self.clock = clock
        self.rng = random.Random(seed)
        self.served = Served()
        self.scheduler = Scheduler(
            backends,
            ZONE,
            clock,
            int,
            build_promises(),
            compute_retry_ms=compute_retry_ms,
        )

    async def run(self) -> None:
        """Send all requests and wait until the last one is over."""
        callers: list[asyncio.Task[None]] = []
        while self.clock.now() < _LENGTH_MS:
            is_burst = _BURST_FROM_MS <= self.clock.now() < _BURST_UNTIL_MS
            per_s = _BURST_PER_S if is_burst else _CALM_PER_S
            await self.clock.sleep(1000 * self.rng.expovariate(per_s))
            number = len(callers)
            callers.append(asyncio.create_task(self._call(f'r{number}')))
        await asyncio.gather(*callers)

    async def _call(self, name: str) -> None:
        self.served.asked += 1
        since_ms = self.clock.now()
        retry_ms = await self._try(name, since_ms)
        if retry_ms:
            await self.clock.sleep(retry_ms)
            await self._try(f'{name}-again', since_ms)

    async def _try(self, name: str, since_ms: int) -> int:
        """Send a request; return when to retry, 0 if it was served."""
        job = build_job(
            name,
            route=_ROUTE,
            arrived_ms=self.clock.now(),
            deadline_ms=since_ms + _DEADLINE_MS,
        )
        try:
            backend = await self.scheduler.acquire(job, set())
        except Refusal as refusal:
            return refusal.retry_after_ms
        await self.clock.sleep(_SERVICE_MS)
        self.scheduler.release(backend)
        is_late = self.clock.now() > since_ms + _TARGET_MS + _SERVICE_MS
        self.served.in_time += not is_late
        self.served.late += is_late
        return 0


def replay(compute_retry_ms: RetryAfterFunction, seed: int) -> Served:
    """Replay the load and return its counts."""
    found: list[Served] = []

    async def run(clock: Clock) -> None:
        load = Replay(clock, seed, compute_retry_ms)
        await load.run()
        found.append(load.served)

    random.seed(seed)
    run_virtual(run)
    return found[0]


class RetryTimesTest(unittest.TestCase):
    """Callers that a burst has refused."""

    def test_more_in_time_than_by_time_left(self) -> None:
        """Guards against retries that arrive as another burst."""
        for seed in _SEEDS:
            by_time_left = replay(retry_by_time_left, seed)
            by_target = replay(spread_retry_ms, seed)
            with self.subTest(seed=seed):
                self.assertGreater(
                    by_target.fraction_in_time,
                    by_time_left.fraction_in_time + 0.02,
                )

    def test_retry_time_is_within_the_time_left(self) -> None:
        """Guards against retry times that callers ignore."""
        job = build_job(route=_ROUTE, arrived_ms=0, deadline_ms=900)
        for draw in (0, 0.5, 1):
            retry_ms = spread_retry_ms(job, 0, draw)
            self.assertLessEqual(retry_ms, 300)
            self.assertGreater(retry_ms, 0)
