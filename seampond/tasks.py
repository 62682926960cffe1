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
