"""The `seampond status` and `seampond check` commands."""

from pathlib import Path
from typing import Any

from cleo.helpers import argument

from seampond.operators.base import (
    EXIT_OK,
    BaseCommand,
    OperatorCommand,
    json_option,
    settings_option,
)
from seampond.operators.edits import Editor
from seampond.operators.status import FleetStatus, read_status
from seampond.settings.load import load_any
from seampond.settings.models import OperatorSettings


def _format_entry(entry: dict[str, Any]) -> list[str]:
    state = 'ready' if entry['ready'] else 'not ready'
    if entry['draining']:
        state = 'draining'
    lines = [
        '{name}: {state}, generation {generation}, {waiting} waiting, '
        '{promises_broken} promises broken'.format(**{**entry, 'state': state})
    ]
    lines.extend(
        '  {name} ({pool}): {state}, {running}/{slots} running, '
        '{queued} queued, generation {generation}'.format(**agent)
        for agent in entry['agents']
    )
    return lines


def format_status(status: FleetStatus) -> str:
    """Return the status as text, one line per entry and per agent."""
    lines = [f'newest generation {status.generation}']
    for entry in status.entries:
        lines.extend(_format_entry(entry))
        refusals = entry['refusals']
        if refusals:
            lines.append(f'  refusals: {refusals}')
    lines.extend(f'{name}: does not answer' for name in status.unreachable)
    return '\n'.join(lines)


class StatusCommand(OperatorCommand):
    """`seampond status`."""

    name = 'status'
    description = 'Shows entries, agents, generations and counters.'
    options = [settings_option(), json_option()]

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Print the status pages of all entries."""
        status = await read_status(editor, settings)
        return self.print_output(status.as_json(), format_status(status))


class CheckCommand(BaseCommand):
    """`seampond check`."""

    name = 'check'
    description = 'Checks a settings file and does nothing else.'
    arguments = [argument('file', 'The settings file.')]

    def run_command(self) -> int:
        """Load the file and print the kind of its settings."""
        path = Path(self.argument('file'))
        settings = load_any(path)
        kind = type(settings).__name__
        self.line(f'{path}: good ({kind})')
        return EXIT_OK
