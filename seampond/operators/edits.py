"""What operators do to templates and workspaces, through the table service."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError

from seampond.backing.http import Caller, open_client
from seampond.backing.http_tables import http_tables
from seampond.backing.tables import Row, Tables
from seampond.clock import Clock
from seampond.errors import SettingsError
from seampond.settings.models import OperatorSettings
from seampond.templates.configuration import LAST_KEY, TEMPLATES, WORKSPACES
from seampond.templates.edit import Edit, commit_edit
from seampond.templates.keys import make_key
from seampond.templates.models import Template, Workspace

_PAGE_ROWS = 500
_TRUE_WORDS = ('true', 'yes')
_FALSE_WORDS = ('false', 'no')


@dataclass(frozen=True)
class Editor:
    """An operator with access to the table service."""

    tables: Tables
    clock: Clock
    author: str


@asynccontextmanager
async def open_editor(settings: OperatorSettings) -> AsyncIterator[Editor]:
    """Give an editor until the end of the `with`."""
    async with open_client() as client:
        platform = settings.platform
        caller = Caller(platform.tables, client, platform.timeout_ms)
        yield Editor(http_tables(caller), Clock(), settings.author)


def parse_fields(words: Iterable[str]) -> dict[str, Any]:
    """Read ``field=value`` words.

    Raises
    ------
    SettingsError
        If a word has no equals sign.

    Examples
    --------
    >>> parse_fields(['tier=2', 'may_wait=yes', 'pool=llm'])
    {'tier': '2', 'may_wait': True, 'pool': 'llm'}

    """
    fields: dict[str, Any] = {}
    for word in words:
        name, equals, text = word.partition('=')
        if not equals:
            raise SettingsError(
                f'{word!r}: write it as field=value', step='arguments'
            )
        fields[name] = _parse_word(text)
    return fields


def _parse_word(text: str) -> str | bool:
    if text in _TRUE_WORDS:
        return True
    if text in _FALSE_WORDS:
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
    """Give all rows of a table, by key."""
    rows: list[Row] = []
    start = ''
    while True:
        page = await editor.tables.scan(table, start, LAST_KEY, _PAGE_ROWS)
        rows.extend(page)
        if len(page) < _PAGE_ROWS:
            return rows
        start = ''.join((page[-1].key, '\0'))


async def read_row(editor: Editor, table: str, key: str) -> Row:
    """Give one row.

    Raises
    ------
    SettingsError
        If there is none.

    """
    row = await editor.tables.read(table, key)
    if row is None:
        raise SettingsError(f'no {key!r} in {table}', step='show')
    return row


async def _commit(
    editor: Editor, table: str, row: Row | None, key: str,
    content: dict[str, Any] | None, version: int | None,
) -> int:  # fmt: skip
    found = row.version if row else 0
    base = found if version is None else version
    edit = Edit(table, key, base, content, editor.author)
    return await commit_edit(editor.tables, editor.clock, edit)


async def set_template(
    editor: Editor, name: str, fields: dict[str, Any], version: int | None
) -> int:
    """Create or change a template; give the generation.

    Parameters
    ----------
    version : int | None
        The row's version that the operator started from; None takes the
        one read just now.

    """
    row = await editor.tables.read(TEMPLATES, name)
    content = {**(row.content if row else {'name': name}), **fields}
    checked = _validate(Template, content)
    return await _commit(editor, TEMPLATES, row, name, checked, version)


async def delete_template(
    editor: Editor, name: str, version: int | None
) -> int:
    """Delete a template; give the generation."""
    row = await read_row(editor, TEMPLATES, name)
    return await _commit(editor, TEMPLATES, row, name, None, version)


async def set_workspace(
    editor: Editor,
    name: str,
    template: str,
    fields: dict[str, Any],
    version: int | None,
) -> int:
    """Set a workspace's parameters for one template; give the generation."""
    await read_row(editor, TEMPLATES, template)
    row = await editor.tables.read(WORKSPACES, name)
    content: dict[str, Any] = {'name': name, 'parameters': {}}
    if row:
        content.update(row.content)
    old = content['parameters'].get(template, {})
    content['parameters'] = {
        **content['parameters'],
        template: {**old, **fields},
    }
    checked = _validate(Workspace, content)
    return await _commit(editor, WORKSPACES, row, name, checked, version)


@dataclass(frozen=True, slots=True)
class CreatedKey:
    """A new key and the generation that holds its hash."""

    key: str
    generation: int


async def add_key(editor: Editor, name: str, *, revoke: bool) -> CreatedKey:
    """Make a key for a workspace; `revoke` ends all earlier ones."""
    row = await read_row(editor, WORKSPACES, name)
    made = make_key(name)
    kept = [] if revoke else row.content['key_hashes']
    content = {**row.content, 'key_hashes': [*kept, made.key_hash]}
    checked = _validate(Workspace, content)
    generation = await _commit(editor, WORKSPACES, row, name, checked, None)
    return CreatedKey(made.key, generation)
