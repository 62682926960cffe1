"""Which agent gets a request, and the single grant that decides it."""

from seampond.routing.dispatcher import Dispatcher as Dispatcher
from seampond.routing.peer import Peer as Peer
