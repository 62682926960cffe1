"""Tests of invalid rows in the tables that a gateway follows.

An invalid row must neither stop the task that follows its table nor be taken
for a server, whatever its bytes are.
"""

import json
import unittest
from functools import partial
from types import MappingProxyType
from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from seampond.clock import Clock, ManualClock
from seampond.errors import PlatformError
from seampond.forwarding.scheduler import Scheduler
from seampond.gateway.followers import ServerFollower
from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform import parse_configuration, parse_server
from seampond.platform.names import GATEWAYS_TABLE, SERVERS_TABLE
from seampond.platform.rollouts import parse_order, parse_status, parse_step
from seampond.platform.tests.rows import put_server
from seampond.sharing import Peers
from seampond.sharing.transport import apply_gateway_rows
from seampond.testing.builders import build_promises
from seampond.testing.gateways import (
    ZONE,
    build_backends,
    get_backend,
    wait_until,
)
from seampond.watches import Page, Row

_VALID: MappingProxyType[str, Any] = MappingProxyType(
    {
        'service': 's1',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'cold-left-ms': 0,
        'born': 1_780_000_000_000,
    }
)
_CHANGES: tuple[dict[str, Any], ...] = (
    {'service': None},
    {'service': 7},
    {'service': ''},
    {'service': ['s1']},
    {'address': None},
    {'address': 80},
    {'address': '10.0.0.1'},
    {'address': '10.0.0.1:'},
    {'address': '10.0.0.1:0'},
    {'address': '10.0.0.1:65536'},
    {'address': '10.0.0.1:8a'},
    {'address': '10.0.0.1:-1'},
    {'address': '10.0.0.256:80'},
    {'address': ':80'},
    {'address': 'somewhere:80'},
    {'zone': 3},
    {'zone': {}},
    {'slots': '2'},
    {'slots': 2.5},
    {'slots': 0},
    {'slots': -1},
    {'slots': None},
    {'slots': True},
    {'state': 'resting'},
    {'state': None},
    {'state': 1},
    {'version': 1},
    {'cold-left-ms': 'long'},
    {'cold-left-ms': -5},
    {'born': 1.5},
    {'born': '1780000000000'},
    {'born': True},
)
_MALFORMED = (
    b'',
    b'{',
    b'null',
    b'[]',
    b'7',
    b'\xff\xfe',
    b'{"service": "\xff"}',
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'{"service": "s1", "x": %b}' % (b'[' * 100_000),
    json.dumps({**_VALID}).encode().replace(b'2', b'1e999', 1),
    json.dumps(_VALID | {'slots': 0}).encode().replace(b' 0,', b' 1e400,', 1),
    json.dumps(_VALID | {'slots': 10**400}).encode(),
    json.dumps(_VALID | {'cold-left-ms': 10**400}).encode(),
    b'\x00' * 70_000,
)


def _encode(content: dict[str, Any]) -> bytes:
    return json.dumps(content).encode()


def _list_invalid() -> list[bytes]:
    incomplete = [
        {name: value for name, value in _VALID.items() if name != omitted}
        for omitted in ('service', 'address', 'zone', 'slots', 'state')
    ]
    changed = [_VALID | change for change in _CHANGES]
    return [*map(_encode, [*incomplete, *changed]), *_MALFORMED]


_ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
_ROWS = st.binary(max_size=60) | st.builds(
    _encode,
    st.dictionaries(
        st.sampled_from((*_VALID, 'limits', 'routes', 'other')),
        _ANY_JSON,
        max_size=9,
    ).map(lambda changes: _VALID | changes),
)


class ServerRowTest(unittest.TestCase):
    """The server list with invalid rows."""

    def setUp(self) -> None:
        """Start with one valid server."""
        self.backends = build_backends([])
        scheduler = Scheduler(
            self.backends, ZONE, Clock(), lambda: 1, build_promises()
        )
        self.follower = ServerFollower(self.backends, scheduler)
        self._take(_encode({**_VALID}))

    def test_invalid_rows_are_rejected(self) -> None:
        """Missing fields, wrong types, unknown states, malformed JSON."""
        for content in _list_invalid():
            with self.subTest(content=content[:60]):
                with self.assertRaises(PlatformError):
                    parse_server('i-9', content)

    def test_server_whose_row_becomes_invalid(self) -> None:
        """It gets no new requests until its row is valid again."""
        for content in _list_invalid():
            self._take(content)
            invalid = get_backend(self.backends, 'i-1')
            self.assertFalse(invalid.takes_work)
            self.assertFalse(invalid.may_send(0))
            self.assertTrue(invalid.is_listed)
            self._take(_encode({**_VALID}))
            self.assertTrue(get_backend(self.backends, 'i-1').takes_work)

    def test_invalid_row_in_a_snapshot(self) -> None:
        """Its server is not taken for one that was removed."""
        row = Row('i-1', b'{', 3)
        self.follower.handle_page(Page((row,), 9, 0, 0, 0, is_snapshot=True))
        self.assertTrue(get_backend(self.backends, 'i-1').is_listed)

    def test_invalid_row_is_logged_once(self) -> None:
        """However often it is written."""
        with self.assertLogs('seampond.gateway.followers', 'ERROR') as logs:
            for _ in range(5):
                self._take(b'{')
        self.assertEqual(len(logs.records), 1)

    @seed(11)
    @settings(max_examples=300, deadline=None)
    @given(st.lists(_ROWS, max_size=5))
    def test_valid_rows_apply_beside_any_others(
        self, raw_rows: list[bytes]
    ) -> None:
        """In the same answer."""
        invalid_rows = [
            Row(f'b-{key}', content, 2) for key, content in enumerate(raw_rows)
        ]
        valid = Row('i-2', _encode(_VALID | {'address': '10.0.0.2:80'}), 3)
        page = Page((*invalid_rows, valid), 9, 0, 0, 0, is_snapshot=False)
        self.follower.handle_page(page)
        self.assertTrue(get_backend(self.backends, 'i-2').takes_work)
        self.assertTrue(get_backend(self.backends, 'i-1').takes_work)

    def _take(self, content: bytes) -> None:
        row = Row('i-1', content, 2)
        self.follower.handle_page(Page((row,), 9, 0, 0, 0, is_snapshot=False))


class OtherRowTest(unittest.TestCase):
    """Rows of the other tables."""

    @seed(12)
    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(_MALFORMED) | _ROWS)
    def test_any_row_is_parsed_or_rejected(self, content: bytes) -> None:
        """No other error for configurations, orders and states."""
        row = Row('rollout/s1', content, 2)
        for parse in (parse_order, parse_status, parse_step):
            with self.subTest(read=parse.__name__):
                self._parse(parse, row)
        self._parse(parse_configuration, content)

    @seed(13)
    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.sampled_from(_MALFORMED) | _ROWS, max_size=5))
    def test_invalid_rows_do_not_change_the_gateways(
        self, raw_rows: list[bytes]
    ) -> None:
        """They neither add nor remove a gateway."""
        peers = Peers('g0', ManualClock())
        valid = Row('g1', b'{"address": "10.0.0.1:7600"}', 2)
        apply_gateway_rows(peers, Page((valid,), 9, 0, 0, 0, is_snapshot=True))
        rows = [
            Row(f'b-{key}', content, 2) for key, content in enumerate(raw_rows)
        ]
        invalid = Row('g1', b'[' * 100_000, 3)
        page = Page((*rows, invalid), 9, 0, 0, 0, is_snapshot=True)
        apply_gateway_rows(peers, page)
        self.assertEqual(peers.address_of('g1'), '10.0.0.1:7600')

    def _parse(self, parse: Any, content: Any) -> None:
        try:
            parse(content)
        except PlatformError:
            return


class RunningGatewayTest(GatewayCase):
    """A running gateway that follows its tables."""

    async def test_list_is_followed_after_an_invalid_row(self) -> None:
        """Servers listed later are still found."""
        gateway = await self.start_ready()
        backends = gateway.components.backends
        for number, content in enumerate(
            (_MALFORMED[7], _MALFORMED[13]), start=2
        ):
            self.store.put(SERVERS_TABLE, f'b-{number}', content)
            self.store.put(GATEWAYS_TABLE, f'g-{number}', content)
            put_server(self.store, f'i-{number}', self.server.address)
            await wait_until(partial(backends.get, f'i-{number}'))
        self.assertEqual((await self.ask(gateway)).status_code, 200)
