"""Heartbeats to bytes and back, and how many bytes."""

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
    """Give the heartbeat of a busy gateway."""
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
    """Give levels of a bucket and of a debt."""
    return {hash_name('t1'): 90_000, hash_name('t2'): -77_000}


class HeartbeatTest(unittest.TestCase):
    """The message between gateways."""

    def test_round_trip(self) -> None:
        """What is decoded is what was encoded."""
        heartbeat = replace(build_heartbeat(15, 16), levels=build_levels())
        self.assertEqual(decode(encode(heartbeat)), heartbeat)

    def test_pages_of_the_store(self) -> None:
        """Rows that changed, and one that went."""
        rows = (
            Row('i-1', b'{"a": 1}', 41),
            Row('i-2', b'', 42, is_deleted=True),
        )
        page = RelayedPage(hash_name('servers'), 40, 43, 123_456, rows)
        heartbeat = Heartbeat(
            'g', 1, 1, is_store_unreachable=True, pages=(page,)
        )
        self.assertEqual(decode(encode(heartbeat)), heartbeat)

    def test_reports_of_roll_outs(self) -> None:
        """Stage, open work and counts; a stage of a later program is none."""
        tallies = {TallyKey(7, is_new=True): Tally(40, 3)}
        report = Report(hash_name('llm'), 12, Stage.closed, 2, tallies)
        heartbeat = Heartbeat('g', 1, 1, rollouts=(report,))
        self.assertEqual(decode(encode(heartbeat)), heartbeat)
        message = _schema().Heartbeat.new_message(name='g')
        message.init('rollouts', 1)[0].stage = 9
        with self.assertRaises(ForeignMessageError):
            decode(message.to_bytes_packed())

    def test_most_counts_fit_into_a_datagram(self) -> None:
        """As many routes as are told apart, beside all loads."""
        tallies = {
            TallyKey(hash_name(f'r{number}'), is_new=bool(number % 2)): Tally(
                9, 1
            )
            for number in range(520)
        }
        report = Report(hash_name('llm'), 12, Stage.trial, 0, tallies)
        heartbeat = replace(build_heartbeat(60, 300), rollouts=(report,))
        self.assertLess(len(encode(heartbeat)), _DATAGRAM_BYTES)

    def test_parts_of_units_are_told_as_whole(self) -> None:
        """Too much, never too little; a refund beyond all is nothing."""
        heartbeat = Heartbeat('g', 1, 1, spent={1: 2.5, 2: -1.0})
        self.assertEqual(decode(encode(heartbeat)).spent, {1: 3, 2: 0})

    def test_busy_gateway_is_told_in_few_bytes(self) -> None:
        """Gateways in other zones are told each time; bytes are priced."""
        packet = encode(build_heartbeat(15, 16))
        self.assertLess(len(packet), _BYTES_MAX)

    def test_other_bytes_are_refused(self) -> None:
        """A datagram that is no heartbeat is an error with its sender."""
        with self.assertRaises(ForeignMessageError) as caught:
            decode(b'no heartbeat at all', peer='10.0.0.1')
        self.assertEqual(caught.exception.peer, '10.0.0.1')

    def test_columns_of_unlike_length_are_refused(self) -> None:
        """A table with a key and no figure is no heartbeat."""
        message = _schema().Heartbeat.new_message(name='g')
        message.spentTenants = [1, 2]
        message.spentUnits = [1]
        with self.assertRaises(ForeignMessageError):
            decode(message.to_bytes_packed())
