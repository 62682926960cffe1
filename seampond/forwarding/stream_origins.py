"""The server version that began a stream."""

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from seampond.forwarding.backend import Backend
    from seampond.forwarding.job import Job


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Pool and software version of the server that began a stream.

    Explanation
    -----------
    The events of two versions do not fit together, and servers do not check
    it, so a stream may be resumed only at the version that began it.
    """

    pool: str
    version: str


@dataclass(frozen=True, slots=True)
class ServerRun:
    """The run of a request on a server whose process is not yet verified.

    Parameters
    ----------
    incarnation : int
        Key of the server incarnation that was known when it was sent.
    connected_ms : int
        When the connection was made.

    """

    incarnation: int
    connected_ms: int


@enum.unique
class RunState(enum.Enum):
    """Whether a run was one of the incarnation that was known."""

    verified = 'verified'
    unverified = 'unverified'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Resumption:
    """How the origin of a resumed stream became known.

    Parameters
    ----------
    source : str
        Who knew it; the value is a metric label.
    age_ms : int
        How long it has been known there.
    is_verified : bool
        Whether the server is known to have run that version.

    """

    origin: StreamOrigin
    source: str
    age_ms: int = 0
    is_verified: bool = True


class OriginSource(Protocol):
    """Records the origins of streams and finds them again."""

    def record(self, job: 'Job') -> None:
        """Record the origin of a stream whose first event has arrived."""

    def record_unverified(
        self,
        job: 'Job',
        origin: StreamOrigin,
        backend: 'Backend',
        connected_ms: int,
    ) -> None:
        """Record an origin over a connection that is not verified yet."""

    def request_proof(self, backend: 'Backend', connected_ms: int) -> None:
        """Request the proof of a server's row that verifies a connection."""

    async def resolve(self, job: 'Job') -> None:
        """Set the origin of a stream that a caller resumes."""

    async def resolve_begun(self, job: 'Job') -> None:
        """Set the origin of a stream that has begun here once it is known."""


class _NoOrigins:
    """Knows no origins: a resumed stream is not sent anywhere."""

    def record(self, job: 'Job') -> None:
        """Do nothing."""

    def record_unverified(
        self,
        job: 'Job',
        origin: StreamOrigin,
        backend: 'Backend',
        connected_ms: int,
    ) -> None:
        """Do nothing."""

    def request_proof(self, backend: 'Backend', connected_ms: int) -> None:
        """Do nothing."""

    async def resolve(self, job: 'Job') -> None:
        """Do nothing."""

    async def resolve_begun(self, job: 'Job') -> None:
        """Do nothing."""


NO_ORIGINS = _NoOrigins()
