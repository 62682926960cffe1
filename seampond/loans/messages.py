"""Encoding of the messages by which gateways borrow and lend."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

import capnp

from seampond.errors import ForeignMessageError
from seampond.packed import read_packed

# Tells these messages from heartbeats; older releases drop them as invalid.
_PREFIX = b'RTL1'
_SCHEMA_FILE = 'loans.capnp'
_DECODE_ERRORS = (capnp.KjException, ValueError, AttributeError)


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Request for one retry.

    Parameters
    ----------
    number : int
        Number of the request, unique for the sender.
    pool : str
        The pool whose budget is exhausted.

    """

    number: int
    pool: str


@dataclass(frozen=True, slots=True)
class LoanReply:
    """Reply to the request with the same number."""

    number: int
    is_lent: bool


@dataclass(frozen=True, slots=True)
class ConnectionRequest:
    """Request for connections to some servers.

    Parameters
    ----------
    servers : tuple[int, ...]
        Keys of the server incarnations.
    count : int
        Number of connections to each of them.

    """

    number: int
    servers: tuple[int, ...]
    count: int


@dataclass(frozen=True, slots=True)
class ConnectionReply:
    """Reply to the request with the same number: what is lent of it."""

    number: int
    servers: tuple[int, ...]
    count: int


RetryMessage = LoanRequest | LoanReply
ConnectionMessage = ConnectionRequest | ConnectionReply
LoanMessage = RetryMessage | ConnectionMessage


_CONNECTION_FIELDS = MappingProxyType(
    {'number': 'number', 'servers': 'servers', 'count': 'count'}
)
# Name of the union's member, and attributes by the names of its fields.
_FIELDS: Mapping[type, tuple[str, Mapping[str, str]]] = MappingProxyType(
    {
        LoanRequest: ('request', {'number': 'number', 'pool': 'pool'}),
        LoanReply: ('reply', {'number': 'number', 'isLent': 'is_lent'}),
        ConnectionRequest: ('connectionRequest', _CONNECTION_FIELDS),
        ConnectionReply: ('connectionReply', _CONNECTION_FIELDS),
    }
)


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def is_loan_message(packet: bytes) -> bool:
    """Return True if a datagram is a message about lent retries."""
    return packet.startswith(_PREFIX)


def encode_loan(message: LoanMessage) -> bytes:
    """Return the datagram of a message.

    Examples
    --------
    >>> request = LoanRequest(7, 'llm')
    >>> decode_loan(encode_loan(request)) == request
    True

    """
    name, fields = _FIELDS[type(message)]
    content = {
        schema_name: _to_builtin(getattr(message, attribute))
        for schema_name, attribute in fields.items()
    }
    packed: bytes = (
        _schema().Message.new_message(**{name: content}).to_bytes_packed()
    )
    return _PREFIX + packed


def decode_loan(packet: bytes, *, peer: str = '') -> LoanMessage:
    """Return the message of a datagram.

    Raises
    ------
    ForeignMessageError
        If the datagram is not a valid message.

    """
    try:
        message = read_packed(_schema().Message, packet[len(_PREFIX) :])
        return _read(message)
    except _DECODE_ERRORS as error:
        raise ForeignMessageError(
            f'invalid message about retries: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error


def _to_builtin(field: Any) -> Any:
    return list(field) if isinstance(field, tuple) else field


def _read(message: Any) -> LoanMessage:
    """Return the message of a union's set member."""
    name = message.which()
    if name == 'request':
        return LoanRequest(message.request.number, message.request.pool)
    if name == 'reply':
        return LoanReply(message.reply.number, message.reply.isLent)
    reader = getattr(message, str(name))
    message_type = (
        ConnectionRequest if name == 'connectionRequest' else ConnectionReply
    )
    return message_type(reader.number, tuple(reader.servers), reader.count)
