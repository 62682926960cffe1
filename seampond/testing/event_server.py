"""A server in a process of its own that streams numbered events.

`python -m seampond.testing.event_server --id i-1 --port 9000`
"""

import argparse
import asyncio
import enum
import json
import signal
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
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
_INSTANCE_HEADER = HEADERS.expect_instance.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_SLICE_BYTES = 7
_DRAIN_POLL_S = 0.02
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
    pieces : int
        In how many writes an event leaves, spread over the interval.
    drain_ms : int
        How long open streams go on after SIGTERM, 0 to end at once.
    garbage : tuple[bytes, ...]
        What it breaks streams off with in turn, empty for no such break.
    break_every : int
        It breaks every n-th run off.

    """

    id: str
    port: int
    framing: Framing = Framing.close
    resumption: Resumption = Resumption.next_event
    events: int = 6
    interval_ms: int = 50
    pieces: int = 1
    drain_ms: int = 0
    garbage: tuple[bytes, ...] = ()
    break_every: int = 5

    def find_break(self, number: int) -> tuple[int, bytes]:
        """Return after how many events a run breaks off, and with what."""
        turn, rest = divmod(number, self.break_every)
        if rest or not self.garbage:
            return self.events, b''
        return turn % self.events, self.garbage[turn % len(self.garbage)]

    def first_event(self, last_event: int) -> int:
        """Return the number of the event after which a stream goes on."""
        if not last_event or self.resumption is Resumption.first_event:
            return 1
        if self.resumption is Resumption.last_event:
            return last_event
        if self.resumption is Resumption.skips_event:
            return last_event + 2
        return last_event + 1


def make_event(number: int, run: str, stream: str = '') -> bytes:
    """Return an event that names its number, its run and its stream."""
    text = json.dumps({'number': number, 'run': run, 'stream': stream})
    return b'id: %d\ndata: %b\n\n' % (number, text.encode())


def encode_event(event: bytes, framing: Framing) -> bytes:
    """Return the bytes that carry an event."""
    if framing is Framing.chunks:
        return format_chunk(event)
    if framing is Framing.slices:
        starts = range(0, len(event), _SLICE_BYTES)
        slices = (event[start : start + _SLICE_BYTES] for start in starts)
        return b''.join(map(format_chunk, slices))
    return event


def format_head(framing: Framing, headers: dict[str, str], size: int) -> bytes:
    """Return the head of an answer whose events have some size in bytes."""
    if framing is Framing.length:
        return format_response(200, headers, length=size)
    if framing is Framing.close:
        return format_unframed_response(headers, b'')
    return format_chunked_response(headers)


def format_end(framing: Framing) -> bytes:
    """Return what follows the last event."""
    is_chunked = framing in {Framing.chunks, Framing.slices}
    return format_chunk(b'') if is_chunked else b''


async def _stream(
    plan: ServerPlan,
    number: int,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer with a stream of events; return False if it is broken off."""
    run = f'{plan.id}-{number}'
    whole, garbage = plan.find_break(number)
    first = plan.first_event(int(request.get(_LAST_EVENT_HEADER) or 0))
    events = [
        make_event(number, run, request.body.decode())
        for number in range(first, plan.events + 1)
    ]
    headers = {_ID_HEADER: request.get(_ID_HEADER), _STAMP_HEADER: plan.id}
    size = sum(map(len, events))
    writer.write(format_head(plan.framing, headers, size))
    for event in events[:whole]:
        await _write_pieces(plan, encode_event(event, plan.framing), writer)
    if garbage:
        writer.write(encode_event(garbage, plan.framing))
        await writer.drain()
        return False
    writer.write(format_end(plan.framing))
    return plan.framing is not Framing.close


async def _write_pieces(
    plan: ServerPlan, text: bytes, writer: asyncio.StreamWriter
) -> None:
    """Write an event in pieces, each after its part of the interval."""
    size = -(-len(text) // plan.pieces)
    for start in range(0, len(text), size):
        await asyncio.sleep(plan.interval_ms / plan.pieces / MS_PER_SECOND)
        writer.write(text[start : start + size])
        await writer.drain()


def _is_for_another(plan: ServerPlan, request: ReceivedRequest) -> bool:
    """Return True if a request names another server as its target."""
    return request.get(_INSTANCE_HEADER) not in {'', plan.id}


def _reject(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {_ID_HEADER: request.get(_ID_HEADER), _NOT_RUN_HEADER: '1'}
    writer.write(format_response(HTTPStatus.MISDIRECTED_REQUEST, headers))


def _end_after_streams(plan: ServerPlan, open_runs: set[int]) -> None:
    """On SIGTERM, let open streams go on for some time, then end."""
    loop = asyncio.get_running_loop()
    until = loop.time() + plan.drain_ms / MS_PER_SECOND

    def end() -> None:
        if not open_runs or loop.time() >= until:
            signal.raise_signal(signal.SIGKILL)
        loop.call_later(_DRAIN_POLL_S, end)

    end()


async def serve_events(plan: ServerPlan) -> None:
    """Serve until the process ends."""
    runs: Iterator[int] = count()
    open_runs: set[int] = set()
    if plan.drain_ms:
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, _end_after_streams, plan, open_runs
        )

    async def answer(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        if _is_for_another(plan, request):
            _reject(request, writer)
            return True
        run = next(runs)
        open_runs.add(run)
        try:
            return await _stream(plan, run, request, writer)
        finally:
            open_runs.discard(run)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_open = True
        try:
            while is_open:
                is_open = await answer(await read_request(reader), writer)
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
        'pieces': plan.pieces,
        'drain-ms': plan.drain_ms,
        'garbage': ','.join(text.hex() for text in plan.garbage),
        'break-every': plan.break_every,
    }


def make_command(plan: ServerPlan) -> list[str]:
    """Return the command that runs a server."""
    options = (
        (f'--{name}', str(value))
        for name, value in _list_arguments(plan).items()
    )
    module = 'seampond.testing.event_server'
    return [sys.executable, '-m', module, *chain.from_iterable(options)]


def _parse_garbage(text: str) -> tuple[bytes, ...]:
    return tuple(map(bytes.fromhex, filter(None, text.split(','))))


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
    parser.add_argument('--pieces', type=int, default=1)
    parser.add_argument('--drain-ms', type=int, default=0)
    parser.add_argument('--garbage', type=_parse_garbage, default=())
    parser.add_argument('--break-every', type=int, default=5)
    options = parser.parse_args()
    plan = ServerPlan(
        options.id,
        options.port,
        options.framing,
        options.resumption,
        options.events,
        options.interval_ms,
        options.pieces,
        options.drain_ms,
        options.garbage,
        options.break_every,
    )
    asyncio.run(serve_events(plan))


if __name__ == '__main__':
    main()
