"""Encoding of the messages by which gateways request and grant permits."""

import functools
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from seampond.errors import ForeignMessageError
from seampond.packed import read_packed

# Tells permit messages from heartbeats; older releases drop them as invalid.
_PREFIX = b'PMT1'
_SCHEMA_FILE = 'permits.capnp'
_NO_RATE = -1.0
_MAX_UINT32 = 4_294_967_295
_DECODE_ERRORS = (capnp.KjException, ValueError, AttributeError)


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a gateway knows of a server's limit.

    Parameters
    ----------
    rate : float or None
        Requests per second that the server accepts, None without a limit.
    age_ms : int
        Time since the request was sent whose response reported the limit.

    """

    rate: float | None
    age_ms: int


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request to the owner of a limit for a permit or a reservation.

    Parameters
    ----------
    name : str
        Name of the requesting gateway.
    incarnation : int
        Key of the server incarnation.
    number : int
        Number of the request, unique for the sender.
    max_wait_ms : int
        Longest acceptable time until the permit becomes valid.
    for_retry : bool
        Whether the permit is for a caller's retry after a refusal.
    is_reservation : bool
        Whether a permit is to be reserved for a later retry.

    """

    name: str
    incarnation: int
    number: int
    report: LimitReport
    max_wait_ms: int
    for_retry: bool = False
    is_reservation: bool = False


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply of the owner of a limit.

    Parameters
    ----------
    wait_ms : int
        Time until the permit becomes valid; for a refusal, until one may be
        available.
    retry_after_ms : int
        Time until the reserved permit, 0 for none; older releases always
        send 0.

    """

    name: str
    incarnation: int
    number: int
    report: LimitReport
    is_granted: bool
    wait_ms: int
    retry_after_ms: int = 0


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def is_permit_message(packet: bytes) -> bool:
    """Return True if a datagram is a permit message."""
    return packet.startswith(_PREFIX)


def encode_permit(message: PermitRequest | PermitReply) -> bytes:
    """Return the datagram of a message.

    Examples
    --------
    >>> request = PermitRequest('g1', 7, 3, LimitReport(1.5, 20), 200)
    >>> decode_permit(encode_permit(request)) == request
    True

    """
    fields: dict[str, Any] = {
        'name': message.name,
        'life': message.incarnation,
        'number': message.number,
        'rate': encode_rate(message.report.rate),
        'saidAgoMs': min(message.report.age_ms, _MAX_UINT32),
    }
    if isinstance(message, PermitRequest):
        fields['ask'] = {
            'patienceMs': message.max_wait_ms,
            'forReturn': message.for_retry,
            'reserves': message.is_reservation,
        }
    else:
        fields['reply'] = {
            'isGiven': message.is_granted,
            'waitMs': min(message.wait_ms, _MAX_UINT32),
            'returnMs': message.retry_after_ms,
        }
    packed: bytes = _schema().Message.new_message(**fields).to_bytes_packed()
    return _PREFIX + packed


def _read(reader: Any) -> PermitRequest | PermitReply:
    report = LimitReport(decode_rate(reader.rate), reader.saidAgoMs)
    common = (reader.name, reader.life, reader.number, report)
    if reader.which() == 'ask':
        request = reader.ask
        return PermitRequest(
            *common, request.patienceMs, request.forReturn, request.reserves
        )
    reply = reader.reply
    return PermitReply(*common, reply.isGiven, reply.waitMs, reply.returnMs)


def decode_permit(
    packet: bytes, *, peer: str = ''
) -> PermitRequest | PermitReply:
    """Return the message of a datagram.

    Raises
    ------
    ForeignMessageError
        If the datagram is not a valid permit message.

    """
    try:
        return _read(read_packed(_schema().Message, packet[len(_PREFIX) :]))
    except _DECODE_ERRORS as error:
        raise ForeignMessageError(
            f'invalid permit message: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error


def encode_rate(rate: float | None) -> float:
    """Return the encoding of a rate, a negative number for no limit."""
    return _NO_RATE if rate is None else rate


def decode_rate(encoded: float) -> float | None:
    """Return the rate that a number encodes, None for no limit.

    Examples
    --------
    >>> decode_rate(0.5), decode_rate(-1), decode_rate(math.nan)
    (0.5, None, None)

    """
    return encoded if math.isfinite(encoded) and encoded >= 0 else None
