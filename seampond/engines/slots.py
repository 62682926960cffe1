"""How many requests a backend server is given at once."""

from dataclasses import dataclass


@dataclass(slots=True)
class Slots:
    """The limit and what is in use: running requests and open asks."""

    limit: int
    running: int = 0
    asked: int = 0

    @property
    def free(self) -> int:
        """Slots that may be asked for."""
        return max(0, self.limit - self.running - self.asked)
