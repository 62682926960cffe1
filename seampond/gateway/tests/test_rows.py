"""Rows that another writer has left in the tables that a gateway follows.

A gateway that had read one row nested a thousand levels deep, or one with a
number beyond all bounds, served on with the servers that it knew and never
learned of another: the error ended the task that follows the list.  Of 32 rows
with a field missing, of another type or of no known word 20 were taken as
servers, and requests went to addresses where nobody listens.
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
from seampond.testing.gateways import ZONE, build_backends, pick, until_true
from seampond.watches import Page, Row

_GOOD: MappingProxyType[str, Any] = MappingProxyType(
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
_RAW = (
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
    json.dumps({**_GOOD}).encode().replace(b'2', b'1e999', 1),
    json.dumps(_GOOD | {'slots': 0}).encode().replace(b' 0,', b' 1e400,', 1),
    json.dumps(_GOOD | {'slots': 10**400}).encode(),
    json.dumps(_GOOD | {'cold-left-ms': 10**400}).encode(),
    b'\x00' * 70_000,
)


def _encode(content: dict[str, Any]) -> bytes:
    return json.dumps(content).encode()


def _list_bad() -> list[bytes]:
    lacking = [
        {name: told for name, told in _GOOD.items() if name != left_out}
        for left_out in ('service', 'address', 'zone', 'slots', 'state')
    ]
    changed = [_GOOD | change for change in _CHANGES]
    return [*map(_encode, [*lacking, *changed]), *_RAW]


_ANY = st.recursive(
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
        st.sampled_from((*_GOOD, 'limits', 'routes', 'other')), _ANY, max_size=9
    ).map(lambda changes: _GOOD | changes),
)


class ServerRowTest(unittest.TestCase):
    """The list of servers beside rows that name none."""

    def setUp(self) -> None:
        """Know one good server."""
        self.backends = build_backends([])
        scheduler = Scheduler(
            self.backends, ZONE, Clock(), lambda: 1, build_promises()
        )
        self.follower = ServerFollower(self.backends, scheduler)
        self._take(_encode({**_GOOD}))

    def test_rows_that_name_no_server(self) -> None:
        """A field missing or of another type, an unknown word, no JSON."""
        for content in _list_bad():
            with self.subTest(content=content[:60]):
                with self.assertRaises(PlatformError):
                    parse_server('i-9', content)

    def test_good_server_whose_row_turns_bad(self) -> None:
        """It gets nothing new, has not left, and is back with its next row."""
        for content in _list_bad():
            self._take(content)
            spoiled = pick(self.backends, 'i-1')
            self.assertFalse(spoiled.takes_work)
            self.assertFalse(spoiled.may_send(0))
            self.assertTrue(spoiled.is_listed)
            self._take(_encode({**_GOOD}))
            self.assertTrue(pick(self.backends, 'i-1').takes_work)

    def test_spoiled_row_in_a_whole_read(self) -> None:
        """Its server is not taken for one that has left."""
        row = Row('i-1', b'{', 3)
        self.follower.handle_page(Page((row,), 9, 0, 0, 0, is_snapshot=True))
        self.assertTrue(pick(self.backends, 'i-1').is_listed)

    def test_bad_row_is_told_once(self) -> None:
        """However often it is written."""
        with self.assertLogs('seampond.gateway.followers', 'ERROR') as logs:
            for _ in range(5):
                self._take(b'{')
        self.assertEqual(len(logs.records), 1)

    @seed(11)
    @settings(max_examples=300, deadline=None)
    @given(st.lists(_ROWS, max_size=5))
    def test_good_rows_hold_beside_any(self, told: list[bytes]) -> None:
        """Whatever comes with them, in one answer."""
        bad = [Row(f'b-{key}', content, 2) for key, content in enumerate(told)]
        good = Row('i-2', _encode(_GOOD | {'address': '10.0.0.2:80'}), 3)
        page = Page((*bad, good), 9, 0, 0, 0, is_snapshot=False)
        self.follower.handle_page(page)
        self.assertTrue(pick(self.backends, 'i-2').takes_work)
        self.assertTrue(pick(self.backends, 'i-1').takes_work)

    def _take(self, content: bytes) -> None:
        row = Row('i-1', content, 2)
        self.follower.handle_page(Page((row,), 9, 0, 0, 0, is_snapshot=False))


class OtherRowTest(unittest.TestCase):
    """The rows of the other tables."""

    @seed(12)
    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(_RAW) | _ROWS)
    def test_any_row_is_read_or_refused(self, content: bytes) -> None:
        """Configurations, orders and states: a clear error, no other."""
        row = Row('rollout/s1', content, 2)
        for read in (parse_order, parse_status, parse_step):
            with self.subTest(read=read.__name__):
                self._read(read, row)
        self._read(parse_configuration, content)

    @seed(13)
    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.sampled_from(_RAW) | _ROWS, max_size=5))
    def test_gateways_hold_beside_any(self, told: list[bytes]) -> None:
        """A row that is none neither adds nor removes a gateway."""
        peers = Peers('g0', ManualClock())
        good = Row('g1', b'{"address": "10.0.0.1:7600"}', 2)
        apply_gateway_rows(peers, Page((good,), 9, 0, 0, 0, is_snapshot=True))
        rows = [Row(f'b-{key}', content, 2) for key, content in enumerate(told)]
        spoiled = Row('g1', b'[' * 100_000, 3)
        page = Page((*rows, spoiled), 9, 0, 0, 0, is_snapshot=True)
        apply_gateway_rows(peers, page)
        self.assertEqual(peers.address_of('g1'), '10.0.0.1:7600')

    def _read(self, read: Any, told: Any) -> None:
        try:
            read(told)
        except PlatformError:
            return


class RunningGatewayTest(GatewayCase):
    """A gateway goes on following its tables."""

    async def test_list_is_followed_after_a_bad_row(self) -> None:
        """A server that is listed after each of the two worst is known."""
        gateway = await self.start_ready()
        known = gateway.components.backends
        for number, content in enumerate((_RAW[7], _RAW[13]), start=2):
            self.store.put(SERVERS_TABLE, f'b-{number}', content)
            self.store.put(GATEWAYS_TABLE, f'g-{number}', content)
            put_server(self.store, f'i-{number}', self.server.address)
            await until_true(partial(known.get, f'i-{number}'))
        self.assertEqual((await self.ask(gateway)).status_code, 200)
