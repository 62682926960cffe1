"""Switch off one mechanism after another and play the same days without it.

Each mechanism is named with the lines that make it up and the lines that take
their place while it is off.  The change is made in a clone that this script is
run in, and taken back after the days were played; a mechanism whose lines are
not found is an error, so that the list stays true to the code.
"""

import argparse
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

PACKAGE = Path('seampond')


@dataclass(frozen=True)
class Mechanism:
    """One mechanism and the source edit that disables it."""

    name: str
    module: str
    source: str
    replacement: str

    @property
    def path(self) -> Path:
        """The source file of the mechanism."""
        return PACKAGE / self.module


MECHANISMS = (
    Mechanism(
        'headroom',
        'forwarding/headroom.py',
        '_MAX_FRACTION = 0.25',
        '_MAX_FRACTION = 0.0',
    ),
    Mechanism(
        'second turn first',
        'forwarding/queues.py',
        'not job.is_retry,',
        'False,',
    ),
    Mechanism(
        'learned pace',
        'forwarding/speeds.py',
        'ratio = speed.gap_ms / self.gap_ms if speed.gap_ms else 1.0',
        'ratio = 1.0',
    ),
    Mechanism(
        'learned time to the first event',
        'forwarding/speeds.py',
        'self.ttfb_factor = _blend(self.ttfb_factor, bounded, _POOL_WEIGHT)',
        'self.ttfb_factor = 1.0',
    ),
    Mechanism(
        'kept prompts',
        'forwarding/cost_model.py',
        'if part not in backend.cached_parts:',
        'if part:',
    ),
    Mechanism(
        'own hall first',
        'forwarding/cost_model.py',
        '_OTHER_ZONE_FRACTION = 0.02',
        '_OTHER_ZONE_FRACTION = 0.0',
    ),
    Mechanism(
        'time to make the answer',
        'forwarding/cost_model.py',
        '_GENERATION_WEIGHT = 0.1',
        '_GENERATION_WEIGHT = 0.0',
    ),
    Mechanism(
        'long prompts away from streams',
        'forwarding/cost_model.py',
        '_STALL_COST_MS = 60.0',
        '_STALL_COST_MS = 0.0',
    ),
    Mechanism(
        'patience',
        'forwarding/scheduler.py',
        '_MAX_WAIT_FRACTION = 0.21',
        '_MAX_WAIT_FRACTION = 0.0',
    ),
    Mechanism(
        'only where the answer begins in time',
        'forwarding/scheduler.py',
        'if job.has_streamed or not backend.load(now_ms):',
        'if job:',
    ),
    Mechanism(
        'places beyond the slots',
        'forwarding/scheduler.py',
        '_EXTRA_SLOTS = 2',
        '_EXTRA_SLOTS = 0',
    ),
    Mechanism(
        'retries kept for broken streams',
        'forwarding/retries.py',
        '_RETRY_SHARE = 0.8',
        '_RETRY_SHARE = 1.0',
    ),
    Mechanism(
        'fairness of quotas',
        'sharing/fairness.py',
        'return max(reserved, default=0)',
        'return max(reserved[:0], default=0)',
    ),
    Mechanism(
        'low quota for urgent work',
        'sharing/quotas.py',
        '_LOW_LEVEL_FRACTION = 0.25',
        '_LOW_LEVEL_FRACTION = -1000.0',
    ),
    Mechanism(
        'levels of an older gateway',
        'sharing/quotas.py',
        'if not self._has_fleet_levels or not self._peers.has_newcomer:',
        'if self:',
    ),
    Mechanism(
        'fallback to lapsed servers',
        'forwarding/backends.py',
        'if not backend.server.is_draining:',
        'if backend is None:',
    ),
)


@contextmanager
def disable(mechanism: Mechanism) -> Iterator[None]:
    """Replace the source of a mechanism within the `with` block."""
    text = mechanism.path.read_text(encoding='utf-8')
    if text.count(mechanism.source) != 1:
        sys.exit(f'{mechanism.name}: its lines are not in {mechanism.path}')
    replacement = text.replace(mechanism.source, mechanism.replacement)
    mechanism.path.write_text(replacement, encoding='utf-8')
    try:
        yield
    finally:
        mechanism.path.write_text(text, encoding='utf-8')


def run_days(reason: str, arguments: list[str]) -> None:
    """Run `bin/play.py`, which prints a line for each day."""
    script = str(Path(__file__).with_name('play.py'))
    subprocess.run(
        [sys.executable, script, *arguments, '--why', reason], check=True
    )


def main() -> None:
    """Run the days with all mechanisms, then without each in turn."""
    parser = argparse.ArgumentParser(
        description=__doc__, epilog='Other words are passed to bin/play.py.'
    )
    parser.add_argument('--only', default='', help='one mechanism by its name')
    options, arguments = parser.parse_known_args()
    if not options.only:
        run_days('ablation: all mechanisms', arguments)
    for mechanism in MECHANISMS:
        if options.only in ('', mechanism.name):
            with disable(mechanism):
                run_days(f'ablation: without {mechanism.name}', arguments)


if __name__ == '__main__':
    main()
