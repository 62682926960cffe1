"""HTTP client of the table service."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from seampond.backing.http_client import Reply, ServiceClient
from seampond.backing.tables import Check, Row, Tables, Write
from seampond.errors import ConflictError, PlatformError


def _parse_row(table: str, content: dict[str, Any]) -> Row:
    return Row(table, content['key'], content['version'], content['content'])


def _expect_ok(reply: Reply, path: str, service: ServiceClient) -> None:
    if reply.status != HTTPStatus.OK:
        raise PlatformError(
            f'unexpected status {reply.status}: {reply.content}',
            step=path,
            peer=service.url,
        )


def _format_transaction(
    checks: Sequence[Check], writes: Sequence[Write]
) -> dict[str, Any]:
    return {
        'checks': [
            {'table': check.table, 'key': check.key, 'version': check.version}
            for check in checks
        ],
        'writes': [
            {'table': write.table, 'key': write.key, 'content': write.content}
            for write in writes
        ],
    }


def make_http_tables(service: ServiceClient) -> Tables:
    """Return the table service that `service` calls.

    Parameters
    ----------
    service : ServiceClient
        The HTTP client for the service.

    Returns
    -------
    Tables
        The interface; its calls raise `PlatformError` and subclasses.

    """

    async def read(table: str, key: str) -> Row | None:
        path = f'/tables/{table}/rows/{quote(key, safe="")}'
        reply = await service.read(path)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        _expect_ok(reply, path, service)
        return _parse_row(table, reply.content)

    async def scan(table: str, start: str, end: str, limit: int) -> list[Row]:
        path = f'/tables/{table}/rows'
        reply = await service.read(
            path, params={'start': start, 'end': end, 'limit': str(limit)}
        )
        _expect_ok(reply, path, service)
        return [_parse_row(table, content) for content in reply.content]

    async def transact(
        checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        path = '/transactions'
        reply = await service.write(
            path, method='POST', json=_format_transaction(checks, writes)
        )
        if reply.status == HTTPStatus.CONFLICT:
            raise ConflictError(
                f'row {reply.content["key"]} has changed',
                step=path,
                peer=service.url,
            )
        _expect_ok(reply, path, service)

    return Tables(read, scan, transact)
