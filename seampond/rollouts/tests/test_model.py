"""Every order of events of a small fleet, by the code that decides.

Two gateways and a store.  A write may be done at once, later, or not at all;
heartbeats may come late or never; each gateway may end at any moment and start
again; a version may be found good or bad by each.  What must hold in every
state that can be reached: a final state never changes, and once it is `done`
nobody has anything open on the old version or would send there.
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
# Longer than any pause of a decision.
_TICK_MS = 60_000


def _hash_name(name: str) -> int:
    return _KEY


def _has_pool(pool: str) -> bool:
    return True


def _count_gateways() -> int:
    return 2


@dataclass
class Node:
    """One gateway: what it believes, has heard, and has open."""

    number: int
    backends: list[StubBackend] = field(
        default_factory=lambda: build_stub_backends(old=1, new=1)
    )
    heard: dict[int, Report] = field(default_factory=dict)
    has_other: bool = False
    verdict: str = ''

    def __post_init__(self) -> None:
        """Start a life."""
        self.manager = RolloutManager(
            ExposureLimits(0.1, 0),
            _count_gateways,
            self.list_places,
            _has_pool,
            self.list_reports,
            _hash_name,
        )

    def list_places(self, pool: str) -> list[StubBackend]:
        """Give the servers."""
        return self.backends

    def list_reports(self) -> list[Mapping[int, Report]] | None:
        """Give the newest word of the other one, whichever life it had."""
        return [self.heard] if self.has_other else None

    @property
    def open_old(self) -> int:
        """What it has open on the old version."""
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
    def known(self) -> tuple[Status | None, Step | None]:
        """What it knows of the store."""
        known = self.manager._pools[POOL]
        return known.status, known.step

    def copy(self) -> 'Node':
        """Give another one in the same state."""
        other = Node(self.number)
        other.backends[0].in_flight = self.open_old
        other.heard = dict(self.heard)
        other.has_other = self.has_other
        other.verdict = self.verdict
        other.manager.is_state_loaded = self.manager.is_state_loaded
        known = copy.copy(self.manager._pools[POOL])
        known.rollout = copy.copy(known.rollout)
        other.manager._pools[POOL] = known
        return other

    @property
    def state(self) -> tuple[object, ...]:
        """What makes its next decisions, beside what it knows."""
        running = [(one.stage, one.is_rejected) for one in self.manager.running]
        heard = self.heard.get(_KEY)
        word = (heard.stage, heard.open_old) if heard else ()
        return (
            tuple(running),
            word,
            self.open_old,
            self.verdict,
            self.has_other,
        )


@dataclass
class World:
    """The store, its late writes, and the gateways."""

    nodes: list[Node]
    version: int = 10
    order: Order = field(default_factory=build_order)
    status: Status | None = None
    step: Step | None = None
    late: list[Change] = field(default_factory=list)
    ends: int = 1
    lates: int = 1
    opened: int = 1
    now_ms: int = 0
    broken: str = ''

    @property
    def key(self) -> tuple[object, ...]:
        """What tells this state from others.

        Explanation
        -----------
        Versions count by their order alone, and the gateways are alike.
        """
        told = [(self.status, self.step), *(node.known for node in self.nodes)]
        versions = {row.version for pair in told for row in pair if row}
        for late in self.late:
            versions |= {late.status_version, late.step_version}
        order = sorted(versions | {0})
        ranks = {version: rank for rank, version in enumerate(order)}
        rows = [
            (
                status and (status.state.value, ranks[status.version]),
                step and (step.is_closing, ranks[step.version]),
            )
            for status, step in told
        ]
        nodes = zip(rows[1:], self.nodes, strict=True)
        return (
            tuple(sorted((repr(row), *node.state) for row, node in nodes)),
            rows[0],
            tuple(
                (
                    late.state,
                    bool(late.step),
                    ranks[late.status_version],
                    ranks[late.step_version],
                )
                for late in self.late
            ),
            (self.ends, self.lates, self.opened),
        )

    def copy(self) -> 'World':
        """Give another one in the same state."""
        other = copy.copy(self)
        other.nodes = [node.copy() for node in self.nodes]
        other.late = list(self.late)
        return other

    def read(self, node: Node) -> None:
        """Let a gateway read the store."""
        statuses = {POOL: self.status} if self.status else {}
        steps = {POOL: self.step} if self.step else {}
        node.manager.apply_states(statuses, steps, self.now_ms)

    def apply(self, change: Change) -> None:
        """Do a write, if what it rests on still holds."""
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
                self.broken = 'a final state has changed'
            self.status = Status(change.state, change.target, self.version)
        if change.step is not None:
            told = change.step
            self.step = Step(
                told.order, told.is_closing, told.since_ms, self.version
            )

    def check(self) -> None:
        """Note what must not be."""
        if self.status is None or self.status.state is not State.done:
            return
        for node in self.nodes:
            if node.open_old:
                self.broken = f'open on the old version of {node.number}'
            elif node.sends_old:
                self.broken = f'{node.number} sends to the old version'

    def list_next(self) -> Iterator[tuple[str, int]]:
        """Give what may happen next, to which gateway."""
        for number, node in enumerate(self.nodes):
            yield 'read', number
            yield 'hear', number
            yield 'write', number
            if not node.verdict:
                yield 'good', number
            # Some versions turn bad later on.
            if node.verdict != 'bad':
                yield 'bad', number
            if self.lates:
                yield 'write late', number
            if self.ends:
                yield 'end', number
            if node.open_old:
                yield 'close', number
            elif node.sends_old and self.opened:
                yield 'open', number
        if self.late:
            yield 'done late', 0

    def happen(self, kind: str, number: int) -> None:
        """Let it happen."""
        self.now_ms += _TICK_MS
        kinds: dict[str, Callable[[Node], None]] = {
            'read': self.read,
            'hear': self._hear,
            'write': self._write,
            'write late': self._write_late,
            'done late': self._do_late,
            'good': self._find_good,
            'bad': self._find_bad,
            'end': self._end,
            'open': self._open,
            'close': self._close,
        }
        kinds[kind](self.nodes[number])
        self.check()

    def _hear(self, node: Node) -> None:
        """Let a heartbeat of the other one come."""
        other = self.nodes[1 - node.number]
        node.has_other = True
        reports = other.manager.build_reports()
        node.heard = {report.pool: report for report in reports}
        node.manager.apply_reports(str(other.number), 1, reports)

    def _write(self, node: Node) -> None:
        for change in node.manager.plan_changes(self.now_ms):
            self.apply(change)

    def _write_late(self, node: Node) -> None:
        for change in node.manager.plan_changes(self.now_ms):
            self.lates -= 1
            self.late.append(change)

    def _do_late(self, _node: Node) -> None:
        self.apply(self.late.pop())

    def _find_good(self, node: Node) -> None:
        node.verdict = 'good'
        for rollout in node.manager.running:
            if rollout.stage is Stage.trial:
                rollout.stage = Stage.moved

    def _find_bad(self, node: Node) -> None:
        node.verdict = 'bad'
        for rollout in node.manager.running:
            rollout.reject('bad answers')

    def _end(self, node: Node) -> None:
        """End a life with all that is open; the next one reads first."""
        self.ends -= 1
        self.nodes[node.number] = start(self, node.number)

    def _open(self, node: Node) -> None:
        node.backends[0].in_flight += 1
        self.opened -= 1

    def _close(self, node: Node) -> None:
        node.backends[0].in_flight -= 1


def start(world: World | None, number: int) -> Node:
    """Start a gateway."""
    node = Node(number)
    if world is not None:
        node.manager.apply_orders(
            [world.order], [], world.now_ms, is_start=True
        )
        world.read(node)
    return node


def explore(begin: World) -> tuple[int, list[str]]:
    """Visit each state that can be reached; give their number and a fault."""
    known = {begin.key}
    queue: deque[tuple[World, tuple[str, ...]]] = deque([(begin, ())])
    while queue:
        world, path = queue.popleft()
        for kind, number in world.list_next():
            after = world.copy()
            after.happen(kind, number)
            if after.broken:
                return len(known), [*path, f'{kind} {number}', after.broken]
            if after.key not in known:
                known.add(after.key)
                queue.append((after, (*path, f'{kind} {number}')))
    return len(known), []


def begin(ends: int, lates: int) -> World:
    """Give a fleet to which an order was just given.

    Parameters
    ----------
    ends, lates : int
        How many lives may end, and how many writes may be done late.

    """
    world = World([], ends=ends, lates=lates)
    world.nodes = [start(world, number) for number in range(2)]
    return world


def _always(report: Report) -> bool:
    """Take a gateway for empty, whatever it tells."""
    return True


def _go_back(rollout: Rollout, reason: str) -> None:
    """Send to the old version again at once."""
    rollout.is_rejected = True
    rollout.stage = Stage.refused


class ModelTest(TestCase):
    """All that can happen to two gateways."""

    def setUp(self) -> None:
        """Log nothing: each state would."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_order_of_events_breaks_a_promise(self) -> None:
        """The number of states says that the search was no empty one."""
        for ends, lates, states in ((1, 0, 29_538), (0, 1, 50_745)):
            with self.subTest(ends=ends, lates=lates):
                self.assertEqual(explore(begin(ends, lates)), (states, []))

    def test_search_finds_an_end_with_open_work(self) -> None:
        """Where nobody looks whether the old version is empty."""
        with mock.patch('seampond.rollouts.manager._is_drained', _always):
            _, fault = explore(begin(0, 0))
        self.assertTrue(fault)

    def test_search_finds_a_way_back_that_is_not_agreed(self) -> None:
        """Where a closed gateway goes back by its own judgement."""
        with mock.patch.object(Rollout, 'reject', _go_back):
            _, fault = explore(begin(0, 0))
        self.assertTrue(fault)
