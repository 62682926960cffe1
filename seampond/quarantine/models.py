"""Records of requests that servers crashed under."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server while a request with a fingerprint ran on it.

    Parameters
    ----------
    incarnation : int
        Key of the server incarnation.
    started_ms : int
        When the fingerprint was sent to the server.
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
    fingerprint : int
        Fingerprint of the fingerprint.
    had_success : bool
        Whether the fingerprint succeeded shortly before.

    """

    fingerprint: int
    incarnation: int
    run_age_ms: int
    crash_age_ms: int
    had_success: bool = False


@dataclass(frozen=True, slots=True)
class TrialRow:
    """The store's row on the trials of a quarantined fingerprint.

    Parameters
    ----------
    trials : int
        Number of claimed trials.
    at_ms : int
        When the last trial was claimed, on the store's monotonic clock.
    version : int
        Version of the row, 0 if there is none.
    until_ms : int or None
        When the last trial has ended at the latest, on the store's clock;
        None if that or its server is unknown.
    incarnation : int
        Key of the server incarnation of the last trial, 0 if it was not sent.

    """

    trials: int = 0
    at_ms: int = 0
    version: int = 0
    until_ms: int | None = None
    incarnation: int = 0
