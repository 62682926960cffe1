"""Servers that say of themselves what they want, and what they then get."""

import asyncio
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.names import DRAINING_STATE, HEADERS
from seampond.platform.tests.rows import ID_HEADER, STAMP_HEADER
from seampond.testing.crashing import (
    EVENT,
    LAST_CHUNK,
    CrashingFleet,
    CrashingServer,
    Delivery,
    run_servers,
)
from seampond.testing.scripted import Received, write_answer, write_chunks
from seampond.testing.store import StandInStore

LEAVING_HEADER = HEADERS.leaving.decode()
LIMIT_HEADER = HEADERS.limit.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_RETRY_AFTER = 'retry-after'
# What is under way when a server asks for rest may still come.
_CROSSING_MS = 500


@dataclass(frozen=True, slots=True)
class Rejection:
    """A send that its server answered with a wish for rest."""

    sent: Delivery
    rest_ms: int


@dataclass(slots=True)
class Arrival:
    """A send to a server, and the limit that the server named then.

    Parameters
    ----------
    limit : str
        As it stands in the header, empty for none.
    answered_ms : int
        When the head of its answer went out, 0 if none did.

    """

    sent: Delivery
    limit: str
    answered_ms: int = 0


@dataclass
class SignallingServer(CrashingServer):
    """One server, and what it says in its answers.

    Parameters
    ----------
    leaves : bool
        Whether it says that it leaves.
    is_full : bool
        Whether it turns all requests away.
    rest : str
        The time that it then asks for, as it stands in the header; empty
        for none.
    limit : str
        The limit that it names, as it stands in the header; empty for none.
    full_every : int
        Of how many requests it turns one away, 0 for none.
    arrivals : list[Arrival]
        What reached it.
    told_leave : list[Delivery]
        Sends that were answered with a word of its leave.
    not_run : list[Delivery]
        Sends that it has turned away.

    """

    leaves: bool = False
    is_full: bool = False
    rest: str = ''
    limit: str = ''
    full_every: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    turned_away: list[Rejection] = field(default_factory=list)
    told_leave: list[Delivery] = field(default_factory=list)
    not_run: list[Delivery] = field(default_factory=list)
    _row_left: int = -1

    @property
    def has_told_row(self) -> bool:
        """Whether the row of this life has said that it leaves."""
        return self._row_left == self.started_ms

    async def start(self) -> None:
        """Begin a life in which nothing has been said."""
        self.leaves = False
        self.is_full = False
        self.limit = ''
        await super().start()

    def put_row(self, **changes: Any) -> None:
        """Write its row, and keep in mind what it said."""
        if changes.get('state') == DRAINING_STATE:
            self._row_left = self.started_ms
        super().put_row(**changes)

    async def _answer(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_deadly(request.body):
            await super()._answer(request, writer)
            return
        sent = self._note(request)
        headers = {ID_HEADER: request.get(ID_HEADER)}
        if self.leaves:
            headers[LEAVING_HEADER] = '1'
            self.told_leave.append(sent)
        arrival = Arrival(sent, self.limit)
        self.arrivals.append(arrival)
        if self.limit:
            headers[LIMIT_HEADER] = self.limit
        if self._turns_away():
            self._turn_away(sent, headers, writer)
        elif self.is_stream:
            arrival.answered_ms = self.clock.now()
            await self._serve_whole(headers, writer)
        else:
            await self._serve_whole(headers, writer)
        arrival.answered_ms = arrival.answered_ms or self.clock.now()
        await writer.drain()

    def _turns_away(self) -> bool:
        if self.full_every and not len(self.arrivals) % self.full_every:
            return True
        return self.is_full

    def _turn_away(
        self,
        sent: Delivery,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        headers[_NOT_RUN_HEADER] = '1'
        self.not_run.append(sent)
        if self.rest:
            headers[_RETRY_AFTER] = self.rest
            rest_ms = round(float(self.rest) * MS_PER_SECOND)
            self.turned_away.append(Rejection(sent, rest_ms))
        writer.write(write_answer(503, headers))

    async def _serve_whole(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers[STAMP_HEADER] = self.id
        if self.is_stream:
            writer.write(write_chunks(headers, EVENT))
        await self.clock.sleep(self.run_ms)
        if self.is_stream:
            writer.write(LAST_CHUNK)
        else:
            writer.write(write_answer(200, headers, b'whole'))


@dataclass
class SignallingFleet(CrashingFleet):
    """Such servers, their callers, and what both have seen.

    Parameters
    ----------
    struck_ms : dict[str, list[int]]
        When a gateway was killed, stopped, frozen or thawed, by its address:
        what it had been told before binds it no more.

    """

    saying: list[SignallingServer] = field(default_factory=list)
    struck_ms: dict[str, list[int]] = field(default_factory=dict)

    def count_sends_to_leaving(self, drain_ms: int) -> int:
        """Count the sends that came so long after a word of a leave.

        Explanation
        -----------
        The word binds the gateway that was given it, towards that life of the
        server; what counts is when a caller sent the request.
        """
        asked = {one.request_id: one for one in self.asked}
        told: dict[tuple[str, str, int], list[int]] = {}
        for server in self.saying:
            for sent in server.told_leave:
                key = _binding(sent, asked[sent.request_id].gateway)
                told.setdefault(key, []).append(sent.at_ms)
        late = 0
        for sent in self.sent:
            one = asked[sent.request_id]
            late += any(
                one.at_ms > told_ms + drain_ms
                and not self.was_struck(one.gateway, told_ms, sent.at_ms)
                for told_ms in told.get(_binding(sent, one.gateway), ())
            )
        return late

    def count_runs(self) -> Counter[bytes]:
        """Count the sends of each body that were not turned away."""
        lists = (server.not_run for server in self.saying)
        not_run = Counter(
            one.body for one in itertools.chain.from_iterable(lists)
        )
        return Counter(one.body for one in self.sent) - not_run

    def max_sends_in_backoff(self) -> int:
        """Give the most sends from one gateway inside one time of rest."""
        return max(self._unwanted(), default=0)

    def list_turned_away(self) -> list[Rejection]:
        """Give the sends that were answered with a wish for rest."""
        lists = (server.turned_away for server in self.saying)
        return list(itertools.chain.from_iterable(lists))

    def gateways_by_request(self) -> dict[str, str]:
        """Give the address of the gateway that each request was sent to."""
        return {one.request_id: one.gateway for one in self.asked}

    def was_struck(self, gateway: str, since_ms: int, until_ms: int) -> bool:
        """Whether a gateway lost in a span what it had been told."""
        struck_ms = self.struck_ms.get(gateway, ())
        # A request may have been under way when the gateway was struck.
        return any(
            since_ms - _CROSSING_MS <= at_ms <= until_ms for at_ms in struck_ms
        )

    def _unwanted(self) -> Iterator[int]:
        gateways = self.gateways_by_request()
        for turned in self.list_turned_away():
            gateway = gateways[turned.sent.request_id]
            since_ms = turned.sent.at_ms + _CROSSING_MS
            until_ms = turned.sent.at_ms + turned.rest_ms
            binding = _binding(turned.sent, gateway)
            yield sum(
                since_ms < sent.at_ms < until_ms
                and _binding(sent, gateways[sent.request_id]) == binding
                and not self.was_struck(gateway, since_ms, sent.at_ms)
                for sent in self.sent
            )


def _binding(sent: Delivery, gateway: str) -> tuple[str, str, int]:
    return gateway, sent.server, sent.life


def _never(body: bytes) -> bool:
    """End under nothing."""
    return False


@asynccontextmanager
async def run_signalling(
    store: StandInStore,
    count: int,
    is_deadly: Callable[[bytes], bool] = _never,
    **row: Any,
) -> AsyncIterator[SignallingFleet]:
    """Run such servers until the end of the `with`."""
    clock = Clock()
    fleet = SignallingFleet(store, clock, deadly=is_deadly)
    fleet.saying.extend(
        SignallingServer(
            f'i-{number}',
            store,
            clock,
            is_deadly,
            fleet.sent.append,
            row=row,
        )
        for number in range(count)
    )
    fleet.servers.extend(fleet.saying)
    async with run_servers(fleet.servers):
        yield fleet
