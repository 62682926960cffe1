"""Rows of the gateways' table: where each listens for heartbeats."""

import msgspec

from seampond.platform.rows import NonEmptyText, decode_row, validate_address


class GatewayRow(msgspec.Struct, frozen=True):
    """What a gateway writes about itself.

    Parameters
    ----------
    renews : bool
        Whether it writes the row again if others remove it.

    """

    address: NonEmptyText
    renews: bool = False

    def __post_init__(self) -> None:
        """Validate the address."""
        validate_address(self.address)


def parse_gateway(name: str, content: bytes) -> GatewayRow:
    """Return the row of a gateway.

    Raises
    ------
    PlatformError
        If the row is not valid.

    Examples
    --------
    >>> parse_gateway('g1', encode_gateway('10.0.0.1:7600')).address
    '10.0.0.1:7600'

    """
    return decode_row(content, GatewayRow, step='gateways', peer=name)


def encode_gateway(address: str) -> bytes:
    """Return the content of a gateway's row."""
    return msgspec.json.encode(GatewayRow(address, renews=True))
