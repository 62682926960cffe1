"""Metrics shared by all roles."""

from prometheus_client import CollectorRegistry, Counter, ProcessCollector

SECONDS_BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.82, 1.5, 3, 6, 12, 30, 60, 120,
)  # fmt: skip


def counts_by_labels(counter: Counter) -> dict[str, float]:
    """Return the totals of a counter by its label values.

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


class CommonMetrics:
    """The metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        """Register the shared metrics."""
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.violations = self.count(
            'seampond_promise_violations',
            'Promises found broken, by rule; must stay 0.',
            'rule',
        )
        self.link_errors = self.count(
            'seampond_link_errors',
            'Links that ended, by kind of error and step.',
            'kind',
        )
        self.dropped = self.count(
            'seampond_dropped_messages',
            'Messages that matched nothing (late or crossed), by kind.',
            'kind',
        )
        self.prompt_tokens = self.count(
            'seampond_prompt_tokens',
            'Prompt tokens: computed, reused from a cache, or wasted.',
            'kind',
        )

    def count(self, name: str, meaning: str, *labels: str) -> Counter:
        """Register a counter."""
        return Counter(name, meaning, labels, registry=self.registry)
