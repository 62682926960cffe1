"""Send a request to one server and relay its answer."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from seampond.clock import Clock
from seampond.forwarding.backend import Backend, LoadReport
from seampond.forwarding.backends import Backends
from seampond.forwarding.connection import Connection
from seampond.forwarding.cost_model import (
    count_pending_tokens,
    estimate_first_byte_ms,
    record_cached,
)
from seampond.forwarding.event_order import is_later
from seampond.forwarding.events import Events
from seampond.forwarding.job import Job
from seampond.forwarding.models import HeaderNames
from seampond.forwarding.progress import (
    AttemptRecord,
    BufferedAnswer,
    Outcome,
    Progress,
)
from seampond.forwarding.request_encoding import encode_request
from seampond.forwarding.response_head import (
    Cut,
    ExchangeError,
    ResponseHead,
    parse_keep_alive_ms,
)
from seampond.forwarding.resumption import compute_resume_wait_ms
from seampond.forwarding.server_signals import parse_signals
from seampond.forwarding.stream_origins import (
    NO_ORIGINS,
    OriginSource,
    StreamOrigin,
)
from seampond.forwarding.survival import (
    compute_survival_wait_ms,
    has_survived,
)
from seampond.promises import Promises, Rule
from seampond.quarantine import format_fingerprint
from seampond.quarantine.quarantine import Quarantine

_BODY_MAX_BYTES = 1_048_576
_EVENT_MAX_BYTES = 524_288
# Each event has one, and no head: there it shows a head that was cut.
_EVENT_FIELD = b'data'
_ERRORS_BEFORE_PAUSE = 4
_LOAD_FIELD_COUNT = 3
_CHUNKS_PER_UPDATE = 4
_VERIFICATION_CHECK_MS = 20
_logger = logging.getLogger(__name__)


def _release_nothing() -> None:
    """Keep the slot until the attempt ends."""


@dataclass(slots=True)
class Attempt:
    """One send of a request to one server.

    Parameters
    ----------
    last_chunk_ms : int
        When the last chunk of a streamed answer arrived.
    release_slot : Callable[[], None]
        Releases the slot before the attempt ends.
    version : str
        Version of the server when the request was sent.
    record : AttemptRecord
        Measurements of the attempt for the log.

    """

    progress: Progress
    backend: Backend
    backends: Backends
    names: HeaderNames
    clock: Clock
    promises: Promises
    quarantine: Quarantine
    origins: OriginSource = NO_ORIGINS
    release_slot: Callable[[], None] = _release_nothing
    sent_ms: int = 0
    last_chunk_ms: int = 0
    version: str = ''
    record: AttemptRecord = field(init=False)

    async def run(self) -> Outcome:
        """Send the request, relay the answer and return the outcome."""
        backend, job = self.backend, self.progress.job
        now_ms = self.clock.now()
        pool = self.backends.pool_speed(job.pool)
        load = backend.load(now_ms)
        self.record = AttemptRecord(
            backend.server.id,
            load - 1,
            pool.slowdown(backend.speed),
            round(estimate_first_byte_ms(backend, job, pool, now_ms, load)),
            version=backend.server.version,
        )
        self.progress.attempt_records.append(self.record)
        backend.unanswered[job.request_id] = (
            now_ms,
            count_pending_tokens(backend, job),
        )
        try:
            with backend.run(
                job.fingerprint,
                is_suspect=job.crash_count > 0,
                is_trial=job.is_trial,
            ):
                outcome = await self._connect_and_send()
        finally:
            self._record_end(now_ms)
        # Has no effect if the answer has requested a new back-off.
        backend.signals.record_answer(self.sent_ms)
        self.record.outcome = outcome.value
        return outcome

    def _record_end(self, since_ms: int) -> None:
        """Record the end of the attempt, whether it succeeded or not."""
        self.record.duration_ms = self.clock.now() - since_ms
        self.backend.unanswered.pop(self.progress.job.request_id, None)
        self.progress.tried_servers.add(self.backend.server.id)

    async def _connect_and_send(self) -> Outcome:
        if not await self.quarantine.record_trial_server(
            self.progress.job, self.backend.server
        ):
            return Outcome.unreachable
        try:
            connection = await self.backends.acquire_connection(
                self.backend, self.progress.job.request_id
            )
        except ExchangeError as error:
            return self._record_failure(error)
        self.backend.record_connection(connection.connected_ms)
        if not self._may_send():
            # While connecting, the server may have started to drain, requested
            # a back-off, set a limit or changed its version, or the request may
            # have become suspect.
            self.backends.release_connection(self.backend, connection, None)
            return Outcome.unreachable
        keep_alive_ms: int | None = None
        try:
            self._send(connection)
            outcome = await self._relay(connection)
            keep_alive_ms = parse_keep_alive_ms(await connection.read_head())
        except ExchangeError as error:
            outcome = self._record_failure(error)
        except asyncio.CancelledError:
            self.quarantine.runs.record_abandoned(
                self.progress.job, self.backend.server, self.sent_ms
            )
            raise
        finally:
            # The rest of an event is not counted once the connection is free.
            self.progress.splitter.restart()
            self.backends.release_connection(
                self.backend, connection, keep_alive_ms
            )
        return outcome

    def _may_send(self) -> bool:
        now_ms = self.clock.now()
        job = self.progress.job
        may_send = self.backend.may_send(now_ms) and self._is_permitted(now_ms)
        is_allowed = self.quarantine.may_send(job) and self._has_origin()
        return may_send and is_allowed

    def _has_origin(self) -> bool:
        """Whether the server has the version that began the stream."""
        job = self.progress.job
        if job.is_resumed and job.origin is None:
            return False
        return job.may_run_on(self.backend.server)

    def _is_permitted(self, now_ms: int) -> bool:
        """Whether the server has no limit, or the request holds a permit."""
        permit = self.progress.job.permit
        if not self.backend.signals.limit.is_set:
            return True
        return permit is not None and permit.may_send(now_ms)

    def _send(self, connection: Connection) -> None:
        progress, job = self.progress, self.progress.job
        self._check_promises()
        job.last_event = progress.last_id
        progress.begin_run()
        self.sent_ms = self.clock.now()
        self.version = self.backend.server.version
        encoded = encode_request(
            job, self.names, self.backend.server.id, self.sent_ms
        )
        job.attempts += 1
        has_body = job.method != b'HEAD'
        connection.send(job.request_id, encoded, has_body=has_body)

    def _check_promises(self) -> None:
        """Check the promises that a send could break."""
        job, server = self.progress.job, self.backend.server
        now_ms = self.clock.now()
        for rule, holds in (
            (Rule.no_work_when_leaving, self.backend.may_serve(now_ms)),
            (
                Rule.no_work_in_rest,
                not self.backend.signals.is_backing_off(now_ms),
            ),
            (Rule.no_work_above_limit, self._is_permitted(now_ms)),
            (
                Rule.single_dispatch,
                job.route.may_repeat or not job.may_have_run,
            ),
            (Rule.bounded_attempts, job.attempts < job.route.attempts),
            (Rule.quarantine, self.quarantine.may_send(job)),
            (Rule.single_version, self._has_origin()),
        ):
            self.promises.check(rule, holds, step='send', peer=server.address)

    async def _relay(self, connection: Connection) -> Outcome:
        job = self.progress.job
        may_have_run_before = job.may_have_run
        # Only a rejection by the server can prove now that it has not run.
        job.may_have_run = True
        head = await connection.read_head()
        self.record.end = head.end.value
        self.quarantine.runs.record_response(
            self.backend.server, connection.connected_ms
        )
        self._record_load(head)
        # The server's row may report the same later: 12.7 s later in an outage
        # of the store, in which the server received eleven more requests.
        signals = parse_signals(head, self.names)
        self.backends.apply_signals(self.backend, signals, self.sent_ms)
        if self._is_rejection(head):
            job.may_have_run = may_have_run_before
            await connection.read_body(_BODY_MAX_BYTES)
            self._record_rejection(head)
            return Outcome.rejected
        is_success = head.status < HTTPStatus.BAD_REQUEST
        if is_success and not head.has(self.names.stamp):
            raise self._make_error('successful answer without a stamp header')
        outcome = Outcome.complete
        if job.is_stream and head.status == HTTPStatus.OK:
            if head.has(_EVENT_FIELD):
                raise self._make_error('event in the head of an answer')
            if not await self._may_relay_stream(connection):
                return Outcome.in_doubt
            await self._relay_stream(connection, head)
        else:
            outcome = await self._relay_whole(connection, head)
        self.quarantine.runs.record_success(
            job,
            self.backend.server,
            self.sent_ms,
            is_framed=not connection.ends_at_eof,
        )
        return outcome

    async def _relay_whole(
        self, connection: Connection, head: ResponseHead
    ) -> Outcome:
        body = await connection.read_body(_BODY_MAX_BYTES)
        await self._check_survival(connection, head)
        connection.held.check('body')
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.backend.record_failure(self.clock.now(), _ERRORS_BEFORE_PAUSE)
            self.progress.keep_fallback(
                BufferedAnswer(head, body, self.backend.server.address),
                self.backends.answer_memory,
            )
            return Outcome.failed
        sink = self.progress.sink
        if sink.has_started:
            raise self._make_error(
                f'status {head.status} in answer to a resumed stream'
            )
        self._record_first_byte()
        # From here on it counts as an answer that the caller has not read.
        connection.held.retain(0)
        await sink.start(head, len(body))
        await sink.send(body)
        await sink.finish()
        return Outcome.complete

    async def _may_relay_stream(self, connection: Connection) -> bool:
        """Wait until the server is known to have the version of the stream.

        Explanation
        -----------
        The events of a new stream need not wait: its origin follows from the
        server that brought them.
        """
        job = self.progress.job
        if job.origin is None:
            return True
        wait_ms = compute_resume_wait_ms(job.route)
        until_ms = min(job.deadline_ms, self.sent_ms + wait_ms)
        while not self.backend.is_verified(connection.connected_ms):
            if self.clock.now() >= until_ms or not self.backend.is_current:
                _log_unverified(job, self.backend)
                return False
            self.origins.request_proof(self.backend, connection.connected_ms)
            await self.clock.sleep(_VERIFICATION_CHECK_MS)
        return True

    async def _relay_stream(
        self, connection: Connection, head: ResponseHead
    ) -> None:
        progress, sink = self.progress, self.progress.sink
        chunk_count = 0
        while True:
            chunk = await connection.read_chunk()
            if chunk is None:
                break
            chunk_count += 1
            self.backend.confirm_process(
                connection.connected_ms, connection.received_ms
            )
            self._record_chunk(chunk_count)
            events = progress.splitter.feed(chunk)
            retained = progress.splitter.remaining_bytes
            connection.held.retain(retained + len(events.payload))
            if events.payload:
                await self._pass_on(events, connection, head)
                connection.held.retain(retained)
            if events.fault:
                raise self._make_error(events.fault, cut=Cut.not_event)
            if progress.splitter.remaining_bytes > _EVENT_MAX_BYTES:
                raise self._make_error('event too long')
        cut = _find_cut(progress, connection)
        if cut is not None:
            raise self._make_error(
                f'stream ended {cut.value}',
                is_lost=connection.ends_at_eof,
                is_orderly=connection.ends_at_eof,
                cut=cut,
            )
        await self._check_survival(connection, head)
        if not sink.has_started:
            await sink.start(head, None)
        await sink.finish()
        self._record_stream(chunk_count)

    async def _pass_on(
        self, events: Events, connection: Connection, head: ResponseHead
    ) -> None:
        """Pass on whole events.

        Raises
        ------
        ExchangeError
            If they do not follow the events before.

        """
        progress, sink = self.progress, self.progress.sink
        fault = progress.order.find_fault(events.ids)
        if fault:
            raise self._make_error(fault, cut=Cut.event_order)
        self.backend.record_success()
        # Before the caller can resume it at another gateway.
        self._record_origin(connection)
        if not sink.has_started:
            await sink.start(head, None)
        progress.job.has_streamed = True
        self.promises.check(
            Rule.event_order,
            is_later(events.ids, progress.passed_on),
            step='relay',
            peer=self.backend.server.address,
        )
        progress.record_events(events)
        await sink.send(events.payload)

    async def _check_survival(
        self, connection: Connection, head: ResponseHead
    ) -> None:
        """Check that a crash has not cut an answer without a length.

        Raises
        ------
        ExchangeError
            If the server has not survived its answer.

        """
        if not connection.ends_at_eof:
            return
        # The server is done with the request.
        self.release_slot()
        survived = await has_survived(
            self.backends,
            self.backend,
            self.clock,
            connection.ended_ms,
            compute_survival_wait_ms(self.progress.job, self.clock.now()),
            parse_keep_alive_ms(head),
        )
        if not survived:
            raise self._make_error(
                'server lost at the end of its answer',
                is_lost=True,
                cut=Cut.server_lost,
            )

    def _record_origin(self, connection: Connection) -> None:
        """Record where the stream began, unverified until that is certain."""
        job = self.progress.job
        if job.origin is not None or not job.route.may_resume:
            return
        origin = StreamOrigin(job.pool, self.version)
        if self.backend.is_verified(connection.connected_ms):
            job.origin = origin
            self.origins.record(job)
        elif not job.has_streamed:
            self.origins.record_unverified(
                job, origin, self.backend, connection.connected_ms
            )

    def _record_first_byte(self) -> None:
        """Update speed estimates from the time to the first byte."""
        job, backend = self.progress.job, self.backend
        backend.unanswered.pop(job.request_id, None)
        self.record.first_byte_ms = self.clock.now() - self.sent_ms
        if not job.is_stream:
            backend.record_success()
        backend.signals.record_answer(self.sent_ms)
        if job.is_stream:
            record_cached(backend, job)
            pool = self.backends.pool_speed(job.pool)
            expected_ms = self.record.expected_first_byte_ms / pool.ttfb_factor
            pool.record_first_event(self.record.first_byte_ms, expected_ms)
        else:
            backend.speed.record_service(self.record.first_byte_ms)
            self.backends.refresh_pool_speed(job.pool)

    def _record_chunk(self, chunk_count: int) -> None:
        """Update speed estimates from the gaps between chunks."""
        now_ms = self.clock.now()
        if chunk_count == 1:
            self._record_first_byte()
        else:
            pause_ms = now_ms - self.last_chunk_ms
            self.record.longest_gap_ms = max(
                self.record.longest_gap_ms, pause_ms
            )
        self.last_chunk_ms = now_ms
        if chunk_count >= _CHUNKS_PER_UPDATE:
            took_ms = now_ms - self.sent_ms - self.record.first_byte_ms
            self.record.mean_gap_ms = took_ms / (chunk_count - 1)
        if chunk_count % _CHUNKS_PER_UPDATE:
            return
        self.backend.speed.record_gap(self.record.mean_gap_ms)
        self.backends.refresh_pool_speed(self.progress.job.pool)

    def _record_stream(self, chunk_count: int) -> None:
        """Update speed estimates from a complete stream."""
        job = self.progress.job
        self.backend.speed.record_pause(self.record.longest_gap_ms)
        if job.attempts == 1:
            pool = self.backends.pool_speed(job.pool)
            pool.record_stream(job.prompt.answer_tokens, chunk_count)

    def _is_rejection(self, head: ResponseHead) -> bool:
        return head.status == HTTPStatus.MISDIRECTED_REQUEST or head.has(
            self.names.not_run
        )

    def _record_rejection(self, head: ResponseHead) -> None:
        now_ms = self.clock.now()
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self.backend.record_replacement(now_ms)
        else:
            self.backend.record_failure(now_ms, _ERRORS_BEFORE_PAUSE)

    def _record_load(self, head: ResponseHead) -> None:
        fields = head.get(self.names.load).split(b',')
        is_numeric = all(field.strip().isdigit() for field in fields)
        if len(fields) != _LOAD_FIELD_COUNT or not is_numeric:
            return
        running, waiting = int(fields[0]), int(fields[1])
        self.backend.report = LoadReport(
            running, waiting, self.backend.in_flight, self.clock.now()
        )

    def _record_lost_connection(self, error: ExchangeError) -> None:
        job, server = self.progress.job, self.backend.server
        now_ms = self.clock.now()
        self.backend.record_lost_connection(now_ms)
        if error.is_orderly:
            self.backend.closed_ms = now_ms
        if error.was_sent:
            self.quarantine.runs.record_lost(
                job,
                server,
                self.sent_ms,
                has_connections=self.backend.open_connections > 0,
            )
        else:
            self.backend.refused_ms = now_ms
            self.quarantine.runs.record_refused_connection(server)

    def _make_error(
        self,
        message: str,
        *,
        is_lost: bool = False,
        is_orderly: bool = False,
        cut: Cut | None = None,
    ) -> ExchangeError:
        return ExchangeError(
            message,
            step='answer',
            peer=self.backend.server.address,
            is_lost=is_lost,
            is_orderly=is_orderly,
            cut=cut,
        )

    def _record_failure(self, error: ExchangeError) -> Outcome:
        backend = self.backend
        self.record.cut = error.cut
        is_caller_id = error.cut is Cut.event_order and not (
            self.progress.passed_on
        )
        # The caller may have named an event that the stream does not have.
        if not is_caller_id:
            backend.record_failure(self.clock.now())
        if error.is_lost:
            self._record_lost_connection(error)
        _logger.warning(
            'attempt failed',
            extra={
                'request': self.progress.job.request_id.decode('latin-1'),
                'fingerprint': format_fingerprint(
                    self.progress.job.fingerprint
                ),
                'parts': list(
                    map(format_fingerprint, self.progress.job.part_fingerprints)
                ),
                'crashes': self.progress.job.crash_count,
                'server': backend.server.id,
                'address': backend.server.address,
                'step': error.step,
                'reason': error.message,
                'was_sent': error.was_sent,
                'in_flight': backend.in_flight,
                'open_connections': backend.open_connections,
                'failures': backend.consecutive_failures,
            },
        )
        return Outcome.in_doubt if error.was_sent else Outcome.unreachable


def _log_unverified(job: Job, backend: Backend) -> None:
    """Log that an answer is not passed on."""
    _logger.warning(
        'server process not verified',
        extra={
            'request': job.request_id.decode('latin-1'),
            'server': backend.server.id,
            'is_current': backend.is_current,
        },
    )


def _find_cut(progress: Progress, connection: Connection) -> Cut | None:
    """Return where a stream that has ended was cut, None if it may be whole.

    Explanation
    -----------
    A stream without a length that holds no event may have been cut.
    """
    if progress.splitter.remaining_bytes:
        return Cut.inside_event
    is_empty = not (progress.sink.has_started or progress.job.is_resumed)
    if is_empty and connection.ends_at_eof:
        return Cut.before_first_event
    return None
