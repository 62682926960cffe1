"""Fingerprints of requests, independent of request ids."""

import hashlib

_KEY_BYTES = 8


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
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in (method, host, target, workspace.encode(), body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest())


def format_fingerprint(key: int) -> str:
    """Return a fingerprint in the format of logs and the store.

    Examples
    --------
    >>> format_fingerprint(255)
    '00000000000000ff'

    """
    return '%016x' % key
