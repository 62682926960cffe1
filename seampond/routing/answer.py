"""The answer to one request, frame by frame, checked as it passes."""

from collections.abc import AsyncGenerator

from seampond.links.messages import Finish, Frame, Head
from seampond.promises import Rule
from seampond.promises.rules import Promises
from seampond.requests import Reason, RefusedError, RunStatus, Ticket
from seampond.requests.refusals import RETRYABLE_REASONS, parse_reason
from seampond.requests.work import AgentLost, Event
from seampond.routing.place import Placement, next_event, place
from seampond.routing.retries import RetryBudget

_CHECK_MS = 500
_GRACE_MS = 30_000


def _check_holder(
    ticket: Ticket, placement: Placement, event: Event | None
) -> None:
    now = placement.clock.now()
    peer = placement.dispatcher.peers.get(ticket.holder)
    resume_ms = placement.settings.resume_ms
    is_lost = peer is None or isinstance(event, AgentLost)
    if peer and peer.link is None:
        is_lost = is_lost or now - peer.down_since_ms > resume_ms
    if is_lost:
        raise RefusedError(
            Reason.agent_lost,
            RunStatus.maybe,
            step='answer',
            peer=ticket.holder,
        )
    if now > ticket.work.deadline_ms + _GRACE_MS:
        raise RefusedError(
            Reason.deadline, RunStatus.maybe, step='answer', peer=ticket.holder
        )


def _is_next(ticket: Ticket, part: Head | Frame, placement: Placement) -> bool:
    """Whether the part is the next one; an old one is a repeat."""
    number = part.number if isinstance(part, Frame) else 0
    if number < ticket.next_frame:
        placement.metrics.dropped.labels('repeated-frame').inc()
        return False
    if number > ticket.next_frame:
        raise RefusedError(
            Reason.engine_short,
            RunStatus.maybe,
            step='answer',
            peer=ticket.holder,
            detail=f'frame {ticket.next_frame} is missing',
        )
    ticket.next_frame += 1
    return True


def _check_finish(ticket: Ticket, finish: Finish, promises: Promises) -> None:
    run = RunStatus(finish.run)
    if finish.reason:
        raise RefusedError(
            parse_reason(finish.reason), run, step='answer', peer=ticket.holder
        )
    # A clean end is only given for a whole answer.
    promises.check(
        Rule.whole_answer,
        finish.count == ticket.next_frame and finish.count > 0,
        step='finish',
        peer=ticket.holder,
    )


async def read_answer(
    ticket: Ticket, placement: Placement, promises: Promises
) -> AsyncGenerator[Head | Frame, None]:
    """Give the head and the frames of a granted request.

    Raises
    ------
    RefusedError
        If the answer ends short; `run` tells whether it may have run.

    """
    while True:
        until_ms = placement.clock.now() + _CHECK_MS
        event = await next_event(ticket, placement.clock, until_ms)
        if isinstance(event, Finish):
            _check_finish(ticket, event, promises)
            _count_prompt(event, placement)
            return
        if isinstance(event, Head | Frame):
            promises.check(
                Rule.own_answer,
                event.id == ticket.id,
                step='answer',
                peer=ticket.holder,
            )
            if _is_next(ticket, event, placement):
                yield event
        else:
            _check_holder(ticket, placement, event)


def _count_prompt(finish: Finish, placement: Placement) -> None:
    computed = finish.prompt_tokens - finish.cached_tokens
    counter = placement.metrics.prompt_tokens
    counter.labels('computed').inc(max(0, computed))
    counter.labels('reused').inc(finish.cached_tokens)


async def run_request(
    ticket: Ticket,
    placement: Placement,
    promises: Promises,
    budget: RetryBudget,
) -> AsyncGenerator[Head | Frame, None]:
    """Place a request and give its answer; try again what was not run.

    Explanation
    -----------
    Another attempt is made only on an agent's word that the request was
    not run, while budget, attempts and deadline allow it.

    Raises
    ------
    RefusedError
        When the request is given up.

    """
    while True:
        await place(ticket, placement)
        try:
            async for part in read_answer(ticket, placement, promises):
                yield part
        except RefusedError as refusal:
            _start_again_or_raise(ticket, placement, budget, refusal)
        else:
            return


def _start_again_or_raise(
    ticket: Ticket,
    placement: Placement,
    budget: RetryBudget,
    refusal: RefusedError,
) -> None:
    if (
        refusal.run is not RunStatus.never
        or refusal.reason not in RETRYABLE_REASONS
    ):
        raise refusal
    if ticket.attempt >= placement.settings.attempts_max:
        raise refusal
    reason = refusal.reason.value
    if not budget.take():
        raise RefusedError(
            Reason.retry_budget,
            RunStatus.never,
            step='retry',
            peer=ticket.holder,
            retry_after_ms=placement.rate.time_for(len(placement.room)),
            detail=f'after {reason}',
        ) from refusal
    placement.metrics.retries.labels(reason).inc()
    placement.dispatcher.start_again(ticket)
