"""Links between gateways of one process that lose what is sent."""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from seampond.sharing import transport

# Addresses of a sender and of a receiver.
LinkEnds = tuple[str, str]


@contextmanager
def cut_links(links: Collection[LinkEnds]) -> Iterator[None]:
    """Lose all datagrams on some links, each in one direction."""
    endpoint: Any = transport._Endpoint  # noqa: SLF001
    receive = endpoint.datagram_received

    def filter_datagram(
        self: Any, packet: bytes, sender: tuple[str, int]
    ) -> None:
        host, port = self._transport.get_extra_info('sockname')[:2]
        link = f'{sender[0]}:{sender[1]}', f'{host}:{port}'
        if link not in links:
            receive(self, packet, sender)

    with patch.object(endpoint, 'datagram_received', filter_datagram):
        yield
