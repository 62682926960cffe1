"""Print the measured rounds of `journal/` as a table, a row each.

With `--worth` the days' worth stands in place of their score, which is cut at
1, and the mean of the days with trouble in place of the site's score.
"""

import argparse
import json
from pathlib import Path
from typing import Any

JOURNAL = Path(__file__).resolve().parent.parent / 'journal'
DAYS = ('quiet-1', 'trouble-1', 'scale-1', 'trouble-2', 'scale-2', 'trouble-3')
QUIET = 'quiet'
HEADS = ('entry', 'site', 'score', *DAYS, 'rules broken', 'what was tried')
WORTH_HEADS = ('entry', 'site', 'mean of trouble', *DAYS, 'what was tried')


def read_scores() -> list[dict[str, Any]]:
    """Give the entries of `score`, the oldest first."""
    paths = sorted(JOURNAL.glob('*.json'))
    entries = [json.loads(path.read_text(encoding='utf-8')) for path in paths]
    # An entry of a run that was ended has no days.
    return [
        entry for entry in entries if entry['cmd'] == 'score' and entry['days']
    ]


def make_row(entry: dict[str, Any]) -> list[str]:
    """Give the cells of one entry."""
    days = {day['name']: day for day in entry['days']}
    marks = [days[name]['score'] for name in DAYS if name in days]
    broken = sorted(
        f'{name}: {rule}'
        for name, day in days.items()
        for rule in day['rules'] or ()
    )
    return [
        entry['id'],
        entry['site'],
        f'{entry["score"]:.3f}',
        *(f'{mark:.2f}' for mark in marks),
        ', '.join(broken) or 'none',
        entry['why'],
    ]


def make_worth_row(entry: dict[str, Any]) -> list[str]:
    """Give the cells of one entry with the worth of its days."""
    worths = {
        day['name']: day['G'] for day in entry['days'] if day['name'] in DAYS
    }
    troubled = [
        worth for name, worth in worths.items() if not name.startswith(QUIET)
    ]
    mean = sum(troubled) / max(1, len(troubled))
    return [
        entry['id'],
        entry['site'],
        f'{mean:.3f}',
        *(f'{worths[name]:.3f}' for name in DAYS if name in worths),
        entry['why'],
    ]


def main() -> None:
    """Print the table in Markdown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--worth', action='store_true')
    parser.add_argument('--site', default='', help='a part of its name')
    options = parser.parse_args()
    heads = WORTH_HEADS if options.worth else HEADS
    make = make_worth_row if options.worth else make_row
    print('|', ' | '.join(heads), '|')
    print('|', ' | '.join('---' for _ in heads), '|')
    for entry in read_scores():
        if options.site in entry['site']:
            print('|', ' | '.join(make(entry)), '|')


if __name__ == '__main__':
    main()
