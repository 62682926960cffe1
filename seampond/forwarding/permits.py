"""The permits for servers with a limit, as the scheduler uses them."""

from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.server_limit import Permit


class PermitSource(Protocol):
    """Issue permits, or request them from the gateway that does.

    Explanation
    -----------
    With `for_retry` the permit is for a caller's retry, which may use a
    reserved one.
    """

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Return True if a permit for the server can be acquired now."""

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit | None:
        """Return a permit to send now, None if there is none."""

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Request a permit that becomes valid within `max_wait_ms`."""

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Return the time before which no further permit is expected."""

    def probe_limit(self, backend: Backend) -> None:
        """Request a permit occasionally, to learn if the limit applies."""

    async def reserve(self, backend: Backend) -> int | None:
        """Reserve a permit for the retry of a refused caller.

        Returns
        -------
        int or None
            Milliseconds until the retry, None if there was no timely reply.

        """


class NoPermitSource:
    """Issue no permits, so that servers with a limit get no requests."""

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Return False."""
        return False

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit | None:
        """Return an expired permit."""
        return Permit(0, 0)

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Do nothing."""

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Return 0: no time is known."""
        return 0

    def probe_limit(self, backend: Backend) -> None:
        """Do nothing."""

    async def reserve(self, backend: Backend) -> int | None:
        """Return None."""


NO_PERMIT_SOURCE = NoPermitSource()
