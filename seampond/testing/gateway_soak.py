"""Gateways as processes under seeded faults, seen from outside.

`python -m seampond.testing.gateway_soak --seed 1 --seconds 20`
"""

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.tests.rows import (
    IDEMPOTENT,
    ONCE,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.crashing import CRASHING_BODY, AnswerStyle, Content
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
    LIMIT_FAULTS,
    PART_FAULTS,
    SIGNAL_FAULTS,
    Fault,
    LoadBalancer,
    SoakContext,
    inject_faults,
    replace_builds,
)
from seampond.testing.store import run_store

_SERVERS = 6
_RECOVERY_MS = 5000
_GRACE_MS = 3000
_LATE_SENDS_MAX = 3
_ATTEMPTS_MAX = 2
_MIN_SERVED_SHARE = 0.9
_DRAIN_MS = 2000
_BACKOFF_SENDS_MAX = 2
_FIRST_PART = 'a0'
_CRASHING_PART = 'bad'
_STYLES = (AnswerStyle.whole, AnswerStyle.half_body, AnswerStyle.unframed_body)
_SHARED_PARTS = 5
# Crashes that are borne before late sends count.
_BODY_CRASHES = 3
_PART_CRASHES = 5


@dataclass
class SoakReport:
    """Counts of a soak; `wrong` lists the promises that were broken."""

    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    ends: int = 0
    late_sends: int = 0
    wrong: list[str] = field(default_factory=list)


def _find_wrong_requests(fleet: SignallingFleet, kind: str) -> list[str]:
    """Compare the deliveries of each request with its response."""
    sends = Counter(delivery.body for delivery in fleet.deliveries)
    # A rejected request may be sent to another server.
    runs = fleet.count_runs()
    runs_max = 1 if kind == ONCE else _ATTEMPTS_MAX
    wrong = []
    for request in fleet.caller_requests:
        if request.status == 200 and request.content != b'whole':
            wrong.append(f'{request.body!r}: answered {request.content!r}')
        if not request.body.startswith(b'sound'):
            continue
        if runs[request.body] > runs_max:
            wrong.append(f'{request.body!r}: run more than {runs_max} times')
        if sends[request.body] > _ATTEMPTS_MAX:
            wrong.append(
                f'{request.body!r}: sent more than {_ATTEMPTS_MAX} times'
            )
        if request.status in (429, 503) and runs[request.body]:
            wrong.append(f'{request.body!r}: told not run, and run')
    return wrong


def _find_wrong(
    fleet: SignallingFleet, kind: str, calm_ms: int, report: SoakReport
) -> list[str]:
    """Compare what callers and servers saw with the promises."""
    wrong = _find_wrong_requests(fleet, kind)
    if report.late_sends > _LATE_SENDS_MAX:
        wrong.append(f'{report.late_sends} late sends of what ends servers')
    if fleet.count_sends_after_drain(_DRAIN_MS):
        wrong.append('sends to a server that had said that it leaves')
    share = LimitCheck(fleet, _GRACE_MS).worst_share()
    if share > 1:
        wrong.append(f'{share:.2f} of what a limit allows')
    if fleet.max_sends_in_backoff() > _BACKOFF_SENDS_MAX:
        wrong.append('sends to a server that wanted rest')
    served = fleet.served_share(calm_ms)
    if served < _MIN_SERVED_SHARE:
        wrong.append(f'served {served:.2f} after the faults')
    return wrong


def _build_report(context: SoakContext, kind: str, crashes: int) -> SoakReport:
    fleet = context.fleet
    report = SoakReport(
        len(fleet.caller_requests),
        Counter(request.status for request in fleet.caller_requests),
        context.faults,
        len(fleet.crash_times_ms),
        fleet.count_late_sends(_GRACE_MS, crashes),
    )
    calm_ms = context.until_ms + _RECOVERY_MS + _RECOVERY_MS // 2
    report.wrong = _find_wrong(fleet, kind, calm_ms, report)
    return report


def _read_logs(gateways: Sequence[GatewayProcess]) -> list[str]:
    """Return the gateways that log a broken promise or a traceback."""
    wrong = []
    for gateway in gateways:
        log = gateway.path.with_suffix('.log').read_text()
        if 'promise broken' in log or 'Traceback' in log:
            wrong.append(f'{gateway.name}: see its log')
    return wrong


def _is_crashing(content: Content) -> bool:
    """Return True for contents that crash servers."""
    return content.body == CRASHING_BODY or _CRASHING_PART in content.parts


def _make_content_with_parts(number: int) -> Content:
    index = number % _SHARED_PARTS
    parts = (_FIRST_PART, f's{index}', f'x{number}')
    return Content(b'sound %d' % number, parts)


def _make_content_with_crashing_part(number: int) -> Content:
    parts = (_FIRST_PART, _CRASHING_PART, f'x{number}')
    return Content(b'crashing %d' % number, parts)


def _make_distinct_content(number: int) -> Content:
    return Content(b'sound %d' % number)


def _make_repeated_content(number: int) -> Content:
    return Content(b'popular')


def _make_crashing_content(number: int) -> Content:
    return Content(CRASHING_BODY)


# Contents and their intervals in milliseconds.
Load = Sequence[tuple[Callable[[int], Content], int]]
_BODY_LOAD: Load = (
    (_make_distinct_content, 40),
    (_make_repeated_content, 120),
    (_make_crashing_content, 350),
)
_PART_LOAD: Load = (
    (_make_content_with_parts, 40),
    (_make_repeated_content, 120),
    (_make_content_with_crashing_part, 350),
)


async def _send_load(context: SoakContext, load: Load, fault_ms: int) -> None:
    """Send distinct, repeated and crashing requests during and after faults."""
    fleet = context.fleet
    total_ms = fault_ms + 2 * _RECOVERY_MS

    async with asyncio.TaskGroup() as group:
        group.create_task(inject_faults(context))
        if context.earlier_build is not None:
            group.create_task(replace_builds(context))
        for make_content, interval_ms in load:
            group.create_task(
                fleet.send_requests(
                    context.balancer, make_content, interval_ms, total_ms
                )
            )


@dataclass(frozen=True)
class SoakPlan:
    """The parameters of a soak.

    Parameters
    ----------
    seed : int
        Determines the kind of route and the faults, but not the interleaving.
    seconds : float
        Duration of the faults.
    faults : Sequence[Fault]
        Kinds of faults to inject.
    earlier_build : Path or None
        Folder of the build to start with and replace, None for this one.
    has_crashing_part : bool
        Whether a part of prompts crashes servers in place of a body.

    """

    seed: int
    seconds: float
    faults: Sequence[Fault] = FAULTS
    earlier_build: Path | None = None
    has_crashing_part: bool = False

    @property
    def load(self) -> Load:
        """The requests to send."""
        return _PART_LOAD if self.has_crashing_part else _BODY_LOAD

    @property
    def crashes_borne(self) -> int:
        """Number of crashes before late sends count."""
        return _PART_CRASHES if self.has_crashing_part else _BODY_CRASHES


def _draw_styles(fleet: SignallingFleet, rng: random.Random) -> None:
    """Draw how servers mark the ends of their answers."""
    for server in fleet.signalling_servers:
        server.style = rng.choice(_STYLES)


async def run_soak(folder: Path, plan: SoakPlan) -> SoakReport:
    """Run gateways under faults, then for some time without."""
    rng = random.Random(plan.seed)
    kind = rng.choice((IDEMPOTENT, ONCE))
    clock = Clock()
    fault_ms = round(plan.seconds * MS_PER_SECOND)
    async with (
        run_store() as store,
        run_signalling(store, _SERVERS, _is_crashing) as fleet,
        run_gateways(folder, store, plan.earlier_build) as gateways,
    ):
        if plan.earlier_build is None:
            # Earlier builds take the end of a connection for that of a body.
            _draw_styles(fleet, random.Random(plan.seed))
        configuration = ConfigurationRow(kind=kind)
        put_configuration(store, configuration)
        await wait_ready(
            gateways, make_client(GATEWAY_COUNT, reuse_connections=False)
        )
        context = SoakContext(
            gateways,
            fleet,
            store,
            rng,
            clock,
            clock.now() + fault_ms,
            configuration,
            plan.faults,
            plan.earlier_build,
            LoadBalancer([gateway.ports[0] for gateway in gateways]),
        )
        await _send_load(context, plan.load, fault_ms)
        report = _build_report(context, kind, plan.crashes_borne)
        report.wrong.extend(_read_logs(gateways))
    return report


def main() -> int:
    """Run a soak and print its report; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--folder', type=Path)
    parser.add_argument('--later', action='store_true')
    parser.add_argument('--limits', action='store_true')
    parser.add_argument('--parts', action='store_true')
    parser.add_argument(
        '--from',
        dest='earlier_build',
        default='',
        metavar='COMMIT',
        help='replace gateways of that build one by one, sometimes back',
    )
    options = parser.parse_args()
    faults = SIGNAL_FAULTS if options.later else FAULTS
    if options.limits:
        faults = LIMIT_FAULTS
    if options.parts:
        faults = PART_FAULTS
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        earlier_build = None
        if options.earlier_build:
            earlier_build = unpack_build(
                options.earlier_build, folder / 'earlier'
            )
        plan = SoakPlan(
            options.seed,
            options.seconds,
            faults,
            earlier_build,
            options.parts,
        )
        report = asyncio.run(run_soak(folder, plan))
    sys.stdout.write(f'seed {options.seed}: {report}\n')
    return int(bool(report.wrong))


if __name__ == '__main__':
    sys.exit(main())
