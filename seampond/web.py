"""Serve ASGI applications within a context manager."""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any, Literal

import uvicorn
from starlette.types import ASGIApp

from seampond.clock import MS_PER_SECOND
from seampond.errors import SettingsError

_BACKLOG = 2048
_POLL_SECONDS = 0.02
_KEEP_ALIVE_SECONDS = 75


class _Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield


@dataclass
class WebServer:
    """A running web server."""

    address: str
    _server: _Server
    _task: 'asyncio.Task[None]'

    async def drain(self, within_ms: int | None = None) -> None:
        """Accept no connections and wait for the open requests.

        Parameters
        ----------
        within_ms : int or None
            Longest time to wait, None for the time set at the start.

        """
        if within_ms is not None:
            seconds: Any = max(0, within_ms) / MS_PER_SECOND
            self._server.config.timeout_graceful_shutdown = seconds
        self._server.should_exit = True
        await self._task


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Raises
    ------
    SettingsError
        If the address cannot be bound.

    """
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise SettingsError(
            f'cannot listen on {address}: {error.strerror}; free the port or '
            'change the address',
            step='listen',
        ) from error
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


@asynccontextmanager
async def serve_http(
    app: ASGIApp,
    *addresses: str,
    drain_ms: int = 0,
    protocol: Callable[..., asyncio.Protocol] | Literal['h11'] = 'h11',
) -> AsyncIterator[WebServer]:
    """Serve `app` on all `addresses` until the context exits.

    Parameters
    ----------
    drain_ms : int
        How long open requests may take to finish on exit.
    protocol : Callable or str
        Factory of the HTTP protocol of a connection.

    """
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
    sockets = [bind(address) for address in addresses]
    # uvicorn declares an int but only passes it on as a time-out.
    seconds = max(1, drain_ms / MS_PER_SECOND)
    config = uvicorn.Config(
        app,
        loop='asyncio',
        http=protocol,  # type: ignore[arg-type]
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        date_header=False,
        server_header=False,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=seconds,  # type: ignore[arg-type]
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=sockets))
    while not server.started:
        await asyncio.sleep(_POLL_SECONDS)
    host, port = sockets[0].getsockname()[:2]
    running = WebServer(f'{host}:{port}', server, task)
    try:
        yield running
    finally:
        await running.drain()
