"""The gateways that keep the origin of a stream besides the one it began at."""

import bisect
from typing import Protocol

from seampond.sharing.hashing import hash_name

_POINTS_PER_GATEWAY = 8


class GatewayDirectory(Protocol):
    """The gateways that keep the origins of streams."""

    name: str

    @property
    def origin_keepers(self) -> tuple[str, ...]:
        """Names of the other reachable gateways that keep origins."""

    @property
    def names(self) -> frozenset[str]:
        """Names of all others that are listed, also silent ones."""

    @property
    def count(self) -> int:
        """Number of gateways that may be running."""

    def address_of(self, name: str) -> str:
        """Return the address of a gateway, empty if it is not listed."""


class OriginOwners:
    """Assigns the owners of each stream by consistent hashing.

    Explanation
    -----------
    Gateways agree on owners without messages as long as they know the same
    live gateways.  A ring costs one search for a stream, however many
    gateways there are.
    """

    def __init__(self, gateways: GatewayDirectory) -> None:
        """Start without a ring."""
        self._gateways = gateways
        self._keepers: tuple[str, ...] = ()
        self._points: list[int] = []
        self._names: list[str] = []

    def find_owners(self, stream: int, count: int) -> list[str]:
        """Return the names of up to `count` other gateways."""
        keepers = self._gateways.origin_keepers
        if keepers != self._keepers:
            self._build_ring(keepers)
        owners: list[str] = []
        start = bisect.bisect(self._points, stream)
        for name in (*self._names[start:], *self._names[:start]):
            if name not in owners:
                owners.append(name)
            if len(owners) == count:
                break
        return owners

    def _build_ring(self, keepers: tuple[str, ...]) -> None:
        self._keepers = keepers
        ring = sorted(
            (hash_name(f'{name} {number}'), name)
            for name in keepers
            for number in range(_POINTS_PER_GATEWAY)
        )
        self._points = [point for point, _ in ring]
        self._names = [name for _, name in ring]
