"""Base classes and common options of the commands."""

import asyncio
import json
from abc import abstractmethod
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from seampond.errors import SeampondError, SettingsError
from seampond.operators.edits import Editor, open_editor
from seampond.settings.load import load_settings
from seampond.settings.models import OperatorSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def settings_option() -> Option:
    """Return the option that names the settings file."""
    return option('settings', 's', 'The settings file (TOML).', flag=False)


def json_option() -> Option:
    """Return the option for JSON output."""
    return option('json', 'j', 'Print JSON.')


def version_option() -> Option:
    """Return the option for the row version that an edit is based on."""
    return option(
        'from-version',
        None,
        'The row version that you started from, as `show` printed it.',
        flag=False,
    )


class BaseCommand(Command):
    """A command that reports errors as one line on stderr."""

    def handle(self) -> int:
        """Run the command and return its exit status.

        The status is 2 for invalid settings or arguments and 1 for any other
        failure.
        """
        try:
            return self.run_command()
        except SettingsError as error:
            self.line_error(f'<error>{error.message}</error>')
            return EXIT_SETTINGS
        except SeampondError as error:
            self.line_error(f'<error>{error}</error>')
            return EXIT_FAILED

    @abstractmethod
    def run_command(self) -> int:
        """Run the command and return its exit status."""

    def settings_path(self) -> Path:
        """Return the path of the settings file.

        Raises
        ------
        SettingsError
            If the option is missing.

        """
        path = self.option('settings')
        if not path:
            raise SettingsError(
                'name the settings file with --settings FILE', step='arguments'
            )
        return Path(path)

    def print_output(self, content: Any, text: str) -> int:
        """Print `content` as JSON if requested, otherwise `text`."""
        self.line(json.dumps(content) if self.option('json') else text)
        return EXIT_OK


class OperatorCommand(BaseCommand):
    """A command that reads or edits tables of the table service."""

    def run_command(self) -> int:
        """Open the table service and call :meth:`run_with_editor`."""
        settings = load_settings(self.settings_path(), OperatorSettings)
        return asyncio.run(self._open_and_run(settings))

    @abstractmethod
    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Run the command with access to the table service."""

    def parse_from_version(self) -> int | None:
        """Return the row version that the edit is based on, if given.

        Raises
        ------
        SettingsError
            If the option is not a number.

        """
        text = self.option('from-version')
        if text is None:
            return None
        if not text.isdecimal():
            raise SettingsError(
                f'--from-version: {text!r} is not a number', step='arguments'
            )
        return int(text)

    def print_generation(self, generation: int) -> int:
        """Print the configuration generation created by an edit."""
        return self.print_output(
            {'generation': generation}, f'accepted as generation {generation}'
        )

    async def _open_and_run(self, settings: OperatorSettings) -> int:
        async with open_editor(settings) as editor:
            return await self.run_with_editor(editor, settings)
