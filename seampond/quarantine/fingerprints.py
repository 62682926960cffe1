"""A key of what a request asks, whatever its id."""

import hashlib

_KEY_BYTES = 8


def fingerprint(
    method: bytes, host: bytes, target: bytes, workspace: str, body: bytes
) -> int:
    """Give the same key of 64 bits for the same request in every process.

    Explanation
    -----------
    A caller that comes again has a new request id; path, caller and body
    are what stays.  Two of a million requests have the same key once in
    37 million fleets.

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
    """Give a key as logs and the store name it.

    Examples
    --------
    >>> format_fingerprint(255)
    '00000000000000ff'

    """
    return '%016x' % key
