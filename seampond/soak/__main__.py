"""`bin/soak`: run a deployment under traffic and seeded faults."""

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from seampond.backing.http_client import open_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.demo.__main__ import EXAMPLES
from seampond.demo.fleet import copy_with_free_ports, run_fleet
from seampond.demo.verify import find_violations
from seampond.logs import set_up_logs
from seampond.soak.faults import FAULTS, Fault, FaultContext, inject_faults
from seampond.soak.load_generator import (
    LoadGenerator,
    SoakReport,
    generate_load,
)

_CONNECTIONS = 256
_SECONDS_PER_MINUTE = 60


async def run_soak(
    folder: Path, seed: int, seconds: float, faults: tuple[Fault, ...]
) -> SoakReport:
    """Run one soak test.

    Parameters
    ----------
    folder : Path
        The settings of a deployment.
    seed : int
        Seed of traffic and faults; the interleaving of tasks stays random.
    seconds : float
        The duration of traffic and faults.
    faults : tuple[Fault, ...]
        The faults to choose from.

    Returns
    -------
    SoakReport
        The counts and `violations`, empty if no promise was broken.

    """
    clock = Clock()
    report = SoakReport()
    async with (
        run_fleet(folder, clock) as fleet,
        open_client(_CONNECTIONS) as client,
    ):
        until_ms = clock.now() + round(seconds * MS_PER_SECOND)
        context = FaultContext(fleet, random.Random(seed), clock, faults)
        generator = LoadGenerator(
            fleet, client, random.Random(seed + 1), clock, report
        )
        await asyncio.gather(
            inject_faults(context, until_ms, report.faults),
            generate_load(generator, until_ms),
        )
        report.violations = find_violations(
            fleet, report.violations, report.not_run
        )
    return report


def print_report(report: SoakReport, seed: int) -> None:
    """Print the counts of requests, faults and outcomes, and violations."""
    print(f'seed {seed}: {report.sent} requests')
    for name, count in sorted(report.faults.items()):
        print(f'  fault {name}: {count}')
    for outcome, count in report.outcomes.most_common():
        print(f'  outcome {outcome}: {count}')
    for line in report.violations:
        print(f'  WRONG {line}')


def main() -> int:
    """Run a soak test and print its report; return 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument('--deployment', default='fitlink-kochi')
    parser.add_argument(
        '--faults',
        nargs='+',
        choices=sorted(FAULTS),
        default=sorted(FAULTS),
        help='only these faults',
    )
    options = parser.parse_args()
    set_up_logs('ERROR', sys.stderr)
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        copy_with_free_ports(EXAMPLES / options.deployment, folder)
        seconds = options.minutes * _SECONDS_PER_MINUTE
        faults = tuple(FAULTS[name] for name in options.faults)
        report = asyncio.run(run_soak(folder, options.seed, seconds, faults))
    print_report(report, options.seed)
    return int(bool(report.violations))


if __name__ == '__main__':
    sys.exit(main())
