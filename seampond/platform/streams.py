"""Storage of what is known of streams in the platform's store."""

import logging
from collections.abc import Sequence
from typing import Annotated

import msgspec

from seampond.errors import PlatformError
from seampond.platform import names
from seampond.platform.rows import NonEmptyText, NonNegativeInt, decode_row
from seampond.platform.store import RowTransaction, StoreTable
from seampond.sharing.hashing import hash_name
from seampond.streams.stored import (
    KEY_BYTES,
    StoredBatch,
    StoredRun,
    StoredVersions,
    StreamRows,
)
from seampond.watches import (
    HistoryGoneError,
    LongChangesError,
    Page,
    Row,
    era_of,
)

_STEP = 'streams'
_SEPARATOR = '/'
_HEX_BASE = 16
_Hash = Annotated[int, msgspec.Meta(ge=0)]
_logger = logging.getLogger(__name__)


class _Versions(msgspec.Struct, frozen=True):
    """The content of a pool's row."""

    pool: NonEmptyText
    until_ms: dict[str, NonNegativeInt | None]
    since_ms: NonNegativeInt
    era: NonNegativeInt = 0


class _Run(msgspec.Struct, frozen=True, array_like=True):
    """Streams of a batch that began at one version."""

    pool: _Hash
    version: str
    streams: bytes

    def __post_init__(self) -> None:
        """Validate the length of the keys."""
        if len(self.streams) % KEY_BYTES:
            raise ValueError('`streams` ends inside a key')


class _Batch(msgspec.Struct, frozen=True):
    """The content of a batch's row."""

    at_ms: NonNegativeInt
    runs: list[_Run]


class StoredStreams:
    """The table of streams.

    Parameters
    ----------
    reader, writer : StoreTable
        Clients with connections of their own, so that reads need not wait
        for writes.

    """

    def __init__(self, reader: StoreTable, writer: StoreTable) -> None:
        """Wrap two clients of the store's table."""
        self._reader = reader
        self._writer = writer

    @property
    def era(self) -> int:
        """The store's era, 0 if unknown."""
        return max(self._reader.era, self._writer.era)

    async def read(self, since: int) -> StreamRows:
        """Read the rows that changed after a version, all rows for 0."""
        if not since:
            return _parse(await self._reader.read_all())
        try:
            page = await self._reader.read_changes(since, 0)
        except (HistoryGoneError, LongChangesError):
            page = await self._reader.read_all()
        return _parse(page)

    async def write_versions(self, row: StoredVersions) -> None:
        """Write the versions of a pool if the stored row has its version."""
        name = (names.STREAMS_TABLE, _versions_key(row.pool))
        content = _Versions(
            row.pool, dict(row.listed_until_ms), row.since_ms, row.era
        )
        await self._writer.commit(
            RowTransaction(
                {name: row.version}, {name: msgspec.json.encode(content)}
            )
        )

    async def write_batch(
        self, key: str, batch: StoredBatch | None, removed: Sequence[str]
    ) -> None:
        """Write a batch unless it is None, and remove others."""
        puts = {}
        if batch is not None:
            runs = [
                _Run(run.pool, run.version, run.streams) for run in batch.runs
            ]
            puts[_batch_name(key)] = msgspec.json.encode(
                _Batch(batch.at_ms, runs)
            )
        await self._writer.commit(
            RowTransaction({}, puts, [_batch_name(name) for name in removed])
        )


def _versions_key(pool: str) -> str:
    # Names of pools may be longer than a key.
    return f'{names.VERSIONS_PREFIX}{hash_name(pool):x}'


def _batch_name(key: str) -> tuple[str, str]:
    return names.STREAMS_TABLE, f'{names.ORIGINS_PREFIX}{key}'


def _parse(page: Page) -> StreamRows:
    """Parse rows; those that cannot be parsed are logged."""
    pools: dict[int, StoredVersions | None] = {}
    batches: dict[str, StoredBatch | None] = {}
    for row in page.rows:
        prefix, separator, key = row.key.partition(_SEPARATOR)
        if f'{prefix}{separator}' == names.ORIGINS_PREFIX:
            batches[key] = _parse_batch(row)
        elif f'{prefix}{separator}' == names.VERSIONS_PREFIX:
            pools.update(_parse_versions(key, row, page))
    return StreamRows(
        pools, batches, page.version, page.store_ms, page.is_snapshot
    )


def _parse_versions(
    key: str, row: Row, page: Page
) -> dict[int, StoredVersions | None]:
    """Return the row of a pool by its hash; empty if the key is invalid."""
    try:
        pool = int(key, _HEX_BASE)
    except ValueError as error:
        _log_invalid(row, str(error))
        return {}
    if row.is_deleted:
        return {pool: None}
    try:
        stored = decode_row(row.content, _Versions, step=_STEP, peer=row.key)
    except PlatformError as error:
        _log_invalid(row, error.message)
        stored = _Versions('', {}, page.store_ms, era_of(page.version))
    return {
        pool: StoredVersions(
            stored.pool,
            stored.until_ms,
            stored.since_ms,
            stored.era,
            row.version,
        )
    }


def _parse_batch(row: Row) -> StoredBatch | None:
    if row.is_deleted:
        return None
    try:
        stored = decode_row(row.content, _Batch, step=_STEP, peer=row.key)
    except PlatformError as error:
        _log_invalid(row, error.message)
        # An old batch without streams, which is removed as any other.
        return StoredBatch(0, ())
    runs = [
        StoredRun(run.pool, run.version, run.streams) for run in stored.runs
    ]
    return StoredBatch(stored.at_ms, runs)


def _log_invalid(row: Row, reason: str) -> None:
    _logger.warning(
        'invalid row of streams ignored',
        extra={'key': row.key, 'reason': reason},
    )
