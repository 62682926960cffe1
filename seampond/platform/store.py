"""Calls to the platform's store."""

import asyncio
import base64
import json
import logging
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from http import HTTPStatus
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
    AnswerSizeError,
    ExchangeError,
    ResponseHead,
    parse_keep_alive_ms,
)
from seampond.platform import names
from seampond.platform.answers import (
    MAX_ERA,
    AnswerRows,
    decode_answer,
    decode_rows,
)
from seampond.platform.rows import DECODE_ERRORS
from seampond.watches import (
    HistoryGoneError,
    LongChangesError,
    Page,
    era_of,
    make_version,
    revision_of,
)

# Shorter than the age at which a table's copy counts as stale.
_INACTIVITY_TIMEOUT_MS = 900
# Bodies may take longer than the inactivity timeout on a slow link.  Reads of
# a whole table get more time, since nothing can replace them.
_CHANGES_TIMEOUT_MS = 2000
_TABLE_TIMEOUT_MS = 8000
# The store limits a page to 1 MB before base64.
_ANSWER_MAX_BYTES = 4_194_304
# Base64 and JSON make rows longer by a third and more.
_ENCODED_RATIO = 1.5
_CALL_ID = b'call'
_REASONS_MAX = 64
_REASONS_LOGGED = 4
_logger = logging.getLogger(__name__)
_CALL_ERRORS = (ExchangeError, TimeoutError, *DECODE_ERRORS)


RowName = tuple[str, str]


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Conditional writes and removals of rows, applied together.

    Parameters
    ----------
    expected : Mapping[RowName, int]
        The versions that rows must have, 0 for no row.  A version with an era
        holds in that era only.

    """

    expected: Mapping[RowName, int]
    puts: Mapping[RowName, bytes]
    removed: Sequence[RowName] = ()


@dataclass(frozen=True, slots=True)
class _CallLimits:
    """How long a call and its answer may take, and how long the answer is.

    Parameters
    ----------
    wait_ms : int
        How long the store may hold the call before it answers.
    body_timeout_ms : int
        Timeout for the body, counted from the head.
    max_bytes : int
        Maximum size of the body.

    """

    wait_ms: int = 0
    body_timeout_ms: int = _CHANGES_TIMEOUT_MS
    max_bytes: int = _ANSWER_MAX_BYTES


class Store:
    """Client of the platform's store.

    Explanation
    -----------
    Calls are made one after another on one connection.  It is closed at the
    first failure, so that a late answer is not taken for the next call's.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        """Create a client that is not connected yet."""
        self._address = address
        self._clock = clock
        self._connection: Connection | None = None
        self._era = 0
        self._is_answering = False
        self._odd_reasons: set[str] = set()

    @property
    def is_answering(self) -> bool:
        """Whether the answer to the latest call has begun."""
        return self._is_answering

    @property
    def era(self) -> int:
        """The newest era among the answers, 0 if unknown.

        The store increments its era at each restore from a backup.
        """
        return self._era

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def read(self, table: str) -> Page:
        """Read all rows of a table, page by page.

        Explanation
        -----------
        The version returned is that of the first page.  Rows that change
        while later pages are read are among the changes since that version.
        """
        query = {'table': table, 'part': ''}
        limits = _CallLimits(body_timeout_ms=_TABLE_TIMEOUT_MS)
        first, has_more = await self._fetch_page(names.READ_PATH, query, limits)
        rows = list(first.rows)
        starts: set[str] = set()
        while has_more:
            last = rows[-1].key if rows else ''
            if not rows or last in starts:
                raise PlatformError(
                    'pages without end', step='read', peer=self._address
                )
            starts.add(last)
            query[names.START_PARAMETER] = f'{last}\0'
            page, has_more = await self._fetch_page(
                names.READ_PATH, query, limits
            )
            if era_of(page.version) != era_of(first.version):
                raise PlatformError(
                    'store restored during the read',
                    step='read',
                    peer=self._address,
                )
            rows.extend(page.rows)
        return replace(first, rows=tuple(rows), is_snapshot=True)

    async def read_changes(
        self,
        table: str,
        since: int,
        wait_ms: int,
        max_bytes: int | None = None,
    ) -> Page:
        """Wait for changes of a table after version `since`.

        Parameters
        ----------
        max_bytes : int or None
            Approximate maximum size of the rows, None for any.

        Raises
        ------
        HistoryGoneError
            If the store no longer has these changes, or `since` is of an
            earlier era.
        LongChangesError
            If the rows are larger than `max_bytes`.

        """
        query = {
            'table': table,
            names.SINCE_PARAMETER: str(revision_of(since)),
            names.WAIT_PARAMETER: str(wait_ms),
        }
        self._require_current_era(since)
        page, _ = await self._fetch_page(
            names.FEED_PATH,
            query,
            _CallLimits(wait_ms, max_bytes=_compute_encoded_limit(max_bytes)),
        )
        self._require_current_era(since)
        return page

    async def put(self, table: str, key: str, content: bytes) -> None:
        """Write one row unconditionally.

        Raises
        ------
        UnknownOutcomeError
            If the row may have been written.
        PlatformError
            If it was not written.

        """
        await self.commit(RowTransaction({}, {(table, key): content}))

    async def remove(self, table: str, key: str, version: int) -> None:
        """Remove one row if it still has this version.

        Raises
        ------
        ConflictError
            If the row has changed.
        UnknownOutcomeError
            If the row may have been removed, or may be within seconds.

        """
        row = (table, key)
        await self.commit(RowTransaction({row: version}, {}, (row,)))

    async def commit(self, transaction: 'RowTransaction') -> None:
        """Write and remove rows atomically.

        Raises
        ------
        ConflictError
            If a row does not have the expected version.
        UnknownOutcomeError
            If the transaction may have been applied, or may be within
            seconds.
        PlatformError
            If it was not applied.

        """
        if self._is_outdated(transaction):
            raise ConflictError(
                'expects rows read before a restore',
                step='change',
                peer=self._address,
            )
        body = encode_transaction(transaction)
        status, _ = await self._call(
            names.TRANSACTION_PATH, _CallLimits(), body
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise ConflictError(
                'an expected row has changed', step='change', peer=self._address
            )
        if self._is_outdated(transaction):
            raise UnknownOutcomeError(
                'store restored during the call',
                step='change',
                peer=self._address,
            )

    def _require_current_era(self, since: int) -> None:
        if since and era_of(since) < self._era:
            raise HistoryGoneError(
                'restored', step=names.FEED_PATH, peer=self._address
            )

    def _is_outdated(self, transaction: RowTransaction) -> bool:
        """Return True if a version of an earlier era is expected."""
        eras = [era_of(version) for version in transaction.expected.values()]
        return any(0 < era < self._era for era in eras)

    async def _fetch_page(
        self,
        path: str,
        query: Mapping[str, str],
        limits: '_CallLimits',
    ) -> tuple[Page, bool]:
        sent_ms = self._clock.now()
        target = f'{path}?{urlencode(query)}'
        _, text = await self._call(target, limits)
        try:
            answer = decode_answer(text)
        except DECODE_ERRORS as error:
            failure = self._make_error(path, error)
            self.close()
            raise failure from error
        decoded = decode_rows(answer, self._era)
        self._log_odd_rows(path, decoded)
        # A row that is missing from a table would be taken for removed.
        if decoded.left_out and path == names.READ_PATH:
            raise PlatformError(
                'row without a key', step='read', peer=self._address
            )
        page = Page(
            decoded.rows,
            make_version(self._era, answer.ver),
            answer.now_ms,
            sent_ms,
            self._clock.now(),
            is_snapshot=False,
        )
        return page, answer.more

    def _log_odd_rows(self, path: str, decoded: AnswerRows) -> None:
        """Log the reasons why rows are not valid, each once."""
        news = decoded.reasons - self._odd_reasons
        if not news:
            return
        if len(self._odd_reasons) >= _REASONS_MAX:
            self._odd_reasons.clear()
        self._odd_reasons.update(news)
        _logger.error(
            'invalid rows in an answer',
            extra={'step': path, 'reasons': sorted(news)[:_REASONS_LOGGED]},
        )

    async def _call(
        self,
        target: str,
        limits: '_CallLimits',
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        """Make one call; return the status and the body."""
        step = target.partition('?')[0]
        head_timeout_ms = limits.wait_ms + _INACTIVITY_TIMEOUT_MS
        try:
            async with asyncio.timeout(head_timeout_ms / MS_PER_SECOND):
                connection, head = await self._send_call(target, body)
            async with asyncio.timeout(limits.body_timeout_ms / MS_PER_SECOND):
                text = await self._read_body(connection, head, limits.max_bytes)
        except _CALL_ERRORS as error:
            failure = self._make_error(step, error)
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
        return head.status, text

    async def _send_call(
        self, target: str, body: bytes | None
    ) -> tuple[Connection, ResponseHead]:
        """Send one call; return the connection and the answer's head."""
        self._is_answering = False
        connection = self._connection
        if connection is None or not connection.is_usable:
            self.close()
            connection = await open_connection(
                self._address, self._clock, b'', _INACTIVITY_TIMEOUT_MS
            )
            self._connection = connection
        connection.send(_CALL_ID, self._encode_call(target, body))
        head = await connection.read_head()
        self._is_answering = True
        self._update_era(head)
        return connection, head

    def _update_era(self, head: ResponseHead) -> None:
        """Update the era from the header of an answer.

        Raises
        ------
        PlatformError
            If the answer is of an earlier era than a previous one.

        """
        header = head.get(names.ERA_HEADER)
        # Counted from 1, since 0 means that the era is unknown.
        era = int(header) + 1 if header.isdigit() else self._era
        if era > MAX_ERA:
            raise ValueError(f'era {era}')
        if era < self._era:
            self.close()
            raise PlatformError(
                'answer of an earlier era', step='read', peer=self._address
            )
        if 0 < self._era < era:
            _logger.warning('store was restored', extra={'era': era})
        self._era = era

    async def _read_body(
        self, connection: Connection, head: ResponseHead, max_bytes: int
    ) -> bytes:
        """Read the body of an answer; forget a connection that is closing."""
        text = await connection.read_body(max_bytes, _INACTIVITY_TIMEOUT_MS)
        if not connection.finish(parse_keep_alive_ms(head)):
            self._connection = None
        return text

    def _encode_call(self, target: str, body: bytes | None) -> bytes:
        method = 'GET' if body is None else 'POST'
        lines = [f'{method} {target} HTTP/1.1', f'host: {self._address}']
        if body is not None:
            lines.append('content-type: application/json')
            lines.append(f'content-length: {len(body)}')
        head = '\r\n'.join(lines)
        return b'%b\r\n\r\n%b' % (head.encode(), body or b'')

    def _make_error(self, step: str, error: Exception) -> PlatformError:
        """Return the error for a call that was cut off or not answered."""
        message = f'{type(error).__name__} {error}'.strip()
        if isinstance(error, AnswerSizeError) and step == names.FEED_PATH:
            return LongChangesError(message, step=step, peer=self._address)
        received = self._connection.received_bytes if self._connection else 0
        if received and isinstance(error, (ExchangeError, TimeoutError)):
            return CutAnswerError(
                message, step=step, peer=self._address, received=received
            )
        return UnknownOutcomeError(message, step=step, peer=self._address)


class StoreTable:
    """One table of the store."""

    def __init__(self, store: Store, name: str) -> None:
        """Bind a client to a table."""
        self.name = name
        self.max_changes_bytes: int | None = None
        self._store = store

    @property
    def era(self) -> int:
        """The newest era among the answers, 0 if unknown."""
        return self._store.era

    @property
    def is_answering(self) -> bool:
        """Whether the answer to the latest call has begun."""
        return self._store.is_answering

    async def read_all(self) -> Page:
        """Read all rows."""
        return await self._store.read(self.name)

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait for rows that changed after version `since`."""
        return await self._store.read_changes(
            self.name, since, wait_ms, self.max_changes_bytes
        )

    async def put(self, key: str, content: bytes) -> None:
        """Write one row unconditionally."""
        await self._store.put(self.name, key, content)

    async def remove(self, key: str, version: int) -> None:
        """Remove one row if it still has this version."""
        await self._store.remove(self.name, key, version)

    async def commit(self, transaction: RowTransaction) -> None:
        """Write and remove rows, also of other tables, atomically."""
        await self._store.commit(transaction)


def encode_transaction(transaction: RowTransaction) -> bytes:
    """Return the body of the call that applies a transaction.

    Examples
    --------
    >>> encode_transaction(RowTransaction({}, {}, [('t', 'k')]))
    b'{"remove": [{"table": "t", "part": "", "tls-key": "k"}]}'

    """
    parts = {
        names.EXPECTED_FIELD: [
            _encode_row_name(row) | {'ver': revision_of(version)}
            for row, version in transaction.expected.items()
        ],
        'put': [
            _encode_row_name(row)
            | {'value': base64.b64encode(content).decode()}
            for row, content in transaction.puts.items()
        ],
        names.REMOVED_FIELD: [
            _encode_row_name(row) for row in transaction.removed
        ],
    }
    non_empty = {name: rows for name, rows in parts.items() if rows}
    return json.dumps(non_empty).encode()


def _compute_encoded_limit(max_bytes: int | None) -> int:
    """Return the maximum size of an answer whose rows have `max_bytes`."""
    if max_bytes is None:
        return _ANSWER_MAX_BYTES
    return min(_ANSWER_MAX_BYTES, round(max_bytes * _ENCODED_RATIO))


def _encode_row_name(row: RowName) -> dict[str, object]:
    table, key = row
    return {'table': table, 'part': '', names.KEY_FIELD: key}


@asynccontextmanager
async def open_table(
    address: str, table: str, clock: Clock
) -> AsyncIterator[StoreTable]:
    """Open a client for one table until the end of the `with`."""
    store = Store(address, clock)
    try:
        yield StoreTable(store, table)
    finally:
        store.close()
