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

_HELP_ARGUMENTS: tuple[list[str], ...] = ([], ['--help'], ['-h'])
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
    """Return the application with all commands."""
    application = Application('seampond', version('seampond'))
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command line; list the commands if none is named."""
    arguments = sys.argv[1:]
    if arguments in _HELP_ARGUMENTS:
        arguments = ['list']
    argv_input = ArgvInput([sys.argv[0], *arguments])
    sys.exit(make_application().run(argv_input))
