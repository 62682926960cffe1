"""A stand-in for the platform's store that can inject faults."""

import asyncio
import base64
import bisect
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform import names
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)

_CHUNK_INTERVAL_MS = 50
# The store's clock differs from that of its callers.
_CLOCK_OFFSET_MS = 1_000_000


@dataclass
class StandInStore:
    """An in-memory store with configurable faults.

    Parameters
    ----------
    next_delay_ms : int
        Delay of the next response; reset after that.
    is_down : bool
        Whether every call is answered with status 503.
    oldest_version : int
        The oldest version from which change feeds can resume.
    bytes_per_s : int
        Bandwidth of responses, 0 for no limit.
    era : int
        Number of times the store was restored from a backup.

    """

    clock: Clock = field(default_factory=Clock)
    address: str = ''
    version: int = 1
    next_delay_ms: int = 0
    is_down: bool = False
    oldest_version: int = 0
    bytes_per_s: int = 0
    era: int = 0
    rows: dict[tuple[str, str], dict[str, object]] = field(default_factory=dict)
    calls: list[str] = field(default_factory=list)
    _history: list[dict[str, object]] = field(default_factory=list)
    _written_ms: list[int] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _orphanings: int = 0

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row."""
        text = content if isinstance(content, bytes) else json.dumps(content)
        raw = text if isinstance(text, bytes) else text.encode()
        self._append(table, key, {'value': base64.b64encode(raw).decode()})

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._append(table, key, {'gone': True})

    def compact(self) -> None:
        """Discard the change history."""
        self.oldest_version = self.version
        self._notify_feeds()

    def orphan_feeds(self) -> None:
        """Never answer the waiting calls; their connections stay open."""
        self._orphanings += 1
        self._notify_feeds()

    def restore_backup(self, backup_ms: int) -> None:
        """Restore the state of an earlier time; later writes are lost."""
        retained = bisect.bisect_right(self._written_ms, backup_ms)
        self._history = self._history[:retained]
        self._written_ms = self._written_ms[:retained]
        self.rows = {
            (str(row['table']), str(row[names.KEY_FIELD])): row
            for row in self._history
        }
        newest = self._history[-1] if self._history else {}
        self.version = int(str(newest.get('ver', 1)))
        self.era += 1
        self._notify_feeds()

    def build_response(
        self, request: ReceivedRequest, content: object
    ) -> bytes:
        """Return the bytes of a successful response."""
        return self._format(200, json.dumps(content).encode())

    async def handle(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one call."""
        parts = urlsplit(request.target.decode())
        self.calls.append(parts.path)
        if self.is_down:
            writer.write(self._format(503))
            return
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        delay_ms = self.next_delay_ms
        self.next_delay_ms = 0
        if parts.path == names.FEED_PATH:
            content = await self._feed(query)
        elif parts.path == names.READ_PATH:
            content = self._page(query['table'])
        elif self._transact(json.loads(request.body)):
            content = {}
        else:
            writer.write(self._format(412))
            return
        if content is None:
            writer.write(self._format(410))
            return
        response = {
            'ver': self.version,
            'now_ms': self.clock.now() + _CLOCK_OFFSET_MS,
        } | content
        await asyncio.sleep(delay_ms / MS_PER_SECOND)
        await self._send(writer, self.build_response(request, response))

    def _format(self, status: int, body: bytes = b'') -> bytes:
        headers = {names.ERA_HEADER.decode(): str(self.era)} if self.era else {}
        return format_response(status, headers, body)

    async def _send(
        self, writer: asyncio.StreamWriter, response: bytes
    ) -> None:
        """Send a response at the configured bandwidth."""
        if not self.bytes_per_s:
            writer.write(response)
            return
        chunk_bytes = max(
            1, self.bytes_per_s * _CHUNK_INTERVAL_MS // MS_PER_SECOND
        )
        for start in range(0, len(response), chunk_bytes):
            writer.write(response[start : start + chunk_bytes])
            await writer.drain()
            await asyncio.sleep(_CHUNK_INTERVAL_MS / MS_PER_SECOND)

    async def _feed(self, query: dict[str, str]) -> dict[str, object] | None:
        """Wait for changes; return None if the version is unknown."""
        since = int(query[names.SINCE_PARAMETER])
        until_ms = self.clock.now() + int(query[names.WAIT_PARAMETER])
        era = self.era
        orphanings = self._orphanings
        while True:
            if self._orphanings > orphanings:
                await asyncio.Event().wait()
            is_known = self.oldest_version <= since <= self.version
            if era != self.era or not is_known:
                return None
            content = self._changes(query['table'], since)
            left_ms = until_ms - self.clock.now()
            if content['rows'] or left_ms <= 0:
                return content
            self._changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(left_ms / MS_PER_SECOND):
                    await self._changed.wait()

    def _page(self, table: str) -> dict[str, object]:
        rows = [
            row
            for (row_table, _), row in sorted(self.rows.items())
            if row_table == table and not row.get('gone')
        ]
        return {'rows': rows, 'more': False}

    def _changes(self, table: str, since: int) -> dict[str, object]:
        """Return all changes of a table, including overwritten ones."""
        rows = [
            row
            for row in self._history
            if row['table'] == table and int(str(row['ver'])) > since
        ]
        return {'rows': rows, 'more': False}

    def _transact(self, body: dict[str, list[dict[str, str]]]) -> bool:
        """Apply a transaction unless an expected version differs."""
        for expected in body.get(names.EXPECTED_FIELD, []):
            row = self.rows.get(
                (expected['table'], expected[names.KEY_FIELD]), {}
            )
            version = 0 if row.get('gone') else row.get('ver', 0)
            if version != expected['ver']:
                return False
        for removal in body.get(names.REMOVED_FIELD, []):
            self.delete(removal['table'], removal[names.KEY_FIELD])
        for write in body.get('put', []):
            content = base64.b64decode(write['value'])
            self.put(write['table'], write[names.KEY_FIELD], content)
        return True

    def _append(self, table: str, key: str, content: dict[str, object]) -> None:
        self.version += 1
        row = {
            'table': table,
            names.KEY_FIELD: key,
            'ver': self.version,
        } | content
        self.rows[(table, key)] = row
        self._history.append(row)
        self._written_ms.append(self.clock.now())
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        self._changed.set()


@asynccontextmanager
async def run_store() -> AsyncIterator[StandInStore]:
    """Run a stand-in store on a free port."""
    store = StandInStore()
    async with run_scripted(store.handle) as server:
        store.address = server.address
        yield store
