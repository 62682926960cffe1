"""An example deployment in one process, for tests over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from seampond.clock import Clock
from seampond.demo.fleet import Fleet, copy_with_free_ports, run_fleet
from seampond.testing.processes import EXAMPLES, PrepareFolder


def keep_settings(_folder: Path) -> None:
    """Leave the settings unchanged."""


@asynccontextmanager
async def open_fleet(
    prepare: PrepareFolder = keep_settings,
) -> AsyncIterator[Fleet]:
    """Run the FitLink example in this process on free ports."""
    with TemporaryDirectory() as scratch:
        folder = Path(scratch)
        copy_with_free_ports(EXAMPLES / 'fitlink-kochi', folder)
        prepare(folder)
        async with run_fleet(folder, Clock()) as fleet:
            yield fleet
