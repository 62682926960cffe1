"""Edits of templates and workspaces through the table service."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError

from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.http_tables import make_http_tables
from seampond.backing.tables import Row, Tables
from seampond.clock import Clock
from seampond.errors import SettingsError
from seampond.settings.models import OperatorSettings
from seampond.templates.configuration import LAST_KEY, TEMPLATES, WORKSPACES
from seampond.templates.edit import Edit, commit_edit
from seampond.templates.keys import make_key
from seampond.templates.models import Template, Workspace

_ROWS_PER_PAGE = 500
_TRUE_TEXTS = ('true', 'yes')
_FALSE_TEXTS = ('false', 'no')


@dataclass(frozen=True)
class Editor:
    """Access to the table service on behalf of one author."""

    tables: Tables
    clock: Clock
    author: str


@asynccontextmanager
async def open_editor(settings: OperatorSettings) -> AsyncIterator[Editor]:
    """Open an HTTP client and yield an editor that uses it."""
    async with open_client() as client:
        platform = settings.platform
        caller = ServiceClient(platform.tables, client, platform.timeout_ms)
        yield Editor(make_http_tables(caller), Clock(), settings.author)


def parse_fields(arguments: Iterable[str]) -> dict[str, Any]:
    """Parse ``field=value`` arguments.

    Raises
    ------
    SettingsError
        If an argument has no equals sign.

    Examples
    --------
    >>> parse_fields(['tier=2', 'may_wait=yes', 'pool=llm'])
    {'tier': '2', 'may_wait': True, 'pool': 'llm'}

    """
    fields: dict[str, Any] = {}
    for argument in arguments:
        name, equals, text = argument.partition('=')
        if not equals:
            raise SettingsError(
                f'{argument!r}: write it as field=value', step='arguments'
            )
        fields[name] = _parse_value(text)
    return fields


def _parse_value(text: str) -> str | bool:
    if text in _TRUE_TEXTS:
        return True
    if text in _FALSE_TEXTS:
        return False
    return text


def _validate(
    model: type[BaseModel], content: dict[str, Any]
) -> dict[str, Any]:
    try:
        return model.model_validate(content).model_dump(mode='json')
    except ValidationError as error:
        problems = '; '.join(
            '{0}: {1}'.format(
                '.'.join(str(part) for part in problem['loc']), problem['msg']
            )
            for problem in error.errors()
        )
        raise SettingsError(problems, step='validate') from error


async def list_rows(editor: Editor, table: str) -> list[Row]:
    """Return all rows of a table, ordered by key."""
    rows: list[Row] = []
    start = ''
    while True:
        page = await editor.tables.scan(table, start, LAST_KEY, _ROWS_PER_PAGE)
        rows.extend(page)
        if len(page) < _ROWS_PER_PAGE:
            return rows
        start = ''.join((page[-1].key, '\0'))


async def read_row(editor: Editor, table: str, key: str) -> Row:
    """Return one row.

    Raises
    ------
    SettingsError
        If the row does not exist.

    """
    row = await editor.tables.read(table, key)
    if row is None:
        raise SettingsError(f'no {key!r} in {table}', step='show')
    return row


async def _commit(
    editor: Editor, table: str, row: Row | None, key: str,
    content: dict[str, Any] | None, version: int | None,
) -> int:  # fmt: skip
    current_version = row.version if row else 0
    base_version = current_version if version is None else version
    edit = Edit(table, key, base_version, content, editor.author)
    return await commit_edit(editor.tables, editor.clock, edit)


async def set_template(
    editor: Editor, name: str, fields: dict[str, Any], version: int | None
) -> int:
    """Create or change a template and return the new generation.

    Parameters
    ----------
    version : int | None
        The row version that the edit is based on; None means the current
        one.

    """
    row = await editor.tables.read(TEMPLATES, name)
    content = {**(row.content if row else {'name': name}), **fields}
    validated = _validate(Template, content)
    return await _commit(editor, TEMPLATES, row, name, validated, version)


async def delete_template(
    editor: Editor, name: str, version: int | None
) -> int:
    """Delete a template and return the new generation."""
    row = await read_row(editor, TEMPLATES, name)
    return await _commit(editor, TEMPLATES, row, name, None, version)


async def set_workspace(
    editor: Editor,
    name: str,
    template: str,
    fields: dict[str, Any],
    version: int | None,
) -> int:
    """Set a workspace's parameters for one template.

    Returns
    -------
    int
        The new generation.

    """
    await read_row(editor, TEMPLATES, template)
    row = await editor.tables.read(WORKSPACES, name)
    content: dict[str, Any] = {'name': name, 'parameters': {}}
    if row:
        content.update(row.content)
    old_parameters = content['parameters'].get(template, {})
    content['parameters'] = {
        **content['parameters'],
        template: {**old_parameters, **fields},
    }
    validated = _validate(Workspace, content)
    return await _commit(editor, WORKSPACES, row, name, validated, version)


@dataclass(frozen=True, slots=True)
class CreatedKey:
    """A new key and the generation that contains its hash."""

    key: str
    generation: int


async def add_key(editor: Editor, name: str, *, revoke: bool) -> CreatedKey:
    """Create a key for a workspace; `revoke` drops all earlier ones."""
    row = await read_row(editor, WORKSPACES, name)
    created = make_key(name)
    kept_hashes = [] if revoke else row.content['key_hashes']
    content = {**row.content, 'key_hashes': [*kept_hashes, created.key_hash]}
    validated = _validate(Workspace, content)
    generation = await _commit(editor, WORKSPACES, row, name, validated, None)
    return CreatedKey(created.key, generation)
