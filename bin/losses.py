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
# Smaller prices are within the noise of a run.
PRICE_SHOWN = 0.0005
BAD_STATUS = 500
# The longest pause in a stream that the site qalhat-cores allows.
PAUSE_MS = 250
LINE = re.compile(r'^ *(-?[0-9.]+) (\S+) (\{.*\})$')


def read_requests(path: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the time of day and the fields of each final log line."""
    for line in path.read_text(encoding='utf-8').splitlines():
        line_match = LINE.match(line)
        if line_match is None:
            continue
        fields = json.loads(line_match.group(3))
        if fields['event'] == 'request over':
            yield float(line_match.group(1)), fields


def classify_outcome(fields: dict[str, Any], pause_ms: int) -> str:
    """Return the outcome of a request, including pauses and server errors."""
    outcome: str = fields['outcome']
    if outcome != 'answered':
        return outcome
    if fields['status'] >= BAD_STATUS:
        return 'failed-by-server'
    pauses = [attempt['pause_ms'] for attempt in fields['tried']]
    return 'paused' if max(pauses, default=0) > pause_ms else outcome


def count_outcomes(path: Path, pause_ms: int) -> dict[str, Counter[str]]:
    """Count the requests that ended in each window by outcome."""
    counts: dict[str, Counter[str]] = {}
    for ended_s, fields in read_requests(path):
        window = str(int(ended_s // WINDOW_S * WINDOW_S))
        outcome = classify_outcome(fields, pause_ms)
        counts.setdefault(window, Counter())[outcome] += 1
    return counts


def print_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print one table in Markdown."""
    print('|', ' | '.join(headings), '|')
    print('|', ' | '.join('---' for _ in headings), '|')
    for row in rows:
        print('|', ' | '.join(row), '|')
    print()


def make_rows(parts: list[dict[str, Any]]) -> list[list[str]]:
    """Return the table rows of some parts of the day."""
    return [
        [part['name'], *(str(part[figure]) for figure in FIGURES)]
        for part in parts
    ]


def print_windows(
    report: dict[str, Any], counts: dict[str, Counter[str]]
) -> None:
    """Print the worst windows and the outcomes that gateways logged."""
    worst = sorted(report['windows'], key=lambda part: part['worth'])
    rows = make_rows(worst[:WINDOWS_SHOWN])
    for row in rows:
        outcomes = counts.get(row[0], Counter()).most_common()
        row.append(', '.join(f'{name} {count}' for name, count in outcomes))
    print_table(('from second', *FIGURES, 'tries that ended'), rows)


def print_prices(report: dict[str, Any]) -> None:
    """Print the prices, except the smallest."""
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
    print_windows(report, count_outcomes(options.log, options.pause_ms))
    print_prices(report)


if __name__ == '__main__':
    main()
