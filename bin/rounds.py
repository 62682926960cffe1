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
SITE = 'site'
HEADS = ('entry', 'site', 'score', *DAYS, 'rules broken', 'what was tried')
WORTH_HEADS = ('entry', 'site', 'mean of trouble', *DAYS, 'what was tried')


def read_scores() -> list[dict[str, Any]]:
    """Return the journal entries of `score`, oldest first."""
    paths = sorted(JOURNAL.glob('*.json'))
    entries = [json.loads(path.read_text(encoding='utf-8')) for path in paths]
    # The entry of an aborted run has no days.
    return [
        entry for entry in entries if entry['cmd'] == 'score' and entry['days']
    ]


def format_figure(day: dict[str, Any] | None, figure: str, digits: int) -> str:
    """Return a figure of a day as text, a dash if the day is missing."""
    return '-' if day is None else str(round(day[figure], digits))


def make_row(entry: dict[str, Any]) -> list[str]:
    """Return the cells of one entry."""
    days = {day['name']: day for day in entry['days']}
    broken = sorted(
        f'{name}: {rule}'
        for name, day in days.items()
        for rule in day['rules'] or ()
    )
    return [
        entry['id'],
        entry[SITE],
        f'{entry["score"]:.3f}',
        *(format_figure(days.get(name), 'score', 2) for name in DAYS),
        ', '.join(broken) or 'none',
        entry['why'],
    ]


def make_worth_row(entry: dict[str, Any]) -> list[str]:
    """Return the cells of one entry, with the worth of its days."""
    days = {day['name']: day for day in entry['days'] if day['name'] in DAYS}
    troubled = [
        day['G'] for name, day in days.items() if not name.startswith(QUIET)
    ]
    mean = sum(troubled) / max(1, len(troubled))
    return [
        entry['id'],
        entry[SITE],
        f'{mean:.3f}',
        *(format_figure(days.get(name), 'G', 3) for name in DAYS),
        entry['why'],
    ]


def main() -> None:
    """Print the table in Markdown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--worth', action='store_true')
    parser.add_argument('--site', default='', help='its name or a part of it')
    options = parser.parse_args()
    heads = WORTH_HEADS if options.worth else HEADS
    make_cells = make_worth_row if options.worth else make_row
    print('|', ' | '.join(heads), '|')
    print('|', ' | '.join('---' for _ in heads), '|')
    scores = read_scores()
    site_names = {entry[SITE] for entry in scores}
    sites = {name for name in site_names if options.site in name}
    if options.site in site_names:
        sites = {options.site}
    for entry in scores:
        if entry[SITE] in sites:
            print('|', ' | '.join(make_cells(entry)), '|')


if __name__ == '__main__':
    main()
