"""JSON over HTTP to the platform, with each failure told apart."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import (
    AiosonicError,
    BaseTimeout,
    ConnectTimeout,
    HttpParsingError,
)
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from seampond.clock import MS_PER_SECOND
from seampond.errors import PlatformError, UnknownOutcomeError

PLATFORM_CONNECTIONS = 64
_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_LEFT_OPEN = (BaseTimeout, TimeoutError, asyncio.CancelledError)
_OLD_MAX = 4
_NO_TRANSPORT = (ConnectionRefusedError, ConnectTimeout)
_FAILURES = (AiosonicError, HttpParsingError, OSError, EOFError, ValueError)


@dataclass(frozen=True)
class Reply:
    """The status and the decoded JSON body of an answer."""

    status: int
    content: Any
    etag: str = ''


@dataclass(frozen=True)
class ServiceClient:
    """An HTTP client for one service of the platform."""

    url: str
    client: aiosonic.HTTPClient
    timeout_ms: int

    async def read(
        self, path: str, *, method: str = 'GET', **kwargs: Any
    ) -> Reply:
        """Send a request that changes nothing.

        Raises
        ------
        PlatformError
            If no good answer came.

        """
        try:
            reply = await self._send(path, method, kwargs)
        except _FAILURES as error:
            raise self._failure(PlatformError, path, error) from error
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise PlatformError(
                f'answered {reply.status}', step=path, peer=self.url
            )
        return reply

    async def write(self, path: str, *, method: str, **kwargs: Any) -> Reply:
        """Send a request that changes something.

        Raises
        ------
        UnknownOutcomeError
            If it may have taken effect.
        PlatformError
            If it surely has not.

        """
        try:
            reply = await self._send(path, method, kwargs)
        except _NO_TRANSPORT as refused:
            raise self._failure(PlatformError, path, refused) from refused
        except _FAILURES as error:
            raise self._failure(UnknownOutcomeError, path, error) from error
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformError('is down', step=path, peer=self.url)
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise UnknownOutcomeError(
                f'answered {reply.status}', step=path, peer=self.url
            )
        return reply

    async def _send(
        self, path: str, method: str, kwargs: dict[str, Any]
    ) -> Reply:
        seconds = self.timeout_ms / MS_PER_SECOND
        response = await self.client.request(
            f'{self.url}{path}',
            method=method,
            timeouts=Timeouts(
                sock_connect=seconds, sock_read=seconds, request_timeout=seconds
            ),
            **kwargs,
        )
        etag = response.headers.get('etag', '')
        if response.status_code in _WITHOUT_BODY:
            return Reply(response.status_code, None, etag)
        return Reply(response.status_code, await response.json(), etag)

    def _failure(
        self, kind: type[PlatformError], path: str, error: Exception
    ) -> PlatformError:
        return kind(
            f'no good answer: {type(error).__name__} {error}'.strip(),
            step=path,
            peer=self.url,
        )


class TimeoutSafeClient(aiosonic.HTTPClient):
    """An HTTP client that never gives a late answer to another call.

    Explanation
    -----------
    The library keeps a connection whose call has timed out, and takes its
    late answer for the next call's.  So after such a failure no later call
    uses the connections of before; calls that are under way go on.
    """

    connector: TCPConnector

    def __init__(self, make_connector: Callable[[], TCPConnector]) -> None:
        """Open the first connector."""
        super().__init__(make_connector())
        self._make_connector = make_connector
        self._old: list[TCPConnector] = []

    async def request(self, *args: Any, **kwargs: Any) -> aiosonic.HttpResponse:
        """Send a request."""
        connector = self.connector
        try:
            return await super().request(*args, **kwargs)
        except _LEFT_OPEN:
            if self.connector is connector:
                self.connector = self._make_connector()
                self._old.append(connector)
            if len(self._old) > _OLD_MAX:
                # Its calls have timed out by now.
                await self._old.pop(0).cleanup()
            raise

    async def aclose(self) -> None:
        """Close all connections."""
        for connector in (self.connector, *self._old):
            await connector.cleanup()


def make_client(
    connections: int, *, reuse_connections: bool = True
) -> TimeoutSafeClient:
    """Give an HTTP client; its owner closes it."""
    pool = PoolConfig(
        size=connections, max_conn_requests=None if reuse_connections else 0
    )
    return TimeoutSafeClient(
        lambda: TCPConnector(pool_configs={':default': pool})
    )


@asynccontextmanager
async def open_client(
    connections: int = PLATFORM_CONNECTIONS,
    *,
    reuse_connections: bool = True,
) -> AsyncIterator[aiosonic.HTTPClient]:
    """Give an HTTP client that is closed at the end.

    Parameters
    ----------
    connections : int
        How many calls may run at once, over all hosts; more wait.
    reuse_connections : bool
        Whether a connection serves more than one call.

    """
    client = make_client(connections, reuse_connections=reuse_connections)
    try:
        yield client
    finally:
        await client.aclose()
