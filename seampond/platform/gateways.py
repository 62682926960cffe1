"""Rows of the gateways' table: where each listens for heartbeats."""

import msgspec

from seampond.platform.rows import NonEmptyText, decode_row, validate_address


class _Gateway(msgspec.Struct, frozen=True):
    address: NonEmptyText

    def __post_init__(self) -> None:
        """Validate the address."""
        validate_address(self.address)


def parse_gateway(name: str, content: bytes) -> str:
    """Return the address in the row of a gateway.

    Raises
    ------
    PlatformError
        If the row is not valid.

    Examples
    --------
    >>> parse_gateway('g1', encode_gateway('10.0.0.1:7600'))
    '10.0.0.1:7600'

    """
    return decode_row(content, _Gateway, step='gateways', peer=name).address


def encode_gateway(address: str) -> bytes:
    """Return the content of a gateway's row."""
    return msgspec.json.encode(_Gateway(address))
