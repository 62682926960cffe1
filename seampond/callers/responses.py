"""Answers to callers: whole, streamed, or a typed refusal."""

import asyncio
import json
import logging
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from starlette.responses import JSONResponse, Response
from starlette.types import Receive, Scope, Send

from seampond.callers.admission import AdmissionContext
from seampond.callers.work_builders import REQUEST_ID_HEADER
from seampond.clock import MS_PER_SECOND
from seampond.links.messages import Frame, Head
from seampond.promises import Promises
from seampond.requests import Reason, RefusedError, RunStatus, Ticket, Work
from seampond.requests.refusals import REFUSAL_DETAILS
from seampond.routing.answer import run_request
from seampond.routing.place import Placement
from seampond.routing.retries import RetryBudget

_EVENT_STREAM = 'text/event-stream'
_logger = logging.getLogger(__name__)

AnswerParts = AsyncGenerator[Head | Frame, None]


@dataclass(frozen=True)
class ResponseContext:
    """What the HTTP border needs."""

    admission_context: AdmissionContext
    placement: Placement
    promises: Promises
    budget: RetryBudget

    def record_refusal(self, refusal: RefusedError) -> None:
        """Count a refusal by reason and run word."""
        self.placement.metrics.refusals.labels(
            refusal.reason.value, refusal.run.value
        ).inc()

    def record_outcome(self, work: Work, outcome: str) -> None:
        """Count how a request ended."""
        self.placement.metrics.requests.labels(str(work.tier), outcome).inc()


def make_error_content(
    refusal: RefusedError, request_id: str
) -> dict[str, Any]:
    """Give the JSON of a refusal."""
    return {
        'error': {
            'type': 'seampond_error',
            'reason': refusal.reason.value,
            'run': refusal.run.value,
            'message': refusal.message,
            'request_id': request_id,
        }
    }


def make_error_response(refusal: RefusedError, request_id: str) -> Response:
    """Give the HTTP answer of a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers['retry-after'] = str(seconds)
    return JSONResponse(
        make_error_content(refusal, request_id),
        status_code=REFUSAL_DETAILS[refusal.reason].status,
        headers=headers,
    )


def _error_event(refusal: RefusedError, request_id: str) -> bytes:
    content = json.dumps(make_error_content(refusal, request_id))
    return f'data: {content}\n\n'.encode()


@asynccontextmanager
async def _watched(receive: Receive, work: Work) -> AsyncIterator[None]:
    """Turn the caller's going away into a refusal of the body."""
    owner = asyncio.current_task()
    assert owner is not None
    gone = asyncio.Event()

    async def watch() -> None:
        message = await receive()
        while message['type'] != 'http.disconnect':
            message = await receive()
        gone.set()
        owner.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not gone.is_set():
            raise
        owner.uncancel()
        raise RefusedError(
            Reason.caller_gone, RunStatus.maybe, step='answer', peer=work.id
        ) from None
    finally:
        watcher.cancel()


@asynccontextmanager
async def _opened(
    context: ResponseContext, work: Work
) -> AsyncIterator[AnswerParts]:
    """Open a request, give its answer, close it whatever happens."""
    dispatcher = context.placement.dispatcher
    ticket = Ticket(work)
    dispatcher.open(ticket)
    context.budget.earn()
    answer = run_request(
        ticket, context.placement, context.promises, context.budget
    )
    try:
        async with aclosing(answer):
            yield answer
    finally:
        dispatcher.close(ticket)


def _is_stream(head: Head) -> bool:
    return any(
        header.name == 'content-type' and header.value.startswith(_EVENT_STREAM)
        for header in head.headers
    )


def _start(head: Head, work: Work) -> dict[str, Any]:
    headers = [
        (header.name.encode(), header.value.encode()) for header in head.headers
    ]
    headers.append((REQUEST_ID_HEADER.encode(), work.id.encode()))
    return {
        'type': 'http.response.start',
        'status': head.status,
        'headers': headers,
    }


def _body(payload: bytes, *, more: bool) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': payload, 'more_body': more}


class AnswerResponse(Response):
    """Serves one request in the task of its connection.

    Explanation
    -----------
    A whole answer is sent once it is complete, so that a failure is still
    a typed error; a stream is passed on as it comes, and one that fails
    ends with an error event and a broken connection, never a clean end.
    """

    def __init__(self, context: ResponseContext, work: Work) -> None:
        """Serve `work` when called."""
        self._context = context
        self._work = work
        self._has_started = False
        self.background = None
        self.status_code = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the request and send its answer."""
        context, work = self._context, self._work
        try:
            async with _watched(receive, work):
                await self._answer(send)
        except RefusedError as refusal:
            await self._refuse(refusal, scope, receive, send)
        except Exception as error:
            _logger.exception('request failed', extra={'request': work.id})
            internal = RefusedError(
                Reason.internal,
                RunStatus.maybe,
                step='answer',
                detail=type(error).__name__,
            )
            await self._refuse(internal, scope, receive, send)
        else:
            context.record_outcome(work, self._outcome())

    def _outcome(self) -> str:
        if self.status_code >= HTTPStatus.BAD_REQUEST:
            return 'failed'
        now_ms = self._context.placement.clock.now()
        return 'late' if now_ms > self._work.deadline_ms else 'in-time'

    async def _answer(self, send: Send) -> None:
        async with _opened(self._context, self._work) as answer:
            head = await anext(answer)
            assert isinstance(head, Head)
            self._note_first(head)
            if _is_stream(head):
                await self._send_stream(head, answer, send)
            else:
                await self._send_whole(head, answer, send)

    async def _send_stream(
        self, head: Head, answer: AnswerParts, send: Send
    ) -> None:
        self._has_started = True
        await send(_start(head, self._work))
        async for part in answer:
            assert isinstance(part, Frame)
            await send(_body(part.payload, more=True))
        await send(_body(b'', more=False))

    async def _send_whole(
        self, head: Head, answer: AnswerParts, send: Send
    ) -> None:
        parts = [
            part.payload async for part in answer if isinstance(part, Frame)
        ]
        self._has_started = True
        await send(_start(head, self._work))
        await send(_body(b''.join(parts), more=False))

    async def _refuse(
        self, refusal: RefusedError, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self._context.record_refusal(refusal)
        self._context.record_outcome(self._work, refusal.reason.value)
        if refusal.reason is Reason.caller_gone:
            return
        if self._has_started:
            # No closing chunk: the server cuts the connection.
            await send(_body(_error_event(refusal, self._work.id), more=True))
            return
        response = make_error_response(refusal, self._work.id)
        await response(scope, receive, send)

    def _note_first(self, head: Head) -> None:
        placement = self._context.placement
        waited_ms = placement.clock.now() - self._work.arrived_ms
        placement.metrics.first_byte.labels(str(self._work.tier)).observe(
            waited_ms / MS_PER_SECOND
        )
        self.status_code = head.status
