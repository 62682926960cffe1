"""Reading of settings files: TOML with one table, named for a role."""

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from seampond.errors import SettingsError


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises
    ------
    SettingsError
        If it cannot be read or is not TOML.

    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: cannot be read: {error}', step='settings'
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            f'{path}: is not TOML: {error}', step='settings'
        ) from error


def pick_role(path: Path, tree: dict[str, Any], known: Iterable[str]) -> str:
    """Return the role that the only table of a file is named for.

    Raises
    ------
    SettingsError
        If there is not exactly one table, or it is not named for a role.

    """
    names = list(known)
    roles = sorted(set(tree) & set(names))
    if len(roles) != 1 or len(tree) != 1:
        found = ', '.join(sorted(tree)) or 'nothing'
        wanted = ', '.join(f'[{role}]' for role in names)
        raise SettingsError(
            f'{path}: holds {found}; it must hold just one of {wanted}',
            step='settings',
        )
    return roles[0]
