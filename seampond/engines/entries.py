"""What an agent knows about one entry."""

from dataclasses import dataclass

from seampond.links import Connection
from seampond.links.messages import Message


@dataclass(eq=False)
class EntryPeer:
    """One link from an entry; a new link is a new object."""

    name: str
    incarnation: str
    link: Connection
    generation: int = 0

    def send(self, message: Message) -> None:
        """Send; on a dead link it is dropped."""
        self.link.send(message)
