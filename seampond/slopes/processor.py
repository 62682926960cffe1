"""CPU time of messages and configuration changes."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from seampond.links.codec import decode, encode
from seampond.links.messages import (
    Ask,
    Frame,
    Message,
    Pulse,
    Reserve,
    Withdraw,
)
from seampond.templates import Configuration, Template, Workspace
from seampond.templates.configuration import Change, apply_changes

MICROSECONDS = 1_000_000
LENGTH_PREFIX_BYTES = 4
_ROUNDS = 5
_CALL_COUNT = 2000
_TARGET_WORKSPACES = 2900
_FRAME_PAYLOAD = b'data: {"choices": [{"delta": "word"}]}' * 4


@dataclass(frozen=True)
class Slope:
    """The measured cost of one more unit of something."""

    name: str
    value: float
    unit: str


def time_call_us(call: Callable[[], Any], count: int) -> float:
    """Return the CPU time of one call in microseconds, best of five."""
    best_seconds = float('inf')
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(count):
            call()
        best_seconds = min(best_seconds, time.process_time() - started)
    return best_seconds / count * MICROSECONDS


def build_configuration(workspaces: int) -> Configuration:
    """Return a configuration of `workspaces` with four parameters each."""
    parameters = {f'template-{number}': {'tier': 3} for number in range(4)}
    template = Template(name='template-1', pool='llm')
    return Configuration(
        1,
        {f'template-{number}': template for number in range(12)},
        {
            f'workspace-{number}': Workspace.model_validate(
                {
                    'name': f'workspace-{number}',
                    'key_hashes': ('x' * 100,),
                    'parameters': parameters,
                }
            )
            for number in range(workspaces)
        },
    )


def measure_messages() -> list[Slope]:
    """Measure the size and the coding time of frequent messages."""
    pulse = [Pulse(1, 2, 3, 4, False, 5, 6)]
    reserve = [Reserve('a' * 32, 1, 3, 1000, 500, 'b' * 32)]
    withdraw = [Withdraw('a' * 32, 1)]
    ask = [Ask('a' * 32, 1)]
    frames = [
        Frame('a' * 32, 1, number, _FRAME_PAYLOAD) for number in range(16)
    ]
    return [
        *_measure_batch('pulse', pulse),
        *_measure_batch('reserve', reserve),
        *_measure_batch('withdraw', withdraw),
        *_measure_batch('ask', ask),
        *_measure_batch('16 frames', frames),
    ]


def _measure_batch(name: str, batch: Sequence[Message]) -> list[Slope]:
    packet = encode(batch)
    count = _CALL_COUNT // len(batch)
    encoding = time_call_us(lambda: encode(batch), count)
    decoding = time_call_us(lambda: decode(packet), count)
    return [
        Slope(f'{name}: encode', encoding, 'us'),
        Slope(f'{name}: decode', decoding, 'us'),
        Slope(f'{name}: size', len(packet) + LENGTH_PREFIX_BYTES, 'bytes'),
    ]


def measure_change() -> list[Slope]:
    """Measure one configuration change with 2,900 workspaces."""
    configuration = build_configuration(_TARGET_WORKSPACES)
    row = configuration.workspaces['workspace-7'].model_dump(mode='json')
    change = Change(2, 'workspaces', 'workspace-7', row, 'author', 'token')
    cost = time_call_us(lambda: apply_changes(configuration, [change]), 200)
    return [Slope('configuration change at 2,900 workspaces', cost, 'us')]
