"""Servers as registered in the store."""

import enum
from dataclasses import dataclass


@enum.unique
class Listing(enum.Enum):
    """What the list of servers says of a server."""

    serving = 'serving'
    draining = 'draining'
    removed = 'removed'


@dataclass(frozen=True, slots=True)
class Server:
    """One server as registered in the store.

    Parameters
    ----------
    version : str
        Version of its software, empty if unknown.
    cold_ms : int
        Remaining time of its cold start when its row was written.
    started_ms : int
        Start time in Unix milliseconds, 0 if unknown.

    """

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    version: str = ''
    cold_ms: int = 0
    started_ms: int = 0

    @property
    def incarnation(self) -> str:
        """A name of this start of the server, which may reuse its id.

        Examples
        --------
        >>> Server('i-1', 'llm', '', '', 1, started_ms=7).incarnation
        'i-1/7'

        """
        return f'{self.id}/{self.started_ms}' if self.started_ms else self.id
