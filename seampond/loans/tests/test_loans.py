"""Tests that gateways lend retries within the budget of all together."""

import asyncio
import random
import unittest

from seampond.clock import Clock
from seampond.forwarding.retries import RetryBudget
from seampond.loans.manager import RetryLoans
from seampond.loans.messages import LoanMessage, decode_loan, encode_loan
from seampond.testing.virtual_time import VirtualTimeCase

_POOL = 'llm'
_RATIO = 0.2
_ALLOWANCE = 20
_WINDOW_MS = 10_000
_ATTEMPTS = 120
_CUT = 44


class Fleet:
    """Gateways that exchange messages in memory.

    Parameters
    ----------
    budgets, loans : dict
        By name; the address of a gateway is its name.
    frozen : set[str]
        Gateways that handle their messages later.
    dead : set[str]
        Gateways that handle no messages.
    lost_share : float
        Share of the messages that are lost.

    """

    def __init__(self, count: int) -> None:
        """Create gateways that know each other."""
        self.rng = random.Random(count)
        self.frozen: set[str] = set()
        self.dead: set[str] = set()
        self.lost_share: float = 0
        self.late: list[tuple[str, str, LoanMessage]] = []
        self.budgets: dict[str, RetryBudget] = {}
        self.loans: dict[str, RetryLoans] = {}
        for number in range(count):
            self.start(f'g{number}', count)

    def start(self, name: str, count: int) -> None:
        """Start a gateway."""
        budget = RetryBudget(
            _RATIO, _ALLOWANCE, _WINDOW_MS, lambda: count, Clock()
        )
        loans = RetryLoans(Directory(name, self), budget, self.rng)
        loans.send = lambda address, message: self._deliver(
            name, address, message
        )
        self.budgets[name] = budget
        self.loans[name] = loans

    def thaw(self) -> None:
        """Let frozen gateways handle the messages that they missed."""
        self.frozen.clear()
        for sender, address, message in self.late:
            self.loans[address].handle_message(sender, message)

    async def retry(self, name: str, times: int) -> int:
        """Retry cut requests at once; return how many the budget allows."""
        tasks = [self._retry_one(name) for _ in range(times)]
        return sum(await asyncio.gather(*tasks))

    async def _retry_one(self, name: str) -> bool:
        if self.budgets[name].try_acquire(_POOL, is_resumed=False):
            return True
        return await self.loans[name].borrow(_POOL)

    def _deliver(self, sender: str, address: str, message: LoanMessage) -> None:
        decoded = decode_loan(encode_loan(message))
        if self.rng.random() < self.lost_share or address in self.dead:
            return
        if address in self.frozen:
            self.late.append((sender, address, decoded))
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(self.loans[address].handle_message, sender, decoded)


class Directory:
    """The gateways that one of them knows."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        """Know all gateways of a fleet."""
        self._name = name
        self._fleet = fleet

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the others."""
        return tuple(name for name in self._fleet.loans if name != self._name)

    def address_of(self, name: str) -> str:
        """Return the name, which is the address."""
        return name


class RetryLoansTest(VirtualTimeCase, unittest.IsolatedAsyncioTestCase):
    """One gateway has all the requests, of which a crash cuts many."""

    async def test_unused_retries_of_others_are_left(self) -> None:
        """Two gateways share the allowance, one has no requests."""
        fleet = Fleet(2)
        self._attempt(fleet, 'g0', _ATTEMPTS)
        allowed = await fleet.retry('g0', _CUT)
        self.assertEqual(allowed, self._usable(_ATTEMPTS))

    async def test_loans_exceed_the_budget_of_all(self) -> None:
        """The sum holds at any number of gateways, whatever is lost."""
        for count in (2, 4, 30, 340):
            for lost_share in (0, 0.3):
                with self.subTest(count=count, lost_share=lost_share):
                    await self._check_sum(count, lost_share)

    async def test_gateway_lends_what_it_needs(self) -> None:
        """One that has requests of its own keeps a part."""
        fleet = Fleet(2)
        for name in fleet.budgets:
            self._attempt(fleet, name, _ATTEMPTS)
        await fleet.retry('g0', 10 * _CUT)
        self.assertGreater(await fleet.retry('g1', _CUT), 0)

    async def test_late_loan_is_used(self) -> None:
        """A lender that was frozen replies when nobody waits any more."""
        fleet = Fleet(2)
        self._attempt(fleet, 'g0', _ATTEMPTS)
        fleet.frozen.add('g1')
        allowed = await fleet.retry('g0', _CUT)
        fleet.thaw()
        await asyncio.sleep(1)
        lent = await fleet.retry('g1', _CUT)
        self.assertLessEqual(allowed + lent, self._usable(_ATTEMPTS))

    async def test_dead_lenders_delay_requests_for_long(self) -> None:
        """A request gives up after three of them."""
        fleet = Fleet(30)
        fleet.dead.update(fleet.budgets)
        loop = asyncio.get_running_loop()
        since = loop.time()
        await fleet.retry('g0', 1)
        self.assertLess(loop.time() - since, 0.5)

    async def _check_sum(self, count: int, lost_share: float) -> None:
        fleet = Fleet(count)
        fleet.lost_share = lost_share
        names = list(fleet.budgets)
        for name in names[: count // 2]:
            self._attempt(fleet, name, _ATTEMPTS)
        cut = max(1, 4 * _CUT // count)
        allowed = sum(
            await asyncio.gather(*(fleet.retry(name, cut) for name in names))
        )
        usable = self._usable(_ATTEMPTS * (count // 2))
        self.assertLessEqual(allowed, usable)

    def _attempt(self, fleet: Fleet, name: str, times: int) -> None:
        for _ in range(times):
            fleet.budgets[name].record_first_attempt(_POOL, is_stream=False)

    def _usable(self, attempts: int) -> int:
        """Return the part of the budget that is used of all gateways."""
        return int(0.8 * (_RATIO * attempts + _ALLOWANCE))
