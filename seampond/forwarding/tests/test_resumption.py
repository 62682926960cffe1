"""Tests of the choice of a server for a resumed stream."""

import unittest
from collections.abc import Sequence
from typing import Any

from seampond.clock import Clock, ManualClock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.job import Job
from seampond.forwarding.models import RequestKind
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server import Server
from seampond.forwarding.stream_origins import StreamOrigin
from seampond.forwarding.versions import AnyVersion
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    POOL,
    ZONE,
    build_backends,
    build_job,
    build_route,
    build_server,
    get_backend,
)

_OLD, _NEW = 'v1', 'v2'
_LARGE_POOL = 200
_LOST_MS = 10_000


class NoVersion(AnyVersion):
    """Allows no version."""

    def group(
        self, job: Job, backends: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Return an empty group."""
        return ([],)


def build_resumed(**changes: Any) -> Job:
    """Return a job for a stream that began at the old version."""
    route = build_route(kind=RequestKind.stream, may_resume=True)
    origin = StreamOrigin(POOL, _OLD)
    return build_job(route=route, origin=origin, last_event=b'4', **changes)


def build_scheduler(backends: Backends, **changes: Any) -> Scheduler:
    """Return a scheduler of a single gateway."""
    return Scheduler(
        backends, ZONE, Clock(), lambda: 1, build_promises(), **changes
    )


class ResumedStreamTest(unittest.IsolatedAsyncioTestCase):
    """A stream whose version few servers have."""

    async def test_only_server_of_a_large_pool_is_not_drawn(self) -> None:
        """The sample of a large pool may not hold it."""
        servers = [
            build_server(f'i-{number}', version=_NEW)
            for number in range(_LARGE_POOL)
        ]
        backends = build_backends([*servers, build_server('old', version=_OLD)])
        scheduler = build_scheduler(backends)
        backend = await scheduler.acquire(build_resumed(), set())
        self.assertEqual(backend.server.id, 'old')

    async def test_only_server_is_avoided_after_a_failure(self) -> None:
        """It was tried, and no other server has the version."""
        backend = await self._acquire(
            build_server('old', version=_OLD), avoid={'old'}
        )
        self.assertEqual(backend.server.id, 'old')

    async def test_stream_waits_for_a_version_that_drains(self) -> None:
        """It is refused at once, without a time to come back."""
        await self._check_gone(
            build_server('old', version=_OLD, is_draining=True)
        )

    async def test_stream_waits_for_a_version_that_a_rollout_forbids(
        self,
    ) -> None:
        """No version that it may use is the one that began it."""
        await self._check_gone(
            build_server('old', version=_OLD), versions=NoVersion()
        )

    async def test_stream_goes_on_at_another_pool(self) -> None:
        """A server of the same version serves another pool."""
        await self._check_gone(build_server('old', pool='x', version=_OLD))

    async def _check_gone(self, server: Server, **changes: Any) -> None:
        with self.assertRaises(Refusal) as caught:
            await self._acquire(server, **changes)
        self.assertIs(caught.exception.cause, Cause.version_gone)
        self.assertEqual(caught.exception.retry_after_ms, 0)

    async def _acquire(
        self, server: Server, avoid: set[str] | None = None, **changes: Any
    ) -> Backend:
        backends = build_backends([server, build_server('i-1', version=_NEW)])
        scheduler = build_scheduler(backends, **changes)
        return await scheduler.acquire(build_resumed(), avoid or set())


class LostConnectionTest(unittest.TestCase):
    """A server may have restarted after a lost connection."""

    def setUp(self) -> None:
        """Lose a connection."""
        clock = ManualClock(_LOST_MS)
        self.backends = build_backends([build_server('i-1')], clock)
        self.backend = get_backend(self.backends, 'i-1')
        self.backend.record_lost_connection(_LOST_MS)

    def test_proof_while_it_is_down_ends_the_doubt(self) -> None:
        """It may restart with another version afterwards."""
        self.backends.confirm_rows(_LOST_MS + 5000)
        self.assertTrue(self.backend.lost_ms)

    def test_proof_before_it_writes_its_row_ends_the_doubt(self) -> None:
        """A server writes its row some time after it starts."""
        self.backend.record_connection(_LOST_MS + 1000)
        self.assertTrue(self.backends.has_uncertain_version(POOL))
        self.backends.confirm_rows(_LOST_MS + 1100)
        self.assertTrue(self.backend.lost_ms)
        self.backends.confirm_rows(_LOST_MS + 2000)
        self.assertFalse(self.backend.lost_ms)
        self.assertFalse(self.backends.has_uncertain_version(POOL))

    def test_data_on_an_older_connection_leaves_the_doubt(self) -> None:
        """The process to which it was made still runs."""
        self.backend.confirm_process(_LOST_MS + 10, _LOST_MS + 500)
        self.assertTrue(self.backend.lost_ms)
        self.backend.confirm_process(_LOST_MS - 10, _LOST_MS + 500)
        self.assertFalse(self.backend.lost_ms)
