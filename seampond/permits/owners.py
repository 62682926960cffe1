"""Which gateway owns the limit of a server's life."""

from typing import Protocol

from seampond.sharing.hashing import hash_name

# Of a server that takes nothing, somebody has to hear when that is over.
_LEAST_RATE = 0.25


class GatewayDirectory(Protocol):
    """The gateways that share the limits."""

    name: str

    @property
    def permit_issuers(self) -> tuple[str, ...]:
        """The others that give permits."""

    @property
    def has_gateway_list(self) -> bool:
        """Whether the list of the gateways is known."""

    @property
    def count(self) -> int:
        """How many gateways there may be."""

    @property
    def heartbeat_interval_ms(self) -> int:
        """How long after one heartbeat the next is due."""


class LimitOwners:
    """The owner of each life: the first by key among those that are heard.

    Explanation
    -----------
    All gateways work it out alike, without a message.  One that is about to
    stop is an owner too: where all do so at once, each would take the limits
    for its own.
    """

    def __init__(self, gateways: GatewayDirectory) -> None:
        """Start without having worked out any."""
        self._gateways = gateways
        self._owners: dict[int, str] = {}
        self._owned_among: tuple[str, ...] = ()

    def is_local(self, key: int) -> bool:
        """Whether we own the limit of a life."""
        return self.find(key) == self._gateways.name

    def find(self, key: int) -> str:
        """Give the owner's name, an empty one while the list is not known."""
        if not self._gateways.has_gateway_list:
            # We may be one of many.
            return ''
        among = (*self._gateways.permit_issuers, self._gateways.name)
        if among != self._owned_among:
            self._owners.clear()
            self._owned_among = among
        owner = self._owners.get(key)
        if owner is None:
            owner = max(among, key=lambda name: hash_name(f'{name} {key}'))
            self._owners[key] = owner
        return owner

    def share(self, rate: float | None) -> float:
        """Give the permits a second that an owner may give of a limit.

        Explanation
        -----------
        Gateways that are silent, or know nothing of permits, may be sending.
        """
        least = max(_LEAST_RATE, rate or 0)
        permit_issuers = len(self._gateways.permit_issuers) + 1
        return (
            least * permit_issuers / max(permit_issuers, self._gateways.count)
        )
