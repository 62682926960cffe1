"""Answers to callers that speak HTTP/1.0, which does not know chunks."""

import socket
import struct
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_CLOSE_IN_ORDER = struct.pack('ii', 0, 0)
_CONTENT_LENGTH = b'content-length'


class UnframedAnswer:
    """An answer whose end is that of its connection, if it has no length.

    Explanation
    -----------
    The system closes the connections of a process that ends.  While such an
    answer is open, that resets the connection, so that the caller does not
    take it for the end of the answer.

    Parameters
    ----------
    cycle : RequestResponseCycle
        The web server's state of the request.

    """

    def __init__(self, cycle: RequestResponseCycle) -> None:
        """Initialize an answer that has not begun."""
        self._cycle = cycle
        self._is_unframed = False

    async def send(self, message: Message) -> None:
        """Send a part of the answer."""
        if message['type'] == 'http.response.start':
            self._begin(message)
        elif self._is_unframed:
            await self._send_body(message.get('body', b''))
            if message.get('more_body', False):
                return
            await self._prepare_end()
            message = {'type': message['type']}
        await self._cycle.send(message)  # type: ignore[arg-type]

    def _begin(self, message: Message) -> None:
        names = [name.lower() for name, _ in message['headers']]
        if _CONTENT_LENGTH in names or self._cycle.disconnected:
            return
        self._is_unframed = True
        self._cycle.chunked_encoding = False
        self._cycle.keep_alive = False
        self._set_linger(_RESET_ON_CLOSE)

    async def _send_body(self, payload: bytes) -> None:
        if payload:
            self._cycle.expected_content_length = len(payload)
            message: Any = {
                'type': 'http.response.body',
                'body': payload,
                'more_body': True,
            }
            await self._cycle.send(message)

    async def _prepare_end(self) -> None:
        """Let the connection end in order once all bytes have left."""
        await self._cycle.flow.drain()
        if not self._cycle.disconnected:
            self._set_linger(_CLOSE_IN_ORDER)

    def _set_linger(self, option: bytes) -> None:
        tcp_socket = self._cycle.transport.get_extra_info('socket')
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def send_unframed(app: ASGIApp, cycle: RequestResponseCycle) -> ASGIApp:
    """Return an application whose answers have a length or no framing."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        await app(scope, receive, UnframedAnswer(cycle).send)

    return serve
