"""Runs of requests on servers whose process is not verified yet."""

from collections.abc import Callable

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.stream_origins import RunState, ServerRun, StreamOrigin


class ServerRuns:
    """Tells which process ran a request, by the servers that are known.

    Parameters
    ----------
    hash_name : Callable[[str], int]
        Return the key that identifies a server incarnation among gateways.
    request_proof : Callable[[int], None]
        Requests a proof that the list of servers was current at a time.

    """

    def __init__(
        self,
        backends: Backends,
        hash_name: Callable[[str], int],
        request_proof: Callable[[int], None],
        clock: Clock,
    ) -> None:
        """Initialize the view of the servers."""
        self._backends = backends
        self._hash_name = hash_name
        self._request_proof = request_proof
        self._clock = clock

    def make_run(self, backend: Backend, connected_ms: int) -> ServerRun:
        """Return a run on a server, over a connection made at that time."""
        key = self._hash_name(backend.server.incarnation)
        return ServerRun(key, connected_ms)

    def check_run(self, run: ServerRun) -> RunState:
        """Return whether a run was one of the process that a row describes."""
        backend = self._backends.find_incarnation(run.incarnation)
        if backend is None:
            return RunState.unknown
        if backend.is_verified(run.connected_ms):
            return RunState.verified
        return RunState.unverified

    def request_proof(self, run: ServerRun) -> None:
        """Request a proof of the rows that verifies a run."""
        backend = self._backends.find_incarnation(run.incarnation)
        if backend is not None:
            self.request_list_proof(backend.proof_needed_ms(run.connected_ms))

    def request_list_proof(self, at_ms: int) -> None:
        """Request a proof that the list of servers was current at a time."""
        self._request_proof(at_ms)

    def has_version(self, origin: StreamOrigin) -> bool:
        """Return True if a server may go on with streams of a version."""
        now_ms = self._clock.now()
        return any(
            backend.server.version == origin.version
            and backend.may_resume(now_ms)
            for backend in self._backends.in_pool(origin.pool)
        )
