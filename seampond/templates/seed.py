"""Seeding of templates and workspaces from a TOML file."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from seampond.backing.tables import Tables
from seampond.clock import Clock
from seampond.errors import SettingsError
from seampond.templates.configuration import TEMPLATES, WORKSPACES
from seampond.templates.edit import Edit, commit_edit
from seampond.templates.models import Template, Workspace

AUTHOR = 'seed'


@dataclass(frozen=True, slots=True)
class Seed:
    """Content of a seed file."""

    templates: tuple[Template, ...]
    workspaces: tuple[Workspace, ...]


def _rows(tree: dict[str, Any], table: str) -> list[dict[str, Any]]:
    return [{'name': name, **row} for name, row in tree.get(table, {}).items()]


def read_seed(path: Path) -> Seed:
    """Read a seed file.

    Raises
    ------
    SettingsError
        If the file is invalid; names the file and the error.

    """
    try:
        tree = tomllib.loads(path.read_text(encoding='utf-8'))
        return Seed(
            tuple(map(Template.model_validate, _rows(tree, TEMPLATES))),
            tuple(map(Workspace.model_validate, _rows(tree, WORKSPACES))),
        )
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise SettingsError(f'{path}: {error}', step='seed') from error


async def apply_seed(tables: Tables, clock: Clock, seed: Seed) -> int:
    """Write each row that does not exist yet; return the last generation."""
    generation = 0
    rows = [(TEMPLATES, row) for row in seed.templates]
    rows += [(WORKSPACES, row) for row in seed.workspaces]  # type: ignore[misc]
    for table, row in rows:
        if await tables.read(table, row.name):
            continue
        content = row.model_dump(mode='json')
        edit = Edit(table, row.name, 0, content, AUTHOR)
        generation = await commit_edit(tables, clock, edit)
    return generation
