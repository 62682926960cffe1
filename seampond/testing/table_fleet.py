"""A simulated fleet that keeps copies of a table while links fail.

Run as a program to search seeds on virtual time; it prints those with an
overdue copy and exits with status 1 if there are any.
"""

import argparse
import asyncio
import logging
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from statistics import mean

from seampond.clock import MS_PER_SECOND, Clock
from seampond.sharing.peers import compute_heartbeat_interval_ms
from seampond.tasks import run_tasks
from seampond.testing.faulty_links import (
    FaultyLink,
    FaultySource,
    StoreState,
)
from seampond.testing.narrow_links import SharedTable
from seampond.testing.virtual_time import run_virtual
from seampond.watches import (
    HedgedSource,
    Page,
    StoreClock,
    TableFreshness,
    Watch,
    compute_proof_age_ms,
    probe_when_stale,
)

_MIN_HEARTBEAT_MS = 30
_HEARTBEAT_INTERVAL_MS = compute_heartbeat_interval_ms(1)
_SILENT_INTERVALS = 3
_HISTORY_MS = 20_000
_WAIT_MS = 15_000
_FOLLOWERS = 2
_MEMBERS = 5
_LOSS_DIVISOR = 10
_RELAYED_MAX_BYTES = 8192
_PLAY_MS = 32_000
_CHECK_MS = 100
_WARM_UP_MS = 1000
# How much longer than the deadline a process must have been undisturbed.
_CONTACT_MARGIN_MS = 1000
_CARRIED_PART = 0.6
_SLOW_STORE_MS = 500


@dataclass(frozen=True)
class Disturbance:
    """Trouble of one process, or of the store, in a span of time.

    Parameters
    ----------
    kind : str
        ``cut``: no path to the store.  ``alone``: no heartbeats to or from
        other processes.  ``lag``: the store forgets its history and answers
        whole reads late.  ``slow``: the store takes half a second longer for
        each call.
    number : int
        The process.
    resend_ms : int
        See :class:`FaultyLink`.

    """

    kind: str
    at_ms: int
    for_ms: int
    number: int = 0
    refuses: bool = False
    resend_ms: int = 0


@dataclass(frozen=True)
class Plan:
    """What one play of a fleet consists of.

    Parameters
    ----------
    gap_ms : int
        Time between two versions of the row.
    size : int
        Size of the row in bytes.
    bytes_per_ms : float
        Bandwidth of each link.
    deadline_ms : int
        Time within which a process must hold a version.
    members, followers : int
        Number of processes, and of those that follow the feed.
    loss_probability : float
        Probability that a single call to the store goes unanswered.

    """

    gap_ms: int
    size: int
    bytes_per_ms: float
    deadline_ms: int
    disturbances: tuple[Disturbance, ...]
    members: int = _MEMBERS
    followers: int = _FOLLOWERS
    loss_probability: float = 0


@dataclass
class Member:
    """One process of the fleet."""

    number: int
    store: StoreState
    link: FaultyLink
    plan: Plan
    is_alone: bool = False
    healed_ms: int = 0
    hedges: int = 0
    heard_ms: dict[int, int] = field(default_factory=dict)
    pages: list[tuple[int, Page]] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
    heartbeat_due: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Build the watch."""
        self.clock = self.store.table.clock
        self.freshness = TableFreshness(
            self.clock, StoreClock(), lambda proved_ms: None
        )
        self.failing: set[int] = set()
        self.interval_ms = compute_heartbeat_interval_ms(self.plan.members)
        self.watch = Watch(
            self._open_table(),
            self._open_table(),
            self._apply,
            _WAIT_MS,
            self.clock,
            lambda step: None,
            self.freshness,
            interval_factor=lambda: self.interval_ms / _HEARTBEAT_INTERVAL_MS,
            is_follower=self._is_follower,
            relay=self._relay,
            deadline_ms=lambda: self.plan.deadline_ms,
        )

    @property
    def held(self) -> int:
        """Version of the row that is held, 0 for none."""
        return self.versions.get('row', 0)

    @property
    def is_proved(self) -> bool:
        """Whether the copy counts as complete within the deadline."""
        is_recent = self.watch.unproved_ms <= self.plan.deadline_ms
        return is_recent and not self.freshness.is_behind

    @property
    def rank(self) -> int:
        """Number of processes heard that precede this one."""
        return sum(number < self.number for number in self._heard())

    def hear(self, other: 'Member', pages: list[tuple[int, Page]]) -> None:
        """Apply a heartbeat of another process."""
        self.heard_ms[other.number] = self.clock.now()
        self.failing.discard(other.number)
        if other.watch.is_failing:
            self.failing.add(other.number)
        for since, page in pages:
            self.watch.apply_relayed(since, page)
        if other.freshness.proof is not None:
            self.freshness.apply_proof(other.freshness.proof)

    def describe(self) -> str:
        """Return what the process holds and knows."""
        unproved_ms = self.watch.unproved_ms
        behind_ms = self.freshness.behind_ms
        return (
            f'process {self.number} holds version {self.held}, '
            f'proved {unproved_ms} ms ago, behind for {behind_ms} ms'
        )

    def _open_table(self) -> HedgedSource:
        return HedgedSource(
            FaultySource(self.store, self.link),
            FaultySource(self.store, self.link),
            lambda: self.plan.deadline_ms,
            self._count_hedge,
        )

    def _count_hedge(self) -> None:
        self.hedges += 1

    def _heard(self) -> Iterator[int]:
        oldest_ms = self.clock.now() - _SILENT_INTERVALS * self.interval_ms
        return (
            number
            for number, heard_ms in self.heard_ms.items()
            if heard_ms >= oldest_ms
        )

    def _is_follower(self) -> bool:
        before = sum(
            number < self.number and number not in self.failing
            for number in self._heard()
        )
        return before < self.plan.followers

    def _apply(self, page: Page) -> None:
        if page.is_snapshot:
            self.versions.clear()
        self.versions |= {row.key: row.version for row in page.rows}

    def _relay(self, since: int, page: Page) -> None:
        self.heartbeat_due.set()
        if page.rows and sum(row.size for row in page.rows) < (
            _RELAYED_MAX_BYTES
        ):
            self.pages.append((since, page))


class TableFleet:
    """Processes that follow one table, as the plan disturbs them."""

    def __init__(self, plan: Plan, clock: Clock, seed: int) -> None:
        """Start with one row."""
        self.plan = plan
        self.late: list[str] = []
        self._clock = clock
        self._rng = random.Random(seed)
        self._store = StoreState(SharedTable(clock))
        self._store.table.put('row', plan.size)
        self._store_healed_ms = 0
        self.members = [
            Member(
                number,
                self._store,
                FaultyLink(
                    plan.bytes_per_ms,
                    loss_probability=plan.loss_probability,
                    rng=random.Random(f'{seed} {number}'),
                ),
                plan,
            )
            for number in range(plan.members)
        ]

    async def run(self) -> None:
        """Play the plan until its end or the first overdue copy."""
        async with run_tasks(
            *(member.watch.run() for member in self.members),
            *(
                probe_when_stale(
                    member.watch,
                    compute_proof_age_ms(self.plan.deadline_ms),
                    lambda member=member: member.rank,  # type: ignore[misc]
                    self._clock,
                )
                for member in self.members
            ),
            *(self._send_heartbeats(member) for member in self.members),
            self._change(),
            *(self._disturb(event) for event in self.plan.disturbances),
        ):
            while self._clock.now() < _PLAY_MS and not self.late:
                await self._clock.sleep(_CHECK_MS)
                self._check()

    def _check(self) -> None:
        """Record the copies that are overdue.

        Explanation
        -----------
        A process is bound by the deadline while it and the store have been
        undisturbed for a little longer.  That it hears no other process does
        not excuse it.
        """
        now_ms = self._clock.now()
        contact_ms = self.plan.deadline_ms + _CONTACT_MARGIN_MS
        due = self._store.table.versions_at(now_ms - self.plan.deadline_ms)
        for member in self.members:
            if member.held < due.get('row', 0) and member.is_proved:
                self.late.append(
                    f'{now_ms} ms: false proof, {member.describe()}'
                )
            healed_ms = max(
                member.healed_ms, self._store_healed_ms, _WARM_UP_MS
            )
            if member.link.is_cut or now_ms < healed_ms + contact_ms:
                continue
            if member.held < due.get('row', 0):
                self.late.append(f'{now_ms} ms: {member.describe()}')

    async def _change(self) -> None:
        table = self._store.table
        while True:
            await self._clock.sleep(
                self.plan.gap_ms * self._rng.uniform(0.9, 1.1)
            )
            table.put('row', self.plan.size)
            kept = table.versions_at(self._clock.now() - _HISTORY_MS)
            table.oldest_version = max(
                table.oldest_version, max(kept.values(), default=0)
            )

    async def _send_heartbeats(self, member: Member) -> None:
        while True:
            pages = member.pages
            member.pages = []
            if not member.is_alone:
                self._deliver(member, pages)
            await self._clock.sleep(_MIN_HEARTBEAT_MS)
            await self._wait_until_due(member)
            member.heartbeat_due.clear()

    async def _wait_until_due(self, member: Member) -> None:
        end_ms = self._clock.now() + member.interval_ms - _MIN_HEARTBEAT_MS
        while not member.heartbeat_due.is_set():
            if self._clock.now() >= end_ms:
                return
            await self._clock.sleep(_MIN_HEARTBEAT_MS)

    def _deliver(self, member: Member, pages: list[tuple[int, Page]]) -> None:
        for other in self.members:
            is_lost = not self._rng.randrange(_LOSS_DIVISOR)
            if other is not member and not other.is_alone and not is_lost:
                other.hear(member, pages)

    async def _disturb(self, event: Disturbance) -> None:
        member = self.members[event.number % len(self.members)]
        await self._clock.sleep(event.at_ms)
        match event.kind:
            case 'cut':
                member.link.cut(event.resend_ms, refuses=event.refuses)
                await self._clock.sleep(event.for_ms)
                member.link.is_cut = False
                member.healed_ms = self._clock.now()
            case 'alone':
                member.is_alone = True
                await self._clock.sleep(event.for_ms)
                member.is_alone = False
            case 'slow':
                self._store.delay_ms = _SLOW_STORE_MS
                self._store_healed_ms = self._clock.now() + event.for_ms
                await self._clock.sleep(event.for_ms)
                self._store.delay_ms = 0
            case _:
                self._store.table.oldest_version = self._store.table.version
                self._store.lag_ms = event.for_ms
                self._store_healed_ms = self._clock.now() + event.for_ms
                await self._clock.sleep(event.for_ms)
                self._store.lag_ms = 0
        await asyncio.Event().wait()


def _draw_spans(rng: random.Random) -> Iterator[tuple[int, int]]:
    """Yield starts and lengths of one to four spans, short or long."""
    start_ms = rng.randrange(1000, 16_000)
    for _ in range(rng.randint(1, 4)):
        length_ms = rng.choice((rng.randrange(200, 2500), rng.randrange(9000)))
        yield start_ms, length_ms
        start_ms += length_ms
        start_ms += rng.choice((rng.randrange(100, 1500), rng.randrange(6000)))


def _draw_disturbances(rng: random.Random) -> Iterator[Disturbance]:
    for number in rng.sample(range(_MEMBERS), rng.randint(1, 4)):
        for at_ms, for_ms in _draw_spans(rng):
            resend_ms = rng.choice((0, 0, rng.randrange(50, 3000)))
            refuses = rng.randrange(10) < 4
            yield Disturbance('cut', at_ms, for_ms, number, refuses, resend_ms)
    for number in rng.sample(range(_MEMBERS), rng.randint(0, 3)):
        for at_ms, for_ms in _draw_spans(rng):
            yield Disturbance('alone', at_ms, 2 * for_ms, number)
    if rng.randrange(10) < 3:
        lag_at_ms = rng.randrange(3000, 20_000)
        yield Disturbance('lag', lag_at_ms, rng.randrange(500, 3000))


def compute_least_gap_ms(size: int, bytes_per_ms: float) -> int:
    """Return the time between two versions of a row that a link can carry."""
    return round(size / bytes_per_ms / _CARRIED_PART)


def draw_plan(seed: int) -> Plan:
    """Draw a plan whose versions a link can carry."""
    rng = random.Random(seed)
    bytes_per_ms, deadline_ms = rng.choice(((625, 3000), (125_000, 2000)))
    size = rng.choice((2000, 20_000, 100_000, 125_000, 250_000))
    least_ms = compute_least_gap_ms(size, bytes_per_ms)
    gap_ms = max(least_ms, rng.choice((300, 400, 800, 800, 1500, 4000)))
    return Plan(
        gap_ms,
        size,
        bytes_per_ms,
        deadline_ms,
        tuple(_draw_disturbances(rng)),
    )


@dataclass(frozen=True)
class Outcome:
    """What a play has shown.

    Parameters
    ----------
    late : list[str]
        The first overdue copies.
    calls_per_s, bytes_per_s : float
        Calls to the store and bytes of rows, for each process.
    hedges : int
        Calls of all processes that were made again on a spare connection.

    """

    late: list[str]
    calls_per_s: float
    bytes_per_s: float
    hedges: int


def play(plan: Plan, seed: int) -> Outcome:
    """Run a fleet on virtual time."""
    fleets: list[TableFleet] = []

    async def run(clock: Clock) -> None:
        fleets.append(TableFleet(plan, clock, seed))
        await fleets[0].run()

    random.seed(seed)
    run_virtual(run)
    links = [member.link for member in fleets[0].members]
    process_s = plan.members * _PLAY_MS / MS_PER_SECOND
    return Outcome(
        fleets[0].late,
        sum(link.calls for link in links) / process_s,
        sum(link.sent_bytes for link in links) / process_s,
        sum(member.hedges for member in fleets[0].members),
    )


def search(draw: Callable[[int], Plan], seeds: Iterable[int]) -> int:
    """Play plans, print those with an overdue copy; return the exit status."""
    # The log of the simulated failures is long.
    logging.getLogger('seampond.watches').setLevel(logging.ERROR)
    outcomes: list[Outcome] = []
    for seed in seeds:
        plan = draw(seed)
        outcomes.append(play(plan, seed))
        for late in outcomes[-1].late[:1]:
            sys.stdout.write(f'seed {seed}: {late}; {plan}\n')
    failed = sum(bool(outcome.late) for outcome in outcomes)
    calls = mean(outcome.calls_per_s for outcome in outcomes)
    rows = mean(outcome.bytes_per_s for outcome in outcomes)
    hedges = sum(outcome.hedges for outcome in outcomes)
    sys.stdout.write(
        f'{failed} of {len(outcomes)} seeds fail; for each process '
        f'{calls:.3f} calls and {rows:.0f} bytes a second; {hedges} calls '
        'made again\n'
    )
    return int(failed > 0)


def main() -> int:
    """Play seeds and print those with an overdue copy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('first', type=int)
    parser.add_argument('last', type=int)
    parser.add_argument('--members', type=int, default=_MEMBERS)
    options = parser.parse_args()
    return search(
        lambda seed: replace(draw_plan(seed), members=options.members),
        range(options.first, options.last),
    )


if __name__ == '__main__':
    sys.exit(main())
