"""Asking other gateways for loans, and replying to them."""

import asyncio
import itertools
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Protocol

from seampond.clock import MS_PER_SECOND
from seampond.loans.messages import LoanMessage

# Covers a round trip between halls.
_REPLY_TIMEOUT_MS = 80
_NUMBER_BITS = 48


class LenderDirectory(Protocol):
    """The gateways that lend."""

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the other reachable gateways that lend retries."""

    def address_of(self, name: str) -> str:
        """Return the address of a gateway, empty if it is not listed."""


def _drop_message(address: str, message: LoanMessage) -> None:
    """Drop a message while no transport is connected."""


class LoanExchange:
    """Sends requests for loans and awaits their replies.

    Attributes
    ----------
    send : Callable[[str, LoanMessage], None]
        Sends a message to the gateway at an address.

    """

    def __init__(self, gateways: LenderDirectory, rng: random.Random) -> None:
        """Start without requests."""
        self.send: Callable[[str, LoanMessage], None] = _drop_message
        self.gateways = gateways
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._pending: dict[int, asyncio.Future[LoanMessage]] = {}

    async def ask(self, name: str, request: LoanMessage) -> LoanMessage | None:
        """Send a request to a gateway; return its reply, None without one."""
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        self.send(
            self.gateways.address_of(name), replace(request, number=number)
        )
        try:
            with suppress(TimeoutError):
                async with asyncio.timeout(_REPLY_TIMEOUT_MS / MS_PER_SECOND):
                    return await reply
        finally:
            self._pending.pop(number, None)
        return None

    def handle_reply(self, message: LoanMessage) -> None:
        """Handle the reply to a request, if that is still awaited."""
        reply = self._pending.pop(message.number, None)
        if reply is not None and not reply.done():
            reply.set_result(message)
