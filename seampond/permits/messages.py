"""How gateways ask each other for permits, to bytes and back."""

import functools
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from seampond.errors import ForeignMessageError

# No heartbeat begins so; a gateway of an earlier build drops what does.
_START = b'PMT1'
_SCHEMA_FILE = 'permits.capnp'
_NO_RATE = -1.0
_MAX_UINT32 = 4_294_967_295
_FAILURES = (capnp.KjException, ValueError, AttributeError)


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a gateway knows of a limit.

    Parameters
    ----------
    rate : float or None
        The requests a second that the server takes, None for no limit.
    age_ms : int
        How long ago the request was sent whose answer said so.

    """

    rate: float | None
    age_ms: int


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """One gateway asks the owner of a limit for a permit.

    Parameters
    ----------
    name : str
        Who asks.
    incarnation : int
        The key of the server's life.
    number : int
        Tells this from other asks.
    max_wait_ms : int
        After how long the permit has to hold at the latest.
    for_retry : bool
        Whether it is for a caller that was told to come back now.
    is_reservation : bool
        Whether a time to come back is wanted, and no permit.

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
    """The owner's answer.

    Parameters
    ----------
    wait_ms : int
        After how long the permit holds; where none is given, after how long
        there may be one.
    retry_after_ms : int
        After how long a permit is kept for a caller that comes back; 0 for
        none, which is all that an earlier build says.

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
    """Whether a datagram is about permits."""
    return packet.startswith(_START)


def encode_permit(message: PermitRequest | PermitReply) -> bytes:
    """Encode one datagram.

    Examples
    --------
    >>> ask = PermitRequest('g1', 7, 3, LimitReport(1.5, 20), 200)
    >>> decode_permit(encode_permit(ask)) == ask
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
    return _START + packed


def _read(reader: Any) -> PermitRequest | PermitReply:
    report = LimitReport(decode_rate(reader.rate), reader.saidAgoMs)
    common = (reader.name, reader.life, reader.number, report)
    if reader.which() == 'ask':
        ask = reader.ask
        return PermitRequest(
            *common, ask.patienceMs, ask.forReturn, ask.reserves
        )
    reply = reader.reply
    return PermitReply(*common, reply.isGiven, reply.waitMs, reply.returnMs)


def decode_permit(
    packet: bytes, *, peer: str = ''
) -> PermitRequest | PermitReply:
    """Decode one datagram.

    Raises
    ------
    ForeignMessageError
        If the bytes are no such message.

    """
    try:
        return _read(_schema().Message.from_bytes_packed(packet[len(_START) :]))
    except _FAILURES as error:
        raise ForeignMessageError(
            f'no permit: {type(error).__name__}', step='decode', peer=peer
        ) from error


def encode_rate(rate: float | None) -> float:
    """Give the number that tells a rate, or that there is none."""
    return _NO_RATE if rate is None else rate


def decode_rate(told: float) -> float | None:
    """Give the rate that a number tells, None for no limit.

    Examples
    --------
    >>> decode_rate(0.5), decode_rate(-1), decode_rate(math.nan)
    (0.5, None, None)

    """
    return told if math.isfinite(told) and told >= 0 else None
