"""Short keys for names, for messages that are sent often."""

import functools
import hashlib

_KEY_BYTES = 5
_KNOWN_MAX = 65_536


@functools.lru_cache(maxsize=_KNOWN_MAX)
def hash_name(name: str) -> int:
    """Give the same key of 40 bits for a name in every process.

    Explanation
    -----------
    Of 3,900 names two have the same key once in 140,000 fleets; their loads
    or quotas would then be counted together.

    Examples
    --------
    >>> hash_name('i-1') == hash_name('i-1')
    True
    >>> hash_name('i-1') == hash_name('i-2')
    False

    """
    digest = hashlib.blake2b(name.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest)
