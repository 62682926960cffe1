"""Reading and validation of settings files; errors name file and key."""

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from seampond.errors import SettingsError
from seampond.settings.files import pick_role, read_toml
from seampond.settings.gateway import ROLE as GATEWAY
from seampond.settings.gateway import GatewaySettings, convert_gateway
from seampond.settings.models import (
    AgentSettings,
    EngineStandInSettings,
    EntrySettings,
    OperatorSettings,
    PlatformStandInSettings,
)

_SEED_KEY = 'seed_file'
AnySettings = BaseModel | GatewaySettings
_Model = TypeVar('_Model', bound=AnySettings)

ROLES: Mapping[str, type[AnySettings]] = MappingProxyType(
    {
        'entry': EntrySettings,
        'agent': AgentSettings,
        GATEWAY: GatewaySettings,
        'platform': PlatformStandInSettings,
        'engine': EngineStandInSettings,
        'operator': OperatorSettings,
    }
)


def _explain(problem: Any, model: type[BaseModel]) -> str:
    key = '.'.join(str(part) for part in problem['loc'])
    if problem['type'] == 'extra_forbidden':
        known = ', '.join(sorted(model.model_fields))
        return f'{key}: unknown key; remove it (top-level keys: {known})'
    if problem['type'] == 'missing':
        return f'{key}: missing; add it'
    found = problem.get('input')
    return f'{key}: {problem["msg"]} (it is {found!r})'


def load_any(path: Path) -> AnySettings:
    """Read the settings file of any role.

    Parameters
    ----------
    path : Path
        A TOML file with one table, named for the role.

    Returns
    -------
    BaseModel or GatewaySettings
        The validated settings.

    Raises
    ------
    SettingsError
        If keys are invalid; names the file, each such key and a remedy.

    """
    tree = read_toml(path)
    role = pick_role(path, tree, ROLES)
    model = ROLES[role]
    content = tree[role]
    if content.get(_SEED_KEY):
        # Relative paths are relative to the settings file.
        content[_SEED_KEY] = str(path.parent / content[_SEED_KEY])
    if not issubclass(model, BaseModel):
        return convert_gateway(path, content)
    try:
        return model.model_validate(content)
    except ValidationError as error:
        explanations = '; '.join(
            _explain(problem, model) for problem in error.errors()
        )
        raise SettingsError(
            f'{path}: [{role}] {explanations}', step='settings'
        ) from error


def load_settings(path: Path, model: type[_Model]) -> _Model:
    """Read the settings file of one role.

    Raises
    ------
    SettingsError
        If the file is invalid or of another role.

    """
    settings = load_any(path)
    if not isinstance(settings, model):
        role = next(name for name, kind in ROLES.items() if kind is model)
        raise SettingsError(
            f'{path}: is not a file for this program; it needs [{role}]',
            step='settings',
        )
    return settings
