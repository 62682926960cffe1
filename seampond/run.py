"""Run a daemon until it is signalled to stop."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

from seampond.clock import Clock
from seampond.errors import SeampondError

_logger = logging.getLogger(__name__)

Run = Callable[..., AbstractAsyncContextManager[Any]]


async def _drain_nothing() -> None:
    """Return at once: the daemon has nothing to drain."""


def _ignore_signal() -> None:
    """Ignore a signal that arrives during the start."""


def _reload(running: Any, read_settings: Callable[[], Any]) -> None:
    """Apply changed settings; keep the old ones if they are invalid."""
    try:
        settings = read_settings()
    except SeampondError as error:
        _logger.error('settings not reloaded', extra={'reason': error.message})
        return
    reload: Callable[[Any], None] | None = getattr(running, 'reload', None)
    if reload is None:
        _logger.info('settings file changed; it is read at the next start')
        return
    reload(settings)


async def run_daemon(
    run: Run, settings: Any, read_settings: Callable[[], Any]
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it.

    Explanation
    -----------
    Further signals do not interrupt the draining.  SIGHUP reloads the
    settings.

    Parameters
    ----------
    read_settings : Callable[[], Any]
        Reads the settings file; raises `SettingsError` if it is invalid.

    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    # By default SIGHUP would end the process during the start.
    loop.add_signal_handler(signal.SIGHUP, _ignore_signal)
    async with run(settings, Clock()) as running:
        loop.add_signal_handler(signal.SIGHUP, _reload, running, read_settings)
        _logger.info('ready', extra={'listen': settings.listen})
        await stop.wait()
        _logger.info('planned stop')
        drain: Callable[[], Awaitable[None]]
        drain = getattr(running, 'drain', _drain_nothing)
        await drain()
    _logger.info('stopped')
