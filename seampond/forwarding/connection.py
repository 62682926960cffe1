"""One connection to a server, and one request with its answer on it."""

import asyncio
import socket
from collections import deque
from contextlib import suppress

import httptools

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.response_head import ExchangeError, ResponseHead

_HIGH_WATER_BYTES = 262_144
_CONTINUE = 100
_FIRST_FINAL = 200
_NO_BODY = (204, 304)
_USER_TIMEOUT_MS = 3000


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Explanation
    -----------
    The caller's HTTP client library sends some requests again by itself,
    and cannot tell an answer that nobody waits for; both would break "at
    most once" and "its own answer".  So this is the parser of the web
    server's library on a plain connection.

    Parameters
    ----------
    id_header : bytes
        The header that every answer carries back, in lower case; empty where
        answers carry none.

    Attributes
    ----------
    received_bytes : int
        How much of the body of the last answer has come.

    """

    _parser: httptools.HttpResponseParser
    _head: ResponseHead
    _next: ResponseHead
    _has_head: bool
    _has_body: bool
    _ends_at_eof: bool
    _is_complete: bool
    _error: str
    _is_lost: bool
    _parts: 'deque[bytes]'
    _buffered: int

    def __init__(self, peer: str, clock: Clock, id_header: bytes) -> None:
        """Start unconnected."""
        self.peer = peer
        self.idle_until_ms = 0
        self.received_bytes = 0
        self._clock = clock
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._request_id = b''
        self._is_open = False
        self._is_broken = False
        self._waiter: asyncio.Future[None] | None = None
        self._reset()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on it now."""
        return (
            self._is_open
            and not self._is_broken
            and self._clock.now() < self.idle_until_ms
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; let the kernel find a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._is_open = True
        raw = transport.get_extra_info('socket')
        with suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )

    def send(
        self, request_id: bytes, packet: bytes, *, has_body: bool = True
    ) -> None:
        """Send one whole request; tell whether its answer has a body."""
        assert self._transport is not None
        self._reset()
        self._request_id = request_id
        self._has_body = has_body
        self._transport.write(packet)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer to the request that was sent.

        Raises
        ------
        ExchangeError
            If none came.

        """
        while not self._has_head:
            self._check('head')
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Wait for the next bytes of the body; None at its end.

        Raises
        ------
        ExchangeError
            If the answer was cut short.

        """
        while not self._parts:
            if self._is_complete:
                return None
            self._check('body')
            await self._wait()
        parts = b''.join(self._parts)
        self._parts.clear()
        if self._buffered > _HIGH_WATER_BYTES and self._transport:
            self._transport.resume_reading()
        self._buffered = 0
        return parts

    async def read_body(
        self, max_bytes: int, idle_timeout_ms: int | None = None
    ) -> bytes:
        """Wait for the whole body.

        Parameters
        ----------
        idle_timeout_ms : int or None
            How long nothing more of it may come, None for any time.

        Raises
        ------
        ExchangeError
            If the answer was cut short, or is longer than `max_bytes`.
        TimeoutError
            If it stopped coming.

        """
        parts: list[bytes] = []
        size = 0
        seconds = (
            None if idle_timeout_ms is None else idle_timeout_ms / MS_PER_SECOND
        )
        while True:
            async with asyncio.timeout(seconds):
                part = await self.read_chunk()
            if part is None:
                return b''.join(parts)
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise ExchangeError(
                    'answer too large', step='body', peer=self.peer
                )

    def close(self) -> None:
        """Drop the connection at once; the server hears a cancel."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.abort()

    def finish(self, keep_alive_ms: int | None) -> bool:
        """End the exchange; tell whether the connection may be used again.

        Parameters
        ----------
        keep_alive_ms : int or None
            How long it may rest, None for not at all.

        """
        assert self._transport is not None
        is_sound = self._is_open and not self._is_broken
        # What an early answer left unsent would be taken for a request.
        is_sent = self._transport.get_write_buffer_size() == 0
        is_last = self._head.get(b'connection').lower() == b'close'
        is_clean = self._is_complete and is_sound and is_sent and not is_last
        if not is_clean or keep_alive_ms is None or keep_alive_ms <= 0:
            self.close()
            return False
        self._request_id = b''
        self.idle_until_ms = self._clock.now() + keep_alive_ms
        return True

    def data_received(self, payload: bytes) -> None:
        """Parse what came; bytes that belong to no request end it."""
        if not self._request_id or (self._is_complete and payload):
            self.close()
            return
        try:
            self._parser.feed_data(payload)
        except httptools.HttpParserError as error:
            self._fail(f'no answer of the protocol: {error}')
        except httptools.HttpParserUpgrade:
            self._fail('an upgrade that nobody asked for')
        self._wake()

    def eof_received(self) -> None:
        """Take a clean end as the end of an answer without a length."""
        if self._has_head and self._ends_at_eof and not self._error:
            self._is_complete = True
        self._is_broken = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what has not ended."""
        self._is_open = False
        if not self._is_complete:
            # Bytes that are no answer end it too, and were seen before.
            self._is_lost = not self._error
            self._fail(type(exc).__name__ if exc else 'closed')
        self._wake()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer; a second one behind ours is a surplus."""
        if self._is_complete:
            self._is_broken = True
        self._next = ResponseHead()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header."""
        self._next.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Take the head if it is of our request and final."""
        head = self._next
        head.status = self._parser.get_status_code()
        if head.status < _FIRST_FINAL or self._has_head:
            return
        if self._id_header and not self._is_answer_to_ours(head):
            return
        self._head = head
        self._has_head = True
        if not self._has_body:
            # The parser waits for what the length tells; it is not used on.
            self._is_complete = True
            self._is_broken = True
        self._ends_at_eof = not (
            head.has(b'content-length')
            or head.has(b'transfer-encoding')
            or head.status in _NO_BODY
        )

    def on_body(self, payload: bytes) -> None:
        """Keep a part of our answer's body."""
        if not self._is_ours:
            return
        self._parts.append(payload)
        self.received_bytes += len(payload)
        self._buffered += len(payload)
        if self._buffered > _HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End our answer, if it is the one that ended."""
        if self._is_ours and not self._ends_at_eof:
            self._is_complete = True

    @property
    def _is_ours(self) -> bool:
        return (
            self._has_head
            and not self._is_complete
            and self._next is self._head
        )

    def _is_answer_to_ours(self, head: ResponseHead) -> bool:
        answered = head.get(self._id_header)
        if not answered:
            self._fail('an answer without a request id')
            return False
        if answered != self._request_id:
            # A late answer to somebody else: skip it, trust nothing after.
            self._is_broken = True
            return False
        return True

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._next = ResponseHead()
        self._has_head = False
        self._has_body = True
        self._ends_at_eof = False
        self._is_complete = False
        self._error = ''
        self._is_lost = False
        self._parts = deque()
        self._buffered = 0
        self.received_bytes = 0

    def _check(self, step: str) -> None:
        if self._error:
            raise ExchangeError(
                self._error, step=step, peer=self.peer, is_lost=self._is_lost
            )
        if not self._is_open:
            raise ExchangeError(
                'connection lost', step=step, peer=self.peer, is_lost=True
            )

    def _fail(self, reason: str) -> None:
        self._is_broken = True
        if not self._is_complete:
            self._error = self._error or reason

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def open_connection(
    address: str, clock: Clock, id_header: bytes, timeout_ms: int
) -> Connection:
    """Connect to a server.

    Raises
    ------
    ExchangeError
        If it does not answer in time; the request was surely not sent.

    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            _, connection = await loop.create_connection(
                lambda: Connection(address, clock, id_header), host, int(port)
            )
    except (OSError, TimeoutError) as error:
        raise ExchangeError(
            type(error).__name__,
            step='connect',
            peer=address,
            was_sent=False,
            is_lost=isinstance(error, ConnectionRefusedError),
        ) from error
    return connection
