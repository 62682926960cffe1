"""What the connections of a gateway's callers share."""

from seampond.forwarding.caller_connection import CallerContext
from seampond.gateway.components import GatewayComponents


def make_caller_context(components: GatewayComponents) -> CallerContext:
    """Return what all connections of callers share."""
    admission, metrics = components.web.admission, components.metrics
    return CallerContext(
        components.caller_connections,
        lambda: admission.limits,
        lambda cause: metrics.refusals.labels(cause).inc(),
        metrics.record_closed_connection,
        components.clock,
    )
