"""Borrowing and lending of single retries."""

import asyncio
import itertools
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.retries import RetryBudget
from seampond.loans.messages import LoanMessage, LoanReply, LoanRequest

_LENDERS_ASKED = 3
# Covers a round trip between halls.
_REPLY_TIMEOUT_MS = 80
_NUMBER_BITS = 48


class LenderDirectory(Protocol):
    """The gateways that lend retries."""

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the other reachable gateways that lend retries."""

    def address_of(self, name: str) -> str:
        """Return the address of a gateway, empty if it is not listed."""


def _drop_message(address: str, message: LoanMessage) -> None:
    """Drop a message while no transport is connected."""


class RetryLoans:
    """Borrows retries from other gateways and lends them.

    Explanation
    -----------
    The budget of retries is a sum over all gateways.  A lender records a retry
    as its own before it replies, so the sum holds whatever becomes of the
    reply: one that is lost or late is not used.

    Attributes
    ----------
    send : Callable[[str, LoanMessage], None]
        Sends a message to the gateway at an address.

    """

    def __init__(
        self,
        gateways: LenderDirectory,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        """Start without requests."""
        self.send: Callable[[str, LoanMessage], None] = _drop_message
        self._gateways = gateways
        self._budget = budget
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._pending: dict[int, asyncio.Future[bool]] = {}

    async def borrow(self, pool: str) -> bool:
        """Borrow one retry; return whether a gateway has lent it."""
        lenders = self._gateways.lenders
        asked = self._rng.sample(lenders, min(_LENDERS_ASKED, len(lenders)))
        for name in asked:
            if await self._ask(self._gateways.address_of(name), pool):
                return True
        return False

    def handle_message(self, address: str, message: LoanMessage) -> None:
        """Handle a message of the gateway at an address."""
        if isinstance(message, LoanRequest):
            is_lent = self._budget.lend(message.pool)
            self.send(address, LoanReply(message.number, is_lent))
            return
        reply = self._pending.pop(message.number, None)
        if reply is not None and not reply.done():
            reply.set_result(message.is_lent)

    async def _ask(self, address: str, pool: str) -> bool:
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        self.send(address, LoanRequest(number, pool))
        try:
            with suppress(TimeoutError):
                async with asyncio.timeout(_REPLY_TIMEOUT_MS / MS_PER_SECOND):
                    return await reply
        finally:
            self._pending.pop(number, None)
        return False
