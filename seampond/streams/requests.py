"""Requests to the owners of a stream for its origin."""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from seampond.clock import MS_PER_SECOND
from seampond.streams.messages import OriginMessage, OriginReply, OriginRequest

# Covers a few round trips between halls.
_REPLY_TIMEOUT_MS = 150
# So that one lost datagram loses no reply.
_RESEND_AFTER_MS = 40
_NUMBER_BITS = 48


def _drop_message(address: str, message: OriginMessage) -> None:
    """Drop a message while no transport is connected."""


@dataclass(slots=True)
class _PendingRequest:
    """A request that awaits replies.

    Parameters
    ----------
    awaited : int
        Number of gateways that have not replied.

    """

    awaited: int
    replies: list[OriginReply] = field(default_factory=list)
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


class OriginRequests:
    """Sends requests and collects the replies.

    Attributes
    ----------
    send : Callable[[str, OriginMessage], None]
        Sends a message to the gateway at an address.

    """

    def __init__(self, rng: random.Random) -> None:
        """Start without requests."""
        self.send: Callable[[str, OriginMessage], None] = _drop_message
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._pending: dict[int, _PendingRequest] = {}

    async def request(
        self, stream: int, pool: int, addresses: Sequence[str]
    ) -> list[OriginReply]:
        """Return the replies of gateways, up to the first that knows.

        Explanation
        -----------
        A gateway that does not reply is asked twice.
        """
        if not addresses:
            return []
        requests = {
            address: OriginRequest(next(self._numbers), stream, pool)
            for address in addresses
        }
        pending = _PendingRequest(len(requests))
        for request in requests.values():
            self._pending[request.number] = pending
        try:
            await self._exchange(requests, pending)
        finally:
            for request in requests.values():
                self._pending.pop(request.number, None)
        return pending.replies

    def handle_reply(self, reply: OriginReply) -> None:
        """Apply a reply; ignore one that is no longer awaited."""
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        pending.replies.append(reply)
        pending.awaited -= 1
        if reply.is_known or not pending.awaited:
            pending.is_done.set()

    async def _exchange(
        self, requests: dict[str, OriginRequest], pending: _PendingRequest
    ) -> None:
        for wait_ms in (
            _RESEND_AFTER_MS,
            _REPLY_TIMEOUT_MS - _RESEND_AFTER_MS,
        ):
            for address, request in requests.items():
                if request.number in self._pending:
                    self.send(address, request)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await pending.is_done.wait()
                    return
