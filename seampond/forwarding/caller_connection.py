"""What one connection of a caller holds, and how it is closed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import RequestLimits
from seampond.forwarding.refusals import Refusal
from seampond.forwarding.request_size import RequestSize
from seampond.forwarding.timer import Timer

READ_AHEAD_BYTES = 65_536
# A close with unread bytes would reset the connection, and the caller might
# not see the answer.
_DISCARD_MAX_BYTES = 1_048_576
_DISCARD_MS = 1000


@dataclass(frozen=True)
class CallerContext:
    """Dependencies of the connections of callers.

    Parameters
    ----------
    get_limits : Callable[[], RequestLimits]
        Returns the current limits.
    count_refusal : Callable[[str], None]
        Counts a request that is refused before it is complete, by its cause.

    """

    get_limits: Callable[[], RequestLimits]
    count_refusal: Callable[[str], None]


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
    """A caller's connection and the input that is held for it."""

    def __init__(
        self, context: CallerContext, *args: Any, **kwargs: Any
    ) -> None:
        """Initialize the protocol."""
        super().__init__(*args, **kwargs)
        self._context = context
        self._on_disconnect: Callable[..., object] | None = None
        self._unparsed = bytearray()
        self._size = RequestSize()
        self._discarded_bytes: int | None = None
        self._discard_timer = Timer(self._abort)

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the idle time-out of the new connection."""
        super().connection_made(transport)
        self.flow = _LimitedFlow(transport, lambda: len(self._unparsed))
        self.timeout_keep_alive_task = self.loop.call_later(
            self._context.get_limits().idle_timeout_ms / MS_PER_SECOND,
            self.timeout_keep_alive_handler,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        super().connection_lost(exc)
        self._unparsed.clear()
        self._discard_timer.stop()
        self._unset_keepalive_if_required()
        if self.cycle is not None and self.cycle.disconnected:
            if self._on_disconnect is not None:
                self._on_disconnect()

    @property
    def _is_discarding(self) -> bool:
        """Whether the input is not needed any more."""
        return self._discarded_bytes is not None

    @property
    def _is_answering(self) -> bool:
        """Whether a request has not been answered."""
        return self.cycle is not None and not self.cycle.response_complete

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
        self._discard_input()

    def _discard_input(self) -> None:
        """Close once the caller has read the answer, or after a time."""
        self._discarded_bytes = 0
        self._unparsed.clear()
        self._forget_request()
        self.parser = None  # type: ignore[assignment]
        self._unset_keepalive_if_required()
        self.flow.resume_reading()
        self.transport.write_eof()
        self._discard_timer.start(_DISCARD_MS)

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
        self._discarded_bytes = (self._discarded_bytes or 0) + size
        if self._discarded_bytes > _DISCARD_MAX_BYTES:
            self._abort()

    def _abort(self) -> None:
        self.transport.abort()


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
