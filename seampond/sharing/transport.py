"""Exchange heartbeats and permit messages with other gateways over UDP."""

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from typing import Protocol

from seampond.clock import MS_PER_SECOND, Clock
from seampond.errors import ForeignMessageError, LinkError, PlatformError
from seampond.loans.messages import (
    LoanMessage,
    decode_loan,
    encode_loan,
    is_loan_message,
)
from seampond.permits.messages import (
    PermitReply,
    PermitRequest,
    decode_permit,
    encode_permit,
    is_permit_message,
)
from seampond.platform.gateways import (
    GatewayRow,
    encode_gateway,
    parse_gateway,
)
from seampond.sharing.heartbeats import Heartbeat, decode, encode
from seampond.sharing.peers import Peers, compute_sample_probability
from seampond.streams.messages import (
    OriginMessage,
    decode_origin,
    encode_origin,
    is_origin_message,
)
from seampond.tasks import run_tasks
from seampond.watches import Page, Row

# Fraction of the regular interval that separates two urgent heartbeats.
_MIN_INTERVAL_FRACTION = 0.1
_REGISTER_RETRY_MS = 500
_UNREGISTER_TIMEOUT_MS = 300
_FINAL_COPIES = 3
# Heartbeats up to this uptime are answered at once.
_NEWCOMER_UPTIME_MS = 400
_FINAL_SEQUENCE = 4_611_686_018_427_387_904
_logger = logging.getLogger(__name__)


class RowWriter(Protocol):
    """Writes rows of the gateways' table."""

    async def put(self, key: str, content: bytes) -> None:
        """Write the row unconditionally."""

    async def remove(self, key: str, version: int) -> None:
        """Remove the row if it still has this version."""


def _ignore_loan(address: str, message: LoanMessage) -> None:
    """Ignore the message."""


@dataclass(frozen=True)
class TransportContext:
    """Dependencies of the heartbeat exchange.

    Parameters
    ----------
    make_heartbeat : Callable[[int], Heartbeat]
        Builds the heartbeat with a sequence number.
    record_sent : Callable[[], None]
        Called when the last built heartbeat is sent to all gateways.
    apply_heartbeat : Callable[[Heartbeat], None]
        Processes a heartbeat of another gateway.
    heartbeat_requested : asyncio.Event
        Set to send a heartbeat before the regular interval ends.
    count_dropped : Callable[[str], None]
        Counts an undecodable datagram by its kind.
    handle_permit : Callable[[PermitRequest | PermitReply], None]
        Handles a permit message of another gateway.
    handle_origin : Callable[[str, OriginMessage], None]
        Handles a message about streams of the gateway at an address.
    handle_loan : Callable[[str, LoanMessage], None]
        Handles a message about lent retries, likewise.

    """

    peers: Peers
    make_heartbeat: Callable[[int], Heartbeat]
    record_sent: Callable[[], None]
    apply_heartbeat: Callable[[Heartbeat], None]
    heartbeat_requested: asyncio.Event
    clock: Clock
    count_dropped: Callable[[str], None]
    handle_permit: Callable[[PermitRequest | PermitReply], None]
    handle_origin: Callable[[str, OriginMessage], None]
    handle_loan: Callable[[str, LoanMessage], None] = _ignore_loan


@dataclass(frozen=True)
class Senders:
    """Functions that send a message to a gateway, by name or address."""

    send_permit: Callable[[str, PermitRequest | PermitReply], None]
    send_origin: Callable[[str, OriginMessage], None]
    send_loan: Callable[[str, LoanMessage], None]


class _Endpoint(asyncio.DatagramProtocol):
    """UDP endpoint that sends and receives heartbeats."""

    def __init__(self, context: TransportContext) -> None:
        self._context = context
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.DatagramTransport
    ) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, packet: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram; reply to a gateway that has just started."""
        context = self._context
        if is_permit_message(packet):
            self._handle_permit(packet, addr[0])
            return
        if is_origin_message(packet):
            self._handle_origin(packet, f'{addr[0]}:{addr[1]}')
            return
        if is_loan_message(packet):
            self._handle_loan(packet, f'{addr[0]}:{addr[1]}')
            return
        try:
            heartbeat = decode(packet, peer=addr[0])
        except ForeignMessageError:
            context.count_dropped('heartbeat')
            context.peers.record_undecodable(f'{addr[0]}:{addr[1]}')
            return
        if not context.peers.apply_heartbeat(heartbeat):
            return
        context.apply_heartbeat(heartbeat)
        if (
            heartbeat.uptime_ms < _NEWCOMER_UPTIME_MS
            and not heartbeat.has_stopped
        ):
            self._reply_to_newcomer(heartbeat.name)

    def send_permit(
        self, name: str, message: PermitRequest | PermitReply
    ) -> None:
        """Send a permit message to one gateway."""
        address = self._context.peers.address_of(name)
        self._send_to(address, encode_permit(message))

    def send_origin(self, address: str, message: OriginMessage) -> None:
        """Send a message about streams to the gateway at an address."""
        self._send_to(address, encode_origin(message))

    def send_loan(self, address: str, message: LoanMessage) -> None:
        """Send a message about lent retries to the gateway at an address."""
        self._send_to(address, encode_loan(message))

    def send_to_all(self) -> None:
        """Send a heartbeat to all other gateways."""
        context = self._context
        heartbeat = context.make_heartbeat(self._next_sequence())
        if self._send(heartbeat, context.peers.addresses):
            context.record_sent()

    def send_final(self) -> None:
        """Announce the end of a planned stop to all other gateways.

        Explanation
        -----------
        Sent several times, since datagrams may be lost.  A gateway that
        receives none learns of the stop from the gateways' table.
        """
        context = self._context
        last = replace(
            context.make_heartbeat(_FINAL_SEQUENCE), has_stopped=True
        )
        for _ in range(_FINAL_COPIES):
            self._send(last, context.peers.addresses)

    def _reply_to_newcomer(self, name: str) -> None:
        """Send the bucket levels to a gateway that has just started.

        Explanation
        -----------
        Only a random few of the gateways reply, and only to the newcomer.
        """
        peers = self._context.peers
        if random.random() < compute_sample_probability(peers.count):
            heartbeat = self._context.make_heartbeat(self._next_sequence())
            self._send(heartbeat, [peers.address_of(name)])

    def _handle_permit(self, packet: bytes, peer: str) -> None:
        try:
            message = decode_permit(packet, peer=peer)
        except ForeignMessageError:
            self._context.count_dropped('permit')
            return
        if message.name in self._context.peers.names:
            self._context.handle_permit(message)

    def _handle_origin(self, packet: bytes, peer: str) -> None:
        if peer not in self._context.peers.addresses:
            return
        try:
            message = decode_origin(packet, peer=peer)
        except ForeignMessageError:
            self._context.count_dropped('origin')
            return
        self._context.handle_origin(peer, message)

    def _handle_loan(self, packet: bytes, peer: str) -> None:
        if peer not in self._context.peers.addresses:
            return
        try:
            message = decode_loan(packet, peer=peer)
        except ForeignMessageError:
            self._context.count_dropped('loan')
            return
        self._context.handle_loan(peer, message)

    def _send_to(self, address: str, packet: bytes) -> None:
        if self._transport is None or not address:
            return
        host, _, port = address.rpartition(':')
        self._transport.sendto(packet, (host, int(port)))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> bool:
        """Send a heartbeat; return False if it cannot be encoded."""
        if self._transport is None:
            return True
        try:
            packet = encode(heartbeat)
        except LinkError as error:
            # The next one may be valid, and others count on hearing some.
            self._context.count_dropped('unsent-heartbeat')
            _logger.exception(
                'heartbeat not sent', extra={'reason': error.message}
            )
            return False
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._transport.sendto(packet, (host, int(port)))
        return True


def apply_gateway_rows(peers: Peers, page: Page) -> None:
    """Apply rows of the gateways' table."""
    latest = {row.key: row for row in page.rows}
    listed: dict[str, str] = {}
    removable: dict[str, int] = {}
    for row in latest.values():
        try:
            gateway = None if row.is_deleted else _parse_row(row)
        except PlatformError as error:
            _logger.warning(
                'invalid row in the table of gateways',
                extra={'key': row.key, 'reason': error.message},
            )
            continue
        listed[row.key] = gateway.address if gateway else ''
        if gateway and gateway.renews:
            removable[row.key] = row.version
    if page.is_snapshot:
        # A snapshot has no deleted rows: missing gateways were removed.
        listed |= dict.fromkeys(peers.names - latest.keys(), '')
    peers.apply_rows(listed.items())
    peers.removable_rows |= removable
    _check_registration(peers, page.is_snapshot, latest.get(peers.name))


def _check_registration(
    peers: Peers, is_snapshot: bool, own: Row | None
) -> None:
    """Record the version of the own row, or that it was removed."""
    if own is not None and not own.is_deleted:
        peers.registration_version = own.version
    elif peers.registration_version and (is_snapshot or own is not None):
        peers.registration_lost.set()


def _parse_row(row: Row) -> GatewayRow:
    return parse_gateway(row.key, row.content)


async def register(
    writer: RowWriter, peers: Peers, address: str, clock: Clock
) -> None:
    """Register this gateway, and again whenever the store loses its row."""
    content = encode_gateway(address)
    while True:
        peers.registration_lost.clear()
        try:
            await writer.put(peers.name, content)
        except PlatformError as error:
            _logger.warning(
                'registration failed', extra={'reason': error.message}
            )
            await clock.sleep(_REGISTER_RETRY_MS)
        else:
            # The store may be restored from a copy without the row.
            await peers.registration_lost.wait()


async def unregister(writer: RowWriter, peers: Peers) -> None:
    """Remove this gateway's row at the end of a planned stop.

    Explanation
    -----------
    Only the version that this process wrote is removed: the call may take
    effect after the next process has registered.
    """
    with suppress(PlatformError, TimeoutError):
        async with asyncio.timeout(_UNREGISTER_TIMEOUT_MS / MS_PER_SECOND):
            await writer.remove(peers.name, peers.registration_version)


async def _send_heartbeats(
    context: TransportContext, endpoint: _Endpoint
) -> None:
    while True:
        endpoint.send_to_all()
        context.peers.record_silent_peers()
        heartbeat_interval_ms = context.peers.heartbeat_interval_ms
        min_pause_ms = heartbeat_interval_ms * _MIN_INTERVAL_FRACTION
        await context.clock.sleep(min_pause_ms)
        with suppress(TimeoutError):
            async with asyncio.timeout(
                (heartbeat_interval_ms - min_pause_ms) / MS_PER_SECOND
            ):
                await context.heartbeat_requested.wait()
        context.heartbeat_requested.clear()


@asynccontextmanager
async def exchange_heartbeats(
    address: str, context: TransportContext
) -> AsyncIterator[Senders]:
    """Exchange heartbeats within the `with` block.

    Returns
    -------
    Senders
        Send messages to one gateway.

    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    transport, endpoint = await loop.create_datagram_endpoint(
        lambda: _Endpoint(context), local_addr=(host, int(port))
    )
    try:
        async with run_tasks(_send_heartbeats(context, endpoint)):
            yield Senders(
                endpoint.send_permit, endpoint.send_origin, endpoint.send_loan
            )
        endpoint.send_final()
    finally:
        transport.close()
