"""A stand-in for the store of the users' platform, with its troubles."""

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

# How often a part of an answer goes out over a narrow link.
_PART_MS = 50


@dataclass
class StandInStore:
    """Rows in memory, and what goes wrong with calls about them.

    Parameters
    ----------
    next_delay_ms : int
        How late the next answers are.
    is_down : bool
        Whether each call is answered with 503.
    oldest_version : int
        The oldest version that feeds still know.
    bytes_per_s : int
        How fast answers go out, 0 for any speed: a narrow link of the caller.
    era : int
        How often it was restored from an older copy of itself.

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

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a server would."""
        text = content if isinstance(content, bytes) else json.dumps(content)
        raw = text if isinstance(text, bytes) else text.encode()
        self._store(table, key, {'value': base64.b64encode(raw).decode()})

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._store(table, key, {'gone': True})

    def compact(self) -> None:
        """Forget the history."""
        self.oldest_version = self.version
        self._wake()

    def restore_backup(self, since_ms: int) -> None:
        """Be restored from a copy of a moment; later writes are lost."""
        kept = bisect.bisect_right(self._written_ms, since_ms)
        self._history = self._history[:kept]
        self._written_ms = self._written_ms[:kept]
        self.rows = {
            (str(row['table']), str(row[names.KEY_FIELD])): row
            for row in self._history
        }
        newest = self._history[-1] if self._history else {}
        self.version = int(str(newest.get('ver', 1)))
        self.era += 1
        self._wake()

    def build_response(
        self, request: ReceivedRequest, content: object
    ) -> bytes:
        """Give the bytes of a good answer."""
        return self._stamp(200, json.dumps(content).encode())

    async def handle(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        parts = urlsplit(request.target.decode())
        self.calls.append(parts.path)
        if self.is_down:
            writer.write(self._stamp(503))
            return
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        next_delay_ms = self.next_delay_ms
        self.next_delay_ms = 0
        if parts.path == names.FEED_PATH:
            content = await self._feed(query)
        elif parts.path == names.READ_PATH:
            content = self._page(query['table'])
        elif self._transact(json.loads(request.body)):
            content = {}
        else:
            writer.write(self._stamp(412))
            return
        if content is None:
            writer.write(self._stamp(410))
            return
        stamped = {
            'ver': self.version,
            'now_ms': self.clock.now() + 1_000_000,
        } | content
        await asyncio.sleep(next_delay_ms / MS_PER_SECOND)
        await self._send(writer, self.build_response(request, stamped))

    def _stamp(self, status: int, body: bytes = b'') -> bytes:
        headers = {names.ERA_HEADER.decode(): str(self.era)} if self.era else {}
        return format_response(status, headers, body)

    async def _send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send an answer at the speed of the link."""
        if not self.bytes_per_s:
            writer.write(answer)
            return
        part_bytes = max(1, self.bytes_per_s * _PART_MS // MS_PER_SECOND)
        for start in range(0, len(answer), part_bytes):
            writer.write(answer[start : start + part_bytes])
            await writer.drain()
            await asyncio.sleep(_PART_MS / MS_PER_SECOND)

    async def _feed(self, query: dict[str, str]) -> dict[str, object] | None:
        since = int(query[names.SINCE_PARAMETER])
        until_ms = self.clock.now() + int(query[names.WAIT_PARAMETER])
        era = self.era
        while True:
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
            for (known, _), row in sorted(self.rows.items())
            if known == table and not row.get('gone')
        ]
        return {'rows': rows, 'more': False}

    def _changes(self, table: str, since: int) -> dict[str, object]:
        """Give each change, also those that a later one has overwritten."""
        rows = [
            row
            for row in self._history
            if row['table'] == table and int(str(row['ver'])) > since
        ]
        return {'rows': rows, 'more': False}

    def _transact(self, body: dict[str, list[dict[str, str]]]) -> bool:
        for expected in body.get(names.EXPECTED_FIELD, []):
            known = self.rows.get(
                (expected['table'], expected[names.KEY_FIELD]), {}
            )
            version = 0 if known.get('gone') else known.get('ver', 0)
            if version != expected['ver']:
                return False
        for row in body.get(names.REMOVED_FIELD, []):
            self.delete(row['table'], row[names.KEY_FIELD])
        for row in body.get('put', []):
            content = base64.b64decode(row['value'])
            self.put(row['table'], row[names.KEY_FIELD], content)
        return True

    def _store(self, table: str, key: str, part: dict[str, object]) -> None:
        self.version += 1
        row = {'table': table, names.KEY_FIELD: key, 'ver': self.version} | part
        self.rows[(table, key)] = row
        self._history.append(row)
        self._written_ms.append(self.clock.now())
        self._wake()

    def _wake(self) -> None:
        self._changed.set()


@asynccontextmanager
async def run_store() -> AsyncIterator[StandInStore]:
    """Run the stand-in on a free port until the end of the `with`."""
    store = StandInStore()
    async with run_scripted(store.handle) as server:
        store.address = server.address
        yield store
