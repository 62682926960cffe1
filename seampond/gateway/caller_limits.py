"""Limits on the connections of a gateway's callers, from its settings."""

import os

from seampond.clock import Clock
from seampond.forwarding.admission import Admission
from seampond.forwarding.caller_connections import CallerConnections
from seampond.forwarding.request_size import compute_held_max_bytes
from seampond.settings.gateway import CallerSettings

# A body is held up to twice, and the process needs memory for itself.
_MEMORY_FRACTION = 0.2
_MEMORY_MAX_BYTES = 33_554_432


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
        compute_memory_max_bytes(callers),
        lambda: compute_held_max_bytes(admission.limits),
        clock,
    )
