"""Links between entries and agents: schema, codec, connection, trust."""

from seampond.links.connection import Connection as Connection
from seampond.links.trust import shake_hands as shake_hands
