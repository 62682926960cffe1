"""Gateways as processes while servers are released, under seeded faults.

`python -m seampond.testing.release_soak --seed 1 --seconds 20`
"""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.event_server import Framing
from seampond.testing.gateway_processes import (
    GATEWAY_COUNT,
    GatewayProcess,
    run_gateways,
    unpack_build,
    wait_ready,
)
from seampond.testing.signalling import SignallingFleet
from seampond.testing.soak_draws import (
    draw_callers,
    draw_garbages,
    is_partial_event,
)
from seampond.testing.soak_faults import (
    LOSS_FAULTS,
    RELEASE_FAULTS,
    Fault,
    SoakContext,
    end_some,
    inject_faults,
    replace_builds,
)
from seampond.testing.store import run_store
from seampond.testing.streaming import (
    CallerPlan,
    StreamAttempt,
    StreamingFleet,
    run_streaming,
)

_SERVERS = 6
_RECOVERY_MS = 4000
# A gateway counts as in touch after this time without a fault.
_CONTACT_MS = 3000
_RESUMED_MIN = 12
_RESUMED_SHARE = 0.5
_STREAM_INTERVAL_MS = 30
_BREAK_EVERY = 12
_CRASH_PAUSE_MS = (500, 3000)
_CHANGED_VERSION_PROBABILITY = 0.3
# Streams that a report describes.
_SHOWN = 3
_VERSIONS = ('v1', 'v2', 'v3')
_DRAINS_MS = (0, 1000)
_LOSS_MAX_MS = 500
_CONFIGURATION = ConfigurationRow(kind=STREAM, may_resume=True)
_CALLER_PLANS = (
    CallerPlan(),
    CallerPlan(cut_after=1),
    CallerPlan(cut_after=4),
    CallerPlan(cut_after=4, return_ms=300),
    CallerPlan(cut_after=3, cuts=2),
    CallerPlan(cut_after=4, return_ms=3000),
)


@dataclass(frozen=True)
class ReleasePlan:
    """The parameters of a soak.

    Parameters
    ----------
    seed : int
        Determines releases, callers and faults, but not the interleaving.
    seconds : float
        Duration of the faults.
    gateways : int
        Number of gateways.
    earlier_build : Path or None
        Folder of the build to start with and replace, None for this one.
    has_losses : bool
        Whether gateways end together in releases, callers state any wait and
        servers break streams off with garbage.

    """

    seed: int
    seconds: float
    gateways: int = GATEWAY_COUNT
    faults: Sequence[Fault] = RELEASE_FAULTS
    earlier_build: Path | None = None
    has_losses: bool = False
    servers: int = _SERVERS


@dataclass
class ReleaseReport:
    """Counts of a soak; `wrong` lists the promises that were broken.

    Parameters
    ----------
    resumed, went_on : int
        Requests that resume a stream at a gateway in touch while two servers
        of its version serve, and name the request that began it, and how many
        of them brought an event.

    """

    streams: int = 0
    complete: int = 0
    joined: int = 0
    resumed: int = 0
    went_on: int = 0
    started_share: float = 0
    faults: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)


async def _release(
    fleet: StreamingFleet, rng: random.Random, until_ms: int
) -> None:
    """Release one version after another, also an earlier one again."""
    while fleet.clock.now() < until_ms:
        await fleet.clock.sleep(rng.uniform(0, 2000))
        await fleet.release(rng.choice(_VERSIONS), round(rng.uniform(50, 700)))


async def _release_with_losses(
    context: SoakContext, fleet: StreamingFleet
) -> None:
    """Release versions; end gateways before, during or after each release."""
    rng = context.rng
    while fleet.clock.now() < context.until_ms:
        await fleet.clock.sleep(rng.uniform(0, 1000))
        interval_ms = rng.uniform(20, 400)
        drain_ms = rng.choice(_DRAINS_MS)
        serving = sum(server.takes_work for server in fleet.servers)
        release_ms = interval_ms * serving + drain_ms + _LOSS_MAX_MS
        version = rng.choice(_VERSIONS)
        async with asyncio.TaskGroup() as group:
            group.create_task(_lose_at(context, rng.uniform(0, release_ms)))
            group.create_task(
                fleet.release(version, round(interval_ms), drain_ms)
            )


async def _lose_at(context: SoakContext, after_ms: float) -> None:
    await context.clock.sleep(after_ms)
    context.faults['in_release'] += 1
    await end_some(context)


async def _crash_servers(
    fleet: StreamingFleet, rng: random.Random, until_ms: int, servers: int
) -> None:
    """Crash servers that start again, some of them as another version."""
    while fleet.clock.now() < until_ms:
        await fleet.clock.sleep(rng.uniform(*_CRASH_PAUSE_MS))
        running = [server for server in fleet.servers if server.takes_work]
        if len(running) <= servers // 2:
            continue
        server = rng.choice(running)
        server.may_restart = True
        server.crash()
        if rng.random() < _CHANGED_VERSION_PROBABILITY:
            server.row['version'] = rng.choice(_VERSIONS)


async def _send_load(
    context: SoakContext,
    fleet: StreamingFleet,
    plans: Sequence[CallerPlan],
    for_ms: int,
) -> None:
    """Open streams of callers with different plans at the same time."""
    interval_ms = _STREAM_INTERVAL_MS * len(plans)
    addresses = [gateway.ports[0] for gateway in context.gateways]
    async with asyncio.TaskGroup() as group:
        for plan in plans:
            await fleet.clock.sleep(context.rng.uniform(0, _STREAM_INTERVAL_MS))
            group.create_task(
                fleet.send_streams(addresses, plan, interval_ms, for_ms)
            )


def _is_in_touch(context: SoakContext, attempt: StreamAttempt) -> bool:
    """Whether no fault disturbed the gateway of a request of late."""
    gateway_ms = context.fleet.disrupted_ms.get(attempt.gateway, [])
    return not any(
        attempt.at_ms - _CONTACT_MS <= at_ms <= attempt.ended_ms
        for at_ms in (*gateway_ms, *context.store_disrupted_ms)
    )


def _build_report(context: SoakContext, fleet: StreamingFleet) -> ReleaseReport:
    resumed = [
        attempt
        for attempt in fleet.resumptions(serving=2)
        if attempt.is_named and _is_in_touch(context, attempt)
    ]
    report = ReleaseReport(
        len(fleet.records),
        sum(record.is_complete for record in fleet.records),
        len(fleet.joined),
        len(resumed),
        sum(attempt.event_count > 0 for attempt in resumed),
        round(fleet.started_share(), 3),
        context.faults,
    )
    if fleet.joined:
        report.wrong.append(f'{report.joined} streams join versions')
        report.wrong.extend(
            f'joined: {record.describe()}' for record in fleet.joined[:_SHOWN]
        )
    if fleet.disordered:
        report.wrong.append(f'{len(fleet.disordered)} streams lack events')
    if fleet.cut:
        report.wrong.append(f'{len(fleet.cut)} streams end too early')
        report.wrong.extend(
            f'cut: {record.describe()}' for record in fleet.cut[:_SHOWN]
        )
    report.wrong.extend(_find_garbage(fleet))
    least = _RESUMED_SHARE * report.started_share * report.resumed
    if report.resumed >= _RESUMED_MIN and report.went_on < least:
        report.wrong.append('streams that are resumed do not go on')
    return report


def _find_garbage(fleet: StreamingFleet) -> Iterator[str]:
    """Yield the streams that hold garbage, also behind the last event."""
    for record in fleet.records:
        cut = [attempt.cut_text for attempt in record.attempts]
        if record.garbage or not all(map(is_partial_event, cut)):
            yield f'garbage: {record.describe()}, cut {cut}'


def _read_logs(gateways: Sequence[GatewayProcess]) -> list[str]:
    """Return the gateways that log a broken promise or a traceback."""
    wrong = []
    for gateway in gateways:
        log = gateway.path.with_suffix('.log').read_text()
        if 'promise broken' in log or 'Traceback' in log:
            wrong.append(f'{gateway.name}: see its log')
    return wrong


def _draw_framings(rng: random.Random) -> Iterator[Framing]:
    """Yield how servers mark the ends of their answers."""
    while True:
        yield rng.choice(tuple(Framing))


async def _run_faults(
    context: SoakContext, fleet: StreamingFleet, plan: ReleasePlan
) -> None:
    """Release servers and open streams while faults overlap."""
    rng, until_ms = context.rng, context.until_ms
    plans: Sequence[CallerPlan] = _CALLER_PLANS
    if plan.has_losses:
        plans = draw_callers(random.Random(plan.seed), plans)
        releases = _release_with_losses(context, fleet)
    else:
        releases = _release(fleet, rng, until_ms)
    for_ms = round(plan.seconds * MS_PER_SECOND) + _RECOVERY_MS
    async with asyncio.TaskGroup() as group:
        if plan.faults:
            group.create_task(inject_faults(context))
        if plan.earlier_build is not None:
            group.create_task(replace_builds(context))
        group.create_task(releases)
        group.create_task(_crash_servers(fleet, rng, until_ms, plan.servers))
        group.create_task(_send_load(context, fleet, plans, for_ms))


async def run_release_soak(folder: Path, plan: ReleasePlan) -> ReleaseReport:
    """Run gateways through releases and faults, then for some time without."""
    rng = random.Random(plan.seed)
    clock = Clock()
    fault_ms = round(plan.seconds * MS_PER_SECOND)
    async with (
        run_store() as store,
        run_streaming(store) as fleet,
        run_gateways(
            folder, store, plan.earlier_build, plan.gateways
        ) as gateways,
    ):
        put_configuration(store, _CONFIGURATION)
        fleet.framings = _draw_framings(random.Random(plan.seed))
        if plan.has_losses:
            fleet.garbages = draw_garbages(random.Random(plan.seed))
        await fleet.add_servers(
            plan.servers, _VERSIONS[0], break_every=_BREAK_EVERY
        )
        await wait_ready(
            gateways, make_client(plan.gateways, reuse_connections=False)
        )
        context = SoakContext(
            gateways,
            SignallingFleet(store, clock),
            store,
            rng,
            clock,
            clock.now() + fault_ms,
            _CONFIGURATION,
            plan.faults,
            plan.earlier_build,
        )
        # A gateway is not in touch right after its start either.
        for gateway in gateways:
            context.record_disruption(gateway)
        await _run_faults(context, fleet, plan)
        report = _build_report(context, fleet)
        report.wrong.extend(_read_logs(gateways))
    return report


def main() -> int:
    """Run a soak and print its report; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--gateways', type=int, default=GATEWAY_COUNT)
    parser.add_argument('--servers', type=int, default=_SERVERS)
    parser.add_argument(
        '--losses',
        action='store_true',
        help='gateways end together in releases, and servers send garbage',
    )
    parser.add_argument('--folder', type=Path)
    parser.add_argument(
        '--from',
        dest='earlier_build',
        default='',
        metavar='COMMIT',
        help='replace gateways of that build one by one, sometimes back',
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        earlier_build = None
        if options.earlier_build:
            earlier_build = unpack_build(
                options.earlier_build, folder / 'earlier'
            )
        plan = ReleasePlan(
            options.seed,
            options.seconds,
            options.gateways,
            LOSS_FAULTS if options.losses else RELEASE_FAULTS,
            earlier_build,
            has_losses=options.losses,
            servers=options.servers,
        )
        report = asyncio.run(run_release_soak(folder, plan))
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
