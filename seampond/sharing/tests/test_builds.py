"""Gateways of other builds: what they send, and what holds beside them.

Beside a build from before the tables of heartbeats became columns neither
understood the other (`gateway silent`), and after 20 s each took itself for
alone: what all share was given twice.
"""

import re
import tempfile
import unittest
import zlib
from pathlib import Path
from typing import Any

import capnp

from seampond.clock import ManualClock
from seampond.sharing import Heartbeat, Peers
from seampond.sharing.heartbeats import decode, encode

_FORGET_MS = 20_000
_HERE = Path(__file__).parent
_SCHEMAS = sorted((_HERE / 'schemas').glob('*.capnp'))
_ID = re.compile('@0x[0-9a-f]+;')
_ID_BIT = 1 << 63
_FIELD = re.compile(r'(\w+) @(\d+) :([\w()]+);')
_STRUCT = re.compile(r'struct (\w+) \{(.*?)\n\}', re.DOTALL)


def _read_fields(schema: str) -> dict[tuple[str, str], tuple[str, str]]:
    """Give name and type by struct and number."""
    return {
        (struct, number): (name, kind)
        for struct, content in _STRUCT.findall(schema)
        for name, number, kind in _FIELD.findall(content)
    }


def _list_changes(before: str, after: str) -> list[str]:
    """Give the fields that do not stand any more as they did."""
    fields = _read_fields(after)
    return [
        f'{struct} @{number} {name} :{kind}'
        for (struct, number), (name, kind) in _read_fields(before).items()
        if fields.get((struct, number)) != (name, kind)
    ]


def _load(path: Path) -> Any:
    """Give a schema beside today's, which has the same id."""
    schema = path.read_text(encoding='utf-8')
    other_id = f'@0x{zlib.crc32(path.stem.encode()) | _ID_BIT:x};'
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / path.name
        copy.write_text(_ID.sub(other_id, schema, count=1), encoding='utf-8')
        return capnp.load(str(copy))


class SchemaTest(unittest.TestCase):
    """Messages only grow."""

    def setUp(self) -> None:
        """Read today's schema."""
        path = _HERE.parent / 'heartbeat.capnp'
        self.today = path.read_text(encoding='utf-8')

    def test_each_landing_is_extended(self) -> None:
        """Numbers keep their name and type."""
        self.assertGreater(len(_SCHEMAS), 0)
        for path in _SCHEMAS:
            with self.subTest(landing=path.stem):
                before = path.read_text(encoding='utf-8')
                self.assertEqual(_list_changes(before, self.today), [])

    def test_field_that_changes_is_found(self) -> None:
        """Another type, another number, or gone."""
        for before, after in (
            ('version @3 :UInt64', 'version @3 :UInt32'),
            ('version @3 :UInt64', 'version @99 :UInt64'),
            ('  version @3 :UInt64;\n', ''),
        ):
            changed = self.today.replace(before, after)
            self.assertEqual(len(_list_changes(self.today, changed)), 1)

    def test_bytes_of_earlier_landings_are_read(self) -> None:
        """And today's by their schemas, as far as these go."""
        told = Heartbeat('g1', 7, 3, 12, {5: 4}, uptime_ms=900)
        for path in _SCHEMAS:
            with self.subTest(landing=path.stem):
                earlier = _load(path).Heartbeat
                reader = earlier.from_bytes_packed(encode(told))
                self.assertEqual(reader.name, told.name)
                self.assertEqual(list(reader.spentUnits), [4])
                written = earlier.new_message(
                    name='g1', incarnation=7, sequence=3
                )
                read = decode(written.to_bytes_packed())
                self.assertEqual(read, Heartbeat('g1', 7, 3))
                self.assertFalse(read.issues_permits)


class NotUnderstoodTest(unittest.TestCase):
    """A gateway that is listed, and whose words cannot be read."""

    def test_it_counts_and_is_not_heard(self) -> None:
        """However long it has been so; its part is not given."""
        clock = ManualClock(1000)
        peers = Peers('g1', clock)
        peers.apply_rows([('g2', 'x:1')])
        for _ in range(30):
            clock.advance(_FORGET_MS // 20)
            peers.record_undecodable('x:1')
            peers.record_undecodable('x:2')
        self.assertEqual(peers.count, 2)
        self.assertFalse(peers.all_reachable)
        self.assertEqual(peers.reachable_fraction, 0.5)

    def test_it_is_forgotten_once_nothing_comes(self) -> None:
        """As one that was silent for as long."""
        clock = ManualClock(1000)
        peers = Peers('g1', clock)
        peers.apply_rows([('g2', 'x:1')])
        clock.advance(_FORGET_MS)
        peers.record_undecodable('x:1')
        clock.advance(_FORGET_MS + 1)
        self.assertEqual(peers.count, 1)
