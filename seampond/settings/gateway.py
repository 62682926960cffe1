"""The settings of a gateway.

The models are msgspec's: a gateway has to be back a moment after a power
loss, and the library of the other roles' models costs a third of its start.
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
_HISTORY_PART = 0.75
_FIELD = re.compile('`([^`]+)`')

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Name = Annotated[str, msgspec.Meta(pattern=_NAME)]
Level = Annotated[str, msgspec.Meta(pattern=_LEVEL)]
PositiveMs = Annotated[int, msgspec.Meta(gt=0)]
NonNegativeMs = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]


class Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all sections: unknown keys are errors."""


class LogSettings(Section, frozen=True):
    """What is logged."""

    level: Level = 'INFO'


class StoreSettings(Section, frozen=True):
    """The store that a gateway's beliefs come from.

    Parameters
    ----------
    wait_ms : int
        How long the store holds a call while nothing changes.
    history_ms : int
        How long the store knows what has changed.

    """

    address: Address
    wait_ms: PositiveMs = 15_000
    history_ms: PositiveMs = 20_000

    @property
    def call_ms(self) -> int:
        """How long a call waits, so that the history outlasts it.

        Examples
        --------
        >>> StoreSettings(address='10.0.0.1:80', history_ms=4000).call_ms
        3000

        """
        return min(self.wait_ms, round(self.history_ms * _HISTORY_PART))


class BoundSettings(Section, frozen=True):
    """The bounds that the gateways keep together.

    Parameters
    ----------
    strict_revoke : bool
        Whether a key that was removed must not be served later than
        `revoke_ms`, also by a gateway that is cut off from the store.
    revoke_ms : int
        How long after its removal a key may still be served.
    proof_margin_ms : int
        How much earlier than that a gateway without proof stops.
    drain_ms : int
        How long after the list has told of its end a server may be sent to.
    retry_ratio : float
        Second sends for each fresh request, in any window.
    quota_overrun, quota_slack : float
        In any window all gateways together may give a share of a quota and
        some units more than the quota.
    quota_window_s : float
        The length of that window.
    expose_share, expose_slack : float
        All gateways together may send a share of a pool's requests and some
        more to a version that is not proved.

    """

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
        """How old the proof of a configuration may be, None for any age.

        Examples
        --------
        >>> BoundSettings().proof_ms
        4600

        """
        if not self.strict_revoke:
            return None
        return self.revoke_ms - self.proof_margin_ms


class GatewaySettings(Section, frozen=True):
    """`seampond gateway`."""

    name: Name
    zone: str
    listen: Address
    ready_listen: Address
    metrics_listen: Address
    peer_listen: Address
    store: StoreSettings
    bounds: BoundSettings = msgspec.field(default_factory=BoundSettings)
    linger_ms: NonNegativeMs = 2600
    logs: LogSettings = msgspec.field(default_factory=LogSettings)


def _cure(error: msgspec.ValidationError) -> str:
    """Say which key is wrong, and what to do about it."""
    message, _, where = str(error).partition(' - at `$')
    path = where.rstrip('`').lstrip('.')
    named = _FIELD.search(message)
    if named and 'unknown field' in message:
        key = f'{path}.{named.group(1)}'.lstrip('.')
        return f'{key}: unknown key; remove it'
    if named and 'missing required' in message:
        key = f'{path}.{named.group(1)}'.lstrip('.')
        return f'{key}: missing; add it'
    if _ADDRESS in message:
        return (
            f'{path}: write it as IP:PORT with a port of at most 65535, for '
            'example 127.0.0.1:7001'
        )
    return f'{path}: {message}'


def convert_gateway(path: Path, content: Any) -> GatewaySettings:
    """Validate the table of a gateway's file.

    Raises
    ------
    SettingsError
        With the file, the first bad key, and what to do.

    """
    try:
        return msgspec.convert(content, GatewaySettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f'{path}: [{ROLE}] {_cure(error)}', step='settings'
        ) from error


def load_gateway(path: Path) -> GatewaySettings:
    """Read the settings file of a gateway.

    Raises
    ------
    SettingsError
        Also if the file is another role's.

    """
    tree = read_toml(path)
    return convert_gateway(path, tree[pick_role(path, tree, (ROLE,))])
