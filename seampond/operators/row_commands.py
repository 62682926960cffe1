"""The `seampond template` and `seampond workspace` commands."""

import json

from cleo.helpers import argument, option

from seampond.operators.base import (
    OperatorCommand,
    json_option,
    settings_option,
    version_option,
)
from seampond.operators.edits import (
    Editor,
    add_key,
    delete_template,
    list_rows,
    parse_fields,
    read_row,
    set_template,
    set_workspace,
)
from seampond.settings.models import OperatorSettings
from seampond.templates.configuration import TEMPLATES, WORKSPACES


class ListCommand(OperatorCommand):
    """Base of commands that list the rows of one table."""

    options = [settings_option(), json_option()]
    table_name = ''

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Print one line per row."""
        rows = await list_rows(editor, self.table_name)
        content = [{'version': row.version, **row.content} for row in rows]
        names = '\n'.join(f'{row.key}  (version {row.version})' for row in rows)
        return self.print_output(content, names or 'none')


class ShowCommand(OperatorCommand):
    """Base of commands that show one row with its version."""

    arguments = [argument('name', 'Its name.')]
    options = [settings_option(), json_option()]
    table_name = ''

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Print the row."""
        row = await read_row(editor, self.table_name, self.argument('name'))
        content = {'version': row.version, **row.content}
        return self.print_output(content, json.dumps(content, indent=2))


class TemplateList(ListCommand):
    """`seampond template list`."""

    name = 'template list'
    description = 'Lists the templates.'
    table_name = TEMPLATES


class TemplateShow(ShowCommand):
    """`seampond template show`."""

    name = 'template show'
    description = 'Shows a template and its version.'
    table_name = TEMPLATES


class TemplateSet(OperatorCommand):
    """`seampond template set`."""

    name = 'template set'
    description = 'Creates or changes a template.'
    arguments = [
        argument('name', 'Its name.'),
        argument('fields', 'Words like pool=llm.', multiple=True),
    ]
    options = [settings_option(), json_option(), version_option()]

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Commit the edit."""
        fields = parse_fields(self.argument('fields'))
        name = self.argument('name')
        generation = await set_template(
            editor, name, fields, self.parse_from_version()
        )
        return self.print_generation(generation)


class TemplateDelete(OperatorCommand):
    """`seampond template delete`."""

    name = 'template delete'
    description = 'Deletes a template.'
    arguments = [argument('name', 'Its name.')]
    options = [settings_option(), json_option(), version_option()]

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Commit the edit."""
        name = self.argument('name')
        generation = await delete_template(
            editor, name, self.parse_from_version()
        )
        return self.print_generation(generation)


class WorkspaceList(ListCommand):
    """`seampond workspace list`."""

    name = 'workspace list'
    description = 'Lists the workspaces.'
    table_name = WORKSPACES


class WorkspaceShow(ShowCommand):
    """`seampond workspace show`."""

    name = 'workspace show'
    description = 'Shows a workspace and its version.'
    table_name = WORKSPACES


class WorkspaceSet(OperatorCommand):
    """`seampond workspace set`."""

    name = 'workspace set'
    description = "Sets a workspace's parameters for one template."
    arguments = [
        argument('name', 'The workspace.'),
        argument('template', 'The template.'),
        argument('fields', 'Words like tier=2.', multiple=True),
    ]
    options = [settings_option(), json_option(), version_option()]

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Commit the edit."""
        generation = await set_workspace(
            editor,
            self.argument('name'),
            self.argument('template'),
            parse_fields(self.argument('fields')),
            self.parse_from_version(),
        )
        return self.print_generation(generation)


class WorkspaceKey(OperatorCommand):
    """`seampond workspace key`."""

    name = 'workspace key'
    description = 'Makes a key for a workspace and prints it, once.'
    arguments = [argument('name', 'The workspace.')]
    options = [
        settings_option(),
        json_option(),
        option('revoke', None, 'End all earlier keys of the workspace.'),
    ]

    async def run_with_editor(
        self, editor: Editor, settings: OperatorSettings
    ) -> int:
        """Create the key and print it."""
        created = await add_key(
            editor, self.argument('name'), revoke=self.option('revoke')
        )
        content = {'key': created.key, 'generation': created.generation}
        return self.print_output(content, created.key)
