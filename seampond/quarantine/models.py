"""Records of requests that servers crashed under."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server while a request ran on it.

    Parameters
    ----------
    incarnation : int
        Key of the server incarnation.
    started_ms : int
        When the request was sent to the server.
    at_ms : int
        When the crash was observed.

    """

    incarnation: int
    started_ms: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash as gateways report it, with ages in place of times.

    Parameters
    ----------
    request : int
        Fingerprint of the request.
    had_success : bool
        Whether the request succeeded shortly before.

    """

    request: int
    incarnation: int
    run_age_ms: int
    crash_age_ms: int
    had_success: bool = False


@dataclass(frozen=True, slots=True)
class TrialRow:
    """The store's row on the trials of a quarantined request.

    Parameters
    ----------
    trials : int
        Number of claimed trials.
    at_ms : int
        When the last trial was claimed, on the store's monotonic clock.
    version : int
        Version of the row, 0 if there is none.

    """

    trials: int = 0
    at_ms: int = 0
    version: int = 0
