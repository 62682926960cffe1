"""What servers have said of themselves in their answers, and how long it holds.

Load pattern: a server that leaves, or is overrun, while its row in the store
tells nothing of it, or tells it late.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from seampond.clock import Clock
from seampond.forwarding.server import Server
from seampond.forwarding.server_limit import ServerLimit
from seampond.forwarding.server_signals import ServerSignals

# Some 150 B each; a server that is forgotten is asked once more.
_KEPT_MAX = 8192
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class SignalState:
    """What one life of a server has said.

    Explanation
    -----------
    A word of a leave holds to the end of that life, whatever a row tells: the
    store may have been away when it was said, and a row that comes later may
    have been written before.

    Parameters
    ----------
    started_ms : int
        When that life began, 0 as long as no row has told.
    drain_until_ms : int
        Until when a server that leaves may still be sent to.
    backoff_until_ms : int
        Until when it wants nothing from us.
    needs_probe : bool
        Whether no request has ended there since it wanted rest.
    limit : ServerLimit
        What it takes from all gateways together.

    """

    started_ms: int = 0
    is_draining: bool = False
    drain_until_ms: int = 0
    backoff_until_ms: int = 0
    needs_probe: bool = False
    limit: ServerLimit = field(default_factory=ServerLimit)

    def is_backing_off(self, now_ms: int) -> bool:
        """Whether it has asked to be left alone now."""
        return now_ms < self.backoff_until_ms

    def record_answer(self, sent_ms: int) -> None:
        """Note that a request that was sent at a time met with no new wish."""
        if sent_ms >= self.backoff_until_ms:
            self.needs_probe = False


class SignalRegistry:
    """The notices of all servers that have said anything.

    Explanation
    -----------
    They outlive what else is believed of a server: its row may lapse while
    the store is away, and be there again.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts a word.

    """

    def __init__(self, count: Callable[[str], None], clock: Clock) -> None:
        """Start with nothing said."""
        self._count = count
        self._clock = clock
        self._by_id: dict[str, SignalState] = {}

    def state_of(self, server: Server) -> SignalState:
        """Give the notice of the life that a row names."""
        kept = self._by_id.get(server.id)
        if kept is None or 0 < kept.started_ms < server.started_ms:
            return SignalState(server.started_ms)
        kept.started_ms = kept.started_ms or server.started_ms
        return kept

    def apply_row(self, server: Server, signals: SignalState) -> None:
        """Take what a row says of the life that it names.

        Explanation
        -----------
        A server that has begun to leave ends, so a row that says `ready` of
        the same life is an older one: the store may have been restored from a
        copy in which it had not left yet.
        """
        if server.is_draining:
            signals.is_draining = True
            signals.drain_until_ms = 0
            self._keep(server.id, signals)

    def apply(
        self,
        server: Server,
        signals: SignalState,
        reported: ServerSignals,
        grace_ms: int,
        sent_ms: int,
    ) -> None:
        """Take what a server has said in an answer.

        Parameters
        ----------
        signals : SignalState
            Of the life that has answered.
        grace_ms : int
            How long after its word of a leave a server may be sent to.
        sent_ms : int
            When the request was sent.

        """
        now_ms = self._clock.now()
        if reported.is_draining:
            self._count('leaves')
            if not signals.is_draining:
                signals.is_draining = True
                signals.drain_until_ms = now_ms + grace_ms
                _tell('server says that it leaves', server)
        if reported.backoff_ms:
            self._count('rest')
            if not signals.is_backing_off(now_ms):
                _tell('server wants rest', server, rest_ms=reported.backoff_ms)
            # A shorter wish does not end a longer one.
            until_ms = now_ms + reported.backoff_ms
            signals.needs_probe = True
            signals.backoff_until_ms = max(signals.backoff_until_ms, until_ms)
        if reported.limit is not None:
            self._count('limit')
        if reported.is_own:
            self.apply_limit(server, signals, reported.limit, sent_ms)
        if reported.is_draining or reported.backoff_ms:
            self._keep(server.id, signals)

    def apply_limit(
        self,
        server: Server,
        signals: SignalState,
        rate: float | None,
        reported_ms: int,
    ) -> bool:
        """Take a word on a limit, by whomever; tell whether it changes it."""
        before = signals.limit.rate
        if not signals.limit.update(rate, reported_ms):
            return False
        _tell('server names a limit', server, limit=rate, before=before)
        self._keep(server.id, signals)
        return True

    def _keep(self, server_id: str, signals: SignalState) -> None:
        kept = self._by_id.get(server_id)
        if kept is not None and kept.started_ms > signals.started_ms:
            # An answer of an earlier life.
            return
        self._by_id[server_id] = signals
        if len(self._by_id) > _KEPT_MAX:
            self._by_id.pop(next(iter(self._by_id)))


def _tell(event: str, server: Server, **fields: object) -> None:
    _logger.info(
        event,
        extra={
            'server': server.id,
            'address': server.address,
            'pool': server.pool,
        }
        | fields,
    )
