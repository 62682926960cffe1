"""Encoding of the messages by which gateways borrow and lend retries."""

import functools
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from seampond.errors import ForeignMessageError

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


LoanMessage = LoanRequest | LoanReply


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
    if isinstance(message, LoanRequest):
        fields = {'request': {'number': message.number, 'pool': message.pool}}
    else:
        fields = {
            'reply': {'number': message.number, 'isLent': message.is_lent}
        }
    packed: bytes = _schema().Message.new_message(**fields).to_bytes_packed()
    return _PREFIX + packed


def decode_loan(packet: bytes, *, peer: str = '') -> LoanMessage:
    """Return the message of a datagram.

    Raises
    ------
    ForeignMessageError
        If the datagram is not a valid message.

    """
    try:
        message = _schema().Message.from_bytes_packed(packet[len(_PREFIX) :])
        if message.which() == 'request':
            return LoanRequest(message.request.number, message.request.pool)
        return LoanReply(message.reply.number, message.reply.isLent)
    except _DECODE_ERRORS as error:
        raise ForeignMessageError(
            f'invalid message about retries: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error
