"""Permits to send to servers that name a limit, as the scheduler needs them."""

from typing import Protocol

from seampond.forwarding.backend import Backend
from seampond.forwarding.limit import Permit


class Permits(Protocol):
    """Gives permits, or asks who gives them."""

    def may_send(self, backend: Backend) -> bool:
        """Whether a request may be sent to a server with a limit now."""

    def take(self, backend: Backend) -> Permit | None:
        """Take up a permit to send now."""

    def ask(self, backend: Backend, patience_ms: int) -> None:
        """Ask for a permit that holds after so long at the latest."""

    def opens_ms(self, backend: Backend) -> int:
        """Give the time before which there is no other permit for us."""

    def find_out(self, backend: Backend) -> None:
        """Ask now and then, for a request that tells if the limit holds on."""


class NoPermits:
    """Keeps servers with a limit closed."""

    def may_send(self, backend: Backend) -> bool:
        """Allow none."""
        return False

    def take(self, backend: Backend) -> Permit | None:
        """Give one that has ended."""
        return Permit(0, 0)

    def ask(self, backend: Backend, patience_ms: int) -> None:
        """Ask nobody."""

    def opens_ms(self, backend: Backend) -> int:
        """Know of no time."""
        return 0

    def find_out(self, backend: Backend) -> None:
        """Ask nobody."""


NO_PERMITS = NoPermits()
