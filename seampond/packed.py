"""Reading of packed Cap'n Proto messages that may hold any bytes.

The decoder of packed messages reads all segments but the first one when they
are used, at the latest in a destructor: if they are cut, its error ends the
process.  So messages of several segments are unpacked here.
"""

import itertools
import struct
from typing import Any

# Far more than what gateways put into a datagram.
DATAGRAM_MAX_WORDS = 32_768
_WORD_BYTES = 8
_FULL_TAG = 255
_RUN_TAGS = frozenset((0, _FULL_TAG))
_TAGS = 256
_ABSENT = b'\0'
_FIRST_WORD = struct.Struct('<II')


def _find_places(tag: int) -> bytes:
    """Return for each byte of a word its index among those present."""
    indexes = itertools.count()
    return bytes(
        next(indexes) if tag >> bit & 1 else _FULL_TAG
        for bit in range(_WORD_BYTES)
    )


_PLACES = tuple(map(_find_places, range(_TAGS)))


def read_packed(
    schema: Any, packet: bytes, max_words: int = DATAGRAM_MAX_WORDS
) -> Any:
    """Return the reader of a packed message.

    Raises
    ------
    ValueError, capnp.KjException
        If the message is cut, or longer than `max_words` when unpacked.

    """
    other_segments, first_words = _FIRST_WORD.unpack(unpack(packet, 1))
    if first_words > max_words:
        raise ValueError(f'{first_words} words in the first segment')
    if not other_segments:
        return schema.from_bytes_packed(
            packet, traversal_limit_in_words=max_words
        )
    with schema.from_bytes(
        unpack(packet, max_words, is_whole=True),
        traversal_limit_in_words=max_words,
    ) as reader:
        return reader


def unpack(packet: bytes, max_words: int, *, is_whole: bool = False) -> bytes:
    """Return the first words of a packed message.

    Parameters
    ----------
    is_whole : bool
        Whether it is an error if there are more words.

    Raises
    ------
    ValueError
        If the message ends inside a word or a run, or has no words.

    Examples
    --------
    >>> unpack(bytes((16, 1, 0, 1)), 2).hex()
    '00000000010000000000000000000000'

    """
    words = bytearray()
    position = 0
    max_bytes = max_words * _WORD_BYTES
    while position < len(packet) and len(words) <= max_bytes - _WORD_BYTES:
        position = _unpack_next(packet, position, words)
    is_longer = position < len(packet) or len(words) > max_bytes
    if not words or (is_whole and is_longer):
        raise ValueError(f'not a message of up to {max_words} words')
    return bytes(words[:max_bytes])


def _unpack_next(packet: bytes, position: int, words: bytearray) -> int:
    """Append a word and the run after it; return where the next one starts."""
    tag = packet[position]
    start = position + 1
    end = start + tag.bit_count()
    next_position = end
    zeros = 0
    if tag in _RUN_TAGS:
        run_bytes = _WORD_BYTES * packet[end] if end < len(packet) else 0
        zeros = 0 if tag else run_bytes
        next_position += 1 + run_bytes - zeros
    if next_position > len(packet):
        raise ValueError('message ends inside a word or a run')
    present = packet[start:end].ljust(_TAGS, _ABSENT)
    words += _PLACES[tag].translate(present)
    words += packet[end + 1 : next_position] + bytes(zeros)
    return next_position
