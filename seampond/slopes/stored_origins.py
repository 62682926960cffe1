"""Measure what the origins of streams cost in the store.

`python -m seampond.slopes.stored_origins`
"""

import asyncio
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND, ManualClock
from seampond.platform.store import RowTransaction, encode_transaction
from seampond.platform.streams import StoredStreams
from seampond.streams.origin_batches import OriginBatches
from seampond.streams.origin_table import OriginEntry
from seampond.streams.search import hash_stream
from seampond.streams.stream_store import compute_write_interval_ms
from seampond.streams.version_history import RETENTION_MS

_GATEWAY_COUNTS = (4, 30, 340)
# Of each gateway at the target size.
_STREAMS_PER_S = 24
_VERSIONS = ('v1', 'v2')
_POOL = 7
# Head of a call, by the client.
_HEAD_BYTES = 110


@dataclass
class CountingTable:
    """Counts the bytes of the writes and the rows that they leave."""

    era: int = 0
    calls: int = 0
    sent_bytes: int = 0
    rows: dict[str, int] = field(default_factory=dict)

    async def commit(self, transaction: RowTransaction) -> None:
        """Count a transaction."""
        self.calls += 1
        self.sent_bytes += _HEAD_BYTES + len(encode_transaction(transaction))
        for _, removed in transaction.removed:
            self.rows.pop(removed, None)
        for (_, key), content in transaction.puts.items():
            self.rows[key] = len(content)


async def measure(
    table: CountingTable, interval_ms: int, seconds: int
) -> float:
    """Let a gateway write for some time; return the processor seconds."""
    clock = ManualClock(1)
    stored = StoredStreams(table, table)  # type: ignore[arg-type]
    batches = OriginBatches('front-1/0123456789ab/', clock)
    begun = 0
    since_s = time.process_time()
    while clock.now() < seconds * MS_PER_SECOND:
        clock.advance(interval_ms)
        until = clock.now() * _STREAMS_PER_S // MS_PER_SECOND
        streams = [hash_stream(b'%d' % key) for key in range(begun, until)]
        await _write(batches, stored, clock, streams)
        begun = until
    return time.process_time() - since_s


async def _write(
    batches: OriginBatches,
    stored: StoredStreams,
    clock: ManualClock,
    streams: Sequence[int],
) -> None:
    for number, stream in enumerate(streams):
        version = _VERSIONS[number % len(_VERSIONS)]
        batches.add(stream, OriginEntry(_POOL, version, clock.now()))
    write = batches.next_write(clock.now(), ())
    if write is not None:
        await stored.write_batch(write.key, write.batch, write.removed)
        batches.confirm(write)


def main() -> int:
    """Print the cost of each gateway while two versions serve."""
    seconds = 2 * RETENTION_MS // MS_PER_SECOND
    for count in _GATEWAY_COUNTS:
        table = CountingTable()
        interval_ms = compute_write_interval_ms(count)
        spent_s = asyncio.run(measure(table, interval_ms, seconds))
        sys.stdout.write(
            f'{count} gateways: {table.calls / seconds:.2f} calls/s and '
            f'{table.sent_bytes / seconds / 1000:.2f} KB/s sent, '
            f'{spent_s / seconds:.5f} of a core without the socket, '
            f'{len(table.rows)} rows of {sum(table.rows.values()) / 1000:.0f} '
            f'KB kept, written each {interval_ms} ms\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
