"""Encoding of the messages about the versions that began streams."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import capnp

from seampond.errors import ForeignMessageError
from seampond.packed import read_packed

# Tells these messages from heartbeats; older releases drop them as invalid.
_PREFIX = b'STV1'
_SCHEMA_FILE = 'streams.capnp'
_MAX_UINT32 = 4_294_967_295
_DECODE_ERRORS = (capnp.KjException, ValueError, AttributeError)


@dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams that began at one version of a pool.

    Parameters
    ----------
    pool : int
        Hash of the pool's name.
    streams : tuple[int, ...]
        Keys of the streams.

    """

    pool: int
    version: str
    streams: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class UnverifiedReport:
    """Streams that began at one version, if the known process ran them.

    Parameters
    ----------
    pool, version, streams :
        As in `OriginReport`.
    incarnation : int
        Key of the server incarnation that the reporting gateway knew.
    connected_ago_ms : int
        How long ago the connection to it was made.

    """

    pool: int
    version: str
    streams: tuple[int, ...]
    incarnation: int
    connected_ago_ms: int


@dataclass(frozen=True, slots=True)
class OriginRequest:
    """Request for the version that began a stream.

    Parameters
    ----------
    number : int
        Number of the request, unique for the sender.
    stream : int
        Key of the stream, 0 to request only the versions of the pool.
    pool : int
        Hash of the pool whose versions the reply lists, 0 for none.

    """

    number: int
    stream: int
    pool: int = 0


@dataclass(frozen=True, slots=True)
class OriginReply:
    """Reply to a request for the version that began a stream.

    Parameters
    ----------
    pool, version, age_ms :
        Where the stream began and for how long that has been known, if
        `is_known`.
    watched_ms : int
        For how long the replying gateway has known all versions.
    seen_ago_ms : Mapping[str, int]
        By version of the requested pool, when it was last listed.
    is_uncertain : bool
        Whether a server of that pool may run another version than its row
        says.
    is_unverified : bool
        Whether the origin is recorded, but not whether that version ran.

    """

    number: int
    is_known: bool = False
    pool: int = 0
    version: str = ''
    age_ms: int = 0
    watched_ms: int = 0
    seen_ago_ms: Mapping[str, int] = field(default_factory=dict)
    is_uncertain: bool = False
    is_unverified: bool = False


OriginMessage = OriginReport | UnverifiedReport | OriginRequest | OriginReply


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def is_origin_message(packet: bytes) -> bool:
    """Return True if a datagram is a message about streams."""
    return packet.startswith(_PREFIX)


def encode_origin(message: OriginMessage) -> bytes:
    """Return the datagram of a message.

    Examples
    --------
    >>> report = OriginReport(7, 'v1', (3, 4))
    >>> decode_origin(encode_origin(report)) == report
    True

    """
    fields = _describe(message)
    packed: bytes = _schema().Message.new_message(**fields).to_bytes_packed()
    return _PREFIX + packed


def decode_origin(packet: bytes, *, peer: str = '') -> OriginMessage:
    """Return the message of a datagram.

    Raises
    ------
    ForeignMessageError
        If the datagram is not a valid message.

    """
    try:
        return _read(read_packed(_schema().Message, packet[len(_PREFIX) :]))
    except _DECODE_ERRORS as error:
        raise ForeignMessageError(
            f'invalid message about streams: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error


def _describe(message: OriginMessage) -> dict[str, Any]:
    """Return the fields of a message by their schema names."""
    if isinstance(message, OriginReport):
        return {
            'report': {
                'pool': message.pool,
                'version': message.version,
                'streams': list(message.streams),
            }
        }
    if isinstance(message, UnverifiedReport):
        return {
            'unverified': {
                'pool': message.pool,
                'version': message.version,
                'streams': list(message.streams),
                'incarnation': message.incarnation,
                'connectedAgoMs': min(message.connected_ago_ms, _MAX_UINT32),
            }
        }
    if isinstance(message, OriginRequest):
        return {
            'request': {
                'number': message.number,
                'stream': message.stream,
                'pool': message.pool,
            }
        }
    return {'reply': _describe_reply(message)}


def _describe_reply(reply: OriginReply) -> dict[str, Any]:
    return {
        'number': reply.number,
        'isKnown': reply.is_known,
        'pool': reply.pool,
        'version': reply.version,
        'ageMs': min(reply.age_ms, _MAX_UINT32),
        'watchedMs': min(reply.watched_ms, _MAX_UINT32),
        'isUncertain': reply.is_uncertain,
        'isUnverified': reply.is_unverified,
        'seenVersions': list(reply.seen_ago_ms),
        'seenAgoMs': [
            min(ago_ms, _MAX_UINT32) for ago_ms in reply.seen_ago_ms.values()
        ],
    }


def _read(reader: Any) -> OriginMessage:
    kind = reader.which()
    if kind == 'report':
        report = reader.report
        return OriginReport(report.pool, report.version, tuple(report.streams))
    if kind == 'unverified':
        report = reader.unverified
        return UnverifiedReport(
            report.pool,
            report.version,
            tuple(report.streams),
            report.incarnation,
            report.connectedAgoMs,
        )
    if kind == 'request':
        request = reader.request
        return OriginRequest(request.number, request.stream, request.pool)
    reply = reader.reply
    seen_ago_ms = dict(zip(reply.seenVersions, reply.seenAgoMs, strict=True))
    return OriginReply(
        reply.number,
        reply.isKnown,
        reply.pool,
        reply.version,
        reply.ageMs,
        reply.watchedMs,
        seen_ago_ms,
        reply.isUncertain,
        reply.isUnverified,
    )
