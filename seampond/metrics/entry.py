"""What an entry counts."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

SECONDS_BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.82, 1.5, 3, 6, 12, 30, 60, 120,
)  # fmt: skip


def counts_by_labels(counter: Counter) -> dict[str, float]:
    """Give the totals of a counter by its label values.

    Examples
    --------
    >>> counter = Counter('x', 'X.', ['reason', 'run'], registry=None)
    >>> counter.labels('shed', 'no').inc()
    >>> counts_by_labels(counter)
    {'shed/no': 1.0}

    """
    return {
        '/'.join(sample.labels.values()): sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith('_total')
    }


class EntryMetrics:
    """The metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        """Register everything."""
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.requests = Counter(
            'seampond_requests',
            'Requests by tier and outcome.',
            ['tier', 'outcome'],
            registry=self.registry,
        )
        self.refusals = Counter(
            'seampond_refusals',
            'Refused requests by reason and by whether they may have run.',
            ['reason', 'run'],
            registry=self.registry,
        )
        self.retries = Counter(
            'seampond_retries',
            'Further attempts at a request that was not run, by reason.',
            ['reason'],
            registry=self.registry,
        )
        self.violations = Counter(
            'seampond_promise_violations',
            'Promises found broken, by rule; must stay 0.',
            ['rule'],
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            'seampond_prompt_tokens',
            'Prompt tokens: computed, reused from a cache, or wasted.',
            ['kind'],
            registry=self.registry,
        )
        self.link_errors = Counter(
            'seampond_link_errors',
            'Links that ended, by kind of error.',
            ['kind'],
            registry=self.registry,
        )
        self.dropped = Counter(
            'seampond_dropped_messages',
            'Messages that matched nothing (late or crossed), by kind.',
            ['kind'],
            registry=self.registry,
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
        self.links = Gauge(
            'seampond_links',
            'Agents by state of our link to them.',
            ['state'],
            registry=self.registry,
        )
