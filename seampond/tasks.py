"""Background tasks that end with a context manager."""

import asyncio
import logging
from collections.abc import AsyncIterator, Coroutine, Iterable
from contextlib import asynccontextmanager
from typing import Any

_CANCEL_INTERVAL_SECONDS = 0.5
_logger = logging.getLogger(__name__)


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception():
        _logger.critical('background task died', exc_info=task.exception())


async def cancel_all(tasks: Iterable['asyncio.Task[Any]']) -> None:
    """Cancel tasks and wait until all have ended.

    Explanation
    -----------
    Libraries may swallow a cancellation that coincides with a result, so it
    is repeated until the task has ended.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(
            pending, timeout=_CANCEL_INTERVAL_SECONDS
        )


class TaskSet:
    """Background tasks that end by themselves or with their owner."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(_log_failure)

    async def cancel(self) -> None:
        """Cancel the tasks and wait until all have ended."""
        await cancel_all(list(self._tasks))


@asynccontextmanager
async def run_tasks(
    *coroutines: Coroutine[Any, Any, None],
) -> AsyncIterator[list['asyncio.Task[None]']]:
    """Run coroutines in the background and cancel them on exit."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(_log_failure)
    try:
        yield tasks
    finally:
        await cancel_all(tasks)
