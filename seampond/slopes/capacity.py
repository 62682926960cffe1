"""Compute resource use of a deployment from measured slopes."""

from collections.abc import Mapping
from dataclasses import dataclass

MEGABYTE = 1_000_000
KILOBYTE = 1000
_DAY_SECONDS = 86_400
_MILLION = 1_000_000
_PERCENT = 100
_HEARTBEAT_BYTES = 56
_POLLS_PER_S = 2
_UNREPEATABLE_FRACTION = 1 / 40
_READS_PER_EDIT = 3
_HEARTBEAT_BUDGET_BYTES_PER_S = 3000
_TICKETS_PER_STREAM = 2
_CORE_PERCENT = '% of a core'


@dataclass(frozen=True)
class DeploymentSize:
    """Numbers that describe the size and load of a deployment."""

    name: str
    entries: int
    agents: int
    pools: int
    requests_per_s: float
    tokens_per_s: float
    open_streams: int
    workspaces: int
    changes_per_day: int
    vm_events_per_day: int

    @property
    def links_per_entry(self) -> int:
        """Number of links of one entry: at most 24 per pool."""
        links_per_pool = min(24, self.agents // self.pools)
        return links_per_pool * self.pools

    @property
    def links_per_agent(self) -> float:
        """Mean number of links of one agent."""
        return self.links_per_entry * self.entries / self.agents

    @property
    def heartbeat_interval_s(self) -> float:
        """Seconds between two heartbeats on a link."""
        return max(
            1,
            self.links_per_entry
            * _HEARTBEAT_BYTES
            / _HEARTBEAT_BUDGET_BYTES_PER_S,
        )


TODAY = DeploymentSize('today', 3, 14, 2, 30, 4000, 60, 5, 20, 4)
TARGET = DeploymentSize(
    'target', 340, 3900, 12, 8000, 2_400_000, 98_600, 2900, 2200, 838
)


@dataclass(frozen=True)
class Figure:
    """One row of the capacity page."""

    role: str
    quantity: str
    formula: str
    today: float
    target: float
    unit: str
    limit: str = ''


Slopes = Mapping[str, float]
Label = tuple[str, str, str, str]


def _entry_rows(size: DeploymentSize, slopes: Slopes) -> list[float]:
    heartbeats_per_s = size.links_per_entry / size.heartbeat_interval_s
    heartbeat_us = slopes['heartbeat, sent and received']
    share = _PERCENT / _MILLION
    requests = size.requests_per_s / size.entries
    tokens = size.tokens_per_s / size.entries
    poll_us = slopes['configuration poll']
    vm_bytes = slopes['VM row, compressed'] * (size.agents + size.entries)
    reservation = (
        3 * slopes['reserve: size']
        + 2 * slopes['withdraw: size']
        + 2 * slopes['ask: size']
    )
    memory = (
        slopes['entry: memory after load']
        + size.links_per_entry * (slopes['link, both ends'] / 2)
        + size.links_per_entry * slopes['peer without its link']
        + (size.agents + size.entries) * slopes['VM in the list']
        + size.workspaces * slopes['workspace in a configuration']
        + size.workspaces * 4 * slopes['two buckets of a limit']
        + size.open_streams
        / size.entries
        * _TICKETS_PER_STREAM
        * slopes['waiting request without its body']
    )
    return [
        heartbeats_per_s * heartbeat_us * share,
        _POLLS_PER_S * poll_us * share,
        heartbeats_per_s * _HEARTBEAT_BYTES / KILOBYTE,
        (
            size.vm_events_per_day * vm_bytes
            + size.changes_per_day * slopes['workspace row as JSON']
        )
        / _DAY_SECONDS
        / KILOBYTE,
        requests * reservation / KILOBYTE,
        requests * slopes['entry: short streamed request'] * share,
        tokens * slopes['entry: token'] * share,
        memory / MEGABYTE,
    ]


_ENTRY_LABELS = (
    ('control: heartbeats', 'links / beat x heartbeat', _CORE_PERCENT, '1.4'),
    ('control: polls', '2 a second x poll', _CORE_PERCENT, '1.4'),
    ('control: heartbeats', 'links / beat x 56 bytes', 'KB/s', '4'),
    (
        'control: VM list and changes',
        '(VM events x list + changes x row) / day',
        'KB/s',
        '4',
    ),
    (
        'scheduling: reservations',
        'requests x (3 reserve + 2 withdraw + 2 ask)',
        'KB/s',
        '',
    ),
    ('requests', 'requests x request', _CORE_PERCENT, ''),
    ('tokens', 'tokens x token', _CORE_PERCENT, ''),
    (
        'memory',
        'base + links + members + workspaces + streams',
        'MB',
        '128',
    ),
)


def _agent_rows(size: DeploymentSize, slopes: Slopes) -> list[float]:
    heartbeats_per_s = size.links_per_agent / size.heartbeat_interval_s
    share = _PERCENT / _MILLION
    requests = size.requests_per_s / size.agents
    tokens = size.tokens_per_s / size.agents
    retained_runs = requests * 60
    memory = (
        slopes['agent: memory after load']
        + size.links_per_agent * slopes['link, both ends'] / 2
        + retained_runs * slopes['waiting request without its body']
        + size.open_streams
        / size.agents
        * slopes['run of 100 frames kept by the agent']
        * 3
    )
    return [
        heartbeats_per_s * slopes['heartbeat, sent and received'] * share,
        heartbeats_per_s * _HEARTBEAT_BYTES / KILOBYTE,
        requests * slopes['agent: short streamed request'] * share,
        tokens * slopes['agent: token'] * share,
        memory / MEGABYTE,
    ]


_AGENT_LABELS = (
    ('control: heartbeats', 'links / beat x heartbeat', _CORE_PERCENT, '1.4'),
    ('control: heartbeats', 'links / beat x 56 bytes', 'KB/s', '4'),
    ('requests', 'requests x request', _CORE_PERCENT, ''),
    ('tokens', 'tokens x token', _CORE_PERCENT, ''),
    ('memory', 'base + links + kept answers', 'MB', '128'),
)


def _platform_rows(size: DeploymentSize, slopes: Slopes) -> list[float]:
    unrepeatable = size.requests_per_s * _UNREPEATABLE_FRACTION
    row = slopes['workspace row as JSON']
    return [
        size.entries,
        size.entries,
        2 * unrepeatable,
        unrepeatable,
        size.workspaces * row / MEGABYTE,
        size.changes_per_day * row / MEGABYTE,
    ]


_PLATFORM_LABELS = (
    ('configuration polls', 'entries x 1 a second', 'reads/s', '2000'),
    ('VM list polls', 'entries x 1 a second', 'requests/s', ''),
    ('claims', '2 x 1/40 of requests', 'writes/s', '400'),
    ('kept answers', '1/40 of requests', 'objects/s', ''),
    ('workspaces', 'workspaces x row', 'MB', ''),
    ('change log', 'changes x row', 'MB/day', ''),
)


def _command_rows(size: DeploymentSize, slopes: Slopes) -> list[float]:
    return [
        size.changes_per_day
        * slopes['command: processor time']
        / _MILLION
        / _DAY_SECONDS
        * _PERCENT,
        size.changes_per_day * _READS_PER_EDIT / _DAY_SECONDS,
    ]


_COMMAND_LABELS = (
    ('all edits', 'changes x command / day', _CORE_PERCENT, ''),
    ('reads and writes', 'changes x 3 / day', 'calls/s', ''),
)


def _make_figure(role: str, label: Label, amounts: list[float]) -> Figure:
    quantity, formula, unit, limit = label
    today, target = amounts
    return Figure(role, quantity, formula, today, target, unit, limit)


def compute_figures(slopes: Slopes) -> list[Figure]:
    """Return the rows of the capacity page."""
    rows = []
    for role, labels, compute_rows in (
        ('entry', _ENTRY_LABELS, _entry_rows),
        ('agent', _AGENT_LABELS, _agent_rows),
        ('platform', _PLATFORM_LABELS, _platform_rows),
        ('command', _COMMAND_LABELS, _command_rows),
    ):
        today, target = (
            compute_rows(TODAY, slopes),
            compute_rows(TARGET, slopes),
        )
        for label, *amounts in zip(labels, today, target, strict=True):
            rows.append(_make_figure(role, label, amounts))
    return rows
