"""A server as the list names it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Server:
    """One server as the list names it.

    Parameters
    ----------
    version : str
        The version of its software, empty if none is told.
    cold_ms : int
        How much longer it is slow from its start, when its row was written.
    started_ms : int
        When it started, by the time of day; 0 if its row does not tell.

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
        """The name of one life: a server may start again under its id.

        Examples
        --------
        >>> Server('i-1', 'llm', '', '', 1, started_ms=7).incarnation
        'i-1/7'

        """
        return f'{self.id}/{self.started_ms}' if self.started_ms else self.id
