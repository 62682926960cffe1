"""Parsing of rows of the platform's list of servers."""

import msgspec

from seampond.forwarding.server import Server
from seampond.platform import names
from seampond.platform.rows import (
    NonEmptyText,
    NonNegativeFloat,
    NonNegativeInt,
    decode_row,
    validate_address,
)

_STATES = frozenset((names.READY_STATE, names.DRAINING_STATE))
_ERROR_STEP = 'servers'


class _Server(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """A server's row; unknown fields are ignored."""

    service: NonEmptyText
    address: NonEmptyText
    zone: NonEmptyText
    slots: NonNegativeInt
    state: NonEmptyText
    version: str = ''
    cold_left_ms: NonNegativeFloat = 0
    born: NonNegativeInt = 0

    def __post_init__(self) -> None:
        """Validate the address, the state and the number of slots."""
        validate_address(self.address)
        if self.state not in _STATES:
            raise ValueError(f'`state` is {self.state!r}')
        if not self.slots:
            raise ValueError('`slots` is 0')


def parse_server(server_id: str, content: bytes) -> Server:
    """Parse the row of one server.

    Raises
    ------
    PlatformError
        If the row is not valid.

    Examples
    --------
    >>> row = (
    ...     b'{"service": "llm", "address": "10.0.0.9:80", "zone": "z",'
    ...     b' "slots": 4, "state": "ready"}'
    ... )
    >>> parse_server('i-1', row).is_draining
    False

    """
    row = decode_row(content, _Server, step=_ERROR_STEP, peer=server_id)
    return Server(
        id=server_id,
        pool=row.service,
        address=row.address,
        zone=row.zone,
        slots=row.slots,
        is_draining=row.state == names.DRAINING_STATE,
        version=row.version,
        cold_ms=round(row.cold_left_ms),
        started_ms=row.born,
    )
