"""Builders for rollout tests."""

from dataclasses import dataclass, field
from typing import Any

from seampond.rollouts import Order
from seampond.rollouts.models import Tally, TallyKey

POOL = 'llm'
OLD, NEW = 'v1', 'v2'
ROUTE = 1


@dataclass(frozen=True, slots=True)
class StubServer:
    """A server of a version."""

    id: str
    version: str
    slots: int = 10


@dataclass(slots=True)
class StubBackend:
    """A backend for a stub server."""

    server: StubServer
    in_flight: int = 0
    takes_work: bool = True


def build_stub_backends(old: int = 4, new: int = 4) -> list[StubBackend]:
    """Return backends of both versions."""
    names = [(f'o{number}', OLD) for number in range(old)]
    names += [(f'n{number}', NEW) for number in range(new)]
    return [StubBackend(StubServer(*name)) for name in names]


def build_order(**changes: Any) -> Order:
    """Return an order of 12 s."""
    content: dict[str, Any] = {
        'pool': POOL,
        'target': NEW,
        'duration_ms': 12_000,
        'version': 10,
    }
    return Order(**(content | changes))


@dataclass
class VersionTallies:
    """Tallies of both versions on one route."""

    old: Tally = field(default_factory=Tally)
    new: Tally = field(default_factory=Tally)

    def as_tallies(self, route: int = ROUTE) -> dict[TallyKey, Tally]:
        """Return the tallies as gateways report them."""
        return {
            TallyKey(route, is_new=False): self.old,
            TallyKey(route, is_new=True): self.new,
        }
