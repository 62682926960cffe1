"""Decoding of rows of the platform's tables into typed models.

A row may hold any bytes.  An invalid row always raises `PlatformError` that
names the row.
"""

import ipaddress
from typing import Annotated, TypeVar

import msgspec

from seampond.errors import PlatformError

# Highest plausible count, or time in milliseconds (the year 5138).
_NUMBER_MAX = 100_000_000_000_000
_PORT_MAX = 65_535
_TEXT_MAX = 200
# Deep nesting raises `RecursionError`; lone surrogates and bytes that are not
# UTF-8 raise `ValueError`.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    OverflowError,
    ValueError,
)

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_NUMBER_MAX)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=_NUMBER_MAX)]
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
    """Decode the content of a row.

    Parameters
    ----------
    is_strict : bool
        Whether a string in place of a number is an error.

    Raises
    ------
    PlatformError
        If the content does not fit the model; names the first invalid field.

    Examples
    --------
    >>> decode_row(b'[' * 100_000, list, step='s')  # doctest: +ELLIPSIS
    Traceback (most recent call last):
        ...
    seampond.errors.PlatformError: RecursionError: ...

    """
    try:
        return msgspec.json.decode(content, type=model, strict=is_strict)
    except DECODE_ERRORS as error:
        name = type(error).__name__
        raise PlatformError(f'{name}: {error}', step=step, peer=peer) from error


def validate_address(address: str) -> str:
    """Return an address unchanged if it is an IPv4 address and a port.

    Raises
    ------
    ValueError
        If it is not.

    Examples
    --------
    >>> validate_address('10.0.0.9:80')
    '10.0.0.9:80'
    >>> validate_address('10.0.0.9:65536')
    Traceback (most recent call last):
        ...
    ValueError: not an IPv4 address and port: '10.0.0.9:65536'

    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(
            f'not an IPv4 address and port: {address!r}'
        ) from error
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _PORT_MAX):
        raise ValueError(f'not an IPv4 address and port: {address!r}')
    return address
