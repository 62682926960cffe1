"""`bin/slopes`: measure every slope that docs/CAPACITY.md uses."""

import argparse
import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

from seampond.slopes.capacity import compute_figures
from seampond.slopes.links import measure_links, measure_polls
from seampond.slopes.memory import measure_memory
from seampond.slopes.processor import (
    Slope,
    measure_change,
    measure_messages,
)
from seampond.slopes.roles import measure_roles

_SLOPE_ROW = '| {slope.name} | {slope.value:,.1f} | {slope.unit} |'
_FIGURE_ROW = (
    '| {row.role} | {row.quantity} | {row.formula} | {row.today:,.2f} '
    '| {row.target:,.2f} | {row.unit} | {row.limit} |'
)


def print_page(slopes: list[Slope]) -> None:
    """Print the two tables of docs/CAPACITY.md."""
    print('| slope | measured | unit |\n|---|---:|---|')
    for slope in slopes:
        print(_SLOPE_ROW.format(slope=slope))
    print('\n| role | what | formula | today | target | unit | limit |')
    print('|---|---|---|---:|---:|---|---:|')
    measured = {each.name: each.value for each in slopes}
    for row in compute_figures(measured):
        print(_FIGURE_ROW.format(row=row))


def main() -> int:
    """Measure all slopes and print them as tables or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true')
    options = parser.parse_args()
    slopes = [
        *asyncio.run(measure_links()),
        *asyncio.run(measure_polls()),
        *measure_messages(),
        *measure_change(),
        *measure_memory(),
    ]
    with tempfile.TemporaryDirectory() as scratch:
        slopes += measure_roles(Path(scratch))
    if options.json:
        print(json.dumps([asdict(slope) for slope in slopes]))
        return 0
    print_page(slopes)
    return 0


if __name__ == '__main__':
    sys.exit(main())
