"""The demo's command: run a deployment, drive it, report."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from seampond.clock import Clock
from seampond.demo.fleet import Fleet, copy_with_free_ports, run_fleet
from seampond.demo.load_generator import DemoReport, generate_load
from seampond.demo.traffic import make_calls
from seampond.demo.verify import find_violations
from seampond.logs import set_up_logs

EXAMPLES = Path(__file__).resolve().parent.parent.parent / 'examples'
CALLS = 360
SECONDS = 12
_ROW_FORMAT = '{0:>4}  {1:>5}  {2:>7}  {3:>5}  {4:>9}  {5:>9}  {6}'
_HEADINGS = ('tier', 'sent', 'in time', 'late', 'computed', 'reused', 'refused')


def print_report(report: DemoReport) -> None:
    """Print one row per tier."""
    print(_ROW_FORMAT.format(*_HEADINGS))
    for number, tier in sorted(report.tiers.items()):
        refused = ', '.join(
            f'{reason} {count}' for reason, count in tier.refused.items()
        )
        print(
            _ROW_FORMAT.format(
                number,
                tier.sent,
                tier.in_time,
                tier.late,
                tier.computed,
                tier.reused,
                refused or 'none',
            )
        )


def print_curl_commands(fleet: Fleet) -> None:
    """Print a working curl command for each workspace and template."""
    configuration = fleet.entries[0].components.holder.current
    url = fleet.entries[0].url
    for workspace in configuration.workspaces.values():
        key = fleet.keys[workspace.name]
        for name in workspace.parameters:
            template = configuration.templates[name]
            command = f'curl -N -H "Authorization: Bearer {key}"'
            if not template.repeatable:
                command = f'{command} -H "Idempotency-Key: $RANDOM"'
            if template.kind == 'service':
                print(f"{command} -d '{{}}' {url}/services/{name}/check/1")
                continue
            body = (
                f'{{"model":"{name}","stream":true,'
                '"messages":[{"role":"user","content":"hello"}]}'
            )
            print(f"{command} -d '{body}' {url}/v1/chat/completions")


async def run_demo(folder: Path, *, keep: bool, seed: int) -> int:
    """Run the demo; return 0 only if no promise was broken."""
    clock = Clock()
    async with run_fleet(folder, clock) as fleet:
        entries = len(fleet.entries)
        agents = len(fleet.agents)
        print(f'up: {entries} entries, {agents} agents with their servers')
        if keep:
            print_curl_commands(fleet)
            print('serving; end with Ctrl-C', flush=True)
            await asyncio.Event().wait()
        print(f'sending {CALLS} requests over {SECONDS} s', flush=True)
        calls = list(make_calls(fleet, CALLS, seed))
        report = await generate_load(fleet, calls, SECONDS, clock)
        violations = find_violations(fleet, report.violations, report.not_run)
    print_report(report)
    for line in violations:
        print(f'WRONG: {line}')
    print('promises were broken' if violations else 'every promise held')
    return int(bool(violations))


def main() -> int:
    """Parse the arguments and run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = sorted(path.name for path in EXAMPLES.iterdir())
    parser.add_argument('--deployment', choices=names, default='fitlink-kochi')
    parser.add_argument('--keep', action='store_true', help='serve on')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    set_up_logs('WARNING', sys.stderr)
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        copy_with_free_ports(EXAMPLES / options.deployment, folder)
        try:
            return asyncio.run(
                run_demo(folder, keep=options.keep, seed=options.seed)
            )
        except KeyboardInterrupt:
            return 0


if __name__ == '__main__':
    sys.exit(main())
