"""Permits to send to servers that name a limit, as the scheduler needs them."""

from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.server_limit import Permit


class PermitSource(Protocol):
    """Gives permits, or asks who gives them.

    Explanation
    -----------
    With `for_retry` a permit is for a caller that was told to come back: it
    may be one of those that were reserved.
    """

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Whether a request may be sent to a server with a limit now."""

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit | None:
        """Take up a permit to send now."""

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Ask for a permit that holds after so long at the latest."""

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Give the time before which there is no other permit for us."""

    def probe_limit(self, backend: Backend) -> None:
        """Ask now and then, for a request that tells if the limit holds on."""

    async def reserve(self, backend: Backend) -> int | None:
        """Have a permit kept for a caller that is told to come back.

        Returns
        -------
        int or None
            After how many milliseconds, None where nobody answers in time.

        """


class NoPermitSource:
    """Keeps servers with a limit closed."""

    def may_send(self, backend: Backend, *, for_retry: bool) -> bool:
        """Allow none."""
        return False

    def acquire(self, backend: Backend, *, for_retry: bool) -> Permit | None:
        """Give one that has ended."""
        return Permit(0, 0)

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool
    ) -> None:
        """Ask nobody."""

    def available_ms(self, backend: Backend, *, for_retry: bool) -> int:
        """Know of no time."""
        return 0

    def probe_limit(self, backend: Backend) -> None:
        """Ask nobody."""

    async def reserve(self, backend: Backend) -> int | None:
        """Ask nobody."""


NO_PERMIT_SOURCE = NoPermitSource()
