"""The `seampond` command."""

import sys
from importlib.metadata import version

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from seampond.operators.daemon_commands import (
    AgentCommand,
    EngineCommand,
    EntryCommand,
    GatewayCommand,
    PlatformCommand,
)
from seampond.operators.explain import ExplainCommand
from seampond.operators.row_commands import (
    TemplateDelete,
    TemplateList,
    TemplateSet,
    TemplateShow,
    WorkspaceKey,
    WorkspaceList,
    WorkspaceSet,
    WorkspaceShow,
)
from seampond.operators.status_commands import CheckCommand, StatusCommand

_HELP_CALLS: tuple[list[str], ...] = ([], ['--help'], ['-h'])
COMMANDS = (
    EntryCommand,
    GatewayCommand,
    AgentCommand,
    PlatformCommand,
    EngineCommand,
    CheckCommand,
    StatusCommand,
    ExplainCommand,
    TemplateList,
    TemplateShow,
    TemplateSet,
    TemplateDelete,
    WorkspaceList,
    WorkspaceShow,
    WorkspaceSet,
    WorkspaceKey,
)


def make_application() -> Application:
    """Give the application with all commands."""
    application = Application('seampond', version('seampond'))
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command line; alone or with --help it lists the commands."""
    words = sys.argv[1:]
    if words in _HELP_CALLS:
        words = ['list']
    arguments = ArgvInput([sys.argv[0], *words])
    sys.exit(make_application().run(arguments))
