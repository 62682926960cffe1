"""Tests of test cases on virtual time."""

import asyncio
import unittest

from seampond.clock import MS_PER_SECOND, Clock
from seampond.testing.virtual_time import VirtualTimeCase


class _ResourceCase(unittest.IsolatedAsyncioTestCase):
    """Base with a resource that reads the clock when it is closed."""

    async def asyncSetUp(self) -> None:
        """Open the resource."""
        self.clock = Clock()
        self.opened_ms = self.clock.now()
        self.addAsyncCleanup(self.close)

    async def close(self) -> None:
        """Check that the clock still shows the time of the loop."""
        loop_ms = asyncio.get_running_loop().time() * MS_PER_SECOND
        self.assertAlmostEqual(self.clock.now(), loop_ms, delta=1)
        self.assertGreaterEqual(self.clock.now(), self.opened_ms)


class CleanUpTest(VirtualTimeCase, _ResourceCase):
    """Clean-ups of the other bases."""

    async def test_resource_is_closed_on_the_real_clock(self) -> None:
        """It has been opened on virtual time."""
        await self.clock.sleep(MS_PER_SECOND)
        self.assertGreaterEqual(self.clock.now() - self.opened_ms, 1000)
