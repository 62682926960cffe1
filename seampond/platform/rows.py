"""Rows of the platform's tables, read into typed models.

Whoever may write to a table may write anything: what is no row of ours must be
an error that names the row, whatever its bytes are.
"""

import ipaddress
from typing import Annotated, TypeVar

import msgspec

from seampond.errors import PlatformError

# Beyond this a count or a time in milliseconds is none: the year 5138.
_WHOLE_MAX = 100_000_000_000_000
_PORT_MAX = 65_535
_TEXT_MAX = 200
# A row that is nested more deeply than the parser goes is a `RecursionError`,
# a text with lone surrogates or no UTF-8 a `ValueError`.
_NOT_A_ROW = (
    msgspec.MsgspecError,
    RecursionError,
    OverflowError,
    ValueError,
)

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_WHOLE_MAX)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=_WHOLE_MAX)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=_TEXT_MAX)]
_Model = TypeVar('_Model')


def decode_row(
    content: bytes,
    model: type[_Model],
    *,
    step: str,
    peer: str = '',
    is_strict: bool = True,
) -> _Model:
    """Read the content of a row.

    Parameters
    ----------
    is_strict : bool
        Whether a text in place of a number is an error.

    Raises
    ------
    PlatformError
        If it is not what the model says; names the first bad field.

    Examples
    --------
    >>> decode_row(b'[' * 100_000, list, step='s')  # doctest: +ELLIPSIS
    Traceback (most recent call last):
        ...
    seampond.errors.PlatformError: RecursionError: ...

    """
    try:
        return msgspec.json.decode(content, type=model, strict=is_strict)
    except _NOT_A_ROW as error:
        name = type(error).__name__
        raise PlatformError(f'{name}: {error}', step=step, peer=peer) from error


def validate_address(address: str) -> str:
    """Give an address of four numbers and a port as it is.

    Raises
    ------
    ValueError
        If it is none.

    Examples
    --------
    >>> validate_address('10.0.0.9:80')
    '10.0.0.9:80'
    >>> validate_address('10.0.0.9:65536')
    Traceback (most recent call last):
        ...
    ValueError: no address: '10.0.0.9:65536'

    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f'no address: {address!r}') from error
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _PORT_MAX):
        raise ValueError(f'no address: {address!r}')
    return address
