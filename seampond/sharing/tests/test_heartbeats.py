"""Tests of the encoding of heartbeats and of its size."""

import unittest
from dataclasses import replace

from seampond.errors import ForeignMessageError
from seampond.rollouts import Report, Stage
from seampond.rollouts.models import Tally, TallyKey
from seampond.sharing import Heartbeat, Load, RelayedPage, hash_name
from seampond.sharing.heartbeats import _schema, decode, encode
from seampond.watches import FreshnessProof, Row

_BYTES_MAX = 450
_DATAGRAM_BYTES = 65_000


def build_heartbeat(servers: int, tenants: int) -> Heartbeat:
    """Return the heartbeat of a busy gateway."""
    return Heartbeat(
        'front-1',
        2**47 + 12345,
        777,
        12,
        {
            hash_name(f't{number}'): 900_000 + number
            for number in range(tenants)
        },
        uptime_ms=45_000,
        loads={
            hash_name(f'i-{number}'): Load(number % 5 + 1, number * 997)
            for number in range(servers)
        },
        proofs={hash_name('op'): FreshnessProof(1_234_567, 99_999_999)},
    )


def build_levels() -> dict[int, int]:
    """Return a positive level and a debt."""
    return {hash_name('t1'): 90_000, hash_name('t2'): -77_000}


class HeartbeatTest(unittest.TestCase):
    """Round trips, sizes and invalid messages."""

    def test_round_trip(self) -> None:
        """Decoding returns the heartbeat that was encoded."""
        heartbeat = replace(build_heartbeat(15, 16), levels=build_levels())
        self.assertEqual(decode(encode(heartbeat)), heartbeat)

    def test_relayed_pages(self) -> None:
        """Changed and deleted rows must survive a round trip."""
        rows = (
            Row('i-1', b'{"a": 1}', 41),
            Row('i-2', b'', 42, is_deleted=True),
        )
        page = RelayedPage(hash_name('servers'), 40, 43, 123_456, rows)
        heartbeat = Heartbeat(
            'g', 1, 1, is_store_unreachable=True, pages=(page,)
        )
        self.assertEqual(decode(encode(heartbeat)), heartbeat)

    def test_rollout_reports(self) -> None:
        """Reports survive a round trip; an unknown stage must be refused."""
        tallies = {TallyKey(7, is_new=True): Tally(40, 3)}
        report = Report(hash_name('llm'), 12, Stage.closed, 2, tallies)
        heartbeat = Heartbeat('g', 1, 1, rollouts=(report,))
        self.assertEqual(decode(encode(heartbeat)), heartbeat)
        message = _schema().Heartbeat.new_message(name='g')
        message.init('rollouts', 1)[0].stage = 9
        with self.assertRaises(ForeignMessageError):
            decode(message.to_bytes_packed())

    def test_largest_heartbeat_fits_into_a_datagram(self) -> None:
        """The maximum number of routes must fit besides all loads."""
        tallies = {
            TallyKey(hash_name(f'r{number}'), is_new=bool(number % 2)): Tally(
                9, 1
            )
            for number in range(520)
        }
        report = Report(hash_name('llm'), 12, Stage.trial, 0, tallies)
        heartbeat = replace(build_heartbeat(60, 300), rollouts=(report,))
        self.assertLess(len(encode(heartbeat)), _DATAGRAM_BYTES)

    def test_spent_units_are_rounded_up(self) -> None:
        """Fractions must not be lost; a negative sum is sent as zero."""
        heartbeat = Heartbeat('g', 1, 1, spent={1: 2.5, 2: -1.0})
        self.assertEqual(decode(encode(heartbeat)).spent, {1: 3, 2: 0})

    def test_heartbeat_size(self) -> None:
        """Heartbeats go to all gateways in all zones and must stay small."""
        packet = encode(build_heartbeat(15, 16))
        self.assertLess(len(packet), _BYTES_MAX)

    def test_invalid_bytes_are_refused(self) -> None:
        """The error must name the sender of an undecodable datagram."""
        with self.assertRaises(ForeignMessageError) as caught:
            decode(b'no heartbeat at all', peer='10.0.0.1')
        self.assertEqual(caught.exception.peer, '10.0.0.1')

    def test_columns_of_different_length_are_refused(self) -> None:
        """A key without a value must not be dropped silently."""
        message = _schema().Heartbeat.new_message(name='g')
        message.spentTenants = [1, 2]
        message.spentUnits = [1]
        with self.assertRaises(ForeignMessageError):
            decode(message.to_bytes_packed())
