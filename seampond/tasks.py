"""Background tasks for the time of a `with`."""

import asyncio
import logging
from collections.abc import AsyncIterator, Coroutine, Iterable
from contextlib import asynccontextmanager
from typing import Any

_REPEAT_SECONDS = 0.5
_logger = logging.getLogger(__name__)


def _report(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception():
        _logger.critical('background task died', exc_info=task.exception())


async def cancel_all(tasks: Iterable['asyncio.Task[Any]']) -> None:
    """Cancel tasks and wait until all have ended.

    Explanation
    -----------
    A wait inside a library may swallow a cancellation when its answer
    comes at the same moment, so it is repeated until the task has ended.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_REPEAT_SECONDS)


@asynccontextmanager
async def run_tasks(
    *coroutines: Coroutine[Any, Any, None],
) -> AsyncIterator[list['asyncio.Task[None]']]:
    """Run coroutines in the background; cancel them at the end."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(_report)
    try:
        yield tasks
    finally:
        await cancel_all(tasks)
