"""A framed, ordered connection that coalesces what it sends."""

import asyncio
from collections import deque
from typing import Literal

from seampond.clock import MS_PER_SECOND, Clock
from seampond.errors import ForeignMessageError, LinkError
from seampond.links.codec import MAX_PACKET_BYTES, decode, encode
from seampond.links.messages import Frame, Message

COALESCE_MS = 4
MAX_UNSENT_BYTES = 134_217_728
# A hello or a proof is far shorter.
_HANDSHAKE_MAX_BYTES = 4096
_LENGTH_BYTES = 4
_BYTE_ORDER: Literal['big'] = 'big'


class Connection:
    """One side of a link between an entry and an agent.

    Explanation
    -----------
    Messages sent within one turn of the event loop leave in one packet;
    frames of answers wait up to ``COALESCE_MS`` for company, since a packet
    each would cost a large share of a core at thousands of frames a second.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        The connected TCP stream.
    clock : Clock
        Stamps what is heard.

    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: Clock,
    ) -> None:
        """Take over the stream."""
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._unsent: deque[Message] = deque()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._last_heard_ms = clock.now()
        self._sent_bytes = 0
        self._packet_max_bytes = _HANDSHAKE_MAX_BYTES
        host, port = writer.get_extra_info('peername')[:2]
        self._peer = f'{host}:{port}'

    @property
    def peer(self) -> str:
        """Address of the other side."""
        return self._peer

    @property
    def last_heard_ms(self) -> int:
        """When the other side last said anything, in clock time."""
        return self._last_heard_ms

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far."""
        return self._sent_bytes

    @property
    def is_closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._writer.is_closing()

    def accept_long_packets(self) -> None:
        """Accept any packet, since the other side is trusted."""
        self._packet_max_bytes = MAX_PACKET_BYTES

    def send(self, message: Message) -> None:
        """Queue `message`; it leaves within a few milliseconds.

        Explanation
        -----------
        On a closed connection the message is dropped: whoever must know
        learns it from the end of :meth:`receive`.
        """
        if self.is_closed:
            return
        self._unsent.append(message)
        if not isinstance(message, Frame):
            self._schedule(0)
        elif self._flush_timer is None:
            self._schedule(COALESCE_MS)

    async def receive(self) -> list[Message]:
        """Wait for the next packet and give its messages.

        Raises
        ------
        LinkError
            If the connection ended.
        ForeignMessageError
            If the other side speaks something else.

        """
        try:
            packet = await self._read_packet()
        except (OSError, asyncio.IncompleteReadError) as error:
            raise LinkError(
                'connection ended', step='receive', peer=self._peer
            ) from error
        self._last_heard_ms = self._clock.now()
        return decode(packet, peer=self._peer)

    def flush(self) -> None:
        """Send at once what is queued."""
        if self._flush_timer:
            self._flush_timer.cancel()
        self._flush_timer = None
        if not self._unsent or self.is_closed:
            return
        packet = encode(self._unsent)
        self._unsent.clear()
        length = len(packet).to_bytes(_LENGTH_BYTES, _BYTE_ORDER)
        self._writer.write(length + packet)
        self._sent_bytes += _LENGTH_BYTES + len(packet)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # The other side has stopped reading: it is frozen or gone.
            self._writer.transport.abort()

    def abort(self) -> None:
        """Cut the connection; what was queued is lost."""
        self._writer.transport.abort()

    async def close(self) -> None:
        """Send what is queued and close; safe to call twice."""
        self.flush()
        self._writer.close()
        try:
            async with asyncio.timeout(1):
                await self._writer.wait_closed()
        except (OSError, asyncio.TimeoutError):
            self._writer.transport.abort()

    def _schedule(self, delay_ms: int) -> None:
        if self._flush_timer:
            self._flush_timer.cancel()
        self._flush_timer = asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND, self.flush
        )

    async def _read_packet(self) -> bytes:
        prefix = await self._reader.readexactly(_LENGTH_BYTES)
        length = int.from_bytes(prefix, _BYTE_ORDER)
        if not 0 < length <= self._packet_max_bytes:
            raise ForeignMessageError(
                f'a packet cannot have {length} bytes',
                step='receive',
                peer=self._peer,
            )
        return await self._reader.readexactly(length)
