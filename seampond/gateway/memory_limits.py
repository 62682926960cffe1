"""Limits on the memory of a gateway, from its settings."""

import os

from seampond.settings.gateway import AnswerSettings, CallerSettings

# What is counted is held up to twice, and the process needs memory for itself.
_CALLERS_FRACTION = 0.2
_CALLERS_MAX_BYTES = 33_554_432
_ANSWERS_FRACTION = 0.1
_ANSWERS_MAX_BYTES = 16_777_216


def compute_callers_max_bytes(callers: CallerSettings) -> int:
    """Return what the connections of callers may hold together."""
    return callers.memory_bytes or _limit_by_machine(
        _CALLERS_FRACTION, _CALLERS_MAX_BYTES
    )


def compute_answers_max_bytes(answers: AnswerSettings) -> int:
    """Return what the answers of servers may hold together."""
    return answers.memory_bytes or _limit_by_machine(
        _ANSWERS_FRACTION, _ANSWERS_MAX_BYTES
    )


def _limit_by_machine(fraction: float, max_bytes: int) -> int:
    """Return a fraction of the machine's memory, `max_bytes` at most."""
    machine_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return min(max_bytes, round(machine_bytes * fraction))
