"""Servers that say in their answers that they leave or want rest."""

import asyncio
import itertools
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock
from seampond.platform.names import HEADERS
from seampond.platform.tests.rows import ID_HEADER, STAMP_HEADER
from seampond.testing.crashing import (
    EVENT,
    LAST_CHUNK,
    CrashingFleet,
    CrashingServer,
    Sent,
)
from seampond.testing.scripted import Received, write_answer, write_chunks
from seampond.testing.store import StandInStore

LEAVING_HEADER = HEADERS.leaving.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_RETRY_AFTER = 'retry-after'
# What is under way when a server asks for rest may still come.
_CROSSING_MS = 500


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A send that its server answered with a wish for rest."""

    sent: Sent
    rest_ms: int


@dataclass
class SayingServer(CrashingServer):
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
    told_leave : list[Sent]
        Sends that were answered with a word of its leave.

    """

    leaves: bool = False
    is_full: bool = False
    rest: str = ''
    turned_away: list[TurnedAway] = field(default_factory=list)
    told_leave: list[Sent] = field(default_factory=list)

    async def _answer(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        sent = self._note(request)
        headers = {ID_HEADER: request.get(ID_HEADER)}
        if self.leaves:
            headers[LEAVING_HEADER] = '1'
            self.told_leave.append(sent)
        if self.is_full:
            self._turn_away(sent, headers, writer)
        else:
            await self._serve_whole(headers, writer)
        await writer.drain()

    def _turn_away(
        self, sent: Sent, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers[_NOT_RUN_HEADER] = '1'
        if self.rest:
            headers[_RETRY_AFTER] = self.rest
            rest_ms = round(float(self.rest) * MS_PER_SECOND)
            self.turned_away.append(TurnedAway(sent, rest_ms))
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
class SayingFleet(CrashingFleet):
    """Such servers, their callers, and what both have seen."""

    saying: list[SayingServer] = field(default_factory=list)

    def count_sends_to_leaving(self, drain_ms: int) -> int:
        """Count the sends that came so long after a word of a leave.

        Explanation
        -----------
        The word binds the gateway that was given it, towards that life of the
        server; what counts is when a caller sent the request.
        """
        asked = {one.request_id: one for one in self.asked}
        told: dict[tuple[str, str, int], int] = {}
        for server in self.saying:
            for sent in server.told_leave:
                key = _binding(sent, asked[sent.request_id].gateway)
                told.setdefault(key, sent.at_ms)
        late = 0
        for sent in self.sent:
            one = asked[sent.request_id]
            told_ms = told.get(_binding(sent, one.gateway), math.inf)
            late += one.at_ms > told_ms + drain_ms
        return late

    def count_unwanted_sends(self) -> int:
        """Give the most sends from one gateway inside one time of rest."""
        return max(self._unwanted(), default=0)

    def list_turned_away(self) -> list[TurnedAway]:
        """Give the sends that were answered with a wish for rest."""
        lists = (server.turned_away for server in self.saying)
        return list(itertools.chain.from_iterable(lists))

    def _unwanted(self) -> Iterator[int]:
        gateways = {one.request_id: one.gateway for one in self.asked}
        for turned in self.list_turned_away():
            gateway = gateways[turned.sent.request_id]
            since_ms = turned.sent.at_ms + _CROSSING_MS
            until_ms = turned.sent.at_ms + turned.rest_ms
            yield sum(
                since_ms < sent.at_ms < until_ms
                and sent.server == turned.sent.server
                and gateways[sent.request_id] == gateway
                for sent in self.sent
            )


def _binding(sent: Sent, gateway: str) -> tuple[str, str, int]:
    return gateway, sent.server, sent.life


@asynccontextmanager
async def run_saying(
    store: StandInStore, count: int, **row: Any
) -> AsyncIterator[SayingFleet]:
    """Run such servers until the end of the `with`."""
    clock = Clock()
    fleet = SayingFleet(store, clock)
    fleet.saying.extend(
        SayingServer(
            f'i-{number}',
            store,
            clock,
            lambda body: False,
            fleet.sent.append,
            row=row,
        )
        for number in range(count)
    )
    fleet.servers.extend(fleet.saying)
    for server in fleet.saying:
        await server.start()
    try:
        yield fleet
    finally:
        for server in fleet.saying:
            await server.stop()
