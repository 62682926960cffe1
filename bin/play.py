"""Play days of a deployment on several seeds and print what each was worth.

A single run of a day swings by 0.03; a round is judged by the mean over its
days and seeds.  The bench is a program of the users; it is named by its path
and plays the tracked files of the working folder, so run this in a clone.
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import chain
from pathlib import Path
from statistics import mean, pstdev
from typing import Any

DAYS = 'trouble-1,scale-1,trouble-2,scale-2,trouble-3'
SEEDS = '101,102,103'
JOURNAL = Path('journal')


@dataclass(frozen=True)
class DayRun:
    """One day of a deployment, run with one seed."""

    bench: str
    site: str
    day: str
    seed: str
    why: str
    is_small_variant: bool = False

    def run(self) -> None:
        """Run the bench, which writes an entry to the journal."""
        command = [self.bench, 'run', self.site, self.day, '--seed', self.seed]
        if self.is_small_variant:
            command.append('--small')
        completed = subprocess.run(
            [*command, '--why', self.why], capture_output=True, text=True
        )
        if completed.returncode > 1:
            sys.stderr.write(f'{self.day} {self.seed}: {completed.stderr}\n')


def read_days(why: str) -> list[dict[str, Any]]:
    """Return the days run for this reason, ordered by name and seed."""
    days = []
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        if entry['cmd'] == 'run' and entry['why'] == why:
            days.extend(entry['days'] or ())
    return sorted(days, key=lambda day: (day['name'], day['seed']))


def describe(day: dict[str, Any]) -> str:
    """Return one line per day: worth, parts, prices, broken rules."""
    parts = [f'{name} {earned:.3f}' for name, _, earned in day['parts']]
    rules = ', '.join(day['rules']) or 'none'
    price = sum(row[-1] for row in day['prices'])
    described = [
        day['name'],
        str(day['seed']),
        f'worth {day["G"]:.3f}',
        *parts,
        f'prices {price:.3f}',
        f'refused {day["refused"]:.3f}',
        f'rules {rules}',
        f'gate {day["gate"]}',
    ]
    return '  '.join(described)


def print_means(days: list[dict[str, Any]]) -> None:
    """Print the mean of each day over its seeds, and the overall mean."""
    by_name: dict[str, list[float]] = {}
    for day in days:
        print(describe(day))
        by_name.setdefault(day['name'], []).append(day['G'])
    for name, worths in by_name.items():
        print(f'{name:<10} mean {mean(worths):.3f}')
    every = list(chain.from_iterable(by_name.values()))
    print(f'{len(every)} days, mean {mean(every):.4f}, {pstdev(every):.3f}')


def main() -> None:
    """Run all days, then print a line for each day and the means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('bench')
    parser.add_argument('site')
    parser.add_argument('--why', required=True, help='names the round')
    parser.add_argument('--days', default=DAYS)
    parser.add_argument('--seeds', default=SEEDS)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument(
        '--small', action='store_true', help='small twins of large days'
    )
    options = parser.parse_args()
    day_runs = [
        DayRun(
            options.bench, options.site, day, seed, options.why, options.small
        )
        for day in options.days.split(',')
        for seed in options.seeds.split(',')
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        list(pool.map(DayRun.run, day_runs))
    print_means(read_days(options.why))


if __name__ == '__main__':
    main()
