"""Fingerprints of requests and of prompt parts, independent of request ids."""

import functools
import hashlib
from collections.abc import Iterable

_KEY_BYTES = 8
_PART_DOMAIN = b'part'
_CACHED_PARTS = 4096


def fingerprint(
    method: bytes, host: bytes, target: bytes, workspace: str, body: bytes
) -> int:
    """Return a 64-bit key that is equal for equal requests in any process.

    Explanation
    -----------
    A retry has a new request id, but the same method, path, workspace and
    body.  Each part is prefixed with its length, so that parts cannot shift.

    Examples
    --------
    >>> once = fingerprint(b'POST', b'h', b'/x', 'desk', b'ask')
    >>> once == fingerprint(b'POST', b'h', b'/x', 'desk', b'ask')
    True
    >>> once == fingerprint(b'POST', b'h', b'/xd', 'esk', b'ask')
    False

    """
    return _digest((method, host, target, workspace.encode(), body))


@functools.lru_cache(maxsize=_CACHED_PARTS)
def fingerprint_part(pool: str, part: str) -> int:
    """Return a 64-bit key of a part of prompts for the servers of a pool.

    Examples
    --------
    >>> fingerprint_part('llm', 'ab') == fingerprint_part('llm', 'ab')
    True
    >>> fingerprint_part('llm', 'ab') == fingerprint_part('small', 'ab')
    False

    """
    return _digest((_PART_DOMAIN, pool.encode(), part.encode()))


def format_fingerprint(key: int) -> str:
    """Return a fingerprint in the format of logs and the store.

    Examples
    --------
    >>> format_fingerprint(255)
    '00000000000000ff'

    """
    return '%016x' % key


def _digest(fields: Iterable[bytes]) -> int:
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for field in fields:
        digest.update(b'%d:' % len(field))
        digest.update(field)
    return int.from_bytes(digest.digest())
