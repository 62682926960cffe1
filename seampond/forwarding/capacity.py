"""How far servers may be filled."""

from dataclasses import dataclass

from seampond.forwarding.backend import Backend


@dataclass(frozen=True, slots=True)
class CapacityLimits:
    """How far a request may fill servers.

    Explanation
    -----------
    A gateway may fill its equal part of each server's slots.  Where there are
    more gateways than slots that part is nothing, so one that is below its
    part of the whole pool may go a little beyond the slots; all of them
    together would have a server queue many.  Less urgent work counts fewer
    slots.

    Parameters
    ----------
    gateway_count : int
        How many share the servers.
    max_in_flight : int
        How many requests we may have on one server.
    reserved_fraction : float
        The part of the slots that is left free.
    extra_slots : int
        The places beyond the slots.

    """

    gateway_count: int
    max_in_flight: int
    reserved_fraction: float
    extra_slots: int

    def accepts(self, backend: Backend, now_ms: int) -> bool:
        """Whether a server is used and has a place for one more of ours."""
        if not backend.is_usable(now_ms):
            return False
        return self.has_slot(backend, backend.load(now_ms))

    def has_slot(self, backend: Backend, load: int) -> bool:
        """Whether a server has a place for one more of ours."""
        if backend.in_flight >= self.max_in_flight:
            return False
        slots = backend.server.slots
        slots -= round(self.reserved_fraction * slots)
        share = slots // self.gateway_count
        if backend.in_flight < share:
            return True
        beyond = 0 if share else self.extra_slots
        return load < slots + beyond
