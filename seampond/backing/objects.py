"""Interface to the object store of the platform."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from seampond.backing.http_client import ServiceClient
from seampond.errors import PlatformError

GetObject = Callable[[str], Awaitable[Any | None]]
PutObject = Callable[[str, Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Objects:
    """The operations of the object store."""

    get: GetObject
    put: PutObject


def make_http_objects(service: ServiceClient) -> Objects:
    """Return the object store that `service` calls.

    Returns
    -------
    Objects
        ``get(key)`` returns None if the object does not exist; both calls
        raise `PlatformError`.

    """

    async def get(key: str) -> Any | None:
        path = f'/objects/{quote(key, safe="")}'
        reply = await service.read(path)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return reply.content

    async def put(key: str, content: Any) -> None:
        path = f'/objects/{quote(key, safe="")}'
        reply = await service.write(path, method='PUT', json=content)
        if reply.status != HTTPStatus.OK:
            raise PlatformError(
                f'unexpected status {reply.status}', step=path, peer=service.url
            )

    return Objects(get, put)
