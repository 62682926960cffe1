"""How many requests a gateway may have on each server."""

from dataclasses import dataclass

from seampond.forwarding.backend import Backend


@dataclass(frozen=True, slots=True)
class CapacityLimits:
    """Limits on how far one request may fill a server.

    Explanation
    -----------
    A gateway may always fill its equal share of a server's slots, and more
    while slots are free.  Where there are more gateways than slots that share
    is zero, so a gateway below its share of the whole pool may exceed the
    slots by a few; if all did, the server's own queue would grow long.  Less
    urgent requests count fewer slots.

    Parameters
    ----------
    gateway_count : int
        Number of gateways that share the servers.
    max_in_flight : int
        Greatest number of requests of this gateway on one server, apart from
        connections that it has borrowed or lent.
    reserved_fraction : float
        Fraction of the slots that stays free.
    extra_slots : int
        Number of slots allowed beyond those of the server.

    """

    gateway_count: int
    max_in_flight: int
    reserved_fraction: float
    extra_slots: int

    def accepts(self, backend: Backend, now_ms: int) -> bool:
        """Return True if a server is usable and has a slot for a request."""
        if not backend.is_usable(now_ms):
            return False
        return self.has_slot(backend, backend.load(now_ms))

    def has_slot(self, backend: Backend, load: int) -> bool:
        """Return True if a server with this load has a slot for a request."""
        if backend.in_flight >= self.max_in_flight + backend.extra_connections:
            return False
        slots = backend.server.slots
        slots -= round(self.reserved_fraction * slots)
        share = slots // self.gateway_count
        if backend.in_flight < share:
            return True
        extra_slots = 0 if share else self.extra_slots
        return load < slots + extra_slots
