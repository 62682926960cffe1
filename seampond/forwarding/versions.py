"""Which versions of the servers' software a request may go to."""

from collections.abc import Sequence
from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.progress import AttemptRecord


class VersionPolicy(Protocol):
    """Chooses among versions, and learns from what becomes of it."""

    def group(
        self, job: Job, known: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Give the servers to look at, those that come first before others."""

    def record_placement(self, backend: Backend) -> None:
        """Note that a request was given a place on a server."""

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Note how a send to a server ended."""


class AnyVersion:
    """Takes all servers alike."""

    def group(
        self, job: Job, known: Sequence[Backend]
    ) -> Sequence[Sequence[Backend]]:
        """Give all of them."""
        return (known,)

    def record_placement(self, backend: Backend) -> None:
        """Learn nothing."""

    def record_attempt(
        self, job: Job, backend: Backend, record: AttemptRecord
    ) -> None:
        """Learn nothing."""


ANY_VERSION = AnyVersion()
