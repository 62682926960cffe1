"""`bin/slopes`: measure every slope that docs/CAPACITY.md uses."""

import argparse
import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

from seampond.slopes.links import measure_links
from seampond.slopes.memory import measure_memory
from seampond.slopes.processor import measure_change, measure_messages
from seampond.slopes.roles import measure_roles


def main() -> int:
    """Measure and print a line a slope, or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true')
    options = parser.parse_args()
    slopes = [
        *asyncio.run(measure_links()),
        *measure_messages(),
        *measure_change(),
        *measure_memory(),
    ]
    with tempfile.TemporaryDirectory() as scratch:
        slopes += measure_roles(Path(scratch))
    if options.json:
        print(json.dumps([asdict(slope) for slope in slopes]))
        return 0
    for slope in slopes:
        print(f'{slope.name:<44} {slope.value:>14,.1f} {slope.unit}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
