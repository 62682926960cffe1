"""Checks whether servers whose connections have ended still listen."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from seampond.forwarding.backends import Backends
from seampond.forwarding.connection import Connection
from seampond.forwarding.response_head import ExchangeError
from seampond.forwarding.server import Server

_logger = logging.getLogger(__name__)


class ServerChecks:
    """Connects to servers that may have crashed.

    Explanation
    -----------
    A server that resets the only connection of a gateway looks like one that
    has crashed, but a crashed server refuses connections.

    Parameters
    ----------
    connect : Callable[[Server], Awaitable[Connection]]
        Opens a connection to a server.
    is_unclear : Callable[[Server], bool]
        Returns whether a run has just ended with a connection to a server.
    on_refused : Callable[[Server], None]
        Called with a server that refuses connections.
    count_check : Callable[[str], None]
        Counts checks by what they have shown.

    """

    def __init__(
        self,
        backends: Backends,
        connect: Callable[[Server], Awaitable[Connection]],
        is_unclear: Callable[[Server], bool],
        on_refused: Callable[[Server], None],
        count_check: Callable[[str], None],
    ) -> None:
        """Start without checks."""
        self._backends = backends
        self._connect = connect
        self._is_unclear = is_unclear
        self._on_refused = on_refused
        self._count_check = count_check
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def request(self, server: Server) -> None:
        """Check a server unless that is not needed, or is under way."""
        backend = self._backends.get(server.id)
        if backend is None or backend.open_connections:
            return
        incarnation = server.incarnation
        is_checked = incarnation in self._tasks
        if is_checked or not self._is_unclear(server):
            return
        task = asyncio.create_task(self._check(server))
        self._tasks[incarnation] = task
        task.add_done_callback(lambda done: self._tasks.pop(incarnation))

    async def _check(self, server: Server) -> None:
        try:
            connection = await self._connect(server)
        except ExchangeError as error:
            self._count_check('refused' if error.is_lost else 'silent')
            _logger.info(
                'server does not accept connections',
                extra={'server': server.id, 'reason': error.message},
            )
            if error.is_lost:
                self._on_refused(server)
        else:
            self._count_check('accepted')
            connection.close()
