"""The gateway that owns the limit of a server incarnation."""

from typing import Protocol

from seampond.sharing.hashing import hash_name

# Even at a limit of 0 some requests are sent, to notice when it is lifted.
_MIN_RATE_PER_S = 0.25


class GatewayDirectory(Protocol):
    """The gateways that share the limits of servers."""

    name: str

    @property
    def permit_issuers(self) -> tuple[str, ...]:
        """Names of the other gateways that issue permits."""

    @property
    def has_gateway_list(self) -> bool:
        """Whether the list of the gateways is known."""

    @property
    def count(self) -> int:
        """Number of gateways that may be running."""

    @property
    def heartbeat_interval_ms(self) -> int:
        """Interval of heartbeats."""


class LimitOwners:
    """Assigns the owner of each limit by rendezvous hashing.

    Explanation
    -----------
    Gateways agree on owners without messages as long as they know the same
    live gateways.  A gateway that is about to stop stays an owner: if all
    stop at once, each of them would otherwise own every limit.
    """

    def __init__(self, gateways: GatewayDirectory) -> None:
        """Start with an empty cache."""
        self._gateways = gateways
        self._owners: dict[int, str] = {}
        self._candidates: tuple[str, ...] = ()

    def is_local(self, key: int) -> bool:
        """Return True if this gateway owns the limit."""
        return self.find_owner(key) == self._gateways.name

    def find_owner(self, key: int) -> str:
        """Return the owner's name, empty until the gateways are known."""
        if not self._gateways.has_gateway_list:
            return ''
        candidates = (*self._gateways.permit_issuers, self._gateways.name)
        if candidates != self._candidates:
            self._owners.clear()
            self._candidates = candidates
        owner = self._owners.get(key)
        if owner is None:
            owner = max(candidates, key=lambda name: hash_name(f'{name} {key}'))
            self._owners[key] = owner
        return owner

    def owned_rate(self, rate: float | None) -> float:
        """Return the permits per second that the owner of a limit may grant.

        Explanation
        -----------
        Part of the limit is left to gateways that do not issue permits or are
        silent, since they may be sending too.
        """
        total_rate = max(_MIN_RATE_PER_S, rate or 0)
        issuer_count = len(self._gateways.permit_issuers) + 1
        return (
            total_rate * issuer_count / max(issuer_count, self._gateways.count)
        )
