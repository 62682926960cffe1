"""Exhaustive search over the event sequences of a small fleet.

Two gateways and a store.  Writes may be delayed or lost, heartbeats late or
lost, gateways may restart, and each may find a version good or bad.  In every
reachable state a final state must not change, and once it is `done` no gateway
may have requests open on the old version or send to it.
"""

import copy
import logging
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from unittest import TestCase, mock

from seampond.rollouts import (
    Change,
    Order,
    Report,
    RolloutManager,
    Stage,
    State,
    Status,
    Step,
)
from seampond.rollouts.manager import ExposureLimits
from seampond.rollouts.rollout import Rollout
from seampond.testing.rollouts import (
    OLD,
    POOL,
    StubBackend,
    build_order,
    build_stub_backends,
)

_KEY = 1
# Longer than any pause of the manager.
_STEP_MS = 60_000


def _hash_name(name: str) -> int:
    return _KEY


def _has_pool(pool: str) -> bool:
    return True


def _count_gateways() -> int:
    return 2


@dataclass
class Node:
    """One gateway with its rollouts, received reports and open requests."""

    number: int
    backends: list[StubBackend] = field(
        default_factory=lambda: build_stub_backends(old=1, new=1)
    )
    received: dict[int, Report] = field(default_factory=dict)
    has_received: bool = False
    verdict: str = ''

    def __post_init__(self) -> None:
        """Create the manager of a new incarnation."""
        self.manager = RolloutManager(
            ExposureLimits(0.1, 0),
            _count_gateways,
            self.list_backends,
            _has_pool,
            self.list_reports,
            _hash_name,
        )

    def list_backends(self, pool: str) -> list[StubBackend]:
        """Return the backends."""
        return self.backends

    def list_reports(self) -> list[Mapping[int, Report]] | None:
        """Return the latest report of the other gateway."""
        return [self.received] if self.has_received else None

    @property
    def open_old(self) -> int:
        """Number of open requests on the old version."""
        return self.backends[0].in_flight

    @property
    def sends_old(self) -> bool:
        """Whether it would send a request to the old version."""
        groups = self.manager.group_backends(POOL, self.backends, 0, None)
        return any(
            backend.server.version == OLD
            for group in groups
            for backend in group
        )

    @property
    def stored(self) -> tuple[Status | None, Step | None]:
        """The rows that it has read from the store."""
        stored = self.manager._pools[POOL]
        return stored.status, stored.step

    def copy(self) -> 'Node':
        """Return a copy."""
        other = Node(self.number)
        other.backends[0].in_flight = self.open_old
        other.received = dict(self.received)
        other.has_received = self.has_received
        other.verdict = self.verdict
        other.manager.is_state_loaded = self.manager.is_state_loaded
        stored = copy.copy(self.manager._pools[POOL])
        stored.rollout = copy.copy(stored.rollout)
        other.manager._pools[POOL] = stored
        return other

    @property
    def state(self) -> tuple[object, ...]:
        """The state that its decisions depend on, besides these rows."""
        running = [
            (rollout.stage, rollout.is_rejected)
            for rollout in self.manager.running
        ]
        received = self.received.get(_KEY)
        report = (received.stage, received.open_old) if received else ()
        return (
            tuple(running),
            report,
            self.open_old,
            self.verdict,
            self.has_received,
        )


@dataclass
class World:
    """The store, delayed writes and the gateways."""

    nodes: list[Node]
    version: int = 10
    order: Order = field(default_factory=build_order)
    status: Status | None = None
    step: Step | None = None
    delayed: list[Change] = field(default_factory=list)
    kills: int = 1
    delayed_writes: int = 1
    opens_left: int = 1
    now_ms: int = 0
    violation: str = ''

    @property
    def key(self) -> tuple[object, ...]:
        """Key of the state, equal for equivalent states.

        Explanation
        -----------
        Versions are replaced by their ranks, and gateways are interchangeable.
        """
        stored_rows = [
            (self.status, self.step),
            *(node.stored for node in self.nodes),
        ]
        versions = {row.version for pair in stored_rows for row in pair if row}
        for delayed in self.delayed:
            versions |= {delayed.status_version, delayed.step_version}
        order = sorted(versions | {0})
        ranks = {version: rank for rank, version in enumerate(order)}
        rows = [
            (
                status and (status.state.value, ranks[status.version]),
                step and (step.is_closing, ranks[step.version]),
            )
            for status, step in stored_rows
        ]
        nodes = zip(rows[1:], self.nodes, strict=True)
        return (
            tuple(sorted((repr(row), *node.state) for row, node in nodes)),
            rows[0],
            tuple(
                (
                    delayed.state,
                    bool(delayed.step),
                    ranks[delayed.status_version],
                    ranks[delayed.step_version],
                )
                for delayed in self.delayed
            ),
            (self.kills, self.delayed_writes, self.opens_left),
        )

    def copy(self) -> 'World':
        """Return a copy."""
        other = copy.copy(self)
        other.nodes = [node.copy() for node in self.nodes]
        other.delayed = list(self.delayed)
        return other

    def read(self, node: Node) -> None:
        """Let a gateway read the store."""
        statuses = {POOL: self.status} if self.status else {}
        steps = {POOL: self.step} if self.step else {}
        node.manager.apply_states(statuses, steps, self.now_ms)

    def apply(self, change: Change) -> None:
        """Apply a write if its expected versions match."""
        status_version = self.status.version if self.status else 0
        step_version = self.step.version if self.step else 0
        expected = (self.order.version, status_version, step_version)
        if expected != (
            change.order_version,
            change.status_version,
            change.step_version,
        ):
            return
        self.version += 1
        if change.state is not None:
            if self.status and self.status.state.is_final:
                self.violation = 'a final state has changed'
            self.status = Status(change.state, change.target, self.version)
        if change.step is not None:
            step = change.step
            self.step = Step(
                step.order, step.is_closing, step.since_ms, self.version
            )

    def check(self) -> None:
        """Record a violation of the rules."""
        if self.status is None or self.status.state is not State.done:
            return
        for node in self.nodes:
            if node.open_old:
                self.violation = f'open on the old version of {node.number}'
            elif node.sends_old:
                self.violation = f'{node.number} sends to the old version'

    def list_events(self) -> Iterator[tuple[str, int]]:
        """Yield the possible events, each with its gateway."""
        for number, node in enumerate(self.nodes):
            yield 'read', number
            yield 'hear', number
            yield 'write', number
            if not node.verdict:
                yield 'good', number
            # A good version may turn bad later.
            if node.verdict != 'bad':
                yield 'bad', number
            if self.delayed_writes:
                yield 'write late', number
            if self.kills:
                yield 'end', number
            if node.open_old:
                yield 'close', number
            elif node.sends_old and self.opens_left:
                yield 'open', number
        if self.delayed:
            yield 'done late', 0

    def apply_event(self, event: str, number: int) -> None:
        """Apply an event and check the rules."""
        self.now_ms += _STEP_MS
        handlers: dict[str, Callable[[Node], None]] = {
            'read': self.read,
            'hear': self._receive_heartbeat,
            'write': self._write,
            'write late': self._write_delayed,
            'done late': self._apply_delayed,
            'good': self._record_good,
            'bad': self._record_bad,
            'end': self._kill,
            'open': self._open,
            'close': self._close,
        }
        handlers[event](self.nodes[number])
        self.check()

    def _receive_heartbeat(self, node: Node) -> None:
        """Receive a heartbeat of the other gateway."""
        other = self.nodes[1 - node.number]
        node.has_received = True
        reports = other.manager.build_reports()
        node.received = {report.pool: report for report in reports}
        node.manager.apply_reports(str(other.number), 1, reports)

    def _write(self, node: Node) -> None:
        for change in node.manager.plan_changes(self.now_ms):
            self.apply(change)

    def _write_delayed(self, node: Node) -> None:
        for change in node.manager.plan_changes(self.now_ms):
            self.delayed_writes -= 1
            self.delayed.append(change)

    def _apply_delayed(self, _node: Node) -> None:
        self.apply(self.delayed.pop())

    def _record_good(self, node: Node) -> None:
        node.verdict = 'good'
        for rollout in node.manager.running:
            if rollout.stage is Stage.trial:
                rollout.stage = Stage.moved

    def _record_bad(self, node: Node) -> None:
        node.verdict = 'bad'
        for rollout in node.manager.running:
            rollout.reject('bad answers')

    def _kill(self, node: Node) -> None:
        """Restart a gateway; the new incarnation reads the store first."""
        self.kills -= 1
        self.nodes[node.number] = start_node(self, node.number)

    def _open(self, node: Node) -> None:
        node.backends[0].in_flight += 1
        self.opens_left -= 1

    def _close(self, node: Node) -> None:
        node.backends[0].in_flight -= 1


def start_node(world: World | None, number: int) -> Node:
    """Start a gateway."""
    node = Node(number)
    if world is not None:
        node.manager.apply_orders(
            [world.order], [], world.now_ms, is_start=True
        )
        world.read(node)
    return node


def explore(initial: World) -> tuple[int, list[str]]:
    """Visit all reachable states; return their number and a violation."""
    visited = {initial.key}
    queue: deque[tuple[World, tuple[str, ...]]] = deque([(initial, ())])
    while queue:
        world, path = queue.popleft()
        for event, number in world.list_events():
            successor = world.copy()
            successor.apply_event(event, number)
            if successor.violation:
                return len(visited), [
                    *path,
                    f'{event} {number}',
                    successor.violation,
                ]
            if successor.key not in visited:
                visited.add(successor.key)
                queue.append((successor, (*path, f'{event} {number}')))
    return len(visited), []


def build_world(kills: int, delayed_writes: int) -> World:
    """Return a fleet that just received an order.

    Parameters
    ----------
    kills, delayed_writes : int
        Number of restarts and of delayed writes.

    """
    world = World([], kills=kills, delayed_writes=delayed_writes)
    world.nodes = [start_node(world, number) for number in range(2)]
    return world


def _is_always_drained(report: Report) -> bool:
    """Regard every gateway as drained."""
    return True


def _return_to_old_version(rollout: Rollout, reason: str) -> None:
    """Return to the old version at once."""
    rollout.is_rejected = True
    rollout.stage = Stage.refused


class ModelTest(TestCase):
    """Search over all events of two gateways."""

    def setUp(self) -> None:
        """Disable logging, since each state would log."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_sequence_of_events_violates_rules(self) -> None:
        """Guards against a violation, and against a search that stops early."""
        for kills, delayed_writes, states in ((1, 0, 29_538), (0, 1, 50_745)):
            with self.subTest(kills=kills, delayed_writes=delayed_writes):
                self.assertEqual(
                    explore(build_world(kills, delayed_writes)), (states, [])
                )

    def test_search_finds_open_requests_when_done(self) -> None:
        """Guards against a search that misses requests on the old version."""
        with mock.patch(
            'seampond.rollouts.manager._is_drained', _is_always_drained
        ):
            _, fault = explore(build_world(0, 0))
        self.assertTrue(fault)

    def test_search_finds_return_without_rollback(self) -> None:
        """Guards against a search that misses an uncoordinated return."""
        with mock.patch.object(Rollout, 'reject', _return_to_old_version):
            _, fault = explore(build_world(0, 0))
        self.assertTrue(fault)
