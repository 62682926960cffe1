"""Builders for the tests of roll-outs."""

from dataclasses import dataclass, field
from typing import Any

from seampond.rollouts import Order
from seampond.rollouts.models import Tally, TallyKey

POOL = 'llm'
OLD, NEW = 'v1', 'v2'
ROUTE = 1


@dataclass(frozen=True, slots=True)
class StubServer:
    """A server of some version."""

    id: str
    version: str
    slots: int = 10


@dataclass(slots=True)
class StubBackend:
    """What stands for it where requests are placed."""

    server: StubServer
    in_flight: int = 0
    takes_work: bool = True


def build_stub_backends(old: int = 4, new: int = 4) -> list[StubBackend]:
    """Give servers of both versions."""
    names = [(f'o{number}', OLD) for number in range(old)]
    names += [(f'n{number}', NEW) for number in range(new)]
    return [StubBackend(StubServer(*name)) for name in names]


def build_order(**changes: Any) -> Order:
    """Give an order of twelve seconds."""
    content: dict[str, Any] = {
        'pool': POOL,
        'target': NEW,
        'duration_ms': 12_000,
        'version': 10,
    }
    return Order(**(content | changes))


@dataclass
class Answers:
    """Counts of both versions on one route, as a gateway tells them."""

    old: Tally = field(default_factory=Tally)
    new: Tally = field(default_factory=Tally)

    def as_tallies(self, route: int = ROUTE) -> dict[TallyKey, Tally]:
        """Give them as they are told."""
        return {
            TallyKey(route, is_new=False): self.old,
            TallyKey(route, is_new=True): self.new,
        }
