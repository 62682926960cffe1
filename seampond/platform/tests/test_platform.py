"""Tests of the platform's row formats and of calls to its store."""

import asyncio
import json
import re
import unittest
from pathlib import Path
from types import MappingProxyType

import seampond
from seampond.clock import Clock
from seampond.errors import ConflictError, CutAnswerError, PlatformError
from seampond.forwarding.models import RequestKind
from seampond.platform import (
    names,
    open_table,
    parse_configuration,
    parse_server,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)
from seampond.testing.store import run_store
from seampond.watches import (
    HedgedSource,
    HistoryGoneError,
    LongChangesError,
)

_ROOT = Path(seampond.__file__).parent
_CONFIGURATION = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': 'A.example',
                'path-prefix': '/x/',
                'kind': 'streaming',
                'timeout-ms': 15000,
                'target-latency-ms': 800,
                'priority': 0,
                'traffic-split': [
                    {'service': 's1', 'weight': 90},
                    {'service': 's2', 'weight': 10},
                ],
                'max-attempts': 2,
                'stream-resume': True,
                'a-field-of-later': 1,
            },
            {
                'name': 'r2',
                'host': 'a.example',
                'path-prefix': '/x/y/',
                'kind': 'non_idempotent',
                'service': 's2',
                'public': True,
            },
        ],
        'services': [{'name': 's1', 'max-conns': 9, 'engine': {'slots': 10}}],
        'limits': {'max-header-bytes': 5, 'max-body-bytes': 6},
        'tenants': [
            {
                'name': 't1',
                'api-keys': ['k1', 'k2'],
                'priority': 1,
                'unit': 'tokens',
                'plain-tokens': 200,
                'rate-per-s': 1000,
                'burst': 500,
            }
        ],
    }
)


class FormatTest(unittest.TestCase):
    """Rows as the store holds them."""

    def test_configuration(self) -> None:
        """Routes, tenants, pools and limits; unknown fields are ignored."""
        configuration = parse_configuration(
            json.dumps(dict(_CONFIGURATION)).encode()
        )
        self.assertEqual(configuration.version, 7)
        first = configuration.find_route('a.example', '/x/z')
        assert first is not None
        self.assertEqual((first.name, first.kind), ('r1', RequestKind.stream))
        self.assertEqual([share.weight for share in first.shares], [90, 10])
        self.assertTrue(first.may_repeat)
        tenant = configuration.find_tenant('k2')
        assert tenant is not None
        self.assertEqual((tenant.rate, tenant.default_units), (1000, 200))
        self.assertIsNone(configuration.find_tenant('k3'))
        self.assertTrue(configuration.pools['s1'].is_engine)
        self.assertEqual(configuration.limits.body_bytes, 6)

    def test_longest_prefix_wins(self) -> None:
        """Among the routes of the same host."""
        configuration = parse_configuration(
            json.dumps(dict(_CONFIGURATION)).encode()
        )
        cases = {
            '/x/y/z': 'r2',
            '/x/y/': 'r2',
            '/x/y': 'r1',
            '/x/': 'r1',
            '/x//y/': 'r1',
        }
        for path, name in cases.items():
            with self.subTest(path):
                route = configuration.find_route('a.example', path)
                assert route is not None
                self.assertEqual(route.name, name)
        for host, path in (('a.example', '/x'), ('b.example', '/x/')):
            self.assertIsNone(configuration.find_route(host, path))

    def test_invalid_rows_are_rejected(self) -> None:
        """The error names the invalid field."""
        with self.assertRaisesRegex(PlatformError, 'version'):
            parse_configuration(b'{"routes": []}')
        for row in (b'', b'[]', b'{"service": "s"}'):
            with self.assertRaises(PlatformError):
                parse_server('i-1', row)

    def test_draining_server(self) -> None:
        """The state of the row is read."""
        row = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'state': 'draining',
            'slots': 3,
        }
        server = parse_server('i-1', json.dumps(row).encode())
        self.assertTrue(server.is_draining)
        self.assertEqual(server.slots, 3)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a stand-in for the store."""

    async def test_read_then_changes(self) -> None:
        """Read a table, then a change and a removal."""
        async with run_store() as store:
            store.put('t', 'a', b'one')
            async with open_table(store.address, 't', Clock()) as table:
                page = await table.read_all()
                self.assertEqual([row.content for row in page.rows], [b'one'])
                store.delete('t', 'a')
                page = await table.read_changes(page.version, 1000)
                self.assertTrue(page.rows[0].is_deleted)
                page = await table.read_changes(page.version, 10)
                self.assertEqual(page.rows, ())

    async def test_conditional_removal(self) -> None:
        """A row that has changed since is not removed."""
        async with run_store() as store:
            async with open_table(store.address, 't', Clock()) as table:
                await table.put('a', b'one')
                page = await table.read_all()
                await table.put('a', b'two')
                with self.assertRaises(ConflictError):
                    await table.remove('a', page.rows[0].version)
                page = await table.read_all()
                await table.remove('a', page.rows[0].version)
                page = await table.read_all()
                self.assertEqual(page.rows, ())

    async def test_lost_history(self) -> None:
        """Status 410 raises an error of its own."""
        async with run_store() as store:
            store.put('t', 'a', b'one')
            store.compact()
            async with open_table(store.address, 't', Clock()) as table:
                with self.assertRaises(HistoryGoneError):
                    await table.read_changes(1, 10)

    async def test_changes_that_are_too_long_are_not_read(self) -> None:
        """The client says so and goes on with a new connection."""
        async with run_store() as store:
            store.put('t', 'a', bytes(30_000))
            async with open_table(store.address, 't', Clock()) as table:
                table.max_changes_bytes = 20_000
                with self.assertRaises(LongChangesError):
                    await table.read_changes(0, 0)
                table.max_changes_bytes = 30_000
                page = await table.read_changes(0, 0)
                self.assertEqual(len(page.rows), 1)

    async def test_late_answer_is_not_taken_for_the_next(self) -> None:
        """The connection is closed after a timeout."""
        async with run_store() as store:
            store.put('t', 'a', b'old')
            async with open_table(store.address, 't', Clock()) as table:
                await table.read_all()
                store.next_delay_ms = 1300
                with self.assertRaises(PlatformError):
                    await table.read_all()
                store.put('t', 'a', b'new')
                page = await table.read_all()
                self.assertEqual([row.content for row in page.rows], [b'new'])

    async def test_call_after_a_closed_connection(self) -> None:
        """It uses a new connection."""
        async with run_store() as store:
            store.put('t', 'a', b'one')
            async with open_table(store.address, 't', Clock()) as table:
                await table.read_all()
                store.next_delay_ms = 5000
                with self.assertRaises(PlatformError):
                    await table.read_changes(store.version, 10)
                page = await table.read_all()
                self.assertEqual(len(page.rows), 1)

    async def test_lost_answer_is_read_on_a_spare_connection(self) -> None:
        """It must not fail a call while other connections work."""
        async with run_store() as store:
            store.put('t', 'a', b'one')
            async with (
                open_table(store.address, 't', Clock()) as table,
                open_table(store.address, 't', Clock()) as spare,
            ):
                hedged = HedgedSource(table, spare, lambda: 2000, lambda: None)
                for _ in range(2):
                    store.next_delay_ms = 5000
                    page = await hedged.read_all()
                    self.assertEqual(len(page.rows), 1)

    async def test_malformed_answer_is_an_error(self) -> None:
        """Text that is not JSON, or JSON without the required fields."""

        async def serve_text(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(format_response(200, {}, texts.pop()))

        texts = [b'[]', b'{"rows": [{}], "ver": 1, "now_ms": 1}', b'what']
        async with (
            run_scripted(serve_text) as server,
            open_table(server.address, 't', Clock()) as table,
        ):
            while texts:
                with self.assertRaises(PlatformError):
                    await table.read_all()

    async def test_truncated_answer_reports_received_bytes(self) -> None:
        """It can be told from a store that does not answer."""

        async def serve_half(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(format_response(200, {}, b'{"rows"', length=99))

        async with (
            run_scripted(serve_half) as server,
            open_table(server.address, 't', Clock()) as table,
        ):
            with self.assertRaises(CutAnswerError) as caught:
                await table.read_changes(1, 0)
        self.assertEqual(caught.exception.received, len(b'{"rows"'))

    async def test_slow_answer_is_read_to_its_end(self) -> None:
        """Only inactivity ends a call, not the time on a slow link."""
        async with run_store() as store:
            store.put('t', 'a', b'x' * 200_000)
            store.bytes_per_s = 160_000
            async with open_table(store.address, 't', Clock()) as table:
                page = await table.read_all()
        self.assertEqual(len(page.rows[0].content), 200_000)

    async def test_paged_read_has_the_version_of_its_first_page(self) -> None:
        """Changes between two pages must be requested again."""

        async def serve_page(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            row = {names.KEY_FIELD: f'k{len(pages)}', 'ver': 1, 'value': ''}
            page = pages.pop(0) | {'rows': [row]}
            writer.write(format_response(200, {}, json.dumps(page).encode()))

        pages: list[dict[str, object]] = [
            {'ver': 5, 'now_ms': 100, 'more': True},
            {'ver': 9, 'now_ms': 300, 'more': False},
        ]
        async with (
            run_scripted(serve_page) as server,
            open_table(server.address, 't', Clock()) as table,
        ):
            page = await table.read_all()
        self.assertEqual([row.key for row in page.rows], ['k2', 'k1'])
        self.assertEqual((page.version, page.store_ms), (5, 100))

    async def test_store_that_is_down(self) -> None:
        """Status 503 raises an error with step and peer."""
        async with run_store() as store:
            store.is_down = True
            async with open_table(store.address, 't', Clock()) as table:
                with self.assertRaises(PlatformError) as caught:
                    await table.read_all()
        self.assertEqual(caught.exception.step, names.READ_PATH)
        self.assertIn(store.address, caught.exception.peer)


class NamesTest(unittest.TestCase):
    """Only the platform package uses the platform's names."""

    def test_names_occur_in_no_other_package(self) -> None:
        """No header, path or field of the platform elsewhere."""
        source = (_ROOT / 'platform' / 'names.py').read_text()
        source += (_ROOT / 'platform' / 'configuration.py').read_text()
        quoted = set(re.findall(r"'([^'\n]+)'", source))
        fields = set(re.findall(r'^    (\w+_\w+): ', source, re.MULTILINE))
        words = {field.replace('_', '-') for field in fields}
        # Names of HTTP, and plain English words.
        allowed = {'last-event-id', 'draining', 'idempotent', '/ready'}
        banned = {
            word
            for word in quoted | words
            if re.search('[-_/]', word) and re.search('[a-z]', word)
        } - allowed
        self.assertIn('x-seampond-request-id', banned)
        self.assertIn('max-attempts', banned)
        found = [
            f'{path.relative_to(_ROOT)}: {word}'
            for path in sorted(_ROOT.rglob('*.py'))
            if 'platform' not in path.parts
            for word in sorted(banned)
            if re.search(
                f'[\'"/]{re.escape(word.lstrip("/"))}[\'"?/]',
                path.read_text().lower(),
            )
        ]
        self.assertEqual(found, [])
