"""Background tasks must end with their context."""

import asyncio
import unittest

from seampond.tasks import run_tasks

TIMEOUT_SECONDS = 2


class RunTasksTest(unittest.IsolatedAsyncioTestCase):
    async def test_swallowed_cancellation_is_repeated(self) -> None:
        started = asyncio.Event()

        async def stubborn() -> None:
            while True:
                started.set()
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    # Libraries may swallow a cancellation like this.
                    await asyncio.Event().wait()

        async with asyncio.timeout(TIMEOUT_SECONDS):
            async with run_tasks(stubborn()):
                await started.wait()
        self.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})
