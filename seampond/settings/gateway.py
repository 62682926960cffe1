"""Settings of a gateway.

The models use msgspec, since importing pydantic would slow down the start.
"""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from seampond.errors import SettingsError
from seampond.settings.files import pick_role, read_toml

ROLE = 'gateway'
_PORT = (
    '([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
    '|655[0-2][0-9]|6553[0-5])'
)
_ADDRESS = f'^.+:{_PORT}$'
_NAME = '^[a-z0-9][a-z0-9.-]{0,62}$'
_LEVEL = '^(DEBUG|INFO|WARNING|ERROR)$'
_HISTORY_FRACTION = 0.75
_FIELD_NAME = re.compile('`([^`]+)`')

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Name = Annotated[str, msgspec.Meta(pattern=_NAME)]
Level = Annotated[str, msgspec.Meta(pattern=_LEVEL)]
PositiveMs = Annotated[int, msgspec.Meta(gt=0)]
NonNegativeMs = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
NonNegativeBytes = Annotated[int, msgspec.Meta(ge=0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]


class Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all sections; unknown keys are errors."""


class LogSettings(Section, frozen=True):
    """Settings of the log."""

    level: Level = 'INFO'


class StoreSettings(Section, frozen=True):
    """The store from which a gateway reads its configuration and servers.

    Parameters
    ----------
    wait_ms : int
        How long the store holds a call while nothing changes.
    history_ms : int
        How long the store keeps the history of changes.

    """

    address: Address
    wait_ms: PositiveMs = 15_000
    history_ms: PositiveMs = 20_000

    @property
    def call_ms(self) -> int:
        """How long a call waits, which is shorter than the history.

        Examples
        --------
        >>> StoreSettings(address='10.0.0.1:80', history_ms=4000).call_ms
        3000

        """
        return min(self.wait_ms, round(self.history_ms * _HISTORY_FRACTION))


class BoundSettings(Section, frozen=True):
    """Bounds that all gateways together keep.

    Parameters
    ----------
    configuration_deadline_ms : int
        How long after its acknowledgement a configuration may not be in force
        at a gateway that reaches the store.
    strict_revoke : bool
        Whether a revoked key is rejected after `revoke_ms` even by a gateway
        that cannot reach the store.
    revoke_ms : int
        How long a key may be accepted after its removal.
    proof_margin_ms : int
        How much earlier a gateway without proof stops accepting keys.
    drain_ms : int
        How long requests may be sent to a server whose row was removed.
    retry_ratio : float
        Retries for each first attempt, in any window.
    quota_overrun, quota_slack : float
        Share of a quota, and number of units, that may be granted beyond the
        quota in any window.
    quota_window_s : float
        Length of that window.
    expose_share, expose_slack : float
        Share of a pool's requests, and number of further requests, that may
        be sent to an unproved version.

    """

    configuration_deadline_ms: PositiveMs = 2000
    strict_revoke: bool = True
    revoke_ms: PositiveMs = 5000
    proof_margin_ms: NonNegativeMs = 400
    drain_ms: NonNegativeMs = 2000
    retry_ratio: NonNegativeFloat = 0.2
    retry_allowance: NonNegativeFloat = 20
    retry_window_s: PositiveSeconds = 10
    quota_overrun: NonNegativeFloat = 0.1
    quota_slack: NonNegativeFloat = 0
    quota_window_s: PositiveSeconds = 8
    stop_ms: PositiveMs = 8000
    expose_share: NonNegativeFloat = 0.1
    expose_slack: NonNegativeFloat = 0

    @property
    def proof_ms(self) -> int | None:
        """Maximum age of a configuration's proof, None for any age.

        Examples
        --------
        >>> BoundSettings().proof_ms
        4600

        """
        if not self.strict_revoke:
            return None
        return self.revoke_ms - self.proof_margin_ms


class CallerSettings(Section, frozen=True):
    """Limits on the connections of callers.

    Parameters
    ----------
    connections : int
        Highest number of open connections.  It is also limited by the
        descriptors that the process may open.
    memory_bytes : int
        What requests that arrive or wait, and answers that are not read, may
        hold together.  0 for a fifth of the machine's memory, 32 MiB at most.

    """

    connections: PositiveCount = 3000
    memory_bytes: NonNegativeBytes = 0


class AnswerSettings(Section, frozen=True):
    """Limits on the answers of servers.

    Parameters
    ----------
    memory_bytes : int
        What answers may hold together until they are passed on.  0 for a
        tenth of the machine's memory, 16 MiB at most.

    """

    memory_bytes: NonNegativeBytes = 0


class GatewaySettings(Section, frozen=True):
    """Settings of `seampond gateway`.

    Parameters
    ----------
    first_start : bool
        Whether no gateway of the system has run before, so that no stream has
        begun.

    """

    name: Name
    zone: str
    listen: Address
    ready_listen: Address
    metrics_listen: Address
    peer_listen: Address
    store: StoreSettings
    bounds: BoundSettings = msgspec.field(default_factory=BoundSettings)
    callers: CallerSettings = msgspec.field(default_factory=CallerSettings)
    answers: AnswerSettings = msgspec.field(default_factory=AnswerSettings)
    linger_ms: NonNegativeMs = 2600
    first_start: bool = False
    logs: LogSettings = msgspec.field(default_factory=LogSettings)


def _explain(error: msgspec.ValidationError) -> str:
    """Return the invalid key and a remedy."""
    message, _, location = str(error).partition(' - at `$')
    path = location.rstrip('`').lstrip('.')
    field_name = _FIELD_NAME.search(message)
    if field_name and 'unknown field' in message:
        key = f'{path}.{field_name.group(1)}'.lstrip('.')
        return f'{key}: unknown key; remove it'
    if field_name and 'missing required' in message:
        key = f'{path}.{field_name.group(1)}'.lstrip('.')
        return f'{key}: missing; add it'
    if _ADDRESS in message:
        return (
            f'{path}: write it as IP:PORT with a port of at most 65535, for '
            'example 127.0.0.1:7001'
        )
    return f'{path}: {message}'


def convert_gateway(path: Path, content: Any) -> GatewaySettings:
    """Validate the table of a gateway's settings file.

    Raises
    ------
    SettingsError
        If a key is invalid; names the file, the first such key and a remedy.

    """
    try:
        return msgspec.convert(content, GatewaySettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f'{path}: [{ROLE}] {_explain(error)}', step='settings'
        ) from error


def load_gateway(path: Path) -> GatewaySettings:
    """Read the settings file of a gateway.

    Raises
    ------
    SettingsError
        If the file is invalid or of another role.

    """
    tree = read_toml(path)
    return convert_gateway(path, tree[pick_role(path, tree, (ROLE,))])
