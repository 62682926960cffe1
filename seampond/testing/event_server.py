"""A server in a process of its own that streams numbered events.

`python -m seampond.testing.event_server --id i-1 --port 9000`
"""

import argparse
import asyncio
import enum
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, count
from typing import Any

from seampond.clock import MS_PER_SECOND
from seampond.platform.names import HEADERS
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunk,
    format_chunked_response,
    format_response,
    format_unframed_response,
    read_request,
)

_ID_HEADER = HEADERS.request_id.decode()
_STAMP_HEADER = HEADERS.stamp.decode()
_LAST_EVENT_HEADER = HEADERS.last_event.decode()
_SLICE_BYTES = 7
_DISCONNECT_ERRORS = (asyncio.IncompleteReadError, OSError)


@enum.unique
class Framing(enum.Enum):
    """How the end of an answer is marked."""

    chunks = 'chunks'
    slices = 'slices'
    length = 'length'
    close = 'close'


@enum.unique
class Resumption(enum.Enum):
    """With which event a server goes on with a stream."""

    next_event = 'next'
    first_event = 'first'
    last_event = 'last'
    skips_event = 'skip'


@dataclass(frozen=True)
class ServerPlan:
    """How a server answers.

    Parameters
    ----------
    events : int
        Number of events of each stream.
    interval_ms : int
        Time before each event.

    """

    id: str
    port: int
    framing: Framing = Framing.close
    resumption: Resumption = Resumption.next_event
    events: int = 6
    interval_ms: int = 50

    def first_event(self, last_event: int) -> int:
        """Return the number of the event after which a stream goes on."""
        if not last_event or self.resumption is Resumption.first_event:
            return 1
        if self.resumption is Resumption.last_event:
            return last_event
        if self.resumption is Resumption.skips_event:
            return last_event + 2
        return last_event + 1


def make_event(number: int, run: str) -> bytes:
    """Return an event that names its number and the run that made it."""
    text = json.dumps({'number': number, 'run': run})
    return b'id: %d\ndata: %b\n\n' % (number, text.encode())


def _encode_chunks(event: bytes, framing: Framing) -> bytes:
    if framing is Framing.chunks:
        return format_chunk(event)
    if framing is Framing.slices:
        starts = range(0, len(event), _SLICE_BYTES)
        slices = (event[start : start + _SLICE_BYTES] for start in starts)
        return b''.join(map(format_chunk, slices))
    return event


def _format_head(framing: Framing, headers: dict[str, str], size: int) -> bytes:
    if framing is Framing.length:
        return format_response(200, headers, length=size)
    if framing is Framing.close:
        return format_unframed_response(headers, b'')
    return format_chunked_response(headers)


async def _stream(
    plan: ServerPlan,
    run: str,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer one request with a stream of events."""
    first = plan.first_event(int(request.get(_LAST_EVENT_HEADER) or 0))
    events = [
        make_event(number, run) for number in range(first, plan.events + 1)
    ]
    headers = {_ID_HEADER: request.get(_ID_HEADER), _STAMP_HEADER: plan.id}
    size = sum(map(len, events))
    writer.write(_format_head(plan.framing, headers, size))
    for event in events:
        await asyncio.sleep(plan.interval_ms / MS_PER_SECOND)
        writer.write(_encode_chunks(event, plan.framing))
        await writer.drain()
    if plan.framing in {Framing.chunks, Framing.slices}:
        writer.write(format_chunk(b''))


async def serve_events(plan: ServerPlan) -> None:
    """Serve until the process ends."""
    runs: Iterator[int] = count()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                run = f'{plan.id}-{next(runs)}'
                await _stream(plan, run, request, writer)
                if plan.framing is Framing.close:
                    break
        except _DISCONNECT_ERRORS:
            """The caller has left."""
        finally:
            writer.close()

    listening = await asyncio.start_server(
        serve, '127.0.0.1', plan.port, reuse_address=True
    )
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    await listening.serve_forever()


def _list_arguments(plan: ServerPlan) -> dict[str, Any]:
    return {
        'id': plan.id,
        'port': plan.port,
        'framing': plan.framing.value,
        'resumption': plan.resumption.value,
        'events': plan.events,
        'interval-ms': plan.interval_ms,
    }


def make_command(plan: ServerPlan) -> list[str]:
    """Return the command that runs a server."""
    options = (
        (f'--{name}', str(value))
        for name, value in _list_arguments(plan).items()
    )
    module = 'seampond.testing.event_server'
    return [sys.executable, '-m', module, *chain.from_iterable(options)]


def main() -> None:
    """Run a server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--framing', type=Framing, default=Framing.close)
    parser.add_argument(
        '--resumption', type=Resumption, default=Resumption.next_event
    )
    parser.add_argument('--events', type=int, default=6)
    parser.add_argument('--interval-ms', type=int, default=50)
    options = parser.parse_args()
    plan = ServerPlan(
        options.id,
        options.port,
        options.framing,
        options.resumption,
        options.events,
        options.interval_ms,
    )
    asyncio.run(serve_events(plan))


if __name__ == '__main__':
    main()
