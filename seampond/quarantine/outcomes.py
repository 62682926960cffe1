"""Outcomes of runs: which of them a server has crashed under."""

from collections.abc import Callable, Iterable

from seampond.clock import Clock
from seampond.forwarding.job import Job
from seampond.forwarding.server import Server
from seampond.quarantine.interrupted import (
    CONNECTION_REFUSED_MS,
    RESTART_SEEN_MS,
    InterruptedRun,
    InterruptedRuns,
)


class RunOutcomes:
    """Records how runs end, and decides which were ended by a crash.

    Parameters
    ----------
    hash_name : Callable[[str], int]
        Returns the key of a server incarnation.
    on_crash : Callable[[InterruptedRun], None]
        Called for each run that a server has crashed under.
    on_success : Callable[[Iterable[int], int], None]
        Called with the fingerprints of a successful request and the time of
        its success.

    Attributes
    ----------
    on_unclear : Callable[[Server], None]
        Called with a server that may have crashed, as no connection is left.

    """

    def __init__(
        self,
        hash_name: Callable[[str], int],
        on_crash: Callable[[InterruptedRun], None],
        on_success: Callable[[Iterable[int], int], None],
        clock: Clock,
    ) -> None:
        """Start without runs."""
        self._hash_name = hash_name
        self._on_crash = on_crash
        self._on_success = on_success
        self._clock = clock
        self._interrupted = InterruptedRuns(clock)
        self.on_unclear: Callable[[Server], None] = _ignore_server

    def record_lost(
        self,
        job: Job,
        server: Server,
        started_ms: int,
        *,
        has_connections: bool,
    ) -> None:
        """Record that a connection broke during a run of a request.

        Parameters
        ----------
        has_connections : bool
            Whether other connections to the server are open.

        """
        self._add(job, server, started_ms)
        if not has_connections:
            self.on_unclear(server)

    def record_abandoned(
        self, job: Job, server: Server, started_ms: int
    ) -> None:
        """Record that a run was abandoned while the server worked on it."""
        self._add(job, server, started_ms)

    def is_unclear(self, server: Server) -> bool:
        """Return True if a run on a server was interrupted just now."""
        incarnation = self._hash_name(server.incarnation)
        return self._interrupted.has_recent(incarnation)

    def record_refused_connection(self, server: Server) -> None:
        """Record that a server refuses connections."""
        self._record_exit(server, CONNECTION_REFUSED_MS)

    def record_restart(self, server: Server) -> None:
        """Record that a later process has replaced that of a server."""
        self._record_exit(server, RESTART_SEEN_MS)

    def record_response(self, server: Server, connected_ms: int) -> None:
        """Record that a response to a request has begun.

        Parameters
        ----------
        connected_ms : int
            When its connection was made.

        """
        incarnation = self._hash_name(server.incarnation)
        self._clear_answered(
            self._interrupted.take_survived(incarnation, connected_ms)
        )

    def record_success(
        self, job: Job, server: Server, started_ms: int, *, is_framed: bool
    ) -> None:
        """Record a successful response, which clears the request.

        Parameters
        ----------
        is_framed : bool
            Whether the end of the response was marked.  If not, a crash may
            have ended it, so it counts once the server has survived it.

        """
        if is_framed:
            self._on_success(job.fingerprints, self._clock.now())
        else:
            self._add(job, server, started_ms, is_answered=True)

    def clear_expired(self) -> None:
        """Clear the answered requests without later news of their servers."""
        self._clear_answered(self._interrupted.take_expired())

    def _add(
        self,
        job: Job,
        server: Server,
        started_ms: int,
        *,
        is_answered: bool = False,
    ) -> None:
        incarnation = self._hash_name(server.incarnation)
        now_ms = self._clock.now()
        self._interrupted.add(
            InterruptedRun(
                job.fingerprints, incarnation, started_ms, now_ms, is_answered
            )
        )

    def _record_exit(self, server: Server, within_ms: int) -> None:
        incarnation = self._hash_name(server.incarnation)
        for run in self._interrupted.take_crashed(incarnation, within_ms):
            self._on_crash(run)

    def _clear_answered(self, survived: Iterable[InterruptedRun]) -> None:
        for run in survived:
            if run.is_answered:
                self._on_success(run.fingerprints, run.ended_ms)


def _ignore_server(server: Server) -> None:
    """Ignore the server."""
