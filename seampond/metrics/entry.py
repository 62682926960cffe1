"""Metrics of entries."""

from prometheus_client import Gauge, Histogram

from seampond.metrics.common import SECONDS_BUCKETS, CommonMetrics


class EntryMetrics(CommonMetrics):
    """The metrics of one entry."""

    def __init__(self) -> None:
        """Register the metrics."""
        super().__init__()
        self.requests = self.count(
            'seampond_requests',
            'Requests by tier and outcome.',
            'tier',
            'outcome',
        )
        self.refusals = self.count(
            'seampond_refusals',
            'Refused requests by reason and by whether they may have run.',
            'reason',
            'run',
        )
        self.retries = self.count(
            'seampond_retries',
            'Further attempts at a request that was not run, by reason.',
            'reason',
        )
        self.first_byte = Histogram(
            'seampond_first_byte_seconds',
            'From the arrival of a request to the head of its answer.',
            ['tier'],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.waiting = Gauge(
            'seampond_waiting_requests',
            'Requests that wait for an engine now.',
            registry=self.registry,
        )
        self.generation = Gauge(
            'seampond_generation',
            'Generation of the configuration in force here.',
            registry=self.registry,
        )
