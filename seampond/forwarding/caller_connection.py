"""What one connection of a caller holds, and how it is closed."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.caller_connections import CallerConnections
from seampond.forwarding.models import RequestLimits
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.request_size import RequestSize
from seampond.forwarding.timer import Timer

READ_AHEAD_BYTES = 65_536
# A close with unread bytes would reset the connection, and the caller might
# not see the answer.
_DISCARD_BYTES = 1_048_576
_DISCARD_MS = 1000
_NO_MEMORY_RETRY_MS = 1000
_logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class CallerContext:
    """Dependencies of the connections of callers.

    Parameters
    ----------
    get_limits : Callable[[], RequestLimits]
        Returns the current limits.
    count_refusal : Callable[[str], None]
        Counts a request that is refused before it is complete, by its cause.
    count_closed : Callable[[], None]
        Counts a connection that is closed although its caller may want more.

    """

    connections: CallerConnections
    get_limits: Callable[[], RequestLimits]
    count_refusal: Callable[[str], None]
    count_closed: Callable[[], None]
    clock: Clock


class _LimitedFlow(FlowControl):
    """Does not read on while enough unparsed bytes are held."""

    def __init__(
        self, transport: asyncio.Transport, unparsed: Callable[[], int]
    ) -> None:
        super().__init__(transport)
        self._unparsed = unparsed

    def resume_reading(self) -> None:
        """Read on if there is room."""
        if self._unparsed() < READ_AHEAD_BYTES:
            super().resume_reading()


class CallerConnection(HttpToolsProtocol, asyncio.BufferedProtocol):
    """A caller's connection whose memory is counted and limited.

    Attributes
    ----------
    since_ms : int
        When it last changed between waiting for its caller and answering.

    """

    def __init__(
        self, context: CallerContext, *args: Any, **kwargs: Any
    ) -> None:
        """Initialize the protocol."""
        super().__init__(*args, **kwargs)
        self.since_ms = context.clock.now()
        self._context = context
        self._on_disconnect: Callable[..., object] | None = None
        self._unparsed = bytearray()
        self._size = RequestSize()
        self._is_waiting = True
        self._is_in_message = False
        self._left_to_discard: int | None = None
        self._unread_bytes = 0
        self._read_timer = Timer(self._abort_unless_read)
        self._discard_timer = Timer(self._abort)

    @property
    def held_bytes(self) -> int:
        """What is held for the caller: input and unread answers."""
        return (
            len(self._unparsed)
            + self._size.held_bytes
            + self.transport.get_write_buffer_size()
        )

    @property
    def freeable_bytes(self) -> int:
        """What can be given back; a request that may run is kept."""
        return self.held_bytes if self._is_waiting else len(self._unparsed)

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Count the connection and start its idle time-out."""
        super().connection_made(transport)
        self.flow = _LimitedFlow(transport, lambda: len(self._unparsed))
        # The protocol is told as soon as a caller does not read.
        transport.set_write_buffer_limits(0)
        if not self._context.connections.add(self):
            self.close_early()
            return
        self.timeout_keep_alive_task = self.loop.call_later(
            self._context.get_limits().idle_timeout_ms / MS_PER_SECOND,
            self.timeout_keep_alive_handler,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        super().connection_lost(exc)
        self._context.connections.remove(self)
        self._unparsed.clear()
        self._read_timer.stop()
        self._discard_timer.stop()
        self._unset_keepalive_if_required()
        if self.cycle is not None and self.cycle.disconnected:
            if self._on_disconnect is not None:
                self._on_disconnect()

    def pause_writing(self) -> None:
        """Wait for the caller to read, for the idle time at most."""
        super().pause_writing()
        self._set_waiting(is_waiting=True)
        self._start_read_timer()
        # Answers that have been unread for longer give way to this one.
        self._make_room()

    def resume_writing(self) -> None:
        """Continue the answer."""
        super().resume_writing()
        self._read_timer.stop()
        if self._is_answering and not self._is_in_message:
            self._set_waiting(is_waiting=False)
        self._context.connections.update(self)

    def free(self) -> None:
        """Give back memory; a request that has not run is refused."""
        if self._is_waiting:
            self._free_waiting()
            return
        self._unparsed.clear()
        self.flow.pause_reading()
        # What follows the cleared bytes is no request.
        self.cycle.keep_alive = False

    def close_early(self) -> None:
        """Close the connection, which waits for its caller."""
        self._context.count_closed()
        self._abort()

    @property
    def _is_discarding(self) -> bool:
        """Whether the input is not needed any more."""
        return self._left_to_discard is not None

    @property
    def _is_answering(self) -> bool:
        """Whether a request has not been answered."""
        return self.cycle is not None and not self.cycle.response_complete

    def _free_waiting(self) -> None:
        """End the request or answer that waits for its caller."""
        if self._is_discarding or self.transport.get_write_buffer_size():
            self.close_early()
        else:
            self._refuse(make_no_memory_refusal())

    def _refuse(self, refusal: Refusal) -> None:
        """Answer a request that is not complete, and read no other one."""
        self._context.count_refusal(refusal.cause.value)
        if self._is_answering:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            if self._on_disconnect is not None:
                self._on_disconnect(refusal.cause.value)
            if self.cycle.response_started:
                self._abort()
                return
        self.transport.write(_format_refusal(refusal))
        if refusal.cause is Cause.no_memory:
            # The caller is inside the limits and may send all of its body.
            limits = self._context.get_limits()
            self._discard_input(
                limits.body_bytes + _DISCARD_BYTES, limits.idle_timeout_ms
            )
        else:
            self._discard_input()

    def _discard_input(
        self, max_bytes: int = _DISCARD_BYTES, max_ms: int = _DISCARD_MS
    ) -> None:
        """Close once the caller has read the answer, or after a time."""
        self._left_to_discard = max_bytes
        self._unparsed.clear()
        self._forget_request()
        self.parser = None  # type: ignore[assignment]
        self._unset_keepalive_if_required()
        self.flow.resume_reading()
        self._discard_timer.start(max_ms)
        try:
            self.transport.write_eof()
        except OSError as error:
            _logger.debug('caller has gone', extra={'reason': str(error)})
            self._abort()
        self._set_waiting(is_waiting=True)
        self._context.connections.update(self)

    def _forget_request(self) -> None:
        """Give back what an idle connection would keep of its last request."""
        self._size = RequestSize()
        self._on_disconnect = None
        self.cycle = None  # type: ignore[assignment]
        self.scope = None  # type: ignore[assignment]
        self.headers = []
        self.url = b''

    def _discard(self, size: int) -> None:
        """Count input that is not needed."""
        self._left_to_discard = (self._left_to_discard or 0) - size
        if self._left_to_discard < 0:
            self._abort()

    def _make_room(self) -> bool:
        """Count what is held; return False if it is too much."""
        self._context.connections.update(self)
        return self._context.connections.make_room(self)

    def _set_waiting(self, *, is_waiting: bool) -> None:
        """Record whether the next step is up to the caller."""
        self.since_ms = self._context.clock.now()
        self._is_waiting = is_waiting
        self._context.connections.record_waiting(self, is_waiting=is_waiting)

    def _start_read_timer(self) -> None:
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._read_timer.start(self._context.get_limits().idle_timeout_ms)

    def _abort_unless_read(self) -> None:
        """Close the connection of a caller that has read nothing."""
        if self.transport.get_write_buffer_size() < self._unread_bytes:
            self._start_read_timer()
        else:
            self.close_early()

    def _abort(self) -> None:
        self.transport.abort()


def make_no_memory_refusal() -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    return Refusal(
        Cause.no_memory, step='read', retry_after_ms=_NO_MEMORY_RETRY_MS
    )


def _format_refusal(refusal: Refusal) -> bytes:
    """Return the answer to a request that has not reached the application."""
    status, text = refusal.status, refusal.cause.value
    lines = [
        f'HTTP/1.1 {status.value} {status.phrase}',
        'content-type: text/plain',
        f'content-length: {len(text)}',
        'connection: close',
    ]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / MS_PER_SECOND
        lines.append(f'retry-after: {seconds:.3f}')
    return '\r\n'.join((*lines, '', text)).encode()
