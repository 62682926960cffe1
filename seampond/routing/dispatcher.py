"""The one place in an entry where a grant is given."""

import logging
from collections.abc import Callable

from seampond.clock import Clock
from seampond.links import Connection
from seampond.links.messages import (
    About,
    Ask,
    Cancel,
    Deny,
    Finish,
    Frame,
    Grant,
    Head,
    Hello,
    Message,
    Pulse,
    Received,
    Reserve,
    Resume,
    TurnAway,
    Withdraw,
)
from seampond.metrics import EntryMetrics
from seampond.promises import Promises, Rule
from seampond.requests import Ticket
from seampond.requests.work import AgentLost, GrantAccepted, ReservationDeclined
from seampond.routing.peer import Peer, PeerState
from seampond.routing.waiting import WaitingRoom

_logger = logging.getLogger(__name__)


class Dispatcher:
    """Tickets and peers of one entry, and the messages between them.

    Explanation
    -----------
    The grant is one variable, :attr:`Ticket.holder`, in one process: the
    first agent that asks gets it, all others are denied.  Nothing has to be
    agreed for a request to be dispatched at most once [1]_.

    References
    ----------
    .. [1] Ousterhout et al.: Sparrow: Distributed, Low Latency Scheduling,
       SOSP 2013 (late binding of tasks to machines).

    """

    def __init__(
        self,
        clock: Clock,
        promises: Promises,
        metrics: EntryMetrics,
        room: WaitingRoom,
    ) -> None:
        """Start with no tickets and no peers."""
        self._room = room
        self._clock = clock
        self._promises = promises
        self._metrics = metrics
        self._tickets: dict[str, Ticket] = {}
        self.peers: dict[str, Peer] = {}
        self._takers: dict[type[Message], Callable[..., None]] = {
            Pulse: self._take_pulse,
            Ask: self._take_ask,
            TurnAway: self._take_turn_away,
            Head: self._take_answer,
            Frame: self._take_answer,
            Finish: self._take_answer,
        }

    @property
    def open_tickets(self) -> int:
        """Requests that are not over."""
        return len(self._tickets)

    def peers_of(self, pool: str) -> list[Peer]:
        """Give the agents of `pool` that take work."""
        return [
            peer
            for peer in self.peers.values()
            if peer.vm.pool == pool and peer.takes_work
        ]

    def open(self, ticket: Ticket) -> None:
        """Take charge of a new request."""
        self._tickets[ticket.id] = ticket

    def close(self, ticket: Ticket) -> None:
        """End a request: withdraw it, or cancel what still runs."""
        if self._tickets.pop(ticket.id, None) is None:
            return
        ticket.is_finished = True
        self.withdraw(ticket)
        holder = self.peers.get(ticket.holder)
        if holder and holder.granted.pop(ticket.id, None):
            holder.send(Cancel(ticket.id, ticket.attempt))

    def reserve(self, ticket: Ticket, peer: Peer) -> None:
        """Send a reservation for `ticket` to `peer`."""
        self._promises.check(
            Rule.no_work_when_leaving,
            peer.takes_work,
            step='reserve',
            peer=peer.name,
        )
        ticket.reserved.add(peer.name)
        peer.reserved[ticket.id] = ticket
        peer.load.reserved_since += 1
        work = ticket.work
        peer.send(
            Reserve(
                ticket.id,
                ticket.attempt,
                tier=work.tier,
                remaining_ms=max(0, work.deadline_ms - self._clock.now()),
                prompt_tokens=work.prompt_tokens,
                prefix=work.prefix,
            )
        )

    def withdraw(self, ticket: Ticket) -> None:
        """Take back all reservations of `ticket`."""
        for name in ticket.reserved:
            peer = self.peers.get(name)
            if peer and peer.reserved.pop(ticket.id, None):
                peer.send(Withdraw(ticket.id, ticket.attempt))
        ticket.reserved.clear()

    def start_again(self, ticket: Ticket) -> None:
        """Open the next attempt of a request that was not run."""
        holder = self.peers.get(ticket.holder)
        if holder:
            holder.granted.pop(ticket.id, None)
        ticket.holder = ''
        ticket.attempt += 1
        ticket.next_frame = 0

    def came_up(self, peer: Peer, link: Connection, hello: Hello) -> None:
        """A link to `peer` is ready; resume what it still holds for us."""
        is_same = hello.incarnation == peer.incarnation
        peer.link = link
        peer.incarnation = hello.incarnation
        peer.load.pulse = Pulse()
        peer.fire('came_up')
        for ticket in list(peer.granted.values()):
            if is_same:
                peer.send(Resume(ticket.id, ticket.attempt, ticket.next_frame))
            else:
                self._lose(peer, ticket)
        _logger.info('link up', extra={'agent': peer.name, 'resumed': is_same})

    def went_down(self, peer: Peer) -> None:
        """The link to `peer` ended; its reservations count as withdrawn."""
        peer.link = None
        peer.down_since_ms = self._clock.now()
        peer.fire('went_down')
        reserved = list(peer.reserved.values())
        peer.reserved.clear()
        for ticket in reserved:
            ticket.reserved.discard(peer.name)
            ticket.mailbox.put_nowait(ReservationDeclined(peer.name))
        _logger.info('link down', extra={'agent': peer.name})

    def remove(self, peer: Peer) -> None:
        """The platform has taken the VM of `peer` off its list."""
        self.peers.pop(peer.name, None)
        for ticket in list(peer.granted.values()):
            self._lose(peer, ticket)

    def take(self, peer: Peer, message: Message) -> None:
        """Act on a message from `peer`."""
        taker = self._takers.get(type(message))
        if taker:
            taker(peer, message)
        else:
            self._drop(message)

    def _take_pulse(self, peer: Peer, pulse: Pulse) -> None:
        peer.load.pulse = pulse
        peer.load.reserved_since = 0
        if pulse.leaving and peer.state is not PeerState.leaving:
            peer.fire('said_leaving')
            _logger.info('agent leaves', extra={'agent': peer.name})
        elif peer.state is PeerState.silent:
            peer.fire('spoke_again')

    def _take_ask(self, peer: Peer, ask: Ask) -> None:
        ticket = self._tickets.get(ask.id)
        if not self._may_grant(peer, ticket, ask):
            peer.send(Deny(ask.id, ask.attempt))
            return
        assert ticket is not None
        self._promises.check(
            Rule.single_grant, not ticket.holder, step='grant', peer=peer.name
        )
        ticket.holder = peer.name
        self._room.leave(ticket)
        peer.reserved.pop(ticket.id, None)
        ticket.reserved.discard(peer.name)
        peer.granted[ticket.id] = ticket
        work = ticket.work
        peer.send(
            Grant(
                ticket.id,
                ticket.attempt,
                remaining_ms=work.deadline_ms - self._clock.now(),
                method=work.method,
                path=work.path,
                headers=work.headers,
                body=work.body,
                repeatable=work.is_idempotent,
                claim_key=work.claim_key,
            )
        )
        self.withdraw(ticket)
        ticket.mailbox.put_nowait(GrantAccepted(peer.name))

    def _may_grant(self, peer: Peer, ticket: Ticket | None, ask: Ask) -> bool:
        if ticket is None or not ticket.is_waiting:
            return False
        if ask.attempt != ticket.attempt or peer.name not in ticket.reserved:
            return False
        return self._clock.now() < ticket.work.deadline_ms

    def _take_turn_away(self, peer: Peer, answer: TurnAway) -> None:
        ticket = peer.reserved.get(answer.id)
        if ticket is None or ticket.attempt != answer.attempt:
            self._drop(answer)
            return
        peer.reserved.pop(answer.id)
        ticket.reserved.discard(peer.name)
        turned = ReservationDeclined(peer.name, peer.incarnation, answer)
        ticket.mailbox.put_nowait(turned)

    def _take_answer(self, peer: Peer, message: About) -> None:
        ticket = peer.granted.get(message.id)
        if ticket is None or ticket.attempt != message.attempt:
            self._drop(message)
            if isinstance(message, Finish):
                peer.send(Received(message.id, message.attempt))
            return
        if isinstance(message, Finish):
            peer.granted.pop(ticket.id)
            peer.send(Received(ticket.id, ticket.attempt))
        ticket.mailbox.put_nowait(message)

    def _lose(self, peer: Peer, ticket: Ticket) -> None:
        peer.granted.pop(ticket.id, None)
        ticket.mailbox.put_nowait(AgentLost(peer.name))

    def _drop(self, message: Message) -> None:
        kind = type(message).__name__.lower()
        self._metrics.dropped.labels(kind).inc()
