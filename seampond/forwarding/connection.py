"""HTTP/1.1 client connections to servers."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import httptools

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.answer_memory import (
    AnswerBuffer,
    AnswerMemory,
    make_unlimited_memory,
)
from seampond.forwarding.response_head import (
    AnswerEnd,
    AnswerSizeError,
    ConnectTimeoutError,
    ExchangeError,
    ResponseHead,
)

_HIGH_WATER_BYTES = 262_144
_MAX_BYTES_WITHOUT_BODY = 65_536
_FIELDS_MAX = 1000
_VERSIONS = ('1.0', '1.1')
_FIRST_STATUS = 100
_LAST_STATUS = 599
_FIRST_FINAL_STATUS = 200
_TCP_USER_TIMEOUT_MS = 3000
_CONNECT_TIMEOUT_MS = 300
_CARRIED_IDS = 16


def _do_nothing() -> None:
    """Ignore the end of a connection."""


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Explanation
    -----------
    HTTP client libraries resend some requests by themselves and may match an
    answer to the wrong request.  This class does neither: it sends each
    request once and checks the request id of the answer.

    Parameters
    ----------
    id_header : bytes
        Lower-case name of the header in which answers repeat the request id;
        empty if they do not.
    memory : AnswerMemory
        Counts what the connection holds of its answer.

    Attributes
    ----------
    held : AnswerBuffer
        What it and its reader hold of the current answer.
    received_bytes : int
        Number of bytes received of the body of the current answer.
    connected_ms : int
        When the connection was made.
    received_ms : int
        When data was last received.
    ended_ms : int
        When the end of the connection arrived, 0 for not yet.
    is_paused : bool
        Whether reading pauses, which hides the end of the connection.
    ends_at_eof : bool
        Whether the current answer ends with the connection.
    carried_ids : deque[bytes]
        Ids of its latest requests.  A late answer to one of them could not be
        told from the answer to another request with this id.
    on_lost : Callable[[], None]
        Called when the connection has ended, unless an answer without a
        length has ended with it.

    """

    _parser: httptools.HttpResponseParser
    _head: ResponseHead
    _parsed_head: ResponseHead
    _has_head: bool
    _has_body: bool
    _is_complete: bool
    _error: str
    _is_lost: bool
    _is_orderly: bool

    def __init__(
        self,
        peer: str,
        clock: Clock,
        id_header: bytes,
        memory: AnswerMemory | None = None,
    ) -> None:
        """Initialize an unconnected protocol."""
        self.peer = peer
        self.idle_until_ms = 0
        self.received_bytes = 0
        self.connected_ms = 0
        self.received_ms = 0
        self.ended_ms = 0
        self.is_paused = False
        self.ends_at_eof = False
        self.on_lost: Callable[[], None] = _do_nothing
        self.carried_ids: deque[bytes] = deque(maxlen=_CARRIED_IDS)
        self._clock = clock
        self.held = AnswerBuffer(
            peer, memory or make_unlimited_memory(clock), self.close
        )
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._request_id = b''
        self._is_connected = False
        self._is_broken = False
        self._waiter: asyncio.Future[None] | None = None
        self._reset()

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return self._is_connected and not self._is_broken

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self.is_open and self._clock.now() < self.idle_until_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._is_connected = True
        self.connected_ms = self._clock.now()
        tcp_socket = transport.get_extra_info('socket')
        with suppress(OSError):
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
            tcp_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _TCP_USER_TIMEOUT_MS,
            )

    def send(
        self, request_id: bytes, encoded: bytes, *, has_body: bool = True
    ) -> None:
        """Send a request; `has_body` says if the answer may have a body."""
        assert self._transport is not None
        self._reset()
        self._request_id = request_id
        self.carried_ids.append(request_id)
        self._has_body = has_body
        self._transport.write(encoded)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises
        ------
        ExchangeError
            If the connection failed first.

        """
        while not self._has_head:
            self.held.check('head')
            await self._wait_for_data('head')
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, None at its end.

        Raises
        ------
        ExchangeError
            If the answer was cut short.

        """
        self.held.check('body')
        while not self.held.received:
            if self._is_complete:
                return None
            await self._wait_for_data('body')
            self.held.check('body')
        chunk = self.held.take()
        if self.is_paused and self._transport:
            self._transport.resume_reading()
            self.is_paused = False
        return chunk

    async def read_body(
        self, max_bytes: int, idle_timeout_ms: int | None = None
    ) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        idle_timeout_ms : int or None
            Longest time between two chunks, None for no time-out.

        Raises
        ------
        ExchangeError
            If the answer was cut short.
        AnswerSizeError
            If the answer is longer than `max_bytes`.
        TimeoutError
            If no chunk arrived in time.

        """
        body = bytearray()
        seconds = (
            None if idle_timeout_ms is None else idle_timeout_ms / MS_PER_SECOND
        )
        if self._has_body:
            _check_size(self._head.content_length, max_bytes, self.peer)
        while True:
            async with asyncio.timeout(seconds):
                chunk = await self.read_chunk()
            if chunk is None:
                return bytes(body)
            body += chunk
            self.held.retain(len(body))
            _check_size(len(body), max_bytes, self.peer)

    def close(self) -> None:
        """Abort the connection, which cancels the request."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.abort()

    def finish(self, keep_alive_ms: int | None) -> bool:
        """End the exchange; return whether the connection can be reused.

        Parameters
        ----------
        keep_alive_ms : int or None
            How long the connection may stay idle, None to close it.

        """
        assert self._transport is not None
        is_intact = self.is_open
        # An early answer may leave a part of the request unsent.
        is_sent = self._transport.get_write_buffer_size() == 0
        is_closing = self._head.get(b'connection').lower() == b'close'
        is_reusable = (
            self._is_complete and is_intact and is_sent and not is_closing
        )
        self.held.clear()
        if not is_reusable or keep_alive_ms is None or keep_alive_ms <= 0:
            self.close()
            return False
        self._request_id = b''
        # An idle connection keeps nothing of its last answer.
        self._head = ResponseHead()
        self._parsed_head = self._head
        self.idle_until_ms = self._clock.now() + keep_alive_ms
        return True

    def data_received(self, payload: bytes) -> None:
        """Parse received bytes; close on bytes that belong to no request."""
        if not self._request_id:
            self.close()
            return
        self.received_ms = self._clock.now()
        body_bytes = self.received_bytes
        was_complete = self._is_complete
        try:
            self._parser.feed_data(payload)
        except httptools.HttpParserError as error:
            if self._has_body and self._head.may_have_body:
                # Bytes of no answer are the rest of a body whose length or
                # last chunk is wrong.
                self._is_complete = False
            self._fail(f'invalid HTTP response: {error}')
        except httptools.HttpParserUpgrade:
            self._fail('unexpected protocol upgrade')
        if self._is_complete or self.received_bytes > body_bytes:
            self.held.framing_bytes = 0
        else:
            self.held.framing_bytes += len(payload)
        # Heads of 1xx, header lines, trailers and extensions of chunks may go
        # on without end.
        if self.held.framing_bytes > _MAX_BYTES_WITHOUT_BODY:
            self._fail('too many bytes without any of a body')
            self.close()
        if was_complete:
            self.close()
        self.held.update()
        self._wake_reader()

    def eof_received(self) -> None:
        """Complete an answer that has no length."""
        self.ended_ms = self._clock.now()
        if self._has_head and self.ends_at_eof and not self._error:
            self._is_complete = True
        self._is_broken = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an incomplete answer."""
        self._is_connected = False
        if not self._is_complete:
            # Closing after an invalid answer is not a lost connection.
            self._is_lost = not self._error
            self._is_orderly = self._is_lost and exc is None
            self._fail(type(exc).__name__ if exc else 'closed')
        self._wake_reader()
        if not (self._is_complete and self.ends_at_eof):
            self.on_lost()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a head; an answer after the complete one is an error."""
        if self._is_complete:
            self._is_broken = True
        self._parsed_head = ResponseHead()
        self.held.clear_fields()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        self.held.count_field(name, text)
        if self.held.field_count > _FIELDS_MAX:
            self._fail('too many header lines')
            self.close()
            return
        self._parsed_head.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Accept the head if it is final and answers the request."""
        head = self._parsed_head
        head.status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            self._fail(f'invalid HTTP version {version}')
            return
        if not _FIRST_STATUS <= head.status <= _LAST_STATUS:
            # It is no interim answer, for which another one would follow.
            self._fail(f'invalid status {head.status}')
            return
        if head.status < _FIRST_FINAL_STATUS or self._has_head:
            return
        if self._id_header and not self._matches_request(head):
            return
        self._head = head
        self._has_head = True
        if not self._has_body:
            # The parser expects a body of the stated length: do not reuse.
            self._is_complete = True
            self._is_broken = True
        self.ends_at_eof = self._has_body and head.end is AnswerEnd.connection

    def on_body(self, payload: bytes) -> None:
        """Store a chunk of the body."""
        if not self._is_current_response:
            return
        self.held.received += payload
        self.received_bytes += len(payload)
        if len(self.held.received) > _HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()
            self.is_paused = True

    def on_message_complete(self) -> None:
        """Complete the answer if it is the current one."""
        if self._is_current_response and not self.ends_at_eof:
            self._is_complete = True

    @property
    def _is_current_response(self) -> bool:
        return (
            self._has_head
            and not self._is_complete
            and self._parsed_head is self._head
        )

    def _matches_request(self, head: ResponseHead) -> bool:
        answered_id = head.get(self._id_header)
        if not answered_id:
            self._fail('answer without a request id')
            return False
        if answered_id != self._request_id:
            # A late answer to an earlier request: skip it and do not reuse.
            self._is_broken = True
            return False
        return True

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._parsed_head = ResponseHead()
        self._has_head = False
        self._has_body = True
        self.ends_at_eof = False
        self._is_complete = False
        self._error = ''
        self._is_lost = False
        self._is_orderly = False
        self.received_bytes = 0
        self.held.clear()

    async def _wait_for_data(self, step: str) -> None:
        if self._error:
            raise ExchangeError(
                self._error,
                step=step,
                peer=self.peer,
                is_lost=self._is_lost,
                is_orderly=self._is_orderly,
            )
        if not self._is_connected:
            raise ExchangeError(
                'connection lost', step=step, peer=self.peer, is_lost=True
            )
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _fail(self, reason: str) -> None:
        self._is_broken = True
        if not self._is_complete:
            self._error = self._error or reason

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _check_size(size: int, max_bytes: int, peer: str) -> None:
    if size > max_bytes:
        raise AnswerSizeError(
            f'answer of {size} bytes or more', step='body', peer=peer
        )


async def open_connection(
    address: str,
    clock: Clock,
    id_header: bytes,
    timeout_ms: int = _CONNECT_TIMEOUT_MS,
    memory: AnswerMemory | None = None,
) -> Connection:
    """Open a connection to a server.

    Raises
    ------
    ExchangeError
        If the connection is refused or not made in time.

    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            _, connection = await loop.create_connection(
                lambda: Connection(address, clock, id_header, memory),
                host,
                int(port),
            )
    except TimeoutError as error:
        raise ConnectTimeoutError(
            type(error).__name__, step='connect', peer=address, was_sent=False
        ) from error
    except OSError as error:
        raise ExchangeError(
            type(error).__name__,
            step='connect',
            peer=address,
            was_sent=False,
            is_lost=isinstance(error, ConnectionRefusedError),
        ) from error
    return connection
