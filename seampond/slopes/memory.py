"""Memory per object, measured with tracemalloc."""

import gc
import json
import tracemalloc
from collections.abc import Callable
from typing import Any

from seampond.backing import Vm
from seampond.clock import Clock
from seampond.engines.runs import Run
from seampond.limits import Limiter
from seampond.routing import Peer
from seampond.slopes.processor import Slope, build_configuration
from seampond.templates import Parameters
from seampond.testing.builders import (
    build_grant,
    build_ticket,
)

_OBJECT_COUNT = 1000
_STREAM_FRAMES = 100
_FRAME_BYTES = 180
_BYTES_UNIT = 'bytes'


def measure_bytes_each(
    build: Callable[[int], Any], count: int = _OBJECT_COUNT
) -> float:
    """Return the mean memory of `count` objects made by `build`."""
    build(0)
    gc.collect()
    tracemalloc.start()
    built = [build(number) for number in range(count)]
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes / len(built)


def _build_run(number: int) -> Run:
    run = Run(build_grant(f'{number:032}'), 'entry-1', 1000, None)
    run.add_head(200, ())
    for frame in range(_STREAM_FRAMES):
        run.add_payload(bytes([frame]) * _FRAME_BYTES)
    return run


def _build_vm(number: int) -> Vm:
    return Vm(
        f'backend-{number:05}', 'hall-1', 'backend', f'10.0.0.{number}', 'llm'
    )


def _measure_workspace() -> list[Slope]:
    count = 2000
    held_bytes = (
        measure_bytes_each(lambda _: build_configuration(count), 1) / count
    )
    workspace = build_configuration(1).workspaces['workspace-0']
    row = json.dumps(workspace.model_dump(mode='json'))
    return [
        Slope('workspace in a configuration', held_bytes, _BYTES_UNIT),
        Slope('workspace row as JSON', len(row), _BYTES_UNIT),
    ]


def _measure_bucket() -> float:
    limiter = Limiter(Clock())
    parameters = Parameters(tier=1)

    def build(number: int) -> None:
        limiter.admit(
            f'workspace-{number}', 'draft', parameters, tokens=1, entries=1
        )

    return measure_bytes_each(build)


def measure_memory() -> list[Slope]:
    """Measure the memory of VMs, peers, requests, runs and workspaces."""
    return [
        Slope('VM in the list', measure_bytes_each(_build_vm), _BYTES_UNIT),
        Slope(
            'peer without its link',
            measure_bytes_each(lambda number: Peer(_build_vm(number))),
            _BYTES_UNIT,
        ),
        Slope(
            'waiting request without its body',
            measure_bytes_each(lambda number: build_ticket(f'{number:032}')),
            _BYTES_UNIT,
        ),
        Slope(
            'run of 100 frames kept by the agent',
            measure_bytes_each(_build_run),
            _BYTES_UNIT,
        ),
        Slope('two buckets of a limit', _measure_bucket(), _BYTES_UNIT),
        *_measure_workspace(),
    ]
