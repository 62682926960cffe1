"""HTTP responses to callers: complete, streamed or an error."""

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
    """The dependencies of the handling of requests."""

    admission_context: AdmissionContext
    placement: Placement
    promises: Promises
    budget: RetryBudget

    def record_refusal(self, refusal: RefusedError) -> None:
        """Count a refusal by reason and run status."""
        self.placement.metrics.refusals.labels(
            refusal.reason.value, refusal.run.value
        ).inc()

    def record_outcome(self, work: Work, outcome: str) -> None:
        """Count a finished request by tier and outcome."""
        self.placement.metrics.requests.labels(str(work.tier), outcome).inc()


def make_error_content(
    refusal: RefusedError, request_id: str
) -> dict[str, Any]:
    """Return the JSON object of a refusal."""
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
    """Return the HTTP response of a refusal."""
    headers = {REQUEST_ID_HEADER: request_id}
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers['retry-after'] = str(seconds)
    return JSONResponse(
        make_error_content(refusal, request_id),
        status_code=REFUSAL_DETAILS[refusal.reason].status,
        headers=headers,
    )


def _make_error_event(refusal: RefusedError, request_id: str) -> bytes:
    content = json.dumps(make_error_content(refusal, request_id))
    return f'data: {content}\n\n'.encode()


@asynccontextmanager
async def _watch_disconnect(
    receive: Receive, work: Work
) -> AsyncIterator[None]:
    """Cancel the body if the caller disconnects, and raise a refusal."""
    request_task = asyncio.current_task()
    assert request_task is not None
    has_disconnected = asyncio.Event()

    async def watch() -> None:
        message = await receive()
        while message['type'] != 'http.disconnect':
            message = await receive()
        has_disconnected.set()
        request_task.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not has_disconnected.is_set():
            raise
        request_task.uncancel()
        raise RefusedError(
            Reason.caller_gone, RunStatus.maybe, step='answer', peer=work.id
        ) from None
    finally:
        watcher.cancel()


@asynccontextmanager
async def _open_request(
    context: ResponseContext, work: Work
) -> AsyncIterator[AnswerParts]:
    """Register a request, yield its answer, and unregister it at exit."""
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


def _make_start_message(head: Head, work: Work) -> dict[str, Any]:
    headers = [
        (header.name.encode(), header.value.encode()) for header in head.headers
    ]
    headers.append((REQUEST_ID_HEADER.encode(), work.id.encode()))
    return {
        'type': 'http.response.start',
        'status': head.status,
        'headers': headers,
    }


def _make_body_message(payload: bytes, *, more: bool) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': payload, 'more_body': more}


class AnswerResponse(Response):
    """Serve one request in the task of its connection.

    Explanation
    -----------
    An answer that is not a stream is buffered, so that a failure can still
    be reported by status.  A stream is relayed as it arrives; if it fails,
    it ends with an error event and an aborted connection.
    """

    def __init__(self, context: ResponseContext, work: Work) -> None:
        """Store the work, which is run when the response is called."""
        self._context = context
        self._work = work
        self._has_started = False
        self.background = None
        self.status_code = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the request and send its response."""
        context, work = self._context, self._work
        try:
            async with _watch_disconnect(receive, work):
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
        async with _open_request(self._context, self._work) as answer:
            head = await anext(answer)
            assert isinstance(head, Head)
            self._record_first_byte(head)
            if _is_stream(head):
                await self._send_stream(head, answer, send)
            else:
                await self._send_complete(head, answer, send)

    async def _send_stream(
        self, head: Head, answer: AnswerParts, send: Send
    ) -> None:
        self._has_started = True
        await send(_make_start_message(head, self._work))
        async for part in answer:
            assert isinstance(part, Frame)
            await send(_make_body_message(part.payload, more=True))
        await send(_make_body_message(b'', more=False))

    async def _send_complete(
        self, head: Head, answer: AnswerParts, send: Send
    ) -> None:
        parts = [
            part.payload async for part in answer if isinstance(part, Frame)
        ]
        self._has_started = True
        await send(_make_start_message(head, self._work))
        await send(_make_body_message(b''.join(parts), more=False))

    async def _refuse(
        self, refusal: RefusedError, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self._context.record_refusal(refusal)
        self._context.record_outcome(self._work, refusal.reason.value)
        if refusal.reason is Reason.caller_gone:
            return
        if self._has_started:
            # Without a final chunk, the server aborts the connection.
            await send(
                _make_body_message(
                    _make_error_event(refusal, self._work.id), more=True
                )
            )
            return
        response = make_error_response(refusal, self._work.id)
        await response(scope, receive, send)

    def _record_first_byte(self, head: Head) -> None:
        placement = self._context.placement
        waited_ms = placement.clock.now() - self._work.arrived_ms
        placement.metrics.first_byte.labels(str(self._work.tier)).observe(
            waited_ms / MS_PER_SECOND
        )
        self.status_code = head.status
