"""Calls to the platform's store."""

import asyncio
import base64
import json
import logging
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from seampond.clock import MS_PER_SECOND, Clock
from seampond.errors import (
    ConflictError,
    CutAnswerError,
    PlatformError,
    UnknownOutcomeError,
)
from seampond.forwarding.connection import Connection, open_connection
from seampond.forwarding.response_head import (
    ExchangeError,
    ResponseHead,
    parse_keep_alive_ms,
)
from seampond.platform import names
from seampond.watches import (
    HistoryGoneError,
    Page,
    Row,
    era_of,
    make_version,
    revision_of,
)

# Some hundred times what the store needs for an answer on a good day, and
# less than the age at which what is believed of it counts as old.
_SILENCE_MS = 900
# An answer that keeps coming is no sign of a dead store: 520 KB need 0.83 s of
# a link of 5 Mbit/s that carries nothing else.  Changes may be too many, which
# a whole read never is; a page of it is 1.5 MB at the most, 2.4 s of that link.
_CHANGES_MS = 2000
_WHOLE_MS = 8000
# The pages bound an answer at 1 MB; its values are half as long again.
_ANSWER_MAX_BYTES = 4_194_304
_CALL_ID = b'call'
_NOT_AN_ANSWER = (ValueError, KeyError, TypeError)
_logger = logging.getLogger(__name__)
_FAILURES = (ExchangeError, TimeoutError, *_NOT_AN_ANSWER)


RowName = tuple[str, str]


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """What one call writes, and what it rests on; rows by table and key.

    Parameters
    ----------
    expected : Mapping[RowName, int]
        The versions that rows must have, 0 for no row.  One with an era holds
        in that era only.

    """

    expected: Mapping[RowName, int]
    puts: Mapping[RowName, bytes]
    removed: Sequence[RowName] = ()


class Store:
    """The platform's store.

    Explanation
    -----------
    The calls go over the same exchange as requests do, one after another on
    one connection.  It is dropped at the first failure: an answer that comes
    late must not be taken for the next call's.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        """Keep the address."""
        self._address = address
        self._clock = clock
        self._connection: Connection | None = None
        # The newest that an answer has told of.
        self._era = 0

    @property
    def era(self) -> int:
        """How often the store was restored, as far as known; 0 if not."""
        return self._era

    def close(self) -> None:
        """Drop the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def read(self, table: str) -> Page:
        """Read all rows of a table, as of one moment or later.

        Explanation
        -----------
        It is as old as its first page: what changes before the last one is
        read belongs to the changes that follow.
        """
        query = {'table': table, 'part': ''}
        first, has_more = await self._page(
            names.READ_PATH, query, most_ms=_WHOLE_MS
        )
        rows = list(first.rows)
        while has_more:
            last = rows[-1].key
            query[names.START_PARAMETER] = f'{last}\0'
            page, has_more = await self._page(
                names.READ_PATH, query, most_ms=_WHOLE_MS
            )
            if era_of(page.version) != era_of(first.version):
                raise PlatformError(
                    'restored meanwhile', step='read', peer=self._address
                )
            rows.extend(page.rows)
        return replace(first, rows=tuple(rows), is_snapshot=True)

    async def read_changes(self, table: str, since: int, wait_ms: int) -> Page:
        """Wait for changes of a table after version `since`.

        Raises
        ------
        HistoryGoneError
            Also if `since` is of an earlier era: the store has begun anew.

        """
        query = {
            'table': table,
            names.SINCE_PARAMETER: str(revision_of(since)),
            names.WAIT_PARAMETER: str(wait_ms),
        }
        self._check_era(since)
        page, _ = await self._page(names.FEED_PATH, query, wait_ms)
        self._check_era(since)
        return page

    async def put(self, table: str, key: str, content: bytes) -> None:
        """Write one row, whatever it held.

        Raises
        ------
        UnknownOutcomeError
            If it may have been written.
        PlatformError
            If it surely was not.

        """
        await self.commit(RowTransaction({}, {(table, key): content}))

    async def remove(self, table: str, key: str, version: int) -> None:
        """Remove one row if it still has this version.

        Raises
        ------
        ConflictError
            If it has changed.
        UnknownOutcomeError
            If it may have been removed, now or some seconds later.

        """
        row = (table, key)
        await self.commit(RowTransaction({row: version}, {}, (row,)))

    async def commit(self, change: 'RowTransaction') -> None:
        """Write and remove rows, all or none of them.

        Raises
        ------
        ConflictError
            If a row has not the version that is expected.
        UnknownOutcomeError
            If it may have been done, now or some seconds later.
        PlatformError
            If it surely was not.

        """
        if self._is_outdated(change):
            raise ConflictError(
                'read before a restore', step='change', peer=self._address
            )
        parts = {
            names.EXPECTED_FIELD: [
                _name_row(row) | {'ver': revision_of(version)}
                for row, version in change.expected.items()
            ],
            'put': [
                _name_row(row) | {'value': base64.b64encode(content).decode()}
                for row, content in change.puts.items()
            ],
            names.REMOVED_FIELD: [_name_row(row) for row in change.removed],
        }
        told = {name: rows for name, rows in parts.items() if rows}
        body = json.dumps(told).encode()
        status, _ = await self._call(names.TRANSACTION_PATH, body=body)
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise ConflictError(
                'a row has changed', step='change', peer=self._address
            )
        if self._is_outdated(change):
            raise UnknownOutcomeError(
                'restored meanwhile', step='change', peer=self._address
            )

    def _check_era(self, since: int) -> None:
        if since and era_of(since) < self._era:
            raise HistoryGoneError(
                'restored', step=names.FEED_PATH, peer=self._address
            )

    def _is_outdated(self, change: RowTransaction) -> bool:
        """Whether a change rests on a version of an earlier era."""
        eras = [era_of(version) for version in change.expected.values()]
        return any(0 < era < self._era for era in eras)

    async def _page(
        self,
        path: str,
        query: Mapping[str, str],
        wait_ms: int = 0,
        most_ms: int = _CHANGES_MS,
    ) -> tuple[Page, bool]:
        sent_ms = self._clock.now()
        target = f'{path}?{urlencode(query)}'
        status, content = await self._call(target, wait_ms, most_ms=most_ms)
        try:
            page = Page(
                tuple(_read_row(row, self._era) for row in content['rows']),
                make_version(self._era, int(content['ver'])),
                int(content['now_ms']),
                sent_ms,
                self._clock.now(),
                is_snapshot=False,
            )
        except _NOT_AN_ANSWER as error:
            raise self._failure(path, error) from error
        return page, bool(content.get('more'))

    async def _call(
        self,
        target: str,
        wait_ms: int = 0,
        *,
        body: bytes | None = None,
        most_ms: int = _CHANGES_MS,
    ) -> tuple[int, Any]:
        """Make one call; give the status and the content of its answer.

        Parameters
        ----------
        wait_ms : int
            How long the store may hold the call before it answers.
        most_ms : int
            How long the answer may go on coming.

        """
        step = target.partition('?')[0]
        try:
            async with asyncio.timeout((wait_ms + _SILENCE_MS) / MS_PER_SECOND):
                connection, head = await self._ask(target, body)
            async with asyncio.timeout(most_ms / MS_PER_SECOND):
                text = await self._finish(connection, head)
            content = json.loads(text) if head.status == HTTPStatus.OK else None
        except _FAILURES as error:
            failure = self._failure(step, error)
            self.close()
            raise failure from error
        except asyncio.CancelledError:
            self.close()
            raise
        if head.status == HTTPStatus.GONE:
            raise HistoryGoneError(
                'history gone', step=step, peer=self._address
            )
        if head.status not in (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED):
            raise PlatformError(
                f'answered {head.status}', step=step, peer=self._address
            )
        return head.status, content

    async def _ask(
        self, target: str, body: bytes | None
    ) -> tuple[Connection, ResponseHead]:
        """Send one call; give the head of its answer."""
        connection = self._connection
        if connection is None or not connection.is_usable:
            self.close()
            connection = await open_connection(
                self._address, self._clock, b'', _SILENCE_MS
            )
            self._connection = connection
        connection.send(_CALL_ID, self._make_packet(target, body))
        head = await connection.read_head()
        self._note_era(head)
        return connection, head

    def _note_era(self, head: ResponseHead) -> None:
        """Take the era that an answer tells, whatever else it says.

        Raises
        ------
        PlatformError
            If the answer is of an earlier era than one before it.

        """
        told = head.get(names.ERA_HEADER)
        # Counted from 1: without the header nothing is known of an era.
        era = int(told) + 1 if told.isdigit() else self._era
        if era < self._era:
            self.close()
            raise PlatformError(
                'answer of an earlier era', step='read', peer=self._address
            )
        if 0 < self._era < era:
            _logger.warning('store was restored', extra={'era': era})
        self._era = era

    async def _finish(
        self, connection: Connection, head: ResponseHead
    ) -> bytes:
        """Give the body of an answer, as long as it keeps coming."""
        text = await connection.read_body(_ANSWER_MAX_BYTES, _SILENCE_MS)
        if not connection.finish(parse_keep_alive_ms(head)):
            self._connection = None
        return text

    def _make_packet(self, target: str, body: bytes | None) -> bytes:
        method = 'GET' if body is None else 'POST'
        lines = [f'{method} {target} HTTP/1.1', f'host: {self._address}']
        if body is not None:
            lines.append('content-type: application/json')
            lines.append(f'content-length: {len(body)}')
        head = '\r\n'.join(lines)
        return b'%b\r\n\r\n%b' % (head.encode(), body or b'')

    def _failure(self, step: str, error: Exception) -> PlatformError:
        """Tell whether the store was silent or its answer did not end."""
        message = f'{type(error).__name__} {error}'.strip()
        received = self._connection.received_bytes if self._connection else 0
        if received and isinstance(error, (ExchangeError, TimeoutError)):
            return CutAnswerError(
                message, step=step, peer=self._address, received=received
            )
        return UnknownOutcomeError(message, step=step, peer=self._address)


class StoreTable:
    """One table of the store, as something to follow."""

    def __init__(self, store: Store, name: str) -> None:
        """Name the table."""
        self.name = name
        self._store = store

    @property
    def era(self) -> int:
        """How often the store was restored, as far as known; 0 if not."""
        return self._store.era

    async def read_all(self) -> Page:
        """Read all rows."""
        return await self._store.read(self.name)

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for rows that changed after version `since`."""
        return await self._store.read_changes(self.name, since, wait_ms)

    async def put(self, key: str, content: bytes) -> None:
        """Write one row, whatever it held."""
        await self._store.put(self.name, key, content)

    async def remove(self, key: str, version: int) -> None:
        """Remove one row if it still has this version."""
        await self._store.remove(self.name, key, version)

    async def commit(self, change: RowTransaction) -> None:
        """Write and remove rows, also of other tables, all or none."""
        await self._store.commit(change)


def _name_row(row: RowName) -> dict[str, object]:
    table, key = row
    return {'table': table, 'part': '', names.KEY_FIELD: key}


def _read_row(row: Mapping[str, Any], era: int) -> Row:
    return Row(
        row[names.KEY_FIELD],
        base64.b64decode(row.get('value') or ''),
        make_version(era, int(row.get('ver', 0))),
        is_deleted=bool(row.get('gone')),
    )


@asynccontextmanager
async def open_table(
    address: str, table: str, clock: Clock
) -> AsyncIterator[StoreTable]:
    """Give a table of the store until the end of the `with`."""
    store = Store(address, clock)
    try:
        yield StoreTable(store, table)
    finally:
        store.close()
