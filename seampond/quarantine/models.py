"""What is noted of requests under which servers have ended."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """A server's life that ended while a request ran on it.

    Parameters
    ----------
    incarnation : int
        The key of the server's life.
    started_ms : int
        When the request was sent there.
    at_ms : int
        When the end was seen.

    """

    incarnation: int
    started_ms: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An end as one gateway tells it, with ages in place of moments.

    Parameters
    ----------
    request : int
        The fingerprint of the request.
    had_success : bool
        Whether the request had got a good answer shortly before.

    """

    request: int
    incarnation: int
    run_age_ms: int
    crash_age_ms: int
    had_success: bool = False


@dataclass(frozen=True, slots=True)
class TrialRow:
    """How often a quarantined request was tried again, as the store has it.

    Parameters
    ----------
    trials : int
        How often a gateway has taken leave to send it once more.
    at_ms : int
        When the last did, on the store's steady clock.
    version : int
        The version of the row, 0 for no row.

    """

    trials: int = 0
    at_ms: int = 0
    version: int = 0
