"""Probe the store when the freshness of a table was not proved recently."""

import random
from collections.abc import Callable

from seampond.clock import Clock
from seampond.watches.watch import Watch

_RANK_STEP_MS = 100
_MAX_RANK_STEPS = 8
_RETRY_PAUSE_MS = 300
_MAX_PROOF_AGE_MS = 1500
# Maximum parts of the deadline.  A proof's age, all steps and the delay of a
# second call leave time for the answer.
_PROOF_AGE_PART = 0.6
_RANK_STEP_PART = 0.025
_RETRY_PAUSE_PART = 0.1
# A copy whose proof is due for this long is logged.
_OVERDUE_MS = 1500
# Longer than a feed that batches changes may lag behind.
_MAX_BEHIND_MS = 400
# Random delay of processes without a feed, so that they do not probe at once.
_MAX_JITTER_MS = 100


# Bounds the calls to the store.
_REQUEST_PAUSE_MS = 100


def compute_proof_age_ms(deadline_ms: int) -> int:
    """Return the age at which the proof of a copy is renewed.

    Parameters
    ----------
    deadline_ms : int
        Time within which a change must be held.

    Examples
    --------
    >>> [compute_proof_age_ms(deadline) for deadline in (2000, 3000, 11_000)]
    [1200, 1500, 1500]

    """
    return min(_MAX_PROOF_AGE_MS, round(deadline_ms * _PROOF_AGE_PART))


async def probe_when_stale(
    watch: Watch, max_age_ms: int, rank: Callable[[], int], clock: Clock
) -> None:
    """Probe a watch's table whenever its freshness is not proved; never ends.

    Explanation
    -----------
    A dead feed looks like a table without changes; a call that does not wait
    reveals it.  Its proof is sent to the other processes, so usually only the
    process with the lowest rank has to probe.

    Parameters
    ----------
    max_age_ms : int
        Maximum age of a proof.
    rank : Callable[[], int]
        Returns how many processes should probe before this one.

    """
    freshness = watch.freshness
    while True:
        watch.log_overdue(max_age_ms + _OVERDUE_MS)
        deadline_ms = watch.deadline_ms()
        step_ms = min(_RANK_STEP_MS, deadline_ms * _RANK_STEP_PART)
        steps = min(_MAX_RANK_STEPS, rank())
        max_behind_ms = _MAX_BEHIND_MS
        if not watch.is_follower():
            max_behind_ms = random.randrange(_MAX_JITTER_MS)
        next_probe_ms = freshness.next_probe_ms(
            round(max_age_ms + steps * step_ms), max_behind_ms
        )
        left_ms = next_probe_ms - clock.now()
        if left_ms > 0:
            await freshness.wait_until_behind(left_ms)
        elif not await watch.probe():
            pause_ms = min(_RETRY_PAUSE_MS, deadline_ms * _RETRY_PAUSE_PART)
            await clock.sleep(pause_ms * random.uniform(0.5, 1))


async def probe_on_request(watch: Watch, clock: Clock) -> None:
    """Probe a watch's table when a proof is requested; never ends."""
    freshness = watch.freshness
    while True:
        requested_ms = await freshness.wait_for_request()
        await clock.sleep(max(0, requested_ms - clock.now()))
        if freshness.proved_ms < requested_ms:
            await watch.probe()
        await clock.sleep(_REQUEST_PAUSE_MS)
