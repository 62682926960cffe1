"""Print where a day's worth is lost, from the report and the log of its play.

Both come from one run of the users' bench: the report that it writes, and what
it prints with the log of all gateways.  The tables are Markdown: by kind of
work and by hall what was asked and what became of it; the worst windows, and
beside each what the gateways told of the tries that ended in it; the prices.
"""

import argparse
import json
import re
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

FIGURES = ('n', 'in_aim', 'late', 'refused', 'failed', 'not_owed', 'worth')
WINDOW_S = 2
WINDOWS_SHOWN = 6
# A price below this is worth less than the noise of a run.
PRICE_SHOWN = 0.0005
BAD_STATUS = 500
# The pause that qalhat-cores allows in a stream.
PAUSE_MS = 250
LINE = re.compile(r'^ *(-?[0-9.]+) (\S+) (\{.*\})$')


def read_tries(path: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Give the time of day and the fields of each request's last line."""
    for line in path.read_text(encoding='utf-8').splitlines():
        found = LINE.match(line)
        if found is None:
            continue
        fields = json.loads(found.group(3))
        if fields['event'] == 'request over':
            yield float(found.group(1)), fields


def name_outcome(fields: dict[str, Any], pause_ms: int) -> str:
    """Give the word for what became of a try."""
    outcome: str = fields['outcome']
    if outcome != 'answered':
        return outcome
    if fields['status'] >= BAD_STATUS:
        return 'failed-by-server'
    pauses = [tried['pause_ms'] for tried in fields['tried']]
    return 'paused' if max(pauses, default=0) > pause_ms else outcome


def count_tries(path: Path, pause_ms: int) -> dict[str, Counter[str]]:
    """Count the tries that ended in each window by what became of them."""
    counts: dict[str, Counter[str]] = {}
    for ended_s, fields in read_tries(path):
        window = str(int(ended_s // WINDOW_S * WINDOW_S))
        outcome = name_outcome(fields, pause_ms)
        counts.setdefault(window, Counter())[outcome] += 1
    return counts


def print_table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print one table in Markdown."""
    print('|', ' | '.join(heads), '|')
    print('|', ' | '.join('---' for _ in heads), '|')
    for row in rows:
        print('|', ' | '.join(row), '|')
    print()


def make_rows(parts: list[dict[str, Any]]) -> list[list[str]]:
    """Give the cells of some parts of the day."""
    return [
        [part['name'], *(str(part[figure]) for figure in FIGURES)]
        for part in parts
    ]


def print_windows(
    report: dict[str, Any], counts: dict[str, Counter[str]]
) -> None:
    """Print the worst windows and what the gateways told of each."""
    worst = sorted(report['windows'], key=lambda part: part['worth'])
    rows = make_rows(worst[:WINDOWS_SHOWN])
    for row in rows:
        told = counts.get(row[0], Counter()).most_common()
        row.append(', '.join(f'{name} {count}' for name, count in told))
    print_table(('from second', *FIGURES, 'tries that ended'), rows)


def print_prices(report: dict[str, Any]) -> None:
    """Print what was taken off, the smallest left out."""
    rows = [
        [name, f'{amount:.3f}', f'{worth:.4f}']
        for name, amount, worth in report['prices']
        if worth >= PRICE_SHOWN
    ]
    print_table(('price', 'amount', 'worth'), rows)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('report', type=Path, help='what --report wrote')
    parser.add_argument('log', type=Path, help='what --log all printed')
    parser.add_argument('--pause-ms', type=int, default=PAUSE_MS)
    options = parser.parse_args()
    report = json.loads(options.report.read_text(encoding='utf-8'))
    for title, key in (('kind of work', 'classes'), ('hall', 'zones')):
        print_table((title, *FIGURES), make_rows(report[key]))
    print_windows(report, count_tries(options.log, options.pause_ms))
    print_prices(report)


if __name__ == '__main__':
    main()
