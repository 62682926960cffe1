"""Place one request: reserve, wait for the grant, give up in time."""

import asyncio
import random
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.metrics import EntryMetrics
from seampond.requests import Reason, RefusedError, RunStatus, Ticket
from seampond.requests.refusals import parse_reason
from seampond.requests.work import (
    Event,
    EvictedFromQueue,
    GrantAccepted,
    ReservationDeclined,
)
from seampond.routing.candidates import find_home, order_by_load
from seampond.routing.dispatcher import Dispatcher
from seampond.routing.peer import Peer
from seampond.routing.waiting import DepartureRate, WaitingRoom
from seampond.settings.models import RoutingSettings

_WIDEN_MS = 250
_TRY_AGAIN_MS = 500
_MAX_HELD = 8
_LOOK_AGAIN_MS = 50
_NO_AGENT = (Reason.no_server, Reason.leaving)
_NO_SERVER_RETRY_MS = 1000


# An agent's name and incarnation.
Life = tuple[str, str]


@dataclass(frozen=True)
class Placement:
    """What placing needs besides the request."""

    dispatcher: Dispatcher
    room: WaitingRoom
    rate: DepartureRate
    settings: RoutingSettings
    clock: Clock
    metrics: EntryMetrics
    hall: str
    rng: random.Random


@dataclass(slots=True)
class Search:
    """How far the search for one request has come."""

    started_ms: int
    spill_at_ms: int
    refused_by: set[Life]
    last_reason: Reason = Reason.no_server
    retry_after_ms: int = _NO_SERVER_RETRY_MS


async def next_event(
    ticket: Ticket, clock: Clock, until_ms: int
) -> Event | None:
    """Give the next event for `ticket`, None if none came by `until_ms`."""
    if not ticket.mailbox.empty():
        return ticket.mailbox.get_nowait()
    left_ms = until_ms - clock.now()
    if left_ms <= 0:
        return None
    try:
        async with asyncio.timeout(left_ms / MS_PER_SECOND):
            return await ticket.mailbox.get()
    except asyncio.TimeoutError:
        return None


def _free_peers(
    ticket: Ticket, search: Search, placement: Placement
) -> list[Peer]:
    return [
        peer
        for peer in placement.dispatcher.peers_of(ticket.work.pool)
        if peer.name not in ticket.reserved
        and (peer.name, peer.incarnation) not in search.refused_by
    ]


def _reserve_more(ticket: Ticket, search: Search, placement: Placement) -> None:
    if not ticket.is_waiting:
        return
    work = ticket.work
    peers = placement.dispatcher.peers_of(work.pool)
    home = find_home(work.prefix, peers)
    free = _free_peers(ticket, search, placement)
    if home in free:
        placement.dispatcher.reserve(ticket, home)
        free.remove(home)
    if ticket.reserved and placement.clock.now() < search.spill_at_ms:
        return
    wanted = placement.settings.reservations - len(ticket.reserved)
    if wanted <= 0 and len(ticket.reserved) < _MAX_HELD:
        wanted = 1
    ranked = order_by_load(free, placement.hall, placement.rng)
    for peer in ranked[: max(0, wanted)]:
        placement.dispatcher.reserve(ticket, peer)


def _note_event(search: Search, event: Event | None) -> None:
    if isinstance(event, EvictedFromQueue):
        search.retry_after_ms = event.retry_after_ms
    # Where the link ended the agent may come back, so it stays eligible.
    if not isinstance(event, ReservationDeclined) or event.answer is None:
        return
    search.refused_by.add((event.agent, event.incarnation))
    search.last_reason = parse_reason(event.answer.reason)
    search.retry_after_ms = event.answer.retry_after_ms


def _give_up(
    reason: Reason, search: Search, placement: Placement
) -> RefusedError:
    backlog_ms = placement.rate.time_for(len(placement.room))
    return RefusedError(
        reason,
        RunStatus.never,
        step='place',
        retry_after_ms=max(search.retry_after_ms, backlog_ms),
    )


def _begin(ticket: Ticket, placement: Placement) -> Search:
    settings = placement.settings
    saved_ms = ticket.work.prompt_tokens / settings.spill_tokens_per_ms
    wait_ms = min(settings.spill_max_ms, round(saved_ms))
    now = placement.clock.now()
    return Search(now, now + wait_ms, set())


def _pause_without_agents(
    ticket: Ticket, search: Search, placement: Placement
) -> int:
    """Give how long to wait when no agent holds a reservation.

    Raises
    ------
    RefusedError
        If waiting would not help.

    """
    waited_ms = placement.clock.now() - search.started_ms
    may_return = waited_ms < placement.settings.server_wait_ms
    if may_return and search.last_reason in _NO_AGENT:
        # An agent that is replaced is back within seconds.
        return _LOOK_AGAIN_MS
    if not ticket.work.may_wait:
        raise _give_up(search.last_reason, search, placement)
    # Every agent said no: work that may wait asks again a little later.
    search.refused_by.clear()
    return round(_TRY_AGAIN_MS * placement.rng.uniform(1, 2))


def _next_look(ticket: Ticket, search: Search, placement: Placement) -> int:
    """Give when to look again, unless something happens before."""
    now = placement.clock.now()
    if ticket.is_waiting and not ticket.reserved:
        until_ms = now + _pause_without_agents(ticket, search, placement)
    elif now < search.spill_at_ms:
        until_ms = search.spill_at_ms
    else:
        until_ms = now + _WIDEN_MS
    return min(until_ms, ticket.work.deadline_ms)


async def _search(ticket: Ticket, placement: Placement) -> str:
    search = _begin(ticket, placement)
    while True:
        _reserve_more(ticket, search, placement)
        until_ms = _next_look(ticket, search, placement)
        event = await next_event(ticket, placement.clock, until_ms)
        if isinstance(event, GrantAccepted):
            return event.agent
        _note_event(search, event)
        if isinstance(event, EvictedFromQueue):
            raise _give_up(Reason.shed, search, placement)
        is_late = placement.clock.now() >= ticket.work.deadline_ms
        if is_late and ticket.is_waiting:
            raise _give_up(Reason.deadline, search, placement)


def _enter_room(ticket: Ticket, placement: Placement) -> None:
    victims = placement.room.enter(ticket)
    retry_after_ms = placement.rate.time_for(len(placement.room))
    for victim in victims:
        if victim is ticket:
            raise RefusedError(
                Reason.shed,
                RunStatus.never,
                step='wait',
                retry_after_ms=retry_after_ms,
            )
        # From here on it can't be granted, whatever is on its way.
        placement.dispatcher.withdraw(victim)
        victim.is_finished = True
        victim.mailbox.put_nowait(EvictedFromQueue(retry_after_ms))


async def place(ticket: Ticket, placement: Placement) -> str:
    """Get the one grant for `ticket`.

    Explanation
    -----------
    Reserves first at the agent that should hold the prompt's prefix and
    spills to others after a wait worth no more than the prefill that the
    cache would save [1]_; then one more reservation now and again.

    Returns
    -------
    str
        The name of the agent that holds the grant.

    Raises
    ------
    RefusedError
        With `RunStatus.never`: no grant was given and none will be.

    References
    ----------
    .. [1] Zaharia et al.: Delay Scheduling, EuroSys 2010.

    """
    _enter_room(ticket, placement)
    placement.metrics.waiting.set(len(placement.room))
    try:
        agent = await _search(ticket, placement)
    finally:
        placement.room.leave(ticket)
        placement.metrics.waiting.set(len(placement.room))
    placement.rate.note()
    return agent
