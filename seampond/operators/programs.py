"""The daemons' commands."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, ClassVar

from pydantic import BaseModel

from seampond.clock import Clock
from seampond.daemons import run_agent, run_engine, run_entry, run_platform
from seampond.logs import set_up_logs
from seampond.operators.base import EXIT_OK, BaseCommand, settings_option
from seampond.settings import load_settings
from seampond.settings.models import (
    AgentSettings,
    EngineStandInSettings,
    EntrySettings,
    PlatformStandInSettings,
)

_logger = logging.getLogger(__name__)

Run = Callable[..., AbstractAsyncContextManager[Any]]


async def _nothing() -> None:
    """Drain a role that has nothing to finish."""


async def run_daemon(run: Run, settings: Any) -> None:
    """Run a role until SIGTERM or SIGINT, then stop it as planned.

    Explanation
    -----------
    A second signal while draining changes nothing: what runs finishes.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with run(settings, Clock()) as running:
        _logger.info('ready', extra={'listen': settings.listen})
        await stop.wait()
        _logger.info('planned stop')
        drain: Callable[[], Awaitable[None]]
        drain = getattr(running, 'drain', _nothing)
        await drain()
    _logger.info('stopped')


class DaemonCommand(BaseCommand):
    """A command that runs one role."""

    options = [settings_option()]
    model: type[BaseModel]
    run_role: ClassVar[Run]

    def work(self) -> int:
        """Load the settings and run."""
        settings: Any = load_settings(self.settings_path(), self.model)
        set_up_logs(settings.logs.level)
        asyncio.run(run_daemon(type(self).run_role, settings))
        return EXIT_OK


class EntryCommand(DaemonCommand):
    """`seampond entry`."""

    name = 'entry'
    description = 'Runs an entry: takes requests from callers.'
    model = EntrySettings
    run_role: ClassVar[Run] = run_entry


class AgentCommand(DaemonCommand):
    """`seampond agent`."""

    name = 'agent'
    description = 'Runs an agent: sends work to one backend server.'
    model = AgentSettings
    run_role: ClassVar[Run] = run_agent


class PlatformCommand(DaemonCommand):
    """`seampond platform`."""

    name = 'platform'
    description = 'Runs the stand-ins for the platform, in memory.'
    model = PlatformStandInSettings
    run_role: ClassVar[Run] = run_platform


class EngineCommand(DaemonCommand):
    """`seampond engine`."""

    name = 'engine'
    description = 'Runs a stand-in for a model engine or a plain service.'
    model = EngineStandInSettings
    run_role: ClassVar[Run] = run_engine
