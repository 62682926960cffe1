"""The ASGI application of a gateway."""

import asyncio
import logging
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from starlette.types import Message, Receive, Scope, Send

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.admission import Admission, RequestHead
from seampond.forwarding.caller_protocol import ON_DISCONNECT_KEY, TARGET_KEY
from seampond.forwarding.forwarder import AbortedResponseError, Forwarder
from seampond.forwarding.job import Job
from seampond.forwarding.progress import Progress
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.response_head import ResponseHead
from seampond.metrics.gateway import GatewayMetrics
from seampond.promises import Promises, Rule
from seampond.quarantine import format_fingerprint

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'transfer-encoding',
        b'content-length',
        b'trailer',
        b'upgrade',
    )
)
_CLOSE_HEADER = (b'connection', b'close')
_DISCONNECT = 'http.disconnect'
_logger = logging.getLogger(__name__)


class CallerDisconnectedError(Exception):
    """The caller has disconnected."""


@dataclass
class GatewayApp:
    """The ASGI application that serves callers."""

    admission: Admission
    forwarder: Forwarder
    metrics: GatewayMetrics
    clock: Clock
    promises: Promises
    _open_tasks: set['asyncio.Task[Any]'] = field(default_factory=set)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        request_handler = RequestHandler(self, scope, send)
        self._open_tasks.add(request_handler.task)
        try:
            with suppress(CallerDisconnectedError, asyncio.CancelledError):
                await request_handler.run(receive)
        except Exception:
            # The web server answers 500 or aborts an answer that has begun.
            _logger.exception('request failed')
            raise
        finally:
            self._open_tasks.discard(request_handler.task)

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.forwarder.stop_limits.stop is not None

    @property
    def open_requests(self) -> int:
        """The number of open requests."""
        return len(self._open_tasks)

    async def wait_for_open_requests(self, until_ms: int) -> None:
        """Wait for the requests that are open now, until a time."""
        remaining_ms = max(0, until_ms - self.clock.now())
        if self._open_tasks:
            await asyncio.wait(
                set(self._open_tasks), timeout=remaining_ms / MS_PER_SECOND
            )


class RequestHandler:
    """Handles one request of a caller."""

    def __init__(self, app: GatewayApp, scope: Scope, send: Send) -> None:
        """Record the arrival of the request."""
        self.has_started = False
        self._app = app
        self._scope = scope
        self._send = send
        self._status = 0
        self._progress: Progress | None = None
        extensions = scope['extensions']
        self._arrival = RequestHead(
            scope['method'].encode(),
            extensions[TARGET_KEY],
            scope['headers'],
            app.clock.now(),
        )
        task = asyncio.current_task()
        assert task is not None
        self.task = task
        extensions[ON_DISCONNECT_KEY](task.cancel)

    async def run(self, receive: Receive) -> None:
        """Answer the request."""
        outcome = 'caller-gone'
        try:
            outcome = await self._serve(receive)
        except asyncio.CancelledError as error:
            # The connection tells why if it is not the caller's doing.
            outcome = str(error) or outcome
            self._refund_if_not_run()
            raise
        finally:
            self._log_outcome(outcome)
            # It refers to this handler: the body would stay until the next
            # garbage collection.
            self._progress = None

    async def start(self, head: ResponseHead, length: int | None) -> None:
        """Send the head of a server's answer."""
        headers = [
            (name, text)
            for name, text in head.headers
            if name not in _HOP_BY_HOP_HEADERS
        ]
        if self._arrival.method == b'HEAD':
            content_length = head.get(b'content-length')
        elif length is None:
            content_length = b''
        else:
            content_length = b'%d' % length
        if content_length:
            headers.append((b'content-length', content_length))
        await self._start(head.status, headers)

    async def send(self, payload: bytes) -> None:
        """Send a part of the body."""
        await self._send(_body_message(payload, more=True))

    async def finish(self) -> None:
        """Complete the answer."""
        await self._send(_body_message(b'', more=False))

    async def _serve(self, receive: Receive) -> str:
        """Serve the request and return the outcome for the log."""
        try:
            await self._forward(receive)
        except Refusal as refusal:
            self._refund_if_not_run()
            await self._refuse(refusal)
            return refusal.cause.value
        except AbortedResponseError as error:
            # Without the last chunk, the web server closes the connection.
            return f'cut: {error}'
        return 'answered'

    async def _forward(self, receive: Receive) -> None:
        app = self._app
        body = await self._read_body(receive)
        job = app.admission.admit(self._arrival, body)
        self._progress = Progress(job, self)
        app.forwarder.stop_limits.check(job)
        app.admission.check(job)
        await app.forwarder.forward(self._progress)

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        self.has_started = True
        self._status = status
        if self._app.is_stopping and _CLOSE_HEADER not in headers:
            headers.append(_CLOSE_HEADER)
        if self._progress is not None:
            route = self._progress.job.route.name
            waited_ms = self._app.clock.now() - self._arrival.arrived_ms
            self._app.metrics.first_byte.labels(route).observe(
                waited_ms / MS_PER_SECOND
            )
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    def _refund_if_not_run(self) -> None:
        if self._progress and not self._progress.job.may_have_run:
            self._app.admission.refund(self._progress.job)

    async def _read_body(self, receive: Receive) -> bytes:
        """Return the body, whose size the connection limits."""
        chunks: list[bytes] = []
        while True:
            message = await self._receive(receive)
            chunks.append(message.get('body', b''))
            if not message.get('more_body'):
                return b''.join(chunks)

    async def _receive(self, receive: Receive) -> Message:
        """Return the next message; refuse the request on a time-out."""
        idle_timeout_ms = self._app.admission.limits.idle_timeout_ms
        try:
            async with asyncio.timeout(idle_timeout_ms / MS_PER_SECOND):
                message = await receive()
        except TimeoutError as error:
            raise Refusal(Cause.body_too_slow, step='read') from error
        if message['type'] == _DISCONNECT:
            raise CallerDisconnectedError
        return message

    async def _refuse(self, refusal: Refusal) -> None:
        if refusal.guarantees_not_run and self._progress is not None:
            self._app.promises.check(
                Rule.true_not_run,
                not self._progress.job.may_have_run,
                step='refuse',
            )
        text = refusal.cause.value.encode()
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
        ]
        if refusal.retry_after_ms:
            seconds = refusal.retry_after_ms / MS_PER_SECOND
            headers.append((b'retry-after', b'%.3f' % seconds))
        if refusal.closes_connection:
            headers.append(_CLOSE_HEADER)
        self._app.metrics.refusals.labels(refusal.cause.value).inc()
        await self._start(refusal.status, headers)
        await self._send(_body_message(text, more=False))

    def _log_outcome(self, outcome: str) -> None:
        progress, app = self._progress, self._app
        route = progress.job.route.name if progress else ''
        attempt_records = progress.attempt_records if progress else []
        app.metrics.requests.labels(route, str(self._status)).inc()
        request = self._arrival.get(app.admission.id_header)
        level = logging.INFO
        if self._status >= HTTPStatus.BAD_REQUEST or outcome != 'answered':
            level = logging.WARNING
        _logger.log(
            level,
            'request over',
            extra={
                'request': request.decode('latin-1'),
                'outcome': outcome,
                'status': self._status,
                'ms': app.clock.now() - self._arrival.arrived_ms,
                'version': app.admission.version,
                'proof_age_ms': app.admission.proof_age_ms,
                'waiting': app.forwarder.waiting,
                'tried': [attempt.describe() for attempt in attempt_records],
            }
            | _describe_job(progress),
        )


def _describe_job(progress: Progress | None) -> dict[str, object]:
    """Return log fields of an admitted request."""
    if progress is None:
        return {}
    job = progress.job
    fields: dict[str, object] = {
        'route': job.route.name,
        'tenant': job.tenant.name if job.tenant else '',
        'pool': job.pool,
        'rank': job.priority,
        'prompt_tokens': job.prompt.tokens,
        'answer_tokens': job.prompt.answer_tokens,
        'end_ms': job.deadline_ms - job.arrived_ms,
        'fingerprint': format_fingerprint(job.fingerprint),
        'parts': list(map(format_fingerprint, job.part_fingerprints)),
        'crashes': job.crash_count,
        'retries': [source.value for source in progress.retry_sources],
    }
    return fields | _describe_resumption(job)


def _describe_resumption(job: Job) -> dict[str, object]:
    """Return log fields of a stream that was resumed."""
    if not job.last_event:
        return {}
    fields: dict[str, object] = {
        'resumes': job.resumes.decode('latin-1'),
        'last_event': job.last_event.decode('latin-1'),
    }
    if job.origin is not None:
        fields['began_at'] = job.origin.version
    if job.resumption is not None:
        fields['origin_from'] = job.resumption.source
        fields['origin_age_ms'] = job.resumption.age_ms
    return fields


def _body_message(payload: bytes, *, more: bool) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': payload, 'more_body': more}
