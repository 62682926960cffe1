"""What a gateway believes of one server."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from seampond.forwarding.connection import Connection
from seampond.forwarding.server import Server
from seampond.forwarding.signal_state import SignalState
from seampond.forwarding.speeds import Speed

_FIRST_PAUSE_MS = 250
_LONGEST_PAUSE_MS = 4000
_REPLACED_PAUSE_MS = 4000
_REPORT_AGE_MS = 1500


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's word on its load, and when it came."""

    running: int
    waiting: int
    own: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class RemoteLoad:
    """What the other gateways together have on a server.

    Parameters
    ----------
    running, pending_tokens : int
        Their requests, and the tokens to be read for those that wait for
        their first byte.

    """

    running: int
    pending_tokens: int
    at_ms: int


@dataclass(slots=True)
class Backend:
    """One server: the list's word, our own experience, our connections.

    Parameters
    ----------
    signals : SignalState
        What it has said of itself in its answers.
    fallback_until_ms : int
        Until when it is a fallback, its row having gone without a word
        of its leave: rows also go while the store is down.
    is_readable : bool
        Whether its row names it, as far as it can be read.
    cold_until_ms : int
        Until when it is slow from its start.
    remote_load : RemoteLoad or None
        What the other gateways have there, as they told us.
    running : Counter[int]
        Our requests there, by fingerprint.
    suspect_count, trial_count : int
        How many of ours there may end it, and how many of them are tried on
        leave.
    is_probing : bool
        Whether a request of ours is there to find out if it is well again.
    unanswered : dict[bytes, tuple[int, int]]
        By request, those of ours that wait for the first byte: since when,
        and how many tokens are to be read for them.

    """

    server: Server
    signals: SignalState = field(default_factory=SignalState)
    in_flight: int = 0
    remote_load: RemoteLoad | None = None
    speed: Speed = field(default_factory=Speed)
    unanswered: dict[bytes, tuple[int, int]] = field(default_factory=dict)
    running: Counter[int] = field(default_factory=Counter)
    suspect_count: int = 0
    trial_count: int = 0
    consecutive_failures: int = 0
    paused_until_ms: int = 0
    is_probing: bool = False
    is_listed: bool = True
    is_readable: bool = True
    fallback_until_ms: int = 0
    cold_until_ms: int = 0
    report: LoadReport | None = None
    idle: list[Connection] = field(default_factory=list)
    connection_count: int = 0
    cached_parts: dict[str, int] = field(default_factory=dict)

    @property
    def own_pending_tokens(self) -> int:
        """The tokens to be read for ours that wait for the first byte."""
        return sum(tokens for _, tokens in self.unanswered.values())

    @property
    def takes_work(self) -> bool:
        """Whether the list and its own words let us send to it."""
        is_set = self.is_listed and self.is_readable
        return is_set and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether its row or an answer of it has said that it leaves."""
        return self.server.is_draining or self.signals.is_draining

    def may_serve(self, now_ms: int) -> bool:
        """Whether it serves, if only as a fallback, and maybe after a rest."""
        if self.takes_work:
            return True
        if self.server.is_draining or not self.is_readable:
            return False
        if self.signals.is_draining:
            return self.is_listed and now_ms < self.signals.drain_until_ms
        return now_ms < self.fallback_until_ms

    def may_send(self, now_ms: int) -> bool:
        """Whether it may be sent to now, if only as a fallback."""
        return self.may_serve(now_ms) and not self.signals.is_backing_off(
            now_ms
        )

    def is_restricted(self, now_ms: int) -> bool:
        """Whether a limit or a rest keeps requests from it."""
        return self.signals.limit.is_set or self.signals.is_backing_off(now_ms)

    def may_send_without_permit(self, now_ms: int) -> bool:
        """Whether nothing but its load closes its places."""
        return self.may_send(now_ms) and not self.signals.limit.is_set

    def is_usable(self, now_ms: int) -> bool:
        """Whether to send to it now."""
        is_taken = self.signals.needs_probe and self.is_probing
        is_paused = now_ms < self.paused_until_ms
        return self.may_send(now_ms) and not (is_taken or is_paused)

    def load(self, now_ms: int) -> int:
        """Estimate the requests that it holds, ours and others'."""
        others, report = self.remote_load, self.report
        told = others.running if others else 0
        told_ms = others.at_ms if others else 0
        is_recent = report and now_ms - report.at_ms < _REPORT_AGE_MS
        if report and is_recent and report.at_ms > told_ms:
            told = report.running + report.waiting - report.own
        return self.in_flight + max(0, told)

    def pending_tokens(self, now_ms: int) -> int:
        """Estimate the tokens that wait there to be read."""
        own = self.own_pending_tokens
        others = self.remote_load
        if others and now_ms - others.at_ms < _REPORT_AGE_MS:
            return own + others.pending_tokens
        return own

    def longest_wait_ms(self, now_ms: int) -> int:
        """Give how long one of ours has waited there for its first byte."""
        if not self.unanswered:
            return 0
        # They are kept in the order of their sends.
        since_ms, _ = next(iter(self.unanswered.values()))
        return now_ms - since_ms

    @contextmanager
    def run(
        self, fingerprint: int, *, is_suspect: bool, is_trial: bool
    ) -> Iterator[None]:
        """Count a request as running here until the end of the `with`."""
        self.running[fingerprint] += 1
        self.suspect_count += is_suspect
        self.trial_count += is_trial
        try:
            yield
        finally:
            self._end_run(fingerprint, is_suspect=is_suspect, is_trial=is_trial)

    def record_dispatch(self) -> None:
        """Note that a request of ours is to be sent there."""
        self.in_flight += 1
        self.is_probing = self.signals.needs_probe

    def record_release(self) -> None:
        """Note that a request of ours is there no more."""
        self.in_flight -= 1
        self.is_probing = False

    def record_success(self) -> None:
        """Note a sound answer."""
        self.consecutive_failures = 0
        self.paused_until_ms = 0

    def record_failure(self, now_ms: int, least: int = 1) -> None:
        """Note a failure; after `least` in a row, pause, longer each time."""
        self.consecutive_failures += 1
        if self.consecutive_failures < least:
            return
        exponent = min(self.consecutive_failures - least, 4)
        pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS << exponent)
        self.paused_until_ms = now_ms + pause_ms

    def record_replacement(self, now_ms: int) -> None:
        """Note that another server answers at its address.

        Explanation
        -----------
        A server that starts again has a new id, and the row of the old one
        stays until it lapses.  The pause ends by itself, should the answer
        have been wrong.
        """
        self.consecutive_failures += 1
        self.paused_until_ms = now_ms + _REPLACED_PAUSE_MS

    def close_idle_connections(self) -> None:
        """Close the connections that rest."""
        for connection in self.idle:
            connection.close()
            self.connection_count -= 1
        self.idle.clear()

    def _end_run(
        self, fingerprint: int, *, is_suspect: bool, is_trial: bool
    ) -> None:
        self.suspect_count -= is_suspect
        self.trial_count -= is_trial
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            self.running.pop(fingerprint)
