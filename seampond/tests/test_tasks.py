"""Background tasks end with their `with`, whatever swallows a cancel."""

import asyncio
import unittest

from seampond.tasks import run_tasks

LIMIT_SECONDS = 2


class RunTasksTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_swallowed_cancellation_is_repeated(self) -> None:
        started = asyncio.Event()

        async def stubborn() -> None:
            while True:
                started.set()
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    # As a library's wait may, when its answer comes
                    # together with the cancellation.
                    await asyncio.Event().wait()

        async with asyncio.timeout(LIMIT_SECONDS):
            async with run_tasks(stubborn()):
                await started.wait()
        self.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})
