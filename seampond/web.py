"""Serve a web application for the time of a `with`."""

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
    """A server that leaves the signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


@dataclass
class WebServer:
    """A running web server."""

    address: str
    _server: _Server
    _task: 'asyncio.Task[None]'

    async def drain(self, within_ms: int | None = None) -> None:
        """Take no new connection; return when what runs has finished.

        Parameters
        ----------
        within_ms : int or None
            How long that may take, None for what was set at the start.

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
        If the address can't be listened on.

    """
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, int(port)))
    except OSError as error:
        bound.close()
        raise SettingsError(
            f'cannot listen on {address}: {error.strerror}; free the port or '
            'change the address',
            step='listen',
        ) from error
    bound.listen(_BACKLOG)
    bound.setblocking(False)
    return bound


@asynccontextmanager
async def serve_http(
    app: ASGIApp,
    *addresses: str,
    drain_ms: int = 0,
    protocol: Callable[..., asyncio.Protocol] | Literal['h11'] = 'h11',
) -> AsyncIterator[WebServer]:
    """Serve `app` on all `addresses` until the end of the `with`.

    Parameters
    ----------
    drain_ms : int
        How long running requests may take to finish at the end.
    protocol : Callable or str
        Makes what speaks HTTP on a connection.

    """
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
    bound = [bind(address) for address in addresses]
    # A float serves as well: it is the time-out of a wait.
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
    task = asyncio.create_task(server.serve(sockets=bound))
    while not server.started:
        await asyncio.sleep(_POLL_SECONDS)
    host, port = bound[0].getsockname()[:2]
    running = WebServer(f'{host}:{port}', server, task)
    try:
        yield running
    finally:
        await running.drain()
