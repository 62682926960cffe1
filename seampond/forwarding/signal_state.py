"""State that is kept from the signals in the answers of servers.

Answers report draining, back-off and limits earlier than the rows in the store,
which may be outdated or unreachable.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.forwarding.server import Server
from seampond.forwarding.server_limit import ServerLimit
from seampond.forwarding.server_signals import ServerSignals

# Bounds memory; a discarded server is sent one more request.
_ENTRIES_MAX = 8192
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class SignalState:
    """Signals received from one incarnation of a server.

    Explanation
    -----------
    A draining incarnation stays so whatever its row says: the store may have
    been unreachable at the time, and a row that arrives later may have been
    written before.

    Parameters
    ----------
    started_ms : int
        Start time of the incarnation, 0 while unknown.
    is_draining : bool
        Whether the server has reported that it is draining.
    drain_until_ms : int
        End of the time in which a draining server may get requests.
    backoff_until_ms : int
        End of the back-off that the server requested.
    needs_probe : bool
        Whether the server has yet to answer a request after a back-off.
    limit : ServerLimit
        Limit on the requests of all gateways together.

    """

    started_ms: int = 0
    is_draining: bool = False
    drain_until_ms: int = 0
    backoff_until_ms: int = 0
    needs_probe: bool = False
    limit: ServerLimit = field(default_factory=ServerLimit)

    def is_backing_off(self, now_ms: int) -> bool:
        """Whether the server has requested a back-off."""
        return now_ms < self.backoff_until_ms

    def record_answer(self, sent_ms: int) -> None:
        """Record an answer to a request that was sent at `sent_ms`."""
        if sent_ms >= self.backoff_until_ms:
            self.needs_probe = False


class SignalRegistry:
    """The signal states of all servers that have sent signals.

    Explanation
    -----------
    States outlive the other data on a server: its row may expire while the
    store is unreachable, and reappear.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts a signal by its kind.

    """

    def __init__(self, count: Callable[[str], None], clock: Clock) -> None:
        """Initialize an empty registry."""
        self._count = count
        self._clock = clock
        self._states: dict[str, SignalState] = {}

    def state_of(self, server: Server) -> SignalState:
        """Return the state of the incarnation that a row names."""
        known = self._states.get(server.id)
        if known is None or 0 < known.started_ms < server.started_ms:
            return SignalState(server.started_ms)
        known.started_ms = known.started_ms or server.started_ms
        return known

    def apply_row(self, server: Server, state: SignalState) -> None:
        """Update the state from the server's row.

        Explanation
        -----------
        Draining is final for an incarnation, so a row that says `ready` is
        outdated: the store may have been restored from an older copy.
        """
        if server.is_draining:
            state.is_draining = True
            state.drain_until_ms = 0
            self._store(server.id, state)

    def apply(
        self,
        server: Server,
        state: SignalState,
        reported: ServerSignals,
        grace_ms: int,
        sent_ms: int,
    ) -> None:
        """Update the state from the signals in an answer.

        Parameters
        ----------
        state : SignalState
            State of the incarnation that has answered.
        grace_ms : int
            How long a draining server may still get requests.
        sent_ms : int
            When the request was sent.

        """
        now_ms = self._clock.now()
        if reported.is_draining:
            self._count('leaves')
            if not state.is_draining:
                state.is_draining = True
                state.drain_until_ms = now_ms + grace_ms
                _log_signal('server reports draining', server)
        if reported.backoff_ms:
            self._count('rest')
            if not state.is_backing_off(now_ms):
                _log_signal(
                    'server requests back-off',
                    server,
                    rest_ms=reported.backoff_ms,
                )
            # A shorter back-off does not end a longer one.
            until_ms = now_ms + reported.backoff_ms
            state.needs_probe = True
            state.backoff_until_ms = max(state.backoff_until_ms, until_ms)
        if reported.limit is not None:
            self._count('limit')
        if reported.is_own:
            self.apply_limit(server, state, reported.limit, sent_ms)
        if reported.is_draining or reported.backoff_ms:
            self._store(server.id, state)

    def apply_limit(
        self,
        server: Server,
        state: SignalState,
        rate: float | None,
        reported_ms: int,
    ) -> bool:
        """Update the limit from any source; return whether it changed."""
        before = state.limit.rate
        if not state.limit.update(rate, reported_ms):
            return False
        _log_signal('server limit changed', server, limit=rate, before=before)
        self._store(server.id, state)
        return True

    def _store(self, server_id: str, state: SignalState) -> None:
        known = self._states.get(server_id)
        if known is not None and known.started_ms > state.started_ms:
            # The answer came from an earlier incarnation.
            return
        self._states[server_id] = state
        if len(self._states) > _ENTRIES_MAX:
            self._states.pop(next(iter(self._states)))


def _log_signal(event: str, server: Server, **fields: object) -> None:
    _logger.info(
        event,
        extra={
            'server': server.id,
            'address': server.address,
            'pool': server.pool,
        }
        | fields,
    )
