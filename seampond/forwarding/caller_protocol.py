"""HTTP protocol for the connections of callers."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.message_splitter import MessageSplitter
from seampond.forwarding.models import RequestLimits
from seampond.forwarding.unframed_answers import send_unframed

TARGET_KEY = 'seampond.target'
ON_DISCONNECT_KEY = 'seampond.watch'
_CHUNKING_VERSION = '1.1'
_CONTENT_LENGTH = b'content-length'
_READ_AHEAD_BYTES = 65_536
# Filled for one connection at a time, which copies the bytes.
_RECEIVED = memoryview(bytearray(_READ_AHEAD_BYTES))
_REQUEST_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'content-length: 0\r\n'
    b'connection: close\r\n\r\n'
)


class _LimitedFlow(FlowControl):
    """Does not read on while enough unparsed bytes are held."""

    def __init__(
        self, transport: asyncio.Transport, unparsed: Callable[[], int]
    ) -> None:
        super().__init__(transport)
        self._unparsed = unparsed

    def resume_reading(self) -> None:
        """Read on if there is room."""
        if self._unparsed() < _READ_AHEAD_BYTES:
            super().resume_reading()


class CallerProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """A caller's connection.

    Explanation
    -----------
    Adds what ASGI lacks: the raw target of a request, a callback on
    disconnection, and time-outs that change with the configuration.  A
    request is parsed once the one before it has been answered.

    Parameters
    ----------
    get_limits : Callable[[], RequestLimits]
        Returns the current time-outs.

    """

    def __init__(
        self, get_limits: Callable[[], RequestLimits], *args: Any, **kwargs: Any
    ) -> None:
        """Initialize the protocol."""
        super().__init__(*args, **kwargs)
        self._get_limits = get_limits
        self._on_disconnect: Callable[[], object] | None = None
        self._unparsed = bytearray()
        self._splitter = MessageSplitter()
        self._is_in_message = False
        self._is_reading_head = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the idle time-out of the new connection."""
        super().connection_made(transport)
        self.flow = _LimitedFlow(transport, lambda: len(self._unparsed))
        self.timeout_keep_alive_task = self.loop.call_later(
            self._get_limits().idle_timeout_ms / MS_PER_SECOND,
            self.timeout_keep_alive_handler,
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes up to the end of a request."""
        self._unparsed += _RECEIVED[:nbytes]
        self._parse()

    def on_message_begin(self) -> None:
        """Record the start of a head."""
        super().on_message_begin()
        self._is_in_message = True
        self._is_reading_head = True

    def on_headers_complete(self) -> None:
        """Pass the raw target and disconnect hook to the application."""
        self._is_reading_head = False
        self._stop_head_timer()
        size = dict(self.headers).get(_CONTENT_LENGTH, b'0')
        self._splitter.expect_body(int(size))
        self.scope['extensions'] = {
            TARGET_KEY: self.url,  # type: ignore[dict-item]
            ON_DISCONNECT_KEY: self._set_callback,  # type: ignore[dict-item]
        }
        # Copied because the trailers of a chunked body are appended later.
        self.scope['headers'] = list(self.headers)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        super().on_message_complete()
        self._is_in_message = False

    def on_response_complete(self) -> None:
        """Set the configured idle time-out and parse the next request."""
        idle_timeout_ms = self._get_limits().idle_timeout_ms
        self.timeout_keep_alive = -(-idle_timeout_ms // MS_PER_SECOND)
        super().on_response_complete()
        if self._unparsed:
            self._parse()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        super().connection_lost(exc)
        self._unparsed.clear()
        self._stop_head_timer()
        self._unset_keepalive_if_required()
        if self.cycle is not None and self.cycle.disconnected:
            if self._on_disconnect is not None:
                self._on_disconnect()

    @property
    def _may_parse(self) -> bool:
        """Whether the next bytes do not follow an unanswered request."""
        if self.transport.is_closing():
            return False
        return (
            self._is_in_message
            or self.cycle is None
            or self.cycle.response_complete
        )

    def _parse(self) -> None:
        """Parse what was received, up to the end of a request."""
        start = 0
        while start < len(self._unparsed) and self._may_parse:
            end = self._splitter.find_end(self._unparsed, start)
            # A request for another protocol gets an answer in this one.
            self.data_received(bytes(self._unparsed[start:end]))
            start = end
        self._unparsed = self._unparsed[start:]
        if len(self._unparsed) >= _READ_AHEAD_BYTES:
            self.flow.pause_reading()
        elif not self._is_in_message:
            # Shows when the caller disconnects.
            self.flow.resume_reading()
        if self._is_reading_head and self._head_timer is None:
            self._start_head_timer()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        if cycle.scope['http_version'] != _CHUNKING_VERSION:
            app = send_unframed(app, cycle)
        super()._start_asgi_task(cycle, app)

    def _set_callback(self, callback: Callable[[], object]) -> None:
        self._on_disconnect = callback

    def _start_head_timer(self) -> None:
        seconds = self._get_limits().header_timeout_ms / MS_PER_SECOND
        self._head_timer = self.loop.call_later(seconds, self._abort_slow_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _abort_slow_head(self) -> None:
        """Answer 408 to a head that is not complete in time."""
        self._head_timer = None
        self.transport.write(_REQUEST_TIMEOUT_RESPONSE)
        self.transport.close()
