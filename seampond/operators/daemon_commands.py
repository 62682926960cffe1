"""Commands that run the daemons."""

import asyncio
from contextlib import closing
from functools import partial
from typing import Any, ClassVar

from seampond.daemons import run_agent, run_engine, run_entry, run_platform
from seampond.gateway.daemon import run_gateway
from seampond.logs import set_up_logs
from seampond.operators.base import EXIT_OK, BaseCommand, settings_option
from seampond.run import Run, run_daemon
from seampond.settings.gateway import GatewaySettings
from seampond.settings.load import AnySettings, load_settings
from seampond.settings.models import (
    AgentSettings,
    EngineStandInSettings,
    EntrySettings,
    PlatformStandInSettings,
)


class DaemonCommand(BaseCommand):
    """A command that runs one daemon until it is stopped."""

    options = [settings_option()]
    model: type[AnySettings]
    run_role: ClassVar[Run]

    def run_command(self) -> int:
        """Load the settings and run the daemon."""
        reload_settings = partial(
            load_settings, self.settings_path(), self.model
        )
        settings: Any = reload_settings()
        with closing(set_up_logs(settings.logs.level)):
            run = type(self).run_role
            asyncio.run(run_daemon(run, settings, reload_settings))
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


class GatewayCommand(DaemonCommand):
    """`seampond gateway`."""

    name = 'gateway'
    description = 'Runs a gateway: sends requests straight to servers.'
    model = GatewaySettings
    run_role: ClassVar[Run] = run_gateway


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
