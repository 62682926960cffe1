"""When a caller that was turned away should come back.

Load pattern: a burst that the servers cannot take for some seconds; each caller
asks a second time at the most.
"""

from seampond.forwarding.job import Job

# Parts of the target between which those that were turned away are spread, so
# that they do not come back as the burst that they were.  Most of them can be
# in time still, which counts from the first try.  Spread over 0.08 to 0.3 of
# the time left none could: of the callers of a burst of twice what the servers
# take 0.61 were in time, 0.70 now, and 0.23 late, 0.07 now (mean of six seeds,
# test_returning.py).
_LEAST_PART = 0.2
_MOST_PART = 0.9
# A caller heeds no later time.
_LEFT_PART = 0.3


def return_in_time(job: Job, now_ms: int, draw: float) -> int:
    """Give after how many milliseconds a caller should come back.

    Parameters
    ----------
    draw : float
        From 0 to 1, drawn for the caller.

    """
    left_ms = max(0, job.end_ms - now_ms)
    part = _LEAST_PART + (_MOST_PART - _LEAST_PART) * draw
    wait_ms = min(left_ms * _LEFT_PART, job.route.target_ms * part)
    return max(1, round(wait_ms))
