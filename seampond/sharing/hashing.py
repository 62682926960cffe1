"""Short hashes that stand for names in heartbeats."""

import functools
import hashlib

_HASH_BYTES = 5
_CACHE_SIZE = 65_536


@functools.lru_cache(maxsize=_CACHE_SIZE)
def hash_name(name: str) -> int:
    """Return a 40-bit hash of a name, equal in every process.

    Explanation
    -----------
    Loads or quotas of two names with the same hash would be added up; the hash
    is long enough to make this unlikely.

    Examples
    --------
    >>> hash_name('i-1') == hash_name('i-1')
    True
    >>> hash_name('i-1') == hash_name('i-2')
    False

    """
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest)
