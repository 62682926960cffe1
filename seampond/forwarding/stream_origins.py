"""The server version that began a stream."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
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
class Resumption:
    """How the origin of a resumed stream became known.

    Parameters
    ----------
    source : str
        Who knew it; the value is a metric label.
    age_ms : int
        How long it has been known there.

    """

    origin: StreamOrigin
    source: str
    age_ms: int = 0


class OriginSource(Protocol):
    """Records the origins of streams and finds them again."""

    def record(self, job: 'Job') -> None:
        """Record the origin of a stream whose first event has arrived."""

    async def resolve(self, job: 'Job') -> None:
        """Set the origin of a stream that a caller resumes."""


class _NoOrigins:
    """Knows no origins: a resumed stream is not sent anywhere."""

    def record(self, job: 'Job') -> None:
        """Do nothing."""

    async def resolve(self, job: 'Job') -> None:
        """Do nothing."""


NO_ORIGINS = _NoOrigins()
