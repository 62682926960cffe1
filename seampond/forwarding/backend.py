"""The state of one server as this gateway knows it."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from seampond.forwarding.connection import Connection
from seampond.forwarding.process_state import ProcessState
from seampond.forwarding.server import Server
from seampond.forwarding.signal_state import SignalState
from seampond.forwarding.speeds import Speed

_MIN_PAUSE_MS = 250
_MAX_PAUSE_MS = 4000
_REPLACED_PAUSE_MS = 4000
_MAX_DOUBLINGS = 4
_MAX_REPORT_AGE_MS = 1500


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report of its load.

    Parameters
    ----------
    own : int
        How many of its requests are from this gateway.
    at_ms : int
        When the report arrived.

    """

    running: int
    waiting: int
    own: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class RemoteLoad:
    """The load of the other gateways together on a server.

    Parameters
    ----------
    running, pending_tokens : int
        Their requests, and the prompt tokens to be processed for those that
        wait for their first byte.
    at_ms : int
        When the report arrived.

    """

    running: int
    pending_tokens: int
    at_ms: int


@dataclass(slots=True)
class Backend(ProcessState):
    """One server: its row, signals, observed state and connections.

    Parameters
    ----------
    signals : SignalState
        State from the signals in its responses.
    fallback_until_ms : int
        Until when it is used as a fallback after its row has gone without
        notice; rows also lapse while the store is unreachable.
    is_readable : bool
        Whether its row can be read.
    cold_until_ms : int
        Until when it is slow after its start.
    remote_load : RemoteLoad or None
        Load of the other gateways, as they reported it.
    running : Counter[int]
        This gateway's requests there, by fingerprint.
    suspect_count, trial_count : int
        How many of these are suspected of crashing servers, and how many
        run as trials.
    connections : set[Connection]
        This gateway's connections to it, idle ones included.
    extra_connections : int
        Connections that this gateway may have beyond its equal part, negative
        if it has lent some.
    is_probing : bool
        Whether a request there probes if the server has recovered.
    unanswered : dict[bytes, tuple[int, int]]
        Requests of this gateway that wait for the first byte, in the order
        of sending: since when, and their pending tokens.

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
    connections: set[Connection] = field(default_factory=set)
    extra_connections: int = 0
    cached_parts: dict[str, int] = field(default_factory=dict)

    @property
    def open_connections(self) -> int:
        """Number of connections that the server has not closed."""
        return sum(connection.is_open for connection in self.connections)

    @property
    def own_pending_tokens(self) -> int:
        """Pending tokens of this gateway's requests."""
        return sum(tokens for _, tokens in self.unanswered.values())

    @property
    def takes_work(self) -> bool:
        """Whether it is listed by a readable row and does not drain."""
        is_known = self.is_listed and self.is_readable
        return is_known and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether its row or a response has announced that it drains."""
        return self.server.is_draining or self.signals.is_draining

    def may_serve(self, now_ms: int) -> bool:
        """Return True if it serves, as a fallback or after a back-off too."""
        if self.takes_work:
            return True
        if self.server.is_draining or not self.is_readable:
            return False
        if self.signals.is_draining:
            return self.is_listed and now_ms < self.signals.drain_until_ms
        return now_ms < self.fallback_until_ms

    def may_resume(self, now_ms: int) -> bool:
        """Return True if it may go on with a stream.

        Explanation
        -----------
        A server that drains does not, nor one whose row has gone and that
        fails: the stream ends at once where no other server can go on.
        """
        if self.is_draining or not self.may_serve(now_ms):
            return False
        return self.is_listed or not self.consecutive_failures

    def may_send(self, now_ms: int) -> bool:
        """Return True if it may be sent to now, if only as a fallback."""
        return self.may_serve(now_ms) and not self.signals.is_backing_off(
            now_ms
        )

    def is_restricted(self, now_ms: int) -> bool:
        """Return True if it has a limit or backs off."""
        return self.signals.limit.is_set or self.signals.is_backing_off(now_ms)

    def may_send_without_permit(self, now_ms: int) -> bool:
        """Return True if it may be sent to now and has no limit."""
        return self.may_send(now_ms) and not self.signals.limit.is_set

    def is_usable(self, now_ms: int) -> bool:
        """Return True if it may be sent to and is neither paused nor probed."""
        is_probed = self.signals.needs_probe and self.is_probing
        is_paused = now_ms < self.paused_until_ms
        return self.may_send(now_ms) and not (is_probed or is_paused)

    def load(self, now_ms: int) -> int:
        """Estimate the number of requests on it from all gateways."""
        remote, report = self.remote_load, self.report
        running = remote.running if remote else 0
        remote_ms = remote.at_ms if remote else 0
        is_recent = report and now_ms - report.at_ms < _MAX_REPORT_AGE_MS
        if report and is_recent and report.at_ms > remote_ms:
            running = report.running + report.waiting - report.own
        return self.in_flight + max(0, running)

    def pending_tokens(self, now_ms: int) -> int:
        """Estimate the prompt tokens that it has yet to process."""
        own = self.own_pending_tokens
        remote = self.remote_load
        if remote and now_ms - remote.at_ms < _MAX_REPORT_AGE_MS:
            return own + remote.pending_tokens
        return own

    def longest_wait_ms(self, now_ms: int) -> int:
        """Return how long the oldest request has waited for its first byte."""
        if not self.unanswered:
            return 0
        since_ms, _ = next(iter(self.unanswered.values()))
        return now_ms - since_ms

    @contextmanager
    def run(
        self, fingerprint: int, *, is_suspect: bool, is_trial: bool
    ) -> Iterator[None]:
        """Count a request as running within the context."""
        self.running[fingerprint] += 1
        self.suspect_count += is_suspect
        self.trial_count += is_trial
        try:
            yield
        finally:
            self._end_run(fingerprint, is_suspect=is_suspect, is_trial=is_trial)

    def record_dispatch(self) -> None:
        """Record that a request got a slot."""
        self.in_flight += 1
        self.is_probing = self.signals.needs_probe

    def record_release(self) -> None:
        """Record that a request has released its slot."""
        self.in_flight -= 1
        self.is_probing = False

    def record_success(self) -> None:
        """Record a successful response."""
        self.consecutive_failures = 0
        self.paused_until_ms = 0

    def record_failure(self, now_ms: int, least: int = 1) -> None:
        """Record a failure; from `least` in a row on, pause with back-off."""
        self.consecutive_failures += 1
        if self.consecutive_failures < least:
            return
        exponent = min(self.consecutive_failures - least, _MAX_DOUBLINGS)
        pause_ms = min(_MAX_PAUSE_MS, _MIN_PAUSE_MS << exponent)
        self.paused_until_ms = now_ms + pause_ms

    def record_replacement(self, now_ms: int) -> None:
        """Record that another server answers at its address.

        Explanation
        -----------
        A restarted server has a new id, and the row of the old one stays
        until it lapses.  The pause ends by itself in case the response was
        wrong.
        """
        self.consecutive_failures += 1
        self.paused_until_ms = now_ms + _REPLACED_PAUSE_MS

    def pop_idle(self, request_id: bytes) -> Connection:
        """Remove and return an idle connection, if possible a suitable one.

        Explanation
        -----------
        It should not have carried a request with this id, and be verified;
        of others, it is the one that will be verified first.
        """
        suitable = [
            connection
            for connection in self.idle
            if request_id not in connection.carried_ids
        ] or self.idle
        verified = [
            connection
            for connection in suitable
            if self.is_verified(connection.connected_ms)
        ]
        chosen = verified[-1] if verified else suitable[0]
        self.idle.remove(chosen)
        return chosen

    def retire(self) -> None:
        """Retire the state of a process that a later one has replaced.

        Explanation
        -----------
        Failures, reports, cached prompts and speeds of the earlier process do
        not apply to the new one.  Open requests keep the old state, which
        gets no new ones.
        """
        self.is_listed = False
        self.is_current = False
        self.fallback_until_ms = 0
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
            self.connections.discard(connection)
        self.idle.clear()

    def close_surplus(self, limit: int) -> None:
        """Close idle connections beyond a limit."""
        while self.idle and len(self.connections) > limit:
            connection = self.idle.pop(0)
            connection.close()
            self.connections.discard(connection)

    def _end_run(
        self, fingerprint: int, *, is_suspect: bool, is_trial: bool
    ) -> None:
        self.suspect_count -= is_suspect
        self.trial_count -= is_trial
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            self.running.pop(fingerprint)
