"""Messages to bytes and back, by Cap'n Proto."""

import functools
from collections.abc import Mapping, Sequence
from dataclasses import fields
from pathlib import Path
from types import MappingProxyType
from typing import Any

import capnp

from seampond.errors import ForeignMessageError
from seampond.links import messages
from seampond.packed import read_packed

MAX_PACKET_BYTES = 67_108_864
_TRAVERSAL_WORDS = 16_777_216
_SCHEMA_FILE = 'link.capnp'
_DECODE_FAILURES = (
    capnp.KjException,
    ValueError,
    KeyError,
    AttributeError,
)

_KINDS: Mapping[str, type[messages.Message]] = MappingProxyType(
    {
        'hello': messages.Hello,
        'proof': messages.Proof,
        'reserve': messages.Reserve,
        'withdraw': messages.Withdraw,
        'ask': messages.Ask,
        'grant': messages.Grant,
        'deny': messages.Deny,
        'turnAway': messages.TurnAway,
        'head': messages.Head,
        'frame': messages.Frame,
        'finish': messages.Finish,
        'cancel': messages.Cancel,
        'resume': messages.Resume,
        'received': messages.Received,
        'pulse': messages.Pulse,
    }
)


def _camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(word.capitalize() for word in rest)


# For each kind: pairs of our field name and the schema's.
_FIELDS = MappingProxyType(
    {
        kind: tuple(
            (fld.name, _camel(fld.name)) for fld in fields(message_type)
        )
        for kind, message_type in _KINDS.items()
    }
)
_KIND_OF = MappingProxyType(
    {message_type: kind for kind, message_type in _KINDS.items()}
)


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def _fill_headers(builder: Any, headers: Sequence[messages.Header]) -> None:
    rows = builder.init('headers', len(headers))
    for row, header in zip(rows, headers, strict=True):
        row.name = header.name
        row.value = header.value


def _fill(builder: Any, kind: str, message: Any) -> None:
    for name, wire_name in _FIELDS[kind]:
        if name == 'headers':
            _fill_headers(builder, message.headers)
        else:
            setattr(builder, wire_name, getattr(message, name))


def encode(batch: Sequence[messages.Message]) -> bytes:
    """Encode messages into one packet.

    Parameters
    ----------
    batch : Sequence[Message]
        The messages, in order.

    Returns
    -------
    bytes
        The packet, without its length.

    Examples
    --------
    >>> decode(encode([messages.Deny('r1', 1)]))
    [Deny(id='r1', attempt=1)]

    """
    packet = _schema().Packet.new_message()
    rows = packet.init('items', len(batch))
    for row, message in zip(rows, batch, strict=True):
        kind = _KIND_OF[type(message)]
        _fill(row.init(kind), kind, message)
    packed: bytes = packet.to_bytes_packed()
    return packed


def _read_headers(rows: Any) -> tuple[messages.Header, ...]:
    return tuple(messages.Header(row.name, row.value) for row in rows)


def _read(row: Any) -> messages.Message:
    kind = row.which()
    reader = getattr(row, str(kind))
    content = {}
    for name, wire_name in _FIELDS[str(kind)]:
        part = getattr(reader, wire_name)
        if name == 'headers':
            part = _read_headers(part)
        elif isinstance(part, memoryview):
            part = bytes(part)
        content[name] = part
    return _KINDS[str(kind)](**content)


def decode(packet: bytes, *, peer: str = '') -> list[messages.Message]:
    """Decode one packet.

    Parameters
    ----------
    packet : bytes
        What :func:`encode` gave.
    peer : str
        Who sent it, for the error.

    Returns
    -------
    list[Message]
        The messages, in order.

    Raises
    ------
    ForeignMessageError
        If the bytes are not a packet of this protocol.

    """
    try:
        reader = read_packed(_schema().Packet, packet, _TRAVERSAL_WORDS)
        return [_read(row) for row in reader.items]
    except _DECODE_FAILURES as error:
        raise ForeignMessageError(
            f'not a packet of this protocol: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error
