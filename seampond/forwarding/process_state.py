"""Which process of a server its connections lead to."""

from dataclasses import dataclass

# Data that arrived before the loss of another connection may be read after it.
_BUFFERED_DATA_MS = 50
# A server writes its row when it starts.
_ROW_WRITE_MS = 100
# The same where a lost connection suggests that it has just started.
_RESTART_ROW_MS = 500


@dataclass(slots=True, kw_only=True)
class ProcessState:
    """Evidence that connections lead to the process that a row describes.

    Explanation
    -----------
    A server may restart under its id and address with another version, and a
    gateway that has not read its new row takes the new process for the old
    one.  A connection is verified by a proof of the row from some time after
    it was made, or by later data on a connection that is verified.

    Parameters
    ----------
    is_current : bool
        Whether no later process of the server is known.
    lost_ms : int
        When a connection to it was lost, which may mean that its process
        ended; 0 if it is known to run on as its row says.
    closed_ms : int
        When a connection to it was last closed in the middle of an answer
        without a reset, as the system of a killed process does.
    refused_ms : int
        When a connection to it was last refused.
    reconnected_ms : int
        When a connection was made after that, 0 for not yet.
    verified_ms : int
        Connections made until then are verified.

    Examples
    --------
    >>> state = ProcessState()
    >>> state.confirm_row(proved_ms=1000)
    >>> state.is_verified(connected_ms=900), state.is_verified(950)
    (True, False)

    """

    is_current: bool = True
    lost_ms: int = 0
    closed_ms: int = 0
    refused_ms: int = 0
    reconnected_ms: int = 0
    verified_ms: int = 0

    def record_lost_connection(self, now_ms: int) -> None:
        """Record a lost connection, which may mean that its process ended."""
        self.lost_ms = now_ms
        self.reconnected_ms = 0

    def record_connection(self, connected_ms: int) -> None:
        """Record a connection, the first one after a loss counts."""
        if not self.reconnected_ms and connected_ms >= self.lost_ms:
            self.reconnected_ms = connected_ms

    def confirm_process(self, connected_ms: int, received_ms: int) -> None:
        """Record data on a connection, which proves that its process lives.

        Parameters
        ----------
        connected_ms : int
            When the connection was made.

        """
        if self.is_verified(connected_ms):
            self._verify(received_ms - _BUFFERED_DATA_MS)
        is_later = received_ms >= self.lost_ms + _BUFFERED_DATA_MS
        if self.lost_ms and connected_ms < self.lost_ms and is_later:
            self.lost_ms = 0

    def proof_needed_ms(self, connected_ms: int) -> int:
        """Return which proof of its row verifies a connection.

        Explanation
        -----------
        A process that had started before the connection was made would have
        changed the row by then.
        """
        delay_ms = _RESTART_ROW_MS if self.lost_ms else _ROW_WRITE_MS
        return connected_ms + delay_ms

    def confirm_row(self, proved_ms: int) -> None:
        """Record when its row was current."""
        self._verify(proved_ms - self.proof_needed_ms(0))

    def is_verified(self, connected_ms: int) -> bool:
        """Return True if a connection leads to the process of its row.

        Parameters
        ----------
        connected_ms : int
            When the connection was made.

        """
        return connected_ms <= self.verified_ms

    def _verify(self, until_ms: int) -> None:
        """Record that connections made until then are verified."""
        self.verified_ms = max(self.verified_ms, until_ms)
        is_up = self.lost_ms and self.reconnected_ms
        if is_up and self.is_verified(self.reconnected_ms):
            self.lost_ms = 0
