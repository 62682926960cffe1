"""The servers that may go on with a stream."""

import random

from seampond.clock import Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.job import Job
from seampond.forwarding.models import Route
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.versions import VersionPolicy

# Callers give up a stream after the longest of these gaps.
_CALLER_GAP_MS = 2000
_CALLER_GAP_TARGETS = 4
_CALLER_GAP_PAUSES = 8
_WAIT_FRACTION = 0.75
_STEP = 'resume'


class ResumeTargets:
    """Selects the servers that may go on with a stream.

    Parameters
    ----------
    versions : VersionPolicy
        Selects the versions that a rollout allows for the request.

    """

    def __init__(
        self, backends: Backends, versions: VersionPolicy, clock: Clock
    ) -> None:
        """Initialize the selection."""
        self._backends = backends
        self._versions = versions
        self._clock = clock

    def list_targets(self, job: Job) -> list[Backend]:
        """Return the servers of the version that began a stream."""
        now_ms = self._clock.now()
        return [
            backend
            for backend in self._backends.in_pool(job.pool)
            if job.may_run_on(backend.server) and backend.may_resume(now_ms)
        ]

    def sample(self, job: Job, rng: random.Random, most: int) -> list[Backend]:
        """Return at most `most` of the servers, drawn at random."""
        targets = [
            backend for backend in self.list_targets(job) if not backend.lost_ms
        ]
        return rng.sample(targets, most) if len(targets) > most else targets

    def check(self, job: Job) -> None:
        """Check that the version that began a stream still serves.

        Raises
        ------
        Refusal
            If no server may go on with the stream, or it is not known which.

        """
        if job.is_resumed and job.origin is None:
            raise Refusal(Cause.version_unknown, step=_STEP)
        if job.origin is None:
            return
        if not any(self._versions.group(job, self.list_targets(job))):
            raise Refusal(Cause.version_gone, step=_STEP)


def compute_resume_wait_ms(route: Route) -> int:
    """Return how long a resumed stream may wait for a server.

    Examples
    --------
    >>> from seampond.testing.gateways import build_route
    >>> compute_resume_wait_ms(build_route(target_ms=800, pause_ms=400))
    2400

    """
    gap_ms = max(
        _CALLER_GAP_MS,
        _CALLER_GAP_TARGETS * route.target_ms,
        _CALLER_GAP_PAUSES * route.pause_ms,
    )
    return round(_WAIT_FRACTION * gap_ms)


def select_avoided(tried: set[str], targets: list[Backend]) -> set[str]:
    """Return the tried servers, none if there are no other targets.

    Examples
    --------
    >>> select_avoided({'i-1'}, [])
    set()

    """
    has_untried = any(backend.server.id not in tried for backend in targets)
    return tried if has_untried else set()
