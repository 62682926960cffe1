"""Choice of servers by the version of their software."""

from collections.abc import Sequence
from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.progress import AttemptRecord


class VersionPolicy(Protocol):
    """Chooses versions and records the outcomes of attempts."""

    def group(
        self, job: Job, backends: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Return groups of servers in order of preference."""

    def record_placement(self, backend: Backend) -> None:
        """Record that a request acquired a slot of a server."""

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Record the outcome of an attempt."""


class AnyVersion:
    """Treats all versions alike."""

    def group(
        self, job: Job, backends: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Return all servers as one group."""
        return (backends,)

    def record_placement(self, backend: Backend) -> None:
        """Do nothing."""

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Do nothing."""


ANY_VERSION = AnyVersion()
