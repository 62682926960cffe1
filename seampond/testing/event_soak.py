"""Gateways and servers as processes under faults; each event is checked.

`python -m seampond.testing.event_soak --seed 1 --seconds 8 --gateways 3`
"""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from itertools import repeat
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.event_callers import EventCallers
from seampond.testing.event_faults import ServerFaults
from seampond.testing.event_fleet import (
    EVENT_COUNT,
    EventFleet,
    run_event_fleet,
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
from seampond.testing.soak_draws import draw_garbages
from seampond.testing.soak_faults import (
    LOSS_FAULTS,
    STREAM_FAULTS,
    Fault,
    SoakContext,
    inject_faults,
    replace_builds,
)
from seampond.testing.store import run_store

_SERVERS = 6
_RECOVERY_MS = 3000
_STREAM_INTERVAL_MS = 25
_ARRIVED_SHARE = 0.25
_BEGUN_SHARE = 0.4
_COMPLETE_SHARE = 0.3
_SIGNS_OF_FAULTS = ('promise broken', 'Traceback')
_CONFIGURATION = ConfigurationRow(
    kind=STREAM, may_resume=True, has_once_route=True
)


@dataclass(frozen=True)
class EventSoakPlan:
    """The parameters of a soak.

    Parameters
    ----------
    seed : int
        Determines servers, callers and faults, but not the interleaving.
    seconds : float
        Duration of the faults.
    earlier_build : Path or None
        Folder of the build to start with, None for this one.
    is_replaced : bool
        Whether gateways of the earlier build are replaced one by one.
    has_losses : bool
        Whether gateways end together, callers state any wait and servers
        break streams off with garbage.

    """

    seed: int
    seconds: float
    gateways: int = GATEWAY_COUNT
    servers: int = _SERVERS
    framings: Sequence[Framing] = tuple(Framing)
    earlier_build: Path | None = None
    is_replaced: bool = True
    has_losses: bool = False


@dataclass
class EventSoakReport:
    """Counts of a soak; `wrong` lists the rules that were broken.

    Parameters
    ----------
    arrived : int
        Streams for which a gateway accepted a connection.
    taken_up : int
        Streams that a later request or run went on with.
    kinds : Counter[str]
        Number of streams with each kind of fault.

    """

    streams: int = 0
    arrived: int = 0
    begun: int = 0
    complete: int = 0
    taken_up: int = 0
    kinds: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)


def _build_report(
    context: SoakContext, callers: EventCallers
) -> EventSoakReport:
    streams = callers.streams
    report = EventSoakReport(
        len(streams),
        sum(stream.has_arrived for stream in streams),
        sum(stream.has_begun for stream in streams),
        sum(stream.is_complete for stream in streams),
        sum(stream.is_taken_up for stream in streams),
        faults=context.faults,
    )
    for stream in streams:
        kinds = stream.find_wrong(EVENT_COUNT)
        report.kinds.update(kinds)
        if kinds:
            report.wrong.append(f'{sorted(kinds)}: {stream.describe()}')
    report.wrong.extend(_find_low_shares(report))
    return report


def _find_low_shares(report: EventSoakReport) -> Iterator[str]:
    """Yield which of the streams were too few.

    Explanation
    -----------
    Callers of a gateway that is gone do not reach one, which is no fault of
    the gateways, but most of the time some gateway runs.
    """
    if report.arrived < _ARRIVED_SHARE * report.streams:
        yield f'only {report.arrived} streams reached a gateway'
    if report.begun < _BEGUN_SHARE * report.arrived:
        yield f'only {report.begun} streams began'
    if report.complete < _COMPLETE_SHARE * report.arrived:
        yield f'only {report.complete} streams were complete'


def _read_logs(gateways: Sequence[GatewayProcess]) -> list[str]:
    """Return the gateways that log a broken promise or a traceback."""
    wrong = []
    for gateway in gateways:
        log = gateway.path.with_suffix('.log').read_text()
        if any(text in log for text in _SIGNS_OF_FAULTS):
            wrong.append(f'{gateway.name}: see its log')
    return wrong


async def run_event_soak(folder: Path, plan: EventSoakPlan) -> EventSoakReport:
    """Run gateways under faults, then for some time without."""
    clock = Clock()
    fault_ms = round(plan.seconds * MS_PER_SECOND)
    draws = random.Random(plan.seed) if plan.has_losses else None
    callers = EventCallers(clock, EVENT_COUNT, draws)
    garbages = (
        draw_garbages(random.Random(plan.seed))
        if plan.has_losses
        else repeat(())
    )
    async with (
        run_store() as store,
        run_event_fleet(
            EventFleet(
                store,
                random.Random(plan.seed),
                plan.framings,
                garbages=garbages,
            ),
            plan.servers,
        ) as fleet,
        run_gateways(
            folder, store, plan.earlier_build, plan.gateways
        ) as gateways,
    ):
        put_configuration(store, _CONFIGURATION)
        await wait_ready(
            gateways, make_client(plan.gateways, reuse_connections=False)
        )
        context = SoakContext(
            gateways,
            SignallingFleet(store, clock),
            store,
            random.Random(plan.seed),
            clock,
            clock.now() + fault_ms,
            _CONFIGURATION,
            LOSS_FAULTS if plan.has_losses else STREAM_FAULTS,
            plan.earlier_build,
        )
        await _run_load(context, ServerFaults(fleet).kinds, callers, plan)
        report = _build_report(context, callers)
        report.wrong.extend(_read_logs(gateways))
    return report


async def _run_load(
    context: SoakContext,
    server_faults: Sequence[Fault],
    callers: EventCallers,
    plan: EventSoakPlan,
) -> None:
    """Open streams while four series of faults overlap."""
    on_servers = replace(context, fault_kinds=server_faults)
    left_ms = context.until_ms - context.clock.now()
    addresses = [gateway.ports[0] for gateway in context.gateways]
    async with asyncio.TaskGroup() as group:
        for faulted in (context, on_servers, on_servers, on_servers):
            group.create_task(inject_faults(faulted))
        if context.earlier_build is not None and plan.is_replaced:
            group.create_task(replace_builds(context))
        group.create_task(
            callers.send_streams(
                addresses,
                random.Random(plan.seed),
                _STREAM_INTERVAL_MS,
                left_ms + _RECOVERY_MS,
            )
        )


def _parse_framings(text: str) -> tuple[Framing, ...]:
    return tuple(map(Framing, text.split(',')))


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--gateways', type=int, default=GATEWAY_COUNT)
    parser.add_argument('--servers', type=int, default=_SERVERS)
    parser.add_argument(
        '--framings', type=_parse_framings, default=tuple(Framing)
    )
    parser.add_argument(
        '--losses',
        action='store_true',
        help='gateways end together, and servers send garbage',
    )
    parser.add_argument('--folder', type=Path)
    parser.add_argument(
        '--from',
        dest='earlier_build',
        default='',
        metavar='COMMIT',
        help='replace gateways of that build one by one, sometimes back',
    )
    parser.add_argument(
        '--keep', action='store_true', help='do not replace that build'
    )
    return parser


def main() -> int:
    """Run a soak and print its report; return 1 if a rule was broken."""
    options = _make_parser().parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        earlier_build = None
        if options.earlier_build:
            earlier_build = unpack_build(
                options.earlier_build, folder / 'earlier'
            )
        plan = EventSoakPlan(
            options.seed,
            options.seconds,
            options.gateways,
            options.servers,
            options.framings,
            earlier_build,
            is_replaced=not options.keep,
            has_losses=options.losses,
        )
        report = asyncio.run(run_event_soak(folder, plan))
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
