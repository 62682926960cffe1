"""Generations of the configuration and the changes between them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from pydantic import ValidationError

from seampond.errors import PlatformError
from seampond.templates.models import Template, Workspace

TEMPLATES = 'templates'
WORKSPACES = 'workspaces'
CHANGES = 'changes'
COUNTER_TABLE = 'configuration'
COUNTER_KEY = 'generation'
FIRST_KEY = ''
LAST_KEY = '~'
_KEY_DIGITS = 12

_Row = TypeVar('_Row', Template, Workspace)


def change_key(generation: int) -> str:
    """Return the key of the change that created `generation`.

    Examples
    --------
    >>> change_key(42)
    '000000000042'

    """
    return str(generation).zfill(_KEY_DIGITS)


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted edit: a row's new content, or None if deleted."""

    generation: int
    table: str
    key: str
    content: dict[str, Any] | None
    author: str = ''
    token: str = ''


@dataclass(frozen=True, slots=True)
class Configuration:
    """All templates and workspaces of one generation."""

    generation: int = 0
    templates: dict[str, Template] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)


def parse_change(content: dict[str, Any]) -> Change:
    """Parse a row of the change log.

    Raises
    ------
    PlatformError
        If the row is not a change.

    """
    try:
        return Change(**content)
    except TypeError as error:
        raise PlatformError(
            f'not a change: {error}', step='read configuration'
        ) from error


def parse_row(
    model: type[_Row], table: str, key: str, content: dict[str, Any]
) -> _Row:
    """Parse a template or a workspace from its row.

    Raises
    ------
    PlatformError
        If the row is not valid.

    """
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise PlatformError(
            f'bad {table} row {key}: {error}', step='read configuration'
        ) from error


def _apply_to_rows(
    rows: dict[str, _Row], model: type[_Row], change: Change
) -> dict[str, _Row]:
    changed = dict(rows)
    changed.pop(change.key, None)
    if change.content is not None:
        changed[change.key] = parse_row(
            model, change.table, change.key, change.content
        )
    return changed


def apply_changes(
    configuration: Configuration, changes: Iterable[Change]
) -> Configuration:
    """Return the configuration after `changes`.

    Parameters
    ----------
    configuration : Configuration
        The configuration to start from, which is not modified.
    changes : Iterable[Change]
        In order of generation; those already applied are skipped.

    Returns
    -------
    Configuration
        The new configuration.

    Examples
    --------
    >>> row = {'name': 'draft', 'pool': 'llm'}
    >>> change = Change(1, 'templates', 'draft', row)
    >>> after = apply_changes(Configuration(), [change])
    >>> after.generation, list(after.templates)
    (1, ['draft'])

    """
    for change in changes:
        if change.generation <= configuration.generation:
            continue
        if change.table == TEMPLATES:
            configuration = replace(
                configuration,
                generation=change.generation,
                templates=_apply_to_rows(
                    configuration.templates, Template, change
                ),
            )
        else:
            configuration = replace(
                configuration,
                generation=change.generation,
                workspaces=_apply_to_rows(
                    configuration.workspaces, Workspace, change
                ),
            )
    return configuration
