"""Tests of the compatibility of heartbeats between builds.

Guard against builds that cannot decode each other's heartbeats, and against
shared limits granted twice beside such a build.
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
    """Return name and type by struct and field number."""
    return {
        (struct, number): (name, kind)
        for struct, content in _STRUCT.findall(schema)
        for name, number, kind in _FIELD.findall(content)
    }


def _list_changes(before: str, after: str) -> list[str]:
    """Return the fields that were changed or removed."""
    fields = _read_fields(after)
    return [
        f'{struct} @{number} {name} :{kind}'
        for (struct, number), (name, kind) in _read_fields(before).items()
        if fields.get((struct, number)) != (name, kind)
    ]


def _load(path: Path) -> Any:
    """Load an earlier schema under an id of its own."""
    schema = path.read_text(encoding='utf-8')
    other_id = f'@0x{zlib.crc32(path.stem.encode()) | _ID_BIT:x};'
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / path.name
        copy.write_text(_ID.sub(other_id, schema, count=1), encoding='utf-8')
        return capnp.load(str(copy))


class SchemaTest(unittest.TestCase):
    """The schema may only be extended."""

    def setUp(self) -> None:
        """Read the current schema."""
        path = _HERE.parent / 'heartbeat.capnp'
        self.current = path.read_text(encoding='utf-8')

    def test_earlier_fields_are_unchanged(self) -> None:
        """Each field number must keep its name and type."""
        self.assertGreater(len(_SCHEMAS), 0)
        for path in _SCHEMAS:
            with self.subTest(landing=path.stem):
                before = path.read_text(encoding='utf-8')
                self.assertEqual(_list_changes(before, self.current), [])

    def test_changed_field_is_found(self) -> None:
        """Changed types, changed numbers and removals must be detected."""
        for before, after in (
            ('version @3 :UInt64', 'version @3 :UInt32'),
            ('version @3 :UInt64', 'version @99 :UInt64'),
            ('  version @3 :UInt64;\n', ''),
        ):
            changed = self.current.replace(before, after)
            self.assertEqual(len(_list_changes(self.current, changed)), 1)

    def test_earlier_and_current_builds_decode_each_other(self) -> None:
        """Messages must be readable in both directions."""
        heartbeat = Heartbeat('g1', 7, 3, 12, {5: 4}, uptime_ms=900)
        for path in _SCHEMAS:
            with self.subTest(landing=path.stem):
                earlier = _load(path).Heartbeat
                reader = earlier.from_bytes_packed(encode(heartbeat))
                self.assertEqual(reader.name, heartbeat.name)
                self.assertEqual(list(reader.spentUnits), [4])
                written = earlier.new_message(
                    name='g1', incarnation=7, sequence=3
                )
                read = decode(written.to_bytes_packed())
                self.assertEqual(read, Heartbeat('g1', 7, 3))
                self.assertFalse(read.issues_permits)


class UndecodablePeerTest(unittest.TestCase):
    """A listed gateway whose datagrams cannot be decoded."""

    def test_is_counted_but_not_reachable(self) -> None:
        """Its fraction of the limits must not be granted by others."""
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

    def test_is_forgotten_without_datagrams(self) -> None:
        """It must not be counted for ever after it has gone."""
        clock = ManualClock(1000)
        peers = Peers('g1', clock)
        peers.apply_rows([('g2', 'x:1')])
        clock.advance(_FORGET_MS)
        peers.record_undecodable('x:1')
        clock.advance(_FORGET_MS + 1)
        self.assertEqual(peers.count, 1)
