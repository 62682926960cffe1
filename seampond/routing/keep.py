"""One task for each agent: keeps the link and reads it."""

import asyncio
import logging
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.errors import LinkError, PromiseError
from seampond.links import Connection, shake_hands
from seampond.links.messages import Hello, Pulse
from seampond.links.trust import HelloMaker
from seampond.metrics import EntryMetrics
from seampond.routing.dispatcher import Dispatcher
from seampond.routing.peer import Peer, PeerState
from seampond.settings.models import LinkSettings
from seampond.templates.follow import ConfigurationHolder

CONNECT_SECONDS = 2
_FIRST_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 3000
# A heartbeat and its answer, packed, with their lengths.
_PULSE_BYTES = 56
_BUDGET_BYTES_PER_MS = 3
_logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Keeping:
    """What keeping a link needs besides the peer."""

    dispatcher: Dispatcher
    settings: LinkSettings
    make_hello: HelloMaker
    holder: ConfigurationHolder
    clock: Clock
    metrics: EntryMetrics

    @property
    def heartbeat_ms(self) -> int:
        """Heartbeats slow down with the number of links, to 3 KB/s."""
        links = len(self.dispatcher.peers)
        affordable_ms = links * _PULSE_BYTES // _BUDGET_BYTES_PER_MS
        return max(self.settings.heartbeat_ms, affordable_ms)


def _check_identity(peer: Peer, hello: Hello) -> None:
    if (hello.name, hello.pool) == (peer.name, peer.vm.pool):
        return
    pool = peer.vm.pool
    wanted = f'{peer.name} of pool {pool}'
    raise LinkError(
        f'is {hello.name} of pool {hello.pool}, not {wanted}; '
        'mend the VM list or the settings',
        step='handshake',
        peer=peer.vm.address,
    )


@asynccontextmanager
async def open_link(
    peer: Peer, keeping: Keeping
) -> AsyncIterator[tuple[Connection, Hello]]:
    """Dial an agent, shake hands, and close at the end."""
    host, _, port = peer.vm.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, asyncio.TimeoutError) as error:
        raise LinkError(
            'cannot connect', step='connect', peer=peer.vm.address
        ) from error
    link = Connection(reader, writer, keeping.clock)
    try:
        hello = await shake_hands(
            link, keeping.make_hello, keeping.settings.secret, dialed=True
        )
        _check_identity(peer, hello)
        yield link, hello
    finally:
        await link.close()


async def _beat(peer: Peer, link: Connection, keeping: Keeping) -> None:
    while not link.is_closed:
        generation = keeping.holder.current.generation
        link.send(Pulse(generation=generation))
        await keeping.clock.sleep(keeping.heartbeat_ms)
        silent_ms = keeping.clock.now() - link.last_heard_ms
        allowed_ms = max(keeping.settings.silence_ms, 4 * keeping.heartbeat_ms)
        if silent_ms > allowed_ms and peer.state is PeerState.ready:
            peer.fire('fell_silent')
            _logger.warning('agent is silent', extra={'agent': peer.name})


async def _read(peer: Peer, link: Connection, keeping: Keeping) -> None:
    while True:
        for message in await link.receive():
            # Counted and logged already; the act it guards was not done.
            with suppress(PromiseError):
                keeping.dispatcher.take(peer, message)


async def _serve_link(peer: Peer, keeping: Keeping) -> None:
    async with open_link(peer, keeping) as (link, hello):
        keeping.dispatcher.came_up(peer, link, hello)
        beat = asyncio.create_task(_beat(peer, link, keeping))
        try:
            await _read(peer, link, keeping)
        finally:
            beat.cancel()
            keeping.dispatcher.went_down(peer)


async def keep_peer(peer: Peer, keeping: Keeping) -> None:
    """Keep a link to `peer` until cancelled, dialing again when it ends."""
    backoff_ms = _FIRST_BACKOFF_MS
    last_kind = ''
    while True:
        started_ms = keeping.clock.now()
        try:
            await _serve_link(peer, keeping)
        except LinkError as error:
            kind = f'{type(error).__name__}:{error.step}'
            keeping.metrics.link_errors.labels(kind).inc()
            if kind != last_kind:
                _logger.warning(
                    'no link', extra={'agent': peer.name, 'error': str(error)}
                )
            last_kind = kind
        else:
            last_kind = ''
        lasted_ms = keeping.clock.now() - started_ms
        if lasted_ms > _MAX_BACKOFF_MS:
            backoff_ms = _FIRST_BACKOFF_MS
        spread = random.uniform(1 / 2, 1)
        await keeping.clock.sleep(backoff_ms * spread)
        backoff_ms = min(_MAX_BACKOFF_MS, backoff_ms * 2)
