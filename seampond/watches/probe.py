"""Ask the store again where nobody has proved of late what is newest."""

import random
from collections.abc import Callable

from seampond.clock import Clock
from seampond.watches.watch import Watch

_RANK_STEP_MS = 100
_MAX_RANK_STEPS = 8
_RETRY_PAUSE_MS = 300
# Longer than a feed that gathers changes may be late.
_MAX_BEHIND_MS = 400
# Who does not follow has no feed to wait for; not all ask at one moment.
_MAX_JITTER_MS = 100


async def probe_when_stale(
    watch: Watch, max_age_ms: int, rank: Callable[[], int], clock: Clock
) -> None:
    """Probe a watch's table for as long as the process lives.

    Explanation
    -----------
    A feed answers at once when something changes, but it may also be dead
    without a sign.  One call that does not wait tells; and its proof is
    passed on, so where there are many processes the first of them asks for
    all.

    Parameters
    ----------
    max_age_ms : int
        How old a proof may be.
    rank : Callable[[], int]
        How many others ask before us.

    """
    freshness = watch.freshness
    while True:
        steps = min(_MAX_RANK_STEPS, rank())
        max_behind_ms = _MAX_BEHIND_MS
        if not watch.is_follower():
            max_behind_ms = random.randrange(_MAX_JITTER_MS)
        next_probe_ms = freshness.next_probe_ms(
            max_age_ms + steps * _RANK_STEP_MS, max_behind_ms
        )
        left_ms = next_probe_ms - clock.now()
        if left_ms > 0:
            await freshness.wait_until_behind(left_ms)
        elif not await watch.probe():
            await clock.sleep(_RETRY_PAUSE_MS * random.uniform(0.5, 1))
