"""Metrics of gateways."""

from prometheus_client import Gauge, Histogram

from seampond.metrics.common import SECONDS_BUCKETS, CommonMetrics


class GatewayMetrics(CommonMetrics):
    """The metrics of one gateway."""

    def __init__(self) -> None:
        """Register the metrics."""
        super().__init__()
        self.requests = self.count(
            'seampond_gateway_requests',
            'Requests by route and status of the final answer.',
            'route',
            'status',
        )
        self.refusals = self.count(
            'seampond_gateway_refusals',
            'Requests that the gateway answered itself, by cause.',
            'cause',
        )
        self._closed_connections = self.count(
            'seampond_gateway_closed_connections',
            'Connections of callers closed for want of room or progress.',
        )
        self.attempts = self.count(
            'seampond_gateway_attempts',
            'Sends to servers by how they ended.',
            'outcome',
        )
        self.retries = self.count(
            'seampond_gateway_retries',
            'Retries that were wanted, by whose budget they were spent from.',
            'source',
        )
        self.store_failures = self.count(
            'seampond_store_failures',
            'Calls to the store that failed, by step.',
            'step',
        )
        self.server_signals = self.count(
            'seampond_server_words',
            'Words of servers on themselves: a leave, rest, a limit.',
            'word',
        )
        self.permits = self.count(
            'seampond_permits',
            'Permits wanted for servers with a limit, by what became of it.',
            'outcome',
        )
        self.resumed = self.count(
            'seampond_gateway_resumed_streams',
            'Streams that callers resume, by who knew the version.',
            'source',
        )
        self.trials = self.count(
            'seampond_quarantine_trials',
            'Trials of quarantined requests, by whether leave was given.',
            'leave',
        )
        self.suspended = self.count(
            'seampond_suspended_milliseconds',
            'For how long the machine was suspended.',
        )
        self.suspects = Gauge(
            'seampond_suspects',
            'Requests under which servers have ended since a good answer.',
            registry=self.registry,
        )
        self.first_byte = Histogram(
            'seampond_gateway_first_byte_seconds',
            'From the arrival of a request to the head of its answer.',
            ['route'],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.peers = Gauge(
            'seampond_gateways',
            'Gateways that may be serving, this one among them.',
            registry=self.registry,
        )
        self.version = Gauge(
            'seampond_configuration_version',
            'Version of the configuration in force here.',
            registry=self.registry,
        )
        self.proof_age = Gauge(
            'seampond_configuration_proof_age_seconds',
            'Since when nothing has proved that the version is the newest.',
            registry=self.registry,
        )
        self.missing = Gauge(
            'seampond_table_missing_seconds',
            'For how long a change of a table is known here and not held.',
            ['table'],
            registry=self.registry,
        )

    def record_closed_connection(self) -> None:
        """Count a connection that was closed early."""
        self._closed_connections.inc()

    def record_suspension(self, duration_ms: int) -> None:
        """Count suspended time."""
        self.suspended.inc(duration_ms)
