"""The web server of a gateway: raw targets, slow callers, and leaves."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import RequestLimits

TARGET_KEY = 'seampond.target'
ON_DISCONNECT_KEY = 'seampond.watch'
_TOO_SLOW = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'content-length: 0\r\n'
    b'connection: close\r\n\r\n'
)


class CallerProtocol(HttpToolsProtocol):
    """A caller's connection.

    Explanation
    -----------
    What the interface to applications does not give: the target of a request
    byte for byte, word of a caller's leave without a task that waits for it,
    and bounds that change with the configuration.

    Parameters
    ----------
    get_limits : Callable[[], RequestLimits]
        Gives how long a caller may be silent, and how long a head may take.

    """

    def __init__(
        self, get_limits: Callable[[], RequestLimits], *args: Any, **kwargs: Any
    ) -> None:
        """Start with nobody to tell."""
        super().__init__(*args, **kwargs)
        self._get_limits = get_limits
        self._on_gone: Callable[[], object] | None = None
        self._is_in_head = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Close the connection if nothing comes."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self._get_limits().idle_timeout_ms / MS_PER_SECOND,
            self.timeout_keep_alive_handler,
        )

    def data_received(self, payload: bytes) -> None:
        """Give a head that has begun and not ended its time."""
        super().data_received(payload)
        if self._is_in_head and self._head_timer is None:
            self._start_head_timer()

    def on_message_begin(self) -> None:
        """Note that a head has begun."""
        super().on_message_begin()
        self._is_in_head = True

    def on_headers_complete(self) -> None:
        """Hand the raw target and the watch to the application."""
        self._is_in_head = False
        self._stop_head_timer()
        self.scope['extensions'] = {
            TARGET_KEY: self.url,  # type: ignore[dict-item]
            ON_DISCONNECT_KEY: self._watch,  # type: ignore[dict-item]
        }
        # Fields behind a chunked body are no headers of the request.
        self.scope['headers'] = list(self.headers)
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Let the connection rest as long as the configuration says."""
        idle_timeout_ms = self._get_limits().idle_timeout_ms
        self.timeout_keep_alive = -(-idle_timeout_ms // MS_PER_SECOND)
        super().on_response_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request of a caller that has left."""
        super().connection_lost(exc)
        self._stop_head_timer()
        self._unset_keepalive_if_required()
        if self.cycle is not None and self.cycle.disconnected:
            if self._on_gone is not None:
                self._on_gone()

    def _watch(self, on_gone: Callable[[], object]) -> None:
        self._on_gone = on_gone

    def _start_head_timer(self) -> None:
        seconds = self._get_limits().header_timeout_ms / MS_PER_SECOND
        self._head_timer = self.loop.call_later(seconds, self._refuse_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_head(self) -> None:
        """Refuse a request whose head did not end in time; it never ran."""
        self._head_timer = None
        if self.cycle is not None and not self.cycle.response_complete:
            # The answer to the request before it goes first.
            self._start_head_timer()
            return
        self.transport.write(_TOO_SLOW)
        self.transport.close()
