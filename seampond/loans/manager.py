"""Borrowing and lending of single retries."""

import random
from collections.abc import Callable

from seampond.forwarding.retries import RetryBudget
from seampond.loans.exchange import LenderDirectory, LoanExchange
from seampond.loans.messages import (
    LoanMessage,
    LoanReply,
    LoanRequest,
)

_LENDERS_ASKED = 3


class RetryLoans:
    """Borrows retries from other gateways and lends them.

    Explanation
    -----------
    The budget of retries is a sum over all gateways.  A lender records a retry
    as its own before it replies, so the sum holds whatever becomes of the
    reply: one that is lost or late is not used.

    """

    def __init__(
        self,
        gateways: LenderDirectory,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        """Start without requests."""
        self._exchange = LoanExchange(gateways, rng)
        self._budget = budget
        self._rng = rng

    @property
    def send(self) -> Callable[[str, LoanMessage], None]:
        """Sends a message to the gateway at an address."""
        return self._exchange.send

    @send.setter
    def send(self, send: Callable[[str, LoanMessage], None]) -> None:
        self._exchange.send = send

    async def borrow(self, pool: str) -> bool:
        """Borrow one retry; return whether a gateway has lent it."""
        lenders = self._exchange.gateways.lenders
        asked = self._rng.sample(lenders, min(_LENDERS_ASKED, len(lenders)))
        for name in asked:
            reply = await self._exchange.ask(name, LoanRequest(0, pool))
            if isinstance(reply, LoanReply) and reply.is_lent:
                return True
        return False

    def handle_message(self, address: str, message: LoanMessage) -> None:
        """Handle a message of the gateway at an address."""
        if isinstance(message, LoanRequest):
            is_lent = self._budget.lend(message.pool)
            self.send(address, LoanReply(message.number, is_lent))
        else:
            self._exchange.handle_reply(message)
