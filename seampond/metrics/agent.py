"""Metrics of agents."""

from prometheus_client import Gauge

from seampond.metrics.common import CommonMetrics


class AgentMetrics(CommonMetrics):
    """The metrics of one agent."""

    def __init__(self) -> None:
        """Register the metrics."""
        super().__init__()
        self.dispatches = self.count(
            'seampond_dispatches',
            'Runs by how they ended; `whole` or a reason.',
            'outcome',
        )
        self.refusals = self.count(
            'seampond_agent_refusals',
            'Reservations and grants refused without a run, by reason.',
            'reason',
        )
        self.claims = self.count(
            'seampond_claims',
            'Claims for work that may not be repeated, by outcome.',
            'outcome',
        )
        self.running = Gauge(
            'seampond_running_requests',
            'Requests on the backend server now.',
            registry=self.registry,
        )
        self.queued = Gauge(
            'seampond_reservations',
            'Reservations held now.',
            registry=self.registry,
        )
        self.slots = Gauge(
            'seampond_slots',
            'How many requests the backend server is given at once.',
            registry=self.registry,
        )
