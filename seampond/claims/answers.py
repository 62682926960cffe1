"""Stored answers to requests with an idempotency key, for their retries."""

import base64
from dataclasses import dataclass
from typing import Any

from seampond.backing.objects import Objects
from seampond.errors import PlatformError
from seampond.links.messages import Header

REPLAY_HEADER = 'x-original-request-id'
_ROOT = 'answers'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Complete answer and the token of the claim it belongs to."""

    token: str
    request_id: str
    status: int
    headers: tuple[Header, ...]
    body: bytes

    @property
    def replay_headers(self) -> tuple[Header, ...]:
        """Headers of a replay, with the id of the original request."""
        return *self.headers, Header(REPLAY_HEADER, self.request_id)


def _object_key(claim_key: str) -> str:
    return f'{_ROOT}/{claim_key}'


async def keep_answer(
    objects: Objects, claim_key: str, answer: KeptAnswer
) -> bool:
    """Store `answer`; return True on success."""
    content = {
        'token': answer.token,
        'request': answer.request_id,
        'status': answer.status,
        'headers': [[header.name, header.value] for header in answer.headers],
        'body': base64.b64encode(answer.body).decode(),
    }
    try:
        await objects.put(_object_key(claim_key), content)
    except PlatformError:
        return False
    return True


def _parse(content: Any) -> KeptAnswer:
    headers = tuple(Header(name, value) for name, value in content['headers'])
    return KeptAnswer(
        content['token'],
        content['request'],
        content['status'],
        headers,
        base64.b64decode(content['body']),
    )


async def load_answer(
    objects: Objects, claim_key: str, token: str
) -> KeptAnswer | None:
    """Return the answer stored for the claim with `token`, or None."""
    try:
        content = await objects.get(_object_key(claim_key))
    except PlatformError:
        return None
    if content is None:
        return None
    answer = _parse(content)
    return answer if answer.token == token else None
