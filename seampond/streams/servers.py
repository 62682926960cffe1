"""What the origins of streams need to know of the servers."""

from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.stream_origins import RunState, ServerRun, StreamOrigin


class ServerDirectory(Protocol):
    """The servers that a gateway knows."""

    def make_run(self, backend: Backend, connected_ms: int) -> ServerRun:
        """Return a run on a server, over a connection made at that time."""

    def check_run(self, run: ServerRun) -> RunState:
        """Return whether a run was one of the process that a row describes."""

    def request_proof(self, run: ServerRun) -> None:
        """Request a proof of the rows that verifies a run."""

    def request_list_proof(self, at_ms: int) -> None:
        """Request a proof that the list of servers was current at a time."""

    def has_version(self, origin: StreamOrigin) -> bool:
        """Return True if a server may go on with streams of a version."""


class _NoServers:
    """Knows no servers."""

    def make_run(self, backend: Backend, connected_ms: int) -> ServerRun:
        """Return a run of no known incarnation."""
        return ServerRun(0, connected_ms)

    def check_run(self, run: ServerRun) -> RunState:
        """Return that the incarnation is not known."""
        return RunState.unknown

    def request_proof(self, run: ServerRun) -> None:
        """Do nothing."""

    def request_list_proof(self, at_ms: int) -> None:
        """Do nothing."""

    def has_version(self, origin: StreamOrigin) -> bool:
        """Return False."""
        return False


NO_SERVERS = _NoServers()
