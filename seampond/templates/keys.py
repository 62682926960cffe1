"""Creation and verification of callers' keys, stored as hashes only."""

import asyncio
import hashlib
import secrets
from dataclasses import dataclass

from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError

from seampond.templates.configuration import Configuration
from seampond.templates.models import Workspace

_SECRET_BYTES = 24
_MEMORY_KIB = 8192
_TIME_COST = 2
_VERIFIED_MAX = 20_000
_SEPARATOR = '.'
_hasher = PasswordHasher(
    time_cost=_TIME_COST, memory_cost=_MEMORY_KIB, parallelism=1
)


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key, shown once, and the hash to store."""

    key: str
    key_hash: str


def make_key(workspace: str) -> NewKey:
    """Create a key for `workspace`.

    Examples
    --------
    >>> made = make_key('front-desk')
    >>> made.key.startswith('front-desk.')
    True

    """
    key = f'{workspace}{_SEPARATOR}{secrets.token_urlsafe(_SECRET_BYTES)}'
    return NewKey(key, _hasher.hash(key))


def _matches(key_hash: str, key: str) -> bool:
    try:
        return _hasher.verify(key_hash, key)
    except (VerificationError, InvalidHashError):
        return False


class KeyRing:
    """Verifies keys and caches the hashes that they matched.

    Explanation
    -----------
    The slow hash is computed once for each key and process.  The cache maps
    a keyed digest of the key to the hash that it matched, which is valid
    only while the workspace still lists that hash.
    """

    def __init__(self) -> None:
        """Create a key ring with an empty cache."""
        self._pepper = secrets.token_bytes(_SECRET_BYTES)
        self._verified: dict[bytes, str] = {}

    async def find_workspace(
        self, configuration: Configuration, key: str
    ) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        name = key.partition(_SEPARATOR)[0]
        workspace = configuration.workspaces.get(name)
        if workspace is None:
            return None
        digest = hashlib.blake2b(key.encode(), key=self._pepper).digest()
        verified_hash = self._verified.get(digest)
        if verified_hash is not None and verified_hash in workspace.key_hashes:
            return workspace
        for key_hash in workspace.key_hashes:
            if await asyncio.to_thread(_matches, key_hash, key):
                self._record_verified(digest, key_hash)
                return workspace
        return None

    def _record_verified(self, digest: bytes, key_hash: str) -> None:
        if len(self._verified) >= _VERIFIED_MAX:
            self._verified.clear()
        self._verified[digest] = key_hash
