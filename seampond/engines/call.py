"""One call to the backend server, its answer passed on as it comes."""

import json
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiosonic
from aiosonic.exceptions import (
    AiosonicError,
    ConnectTimeout,
    HttpParsingError,
)
from aiosonic.timeout import Timeouts

from seampond.backing.http_client import open_client
from seampond.clock import MS_PER_SECOND
from seampond.engines.runs import Run, Usage
from seampond.errors import EngineError
from seampond.links.messages import Header
from seampond.requests import Reason

_ID_HEADER = 'x-request-id'
_PASSED_HEADERS = ('content-type',)
_EVENT_STREAM = 'text/event-stream'
_STREAM_END = b'data: [DONE]'
_EVENT_PREFIX = b'data: {'
_TAIL_BYTES = 4096
_CONNECT_SECONDS = 2
_FAILURES = (AiosonicError, HttpParsingError, OSError, EOFError, ValueError)
_NOT_CONNECTED = (ConnectionRefusedError, ConnectTimeout)


class BackendError(EngineError):
    """A call to the backend server failed.

    Parameters
    ----------
    reason : Reason
        What the caller is told.
    was_sent : bool
        Whether the request may have reached the server.

    """

    def __init__(
        self, message: str, *, reason: Reason, was_sent: bool, peer: str
    ) -> None:
        """Keep the reason for the answer to the entry."""
        super().__init__(message, step='dispatch', peer=peer)
        self.reason = reason
        self.was_sent = was_sent


@dataclass(frozen=True)
class BackendCall:
    """Calls one backend server."""

    url: str
    kind: str
    timeout_ms: int
    reusing: aiosonic.HTTPClient
    fresh: aiosonic.HTTPClient

    async def carry_out(self, run: Run) -> None:
        """Send the request and add its answer to `run`, piece by piece.

        Raises
        ------
        BackendError
            If the answer failed or ended short.

        """
        try:
            async with self._opened(run) as response:
                self._check_usable(run, response)
                run.add_head(response.status_code, _kept_headers(response))
                await self._read(run, response)
        except _NOT_CONNECTED as refused:
            raise self._failure(
                refused, Reason.engine_unreachable, was_sent=bool(run.parts)
            ) from refused
        except _FAILURES as error:
            reason = Reason.engine_short if run.parts else Reason.engine_failed
            raise self._failure(error, reason, was_sent=True) from error

    @asynccontextmanager
    async def _opened(self, run: Run) -> AsyncIterator[aiosonic.HttpResponse]:
        grant = run.grant
        seconds = self.timeout_ms / MS_PER_SECOND
        client = self.reusing if grant.method == 'POST' else self.fresh
        response = await client.request(
            f'{self.url}{grant.path}',
            method=grant.method,
            headers={header.name: header.value for header in grant.headers},
            data=grant.body or None,
            stream=True,
            timeouts=Timeouts(
                sock_connect=_CONNECT_SECONDS,
                sock_read=seconds,
                request_timeout=seconds,
            ),
        )
        try:
            yield response
        finally:
            # Closing an unread answer is how the server hears "cancel".
            await response.aclose()

    def _check_usable(self, run: Run, response: aiosonic.HttpResponse) -> None:
        status = response.status_code
        is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        # A plain service's error is its answer; a model's is no answer.
        if self.kind == 'model' and is_failure:
            raise BackendError(
                f'answered {status}',
                reason=Reason.engine_failed,
                was_sent=True,
                peer=self.url,
            )
        answered = response.headers.get(_ID_HEADER, run.id)
        if answered != run.id:
            raise BackendError(
                f'answered for request {answered}',
                reason=Reason.wrong_answer,
                was_sent=True,
                peer=self.url,
            )

    async def _read(self, run: Run, response: aiosonic.HttpResponse) -> None:
        tail = b''
        async with aclosing(response.read_chunks()) as chunks:
            async for chunk in chunks:
                run.add_payload(chunk)
                tail = (tail + chunk)[-_TAIL_BYTES:]
        if self.kind != 'model' or response.status_code != HTTPStatus.OK:
            return
        if response.headers.get('content-type', '').startswith(_EVENT_STREAM):
            run.usage = self._stream_usage(tail)
        else:
            body = b''.join(run.payloads)
            run.usage = parse_usage(json.loads(body))

    def _stream_usage(self, tail: bytes) -> Usage:
        if not tail.rstrip().endswith(_STREAM_END):
            raise BackendError(
                'ended the stream without its end mark',
                reason=Reason.engine_short,
                was_sent=True,
                peer=self.url,
            )
        for line in reversed(tail.splitlines()):
            if line.startswith(_EVENT_PREFIX):
                return parse_usage(json.loads(line[len(_EVENT_PREFIX) - 1 :]))
        return Usage()

    def _failure(
        self, error: Exception, reason: Reason, *, was_sent: bool
    ) -> BackendError:
        return BackendError(
            f'{type(error).__name__} {error}'.strip(),
            reason=reason,
            was_sent=was_sent,
            peer=self.url,
        )


@asynccontextmanager
async def open_backend(
    url: str, kind: str, timeout_ms: int, *, connections: int
) -> AsyncIterator[BackendCall]:
    """Give calls to one backend server until the end of the `with`.

    Explanation
    -----------
    The HTTP client sends GET, PUT and DELETE again by itself when a reused
    connection drops, behind the back of "dispatched at most once"; it does
    not on a fresh connection.  So only POST reuses connections.
    """
    async with (
        open_client(connections) as reusing,
        open_client(connections, reuse_connections=False) as fresh,
    ):
        yield BackendCall(url, kind, timeout_ms, reusing, fresh)


def _kept_headers(response: aiosonic.HttpResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name, response.headers[name])
        for name in _PASSED_HEADERS
        if name in response.headers
    )


def parse_usage(content: Any) -> Usage:
    """Read the usage part of a chat completion; zeros where it is missing.

    Examples
    --------
    >>> parse_usage({'usage': {'prompt_tokens': 9}}).prompt_tokens
    9

    """
    usage = content.get('usage') if isinstance(content, dict) else None
    if not isinstance(usage, dict):
        return Usage()
    details = usage.get('prompt_tokens_details') or {}
    return Usage(
        int(usage.get('prompt_tokens', 0)),
        int(details.get('cached_tokens', 0)),
        int(usage.get('completion_tokens', 0)),
    )
