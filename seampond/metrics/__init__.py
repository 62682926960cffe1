"""Prometheus metrics of each role."""

from seampond.metrics.agent import AgentMetrics as AgentMetrics
from seampond.metrics.entry import EntryMetrics as EntryMetrics
