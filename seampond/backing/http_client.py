"""JSON over HTTP to the platform, with an error type for each outcome."""

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
_STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_INTERRUPTIONS = (BaseTimeout, TimeoutError, asyncio.CancelledError)
_MAX_RETIRED_CONNECTORS = 4
_CONNECT_ERRORS = (ConnectionRefusedError, ConnectTimeout)
_CALL_ERRORS = (AiosonicError, HttpParsingError, OSError, EOFError, ValueError)


@dataclass(frozen=True)
class Reply:
    """The status, decoded JSON body and entity tag of a response."""

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
        """Send a request that does not change the state of the service.

        Raises
        ------
        PlatformError
            If the call fails or the service responds with an error 5xx.

        """
        try:
            reply = await self._send(path, method, kwargs)
        except _CALL_ERRORS as error:
            raise self._make_error(PlatformError, path, error) from error
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise PlatformError(
                f'answered {reply.status}', step=path, peer=self.url
            )
        return reply

    async def write(self, path: str, *, method: str, **kwargs: Any) -> Reply:
        """Send a request that changes the state of the service.

        Raises
        ------
        UnknownOutcomeError
            If the change may have taken effect.
        PlatformError
            If the change has not taken effect.

        """
        try:
            reply = await self._send(path, method, kwargs)
        except _CONNECT_ERRORS as refused:
            raise self._make_error(PlatformError, path, refused) from refused
        except _CALL_ERRORS as error:
            raise self._make_error(UnknownOutcomeError, path, error) from error
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise PlatformError('service unavailable', step=path, peer=self.url)
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise UnknownOutcomeError(
                f'answered {reply.status}', step=path, peer=self.url
            )
        return reply

    async def _send(
        self, path: str, method: str, kwargs: dict[str, Any]
    ) -> Reply:
        timeout_s = self.timeout_ms / MS_PER_SECOND
        response = await self.client.request(
            f'{self.url}{path}',
            method=method,
            timeouts=Timeouts(
                sock_connect=timeout_s,
                sock_read=timeout_s,
                request_timeout=timeout_s,
            ),
            **kwargs,
        )
        etag = response.headers.get('etag', '')
        if response.status_code in _STATUSES_WITHOUT_BODY:
            return Reply(response.status_code, None, etag)
        return Reply(response.status_code, await response.json(), etag)

    def _make_error(
        self, error_type: type[PlatformError], path: str, error: Exception
    ) -> PlatformError:
        return error_type(
            f'call failed: {type(error).__name__} {error}'.strip(),
            step=path,
            peer=self.url,
        )


class TimeoutSafeClient(aiosonic.HTTPClient):
    """HTTP client that never returns a late response to another call.

    Explanation
    -----------
    The library reuses a connection whose call has timed out, and would
    return its late response to the next call.  After such a failure later
    calls use a new connector; calls in progress finish on the old one.
    """

    connector: TCPConnector

    def __init__(self, make_connector: Callable[[], TCPConnector]) -> None:
        """Open the first connector."""
        super().__init__(make_connector())
        self._make_connector = make_connector
        self._retired: list[TCPConnector] = []

    async def request(self, *args: Any, **kwargs: Any) -> aiosonic.HttpResponse:
        """Send a request; replace the connector if the call is interrupted."""
        connector = self.connector
        try:
            return await super().request(*args, **kwargs)
        except _INTERRUPTIONS:
            if self.connector is connector:
                self.connector = self._make_connector()
                self._retired.append(connector)
            if len(self._retired) > _MAX_RETIRED_CONNECTORS:
                # The calls of the oldest connector have timed out by now.
                await self._retired.pop(0).cleanup()
            raise

    async def aclose(self) -> None:
        """Close all connections."""
        for connector in (self.connector, *self._retired):
            await connector.cleanup()


def make_client(
    connections: int, *, reuse_connections: bool = True
) -> TimeoutSafeClient:
    """Return an HTTP client, which the caller must close."""
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
    """Open an HTTP client until the end of the `with`.

    Parameters
    ----------
    connections : int
        How many calls may run at once over all hosts; others wait.
    reuse_connections : bool
        Whether a connection may serve more than one call.

    """
    client = make_client(connections, reuse_connections=reuse_connections)
    try:
        yield client
    finally:
        await client.aclose()
