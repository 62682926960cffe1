"""What an entry knows about one agent."""

import enum
from dataclasses import dataclass, field
from typing import Any

from transitions import Machine

from seampond.backing import Vm
from seampond.links import Connection
from seampond.links.messages import Message, Pulse
from seampond.requests import Ticket


@enum.unique
class PeerState(enum.Enum):
    """The state of our link to an agent."""

    connecting = 'connecting'
    ready = 'ready'
    silent = 'silent'
    leaving = 'leaving'


@dataclass(slots=True)
class PeerLoad:
    """Its last heartbeat and what we did since."""

    pulse: Pulse = field(default_factory=Pulse)
    reserved_since: int = 0

    @property
    def per_slot(self) -> float:
        """Requests running and queued for each slot."""
        busy = self.pulse.running + self.pulse.queued + self.reserved_since
        return busy / max(1, self.pulse.slots)


def _transition(
    trigger: str, source: 'PeerState | str', target: PeerState
) -> Any:
    return {'trigger': trigger, 'source': source, 'dest': target}


# One machine serves all peers: one each would hold 12 KB.
_MACHINE = Machine(
    None,
    states=PeerState,
    initial=PeerState.connecting,
    transitions=[
        _transition('came_up', '*', PeerState.ready),
        _transition('went_down', '*', PeerState.connecting),
        _transition('fell_silent', PeerState.ready, PeerState.silent),
        _transition('spoke_again', PeerState.silent, PeerState.ready),
        _transition('said_leaving', '*', PeerState.leaving),
    ],
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


class Peer:
    """An agent as one entry sees it.

    Explanation
    -----------
    A planned stop is final for one incarnation: a peer that said it leaves
    gets work again only after a link to a new incarnation.
    """

    def __init__(self, vm: Vm) -> None:
        """Start without a link."""
        self.vm = vm
        self.incarnation = ''
        self.link: Connection | None = None
        self.down_since_ms = 0
        self.load = PeerLoad()
        self.reserved: dict[str, Ticket] = {}
        self.granted: dict[str, Ticket] = {}
        self.state: PeerState = PeerState.connecting

    @property
    def name(self) -> str:
        """The name of its VM."""
        return self.vm.name

    @property
    def takes_work(self) -> bool:
        """Whether reservations may be sent to it."""
        return self.state is PeerState.ready

    def fire(self, trigger: str) -> None:
        """Fire a transition by name."""
        _MACHINE.events[trigger].trigger(self)

    def send(self, message: Message) -> None:
        """Send, if there is a link."""
        if self.link:
            self.link.send(message)
