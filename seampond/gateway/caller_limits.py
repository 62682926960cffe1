"""Limits on the connections of a gateway's callers, from its settings."""

import os
import resource

from seampond.clock import Clock
from seampond.forwarding.admission import Admission
from seampond.forwarding.caller_connections import CallerConnections
from seampond.forwarding.request_size import compute_held_max_bytes
from seampond.settings.gateway import CallerSettings

# The other descriptors are for servers, the store and files.
_DESCRIPTOR_FRACTION = 0.75
# A body is held up to twice, and the process needs memory for itself.
_MEMORY_FRACTION = 0.2
_MEMORY_MAX_BYTES = 33_554_432


def compute_connections_max(callers: CallerSettings) -> int:
    """Return how many connections of callers may be open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return callers.connections
    return min(callers.connections, round(descriptors * _DESCRIPTOR_FRACTION))


def compute_memory_max_bytes(callers: CallerSettings) -> int:
    """Return what the connections of callers may hold together."""
    if callers.memory_bytes:
        return callers.memory_bytes
    machine_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return min(_MEMORY_MAX_BYTES, round(machine_bytes * _MEMORY_FRACTION))


def make_caller_connections(
    callers: CallerSettings, admission: Admission, clock: Clock
) -> CallerConnections:
    """Return the limits on all connections of callers."""
    return CallerConnections(
        compute_connections_max(callers),
        compute_memory_max_bytes(callers),
        lambda: compute_held_max_bytes(admission.limits),
        clock,
    )
