"""Gateways as processes under seeded faults, seen from outside.

`python -m seampond.testing.gateway_soak --seed 1 --seconds 20`
"""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from seampond.backing.http import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.tests.rows import (
    IDEMPOTENT,
    ONCE,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.crashing import CRASHING_BODY
from seampond.testing.gateway_processes import (
    GATEWAY_COUNT,
    GatewayProcess,
    run_gateways,
    unpack_build,
    wait_ready,
)
from seampond.testing.limit_checks import LimitCheck
from seampond.testing.signalling import SignallingFleet, run_signalling
from seampond.testing.soak_faults import (
    FAULTS,
    LATER_FAULTS,
    LIMIT_FAULTS,
    Fault,
    SoakContext,
    inject_faults,
    replace_builds,
)
from seampond.testing.store import run_store

_SERVERS = 6
_CALM_MS = 5000
_CONTACT_MS = 3000
_LATE_SENDS_MAX = 3
_ATTEMPTS_MAX = 2
_SERVED_PART = 0.9
_DRAIN_MS = 2000
_UNWANTED_MAX = 2


@dataclass
class SoakReport:
    """What was sent and seen; `wrong` is empty if every promise held."""

    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    ends: int = 0
    late_sends: int = 0
    wrong: list[str] = field(default_factory=list)


def _find_wrong_requests(fleet: SignallingFleet, kind: str) -> list[str]:
    """Hold each request against what its caller was told."""
    sends = Counter(one.body for one in fleet.deliveries)
    # What a server has turned away may go to another one.
    runs = fleet.count_runs()
    most = 1 if kind == ONCE else _ATTEMPTS_MAX
    wrong = []
    for one in fleet.caller_requests:
        if one.status == 200 and one.content != b'whole':
            wrong.append(f'{one.body!r}: answered {one.content!r}')
        if not one.body.startswith(b'sound'):
            continue
        if runs[one.body] > most:
            wrong.append(f'{one.body!r}: run more than {most} times')
        if sends[one.body] > _ATTEMPTS_MAX:
            wrong.append(f'{one.body!r}: sent more than {_ATTEMPTS_MAX} times')
        if one.status in (429, 503) and runs[one.body]:
            wrong.append(f'{one.body!r}: told not run, and run')
    return wrong


def _find_wrong(
    fleet: SignallingFleet, kind: str, calm_ms: int, report: SoakReport
) -> list[str]:
    """Hold what callers and servers have seen against the promises."""
    wrong = _find_wrong_requests(fleet, kind)
    if report.late_sends > _LATE_SENDS_MAX:
        wrong.append(f'{report.late_sends} late sends of what ends servers')
    if fleet.count_sends_after_drain(_DRAIN_MS):
        wrong.append('sends to a server that had said that it leaves')
    part = LimitCheck(fleet, _CONTACT_MS).worst_share()
    if part > 1:
        wrong.append(f'{part:.2f} of what a limit allows')
    if fleet.max_sends_in_backoff() > _UNWANTED_MAX:
        wrong.append('sends to a server that wanted rest')
    served = fleet.served_share(calm_ms)
    if served < _SERVED_PART:
        wrong.append(f'served {served:.2f} after the faults')
    return wrong


def _report(context: SoakContext, kind: str) -> SoakReport:
    fleet = context.fleet
    report = SoakReport(
        len(fleet.caller_requests),
        Counter(one.status for one in fleet.caller_requests),
        context.faults,
        len(fleet.crash_times_ms),
        fleet.count_late_sends(_CONTACT_MS),
    )
    calm_ms = context.until_ms + _CALM_MS + _CALM_MS // 2
    report.wrong = _find_wrong(fleet, kind, calm_ms, report)
    return report


def _read_logs(gateways: Sequence[GatewayProcess]) -> list[str]:
    """Give who found a promise of its own broken, or was surprised."""
    wrong = []
    for gateway in gateways:
        log = gateway.path.with_suffix('.log').read_text()
        if 'promise broken' in log or 'Traceback' in log:
            wrong.append(f'{gateway.name}: see its log')
    return wrong


def _make_sound(number: int) -> bytes:
    return b'sound %d' % number


def _make_popular(number: int) -> bytes:
    return b'popular'


def _make_crashing(number: int) -> bytes:
    return CRASHING_BODY


async def _play(
    context: SoakContext, addresses: Sequence[str], for_ms: int
) -> None:
    """Bring sound, popular and deadly requests under faults, then in calm."""
    fleet = context.fleet
    whole_ms = for_ms + 2 * _CALM_MS

    async with asyncio.TaskGroup() as group:
        group.create_task(inject_faults(context))
        if context.earlier_build is not None:
            group.create_task(replace_builds(context))
        for make_body, every_ms in (
            (_make_sound, 40),
            (_make_popular, 120),
            (_make_crashing, 350),
        ):
            group.create_task(
                fleet.send_requests(addresses, make_body, every_ms, whole_ms)
            )


@dataclass(frozen=True)
class SoakPlan:
    """What a soak plays.

    Parameters
    ----------
    seed : int
        Decides the kind of route and the faults; the interleaving is the
        machine's.
    seconds : float
        How long faults come.
    faults : Sequence[Fault]
        Of which kinds.
    earlier_build : Path or None
        Where the build lies that runs at first, and is replaced by this one.

    """

    seed: int
    seconds: float
    faults: Sequence[Fault] = FAULTS
    earlier_build: Path | None = None


async def run_soak(folder: Path, plan: SoakPlan) -> SoakReport:
    """Run gateways under faults for some seconds, then in calm."""
    rng = random.Random(plan.seed)
    kind = rng.choice((IDEMPOTENT, ONCE))
    clock = Clock()
    for_ms = round(plan.seconds * MS_PER_SECOND)
    async with (
        run_store() as store,
        run_signalling(store, _SERVERS, CRASHING_BODY.__eq__) as fleet,
        run_gateways(folder, store, plan.earlier_build) as gateways,
    ):
        configuration = ConfigurationRow(kind=kind)
        put_configuration(store, configuration)
        await wait_ready(gateways, make_client(GATEWAY_COUNT, reuses=False))
        context = SoakContext(
            gateways,
            fleet,
            store,
            rng,
            clock,
            clock.now() + for_ms,
            configuration,
            plan.faults,
            plan.earlier_build,
        )
        await _play(context, [one.ports[0] for one in gateways], for_ms)
        report = _report(context, kind)
        report.wrong.extend(_read_logs(gateways))
    return report


def main() -> int:
    """Parse the arguments, run, report; 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--folder', type=Path)
    parser.add_argument('--later', action='store_true')
    parser.add_argument('--limits', action='store_true')
    parser.add_argument(
        '--from',
        dest='earlier_build',
        default='',
        metavar='COMMIT',
        help='replace gateways of that build one by one, sometimes back',
    )
    options = parser.parse_args()
    faults = LATER_FAULTS if options.later else FAULTS
    if options.limits:
        faults = LIMIT_FAULTS
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        earlier_build = None
        if options.earlier_build:
            earlier_build = unpack_build(
                options.earlier_build, folder / 'earlier'
            )
        plan = SoakPlan(options.seed, options.seconds, faults, earlier_build)
        report = asyncio.run(run_soak(folder, plan))
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
