"""Draws plans for the simulated fleet that keeps copies of a table.

Run as a program to search seeds of one kind of plan on virtual time; it prints
those with an overdue copy and exits with status 1 if there are any.
"""

import argparse
import random
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from types import MappingProxyType

from seampond.testing.table_fleet import (
    Disturbance,
    Plan,
    compute_least_gap_ms,
    draw_plan,
    search,
)

_NARROW = 625
_WIDE = 125_000
# Bandwidth of the links in bytes per millisecond, and the deadline.
_LINKS = ((_NARROW, 3000), (_WIDE, 2000))
_SIZES = (2000, 20_000, 100_000)
_PLAY_MS = 32_000
_LAST_OUTAGE_MS = 26_000
# An outage reaches each process a little sooner or later.
_OUTAGE_SPREAD_MS = 60
_MAX_ALONE = 3


def draw_absence(seed: int) -> Plan:
    """Draw one process that hears no others and misses many large versions."""
    rng = random.Random(seed)
    size = rng.choice((60_000, 100_000, 150_000))
    least_ms = compute_least_gap_ms(size, _NARROW)
    gap_ms = max(least_ms, rng.choice((250, 400, 800)))
    at_ms = rng.randrange(2500, 5000)
    disturbances = (
        Disturbance('alone', 500, _PLAY_MS),
        Disturbance('cut', at_ms, rng.randrange(3000, 12_000)),
    )
    members = (1, 2, 5)[seed % 3]
    return Plan(gap_ms, size, _NARROW, 3000, disturbances, members)


def _draw_outages(rng: random.Random, members: int) -> Iterator[Disturbance]:
    """Yield outages of the store for all processes, one after another."""
    at_ms = rng.randrange(1000, 5000)
    while at_ms < _LAST_OUTAGE_MS:
        for_ms = rng.choice(
            (rng.randrange(100, 1000), rng.randrange(1000, 6000))
        )
        resend_ms = rng.choice((0, 0, rng.randrange(50, 2000)))
        for number in range(members):
            start_ms = at_ms + rng.randrange(_OUTAGE_SPREAD_MS)
            yield Disturbance('cut', start_ms, for_ms, number, False, resend_ms)
        at_ms += for_ms
        at_ms += rng.choice(
            (rng.randrange(200, 2000), rng.randrange(3000, 9000))
        )


def _draw_alone(rng: random.Random, members: int) -> Iterator[Disturbance]:
    """Yield spans in which a few processes hear no others."""
    count = rng.randint(0, min(members, _MAX_ALONE))
    for number in rng.sample(range(members), count):
        at_ms = rng.randrange(500, 20_000)
        yield Disturbance('alone', at_ms, rng.randrange(2000, 20_000), number)


def draw_outages(seed: int) -> Plan:
    """Draw series of outages in which the store is silent to all processes."""
    # Unrelated to what the other kinds draw with the same seed.
    rng = random.Random(seed * 7919)
    members = rng.choice((1, 2, 2, 3, 5, 12, 30))
    bytes_per_ms, deadline_ms = rng.choice(_LINKS)
    size = rng.choice(_SIZES)
    least_ms = compute_least_gap_ms(size, bytes_per_ms)
    gap_ms = max(least_ms, rng.choice((300, 400, 800, 1500, 4000)))
    disturbances = (*_draw_outages(rng, members), *_draw_alone(rng, members))
    return Plan(gap_ms, size, bytes_per_ms, deadline_ms, disturbances, members)


def draw_lost_calls(seed: int) -> Plan:
    """Draw a fleet of which single calls to the store go unanswered."""
    rng = random.Random(seed)
    members = rng.choice((1, 1, 2, 3, 5, 12))
    bytes_per_ms, deadline_ms = rng.choice((*_LINKS, (_WIDE, 2000)))
    size = rng.choice(_SIZES)
    least_ms = compute_least_gap_ms(size, bytes_per_ms)
    gap_ms = max(least_ms, rng.choice((300, 800, 1500, 4000, 7000)))
    return Plan(
        gap_ms,
        size,
        bytes_per_ms,
        deadline_ms,
        tuple(_draw_alone(rng, members)),
        members,
        loss_probability=rng.choice((0.1, 0.3, 1)),
    )


def draw_quiet(seed: int) -> Plan:
    """Return a fleet whose small row changes now and then."""
    return Plan(4000, 2000, _WIDE, 3000, ())


def draw_slow(seed: int) -> Plan:
    """Return the same with a store that is slow for most of the time."""
    slow = Disturbance('slow', 6000, 20_000)
    return replace(draw_quiet(seed), disturbances=(slow,))


DRAWS: Mapping[str, Callable[[int], Plan]] = MappingProxyType(
    {
        'links': draw_plan,
        'absence': draw_absence,
        'outages': draw_outages,
        'lost-calls': draw_lost_calls,
        'quiet': draw_quiet,
        'slow': draw_slow,
    }
)


def main() -> int:
    """Play seeds and print those with an overdue copy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=DRAWS)
    parser.add_argument('first', type=int)
    parser.add_argument('last', type=int)
    parser.add_argument('--members', type=int)
    parser.add_argument('--deadline-ms', type=int)
    options = parser.parse_args()
    changed = {
        name: getattr(options, name)
        for name in ('members', 'deadline_ms')
        if getattr(options, name)
    }
    return search(
        lambda seed: replace(DRAWS[options.kind](seed), **changed),
        range(options.first, options.last),
    )


if __name__ == '__main__':
    sys.exit(main())
