"""Limits on the connections of a gateway's callers, from its settings."""

import resource

from seampond.clock import Clock
from seampond.forwarding.admission import Admission
from seampond.forwarding.caller_connections import CallerConnections
from seampond.forwarding.request_size import compute_held_max_bytes
from seampond.gateway.memory_limits import compute_callers_max_bytes
from seampond.settings.gateway import CallerSettings

# The other descriptors are for servers, the store and files.
_DESCRIPTOR_FRACTION = 0.75


def compute_connections_max(callers: CallerSettings) -> int:
    """Return how many connections of callers may be open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return callers.connections
    return min(callers.connections, round(descriptors * _DESCRIPTOR_FRACTION))


def make_caller_connections(
    callers: CallerSettings, admission: Admission, clock: Clock
) -> CallerConnections:
    """Return the limits on all connections of callers."""
    return CallerConnections(
        compute_connections_max(callers),
        compute_callers_max_bytes(callers),
        lambda: compute_held_max_bytes(admission.limits),
        clock,
    )
