"""HTTP protocol for the connections of callers."""

from collections.abc import Callable
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.caller_connection import (
    READ_AHEAD_BYTES,
    CallerConnection,
    CallerContext,
    make_no_memory_refusal,
)
from seampond.forwarding.message_splitter import MessageSplitter
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.timer import Timer
from seampond.forwarding.unframed_answers import send_unframed

TARGET_KEY = 'seampond.target'
ON_DISCONNECT_KEY = 'seampond.watch'
_CHUNKING_VERSION = '1.1'
_CONTENT_LENGTH = b'content-length'
_BODY_HEADERS = (_CONTENT_LENGTH, b'transfer-encoding')
# Filled for one connection at a time, which copies the bytes.
_RECEIVED = memoryview(bytearray(READ_AHEAD_BYTES))


class CallerProtocol(CallerConnection):
    """Parses the requests of a caller's connection.

    Explanation
    -----------
    Adds what ASGI lacks: the raw target of a request, a callback on
    disconnection, and limits that change with the configuration.  A request
    is parsed once the one before it has been answered.
    """

    def __init__(
        self, context: CallerContext, *args: Any, **kwargs: Any
    ) -> None:
        """Initialize the protocol."""
        super().__init__(context, *args, **kwargs)
        self._splitter = MessageSplitter()
        self._head_timer = Timer(self._end_slow_head)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes up to the end of a request."""
        if self._is_discarding:
            self._discard(nbytes)
            return
        self._unparsed += _RECEIVED[:nbytes]
        self._parse()

    def on_message_begin(self) -> None:
        """Record the start of a request."""
        super().on_message_begin()
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are only counted."""
        self._size.add_field(name, value)
        if not self._size.head_bytes:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the head, then pass it to the application."""
        self._size.check(self._context.get_limits())
        self._expect_body()
        self._size.end_head()
        if not self._make_room():
            raise make_no_memory_refusal()
        self._head_timer.stop()
        self._on_disconnect = None
        self.scope['extensions'] = {
            TARGET_KEY: self.url,  # type: ignore[dict-item]
            ON_DISCONNECT_KEY: self._set_callback,  # type: ignore[dict-item]
        }
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._size.add_content(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        super().on_message_complete()
        self._is_in_message = False
        if self._is_answering:
            self._set_waiting(is_waiting=False)

    def on_response_complete(self) -> None:
        """Set the configured idle time-out and parse the next request."""
        idle_timeout_ms = self._context.get_limits().idle_timeout_ms
        self.timeout_keep_alive = -(-idle_timeout_ms // MS_PER_SECOND)
        super().on_response_complete()
        self._set_waiting(is_waiting=True)
        if self.transport.is_closing():
            return
        if self._is_in_message:
            # The rest of the request is not needed.
            self._discard_input()
            return
        self._forget_request()
        self._context.connections.update(self)
        if self._unparsed:
            self._parse()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting for a head."""
        super().connection_lost(exc)
        self._head_timer.stop()

    @property
    def _may_parse(self) -> bool:
        """Whether the next bytes do not follow an unanswered request."""
        if self._is_discarding or self.transport.is_closing():
            return False
        return self._is_in_message or not self._is_answering

    def _parse(self) -> None:
        """Parse what was received, up to the end of a request."""
        start = 0
        while start < len(self._unparsed) and self._may_parse:
            self._unset_keepalive_if_required()
            end = self._splitter.find_end(self._unparsed, start)
            self._parse_piece(bytes(self._unparsed[start:end]))
            start = end
        self._unparsed = self._unparsed[start:]
        if len(self._unparsed) >= READ_AHEAD_BYTES:
            self.flow.pause_reading()
        elif not self._is_in_message:
            # Shows when the caller disconnects.
            self.flow.resume_reading()
        if self._is_discarding or self.transport.is_closing():
            self._head_timer.stop()
            return
        is_head_begun = self._size.received_bytes and not self._size.head_bytes
        if is_head_begun and not self._head_timer.is_running:
            limits = self._context.get_limits()
            self._head_timer.start(limits.header_timeout_ms)
        if not self._make_room() and self.freeable_bytes:
            self.free()

    def _parse_piece(self, piece: bytes) -> None:
        self._size.received_bytes += len(piece)
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken: the next request follows.
            return
        except httptools.HttpParserError as error:
            self._refuse(_find_refusal(error))
            return
        try:
            self._size.check(self._context.get_limits())
        except Refusal as refusal:
            self._refuse(refusal)

    def _expect_body(self) -> None:
        """Tell the splitter the length of the body, if it is stated.

        Raises
        ------
        Refusal
            If the body is too large, or if the request asks for another
            protocol, which the parser would take the body for.

        """
        body_headers = {
            name: text for name, text in self.headers if name in _BODY_HEADERS
        }
        if body_headers and self.parser.should_upgrade():
            raise Refusal(Cause.malformed, step='read')
        length = int(body_headers.get(_CONTENT_LENGTH, 0))
        if length > self._context.get_limits().body_bytes:
            raise Refusal(Cause.body_too_large, step='read')
        self._splitter.expect_body(length)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        if cycle.scope['http_version'] != _CHUNKING_VERSION:
            app = send_unframed(app, cycle)
        super()._start_asgi_task(cycle, app)

    def _set_callback(self, callback: Callable[..., object]) -> None:
        self._on_disconnect = callback

    def _end_slow_head(self) -> None:
        """Answer 408 to a head that is not complete in time."""
        if self._is_in_message:
            self._refuse(Refusal(Cause.header_too_slow, step='read'))
        else:
            # Nothing but empty lines has arrived.
            self.transport.close()


def _find_refusal(error: httptools.HttpParserError) -> Refusal:
    """Return the refusal that a callback raised, or that of other bytes."""
    if isinstance(error.__context__, Refusal):
        return error.__context__
    return Refusal(Cause.malformed, step='read')
