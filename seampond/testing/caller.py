"""A test caller that checks that a response belongs to its request."""

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from seampond.claims.answers import REPLAY_HEADER
from seampond.testing.engine.app import token_text


class WrongAnswerError(ValueError):
    """Raised for a response that is incomplete or of another request."""


CALL_ERRORS = (AiosonicError, OSError, EOFError, ValueError)
CHAT_PATH = '/v1/chat/completions'
_ID_HEADER = 'x-request-id'
_TIMEOUT_SECONDS = 60
_END_MARK = 'data: [DONE]'
_SHOWN_BYTES = 200


@dataclass(frozen=True)
class Reply:
    """Status, headers and body of a response."""

    status: int
    request_id: str
    body: bytes
    retry_after: str = ''
    original_id: str = ''

    @property
    def executed_id(self) -> str:
        """The id of the request that was executed for this response."""
        return self.original_id or self.request_id

    @property
    def is_ok(self) -> bool:
        """Whether the request was answered, not refused."""
        return self.status < HTTPStatus.BAD_REQUEST

    @property
    def summary(self) -> str:
        """Status, request id, size and end of the body, for error messages."""
        request_id = self.request_id or 'unknown'
        end = self.body[-_SHOWN_BYTES:]
        size = len(self.body)
        return (
            f'status {self.status}, request {request_id}, '
            f'{size} bytes that end in {end!r}'
        )

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal."""
        error: dict[str, Any] = json.loads(self.body)['error']
        return error


@dataclass(frozen=True)
class ChatRequest:
    """The parameters of a chat completion request."""

    template: str
    prompt: str = 'hello'
    max_tokens: int = 4
    is_stream: bool = True

    @property
    def body(self) -> bytes:
        """The JSON body of the request."""
        content = {
            'model': self.template,
            'messages': [{'role': 'user', 'content': self.prompt}],
            'max_tokens': self.max_tokens,
            'stream': self.is_stream,
        }
        return json.dumps(content).encode()


@dataclass(frozen=True)
class Caller:
    """Sends requests to one entry with one key."""

    url: str
    key: str
    client: aiosonic.HTTPClient
    headers: dict[str, str] = field(default_factory=dict)

    async def post(self, path: str, body: bytes, **headers: str) -> Reply:
        """Send a request and read the whole response.

        Explanation
        -----------
        Underscores in the names of `headers` become hyphens.  A broken
        connection raises one of `CALL_ERRORS`.
        """
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        response = await self.client.post(
            f'{self.url}{path}',
            headers={'authorization': f'Bearer {self.key}', **named},
            data=body,
            timeouts=Timeouts(
                sock_read=_TIMEOUT_SECONDS, request_timeout=_TIMEOUT_SECONDS
            ),
        )
        answer = await response.content()
        return Reply(
            response.status_code,
            response.headers.get(_ID_HEADER, ''),
            answer,
            response.headers.get('retry-after', ''),
            response.headers.get(REPLAY_HEADER, ''),
        )

    async def chat(self, chat: ChatRequest, **headers: str) -> Reply:
        """Send a chat completion request."""
        return await self.post(CHAT_PATH, chat.body, **headers)


def _events(body: bytes) -> list[dict[str, Any]]:
    return [
        json.loads(line.removeprefix('data: '))
        for line in body.decode().splitlines()
        if line.startswith('data: {')
    ]


def _text_and_usage(
    reply: Reply, is_stream: bool
) -> tuple[str, dict[str, Any]]:
    if not is_stream:
        content = json.loads(reply.body)
        text: str = content['choices'][0]['message']['content']
        return text, content['usage']
    if not reply.body.decode().rstrip().endswith(_END_MARK):
        raise WrongAnswerError(f'the stream has no end mark: {reply.summary}')
    events = _events(reply.body)
    deltas = [event['choices'][0]['delta'] for event in events]
    text = ''.join(delta['content'] for delta in deltas)
    return text, events[-1]['usage']


def check_chat(chat: ChatRequest, reply: Reply) -> dict[str, Any]:
    """Check that `reply` is the complete response to its own request.

    Returns
    -------
    dict
        The usage that the engine reported.

    Raises
    ------
    WrongAnswerError
        If it is incomplete or answers another request.

    """
    text, usage = _text_and_usage(reply, chat.is_stream)
    expected = ''.join(
        token_text(reply.executed_id, number)
        for number in range(chat.max_tokens)
    )
    if text != expected:
        raise WrongAnswerError(
            f'not the whole answer to its own request: {reply.summary}'
        )
    return usage
