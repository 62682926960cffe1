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
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunked_response,
    format_response,
)
from seampond.testing.store import StandInStore

LEAVING_HEADER = HEADERS.leaving.decode()
LIMIT_HEADER = HEADERS.limit.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_RETRY_AFTER = 'retry-after'
# What is under way when a server asks for rest may still come.
_IN_FLIGHT_MS = 500


@dataclass(frozen=True, slots=True)
class Rejection:
    """A send that its server answered with a wish for rest."""

    delivery: Delivery
    backoff_ms: int


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

    delivery: Delivery
    limit: str
    answered_ms: int = 0


@dataclass
class SignallingServer(CrashingServer):
    """One server, and what it says in its answers.

    Parameters
    ----------
    is_draining : bool
        Whether it says that it leaves.
    is_overloaded : bool
        Whether it turns all requests away.
    retry_after : str
        The time that it then asks for, as it stands in the header; empty
        for none.
    limit : str
        The limit that it names, as it stands in the header; empty for none.
    reject_every : int
        Of how many requests it turns one away, 0 for none.
    arrivals : list[Arrival]
        What reached it.
    announced_drain : list[Delivery]
        Sends that were answered with a word of its leave.
    rejected : list[Delivery]
        Sends that it has turned away.

    """

    is_draining: bool = False
    is_overloaded: bool = False
    retry_after: str = ''
    limit: str = ''
    reject_every: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    rejections: list[Rejection] = field(default_factory=list)
    announced_drain: list[Delivery] = field(default_factory=list)
    rejected: list[Delivery] = field(default_factory=list)
    _row_drained_ms: int = -1

    @property
    def is_row_draining(self) -> bool:
        """Whether the row of this life has said that it leaves."""
        return self._row_drained_ms == self.started_ms

    async def start(self) -> None:
        """Begin a life in which nothing has been said."""
        self.is_draining = False
        self.is_overloaded = False
        self.limit = ''
        await super().start()

    def put_row(self, **changes: Any) -> None:
        """Write its row, and keep in mind what it said."""
        if changes.get('state') == DRAINING_STATE:
            self._row_drained_ms = self.started_ms
        super().put_row(**changes)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.crashes_on(request.body):
            await super()._answer(request, writer)
            return
        delivery = self._record_delivery(request)
        headers = {ID_HEADER: request.get(ID_HEADER)}
        if self.is_draining:
            headers[LEAVING_HEADER] = '1'
            self.announced_drain.append(delivery)
        arrival = Arrival(delivery, self.limit)
        self.arrivals.append(arrival)
        if self.limit:
            headers[LIMIT_HEADER] = self.limit
        if self._must_reject():
            self._reject(delivery, headers, writer)
        elif self.is_stream:
            arrival.answered_ms = self.clock.now()
            await self._serve_response(headers, writer)
        else:
            await self._serve_response(headers, writer)
        arrival.answered_ms = arrival.answered_ms or self.clock.now()
        await writer.drain()

    def _must_reject(self) -> bool:
        if self.reject_every and not len(self.arrivals) % self.reject_every:
            return True
        return self.is_overloaded

    def _reject(
        self,
        delivery: Delivery,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        headers[_NOT_RUN_HEADER] = '1'
        self.rejected.append(delivery)
        if self.retry_after:
            headers[_RETRY_AFTER] = self.retry_after
            backoff_ms = round(float(self.retry_after) * MS_PER_SECOND)
            self.rejections.append(Rejection(delivery, backoff_ms))
        writer.write(format_response(503, headers))

    async def _serve_response(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers[STAMP_HEADER] = self.id
        if self.is_stream:
            writer.write(format_chunked_response(headers, EVENT))
        await self.clock.sleep(self.service_ms)
        if self.is_stream:
            writer.write(LAST_CHUNK)
        else:
            writer.write(format_response(200, headers, b'whole'))


@dataclass
class SignallingFleet(CrashingFleet):
    """Such servers, their callers, and what both have seen.

    Parameters
    ----------
    disrupted_ms : dict[str, list[int]]
        When a gateway was killed, stopped, frozen or thawed, by its address:
        what it had been told before binds it no more.

    """

    signalling_servers: list[SignallingServer] = field(default_factory=list)
    disrupted_ms: dict[str, list[int]] = field(default_factory=dict)

    def count_sends_after_drain(self, drain_ms: int) -> int:
        """Count the sends that came so long after a word of a leave.

        Explanation
        -----------
        The word binds the gateway that was given it, towards that life of the
        server; what counts is when a caller sent the request.
        """
        asked = {one.request_id: one for one in self.caller_requests}
        told: dict[tuple[str, str, int], list[int]] = {}
        for server in self.signalling_servers:
            for delivery in server.announced_drain:
                key = _connection_key(
                    delivery, asked[delivery.request_id].gateway
                )
                told.setdefault(key, []).append(delivery.at_ms)
        late = 0
        for delivery in self.deliveries:
            one = asked[delivery.request_id]
            late += any(
                one.at_ms > told_ms + drain_ms
                and not self.was_disrupted(one.gateway, told_ms, delivery.at_ms)
                for told_ms in told.get(
                    _connection_key(delivery, one.gateway), ()
                )
            )
        return late

    def count_runs(self) -> Counter[bytes]:
        """Count the sends of each body that were not turned away."""
        lists = (server.rejected for server in self.signalling_servers)
        rejected = Counter(
            one.body for one in itertools.chain.from_iterable(lists)
        )
        return Counter(one.body for one in self.deliveries) - rejected

    def max_sends_in_backoff(self) -> int:
        """Give the most sends from one gateway inside one time of rest."""
        return max(self._sends_in_backoff(), default=0)

    def list_rejections(self) -> list[Rejection]:
        """Give the sends that were answered with a wish for rest."""
        lists = (server.rejections for server in self.signalling_servers)
        return list(itertools.chain.from_iterable(lists))

    def gateways_by_request(self) -> dict[str, str]:
        """Give the address of the gateway that each request was sent to."""
        return {one.request_id: one.gateway for one in self.caller_requests}

    def was_disrupted(self, gateway: str, since_ms: int, until_ms: int) -> bool:
        """Whether a gateway lost in a span what it had been told."""
        disrupted_ms = self.disrupted_ms.get(gateway, ())
        # A request may have been under way when the gateway was struck.
        return any(
            since_ms - _IN_FLIGHT_MS <= at_ms <= until_ms
            for at_ms in disrupted_ms
        )

    def _sends_in_backoff(self) -> Iterator[int]:
        gateways = self.gateways_by_request()
        for turned in self.list_rejections():
            gateway = gateways[turned.delivery.request_id]
            since_ms = turned.delivery.at_ms + _IN_FLIGHT_MS
            until_ms = turned.delivery.at_ms + turned.backoff_ms
            binding = _connection_key(turned.delivery, gateway)
            yield sum(
                since_ms < delivery.at_ms < until_ms
                and _connection_key(delivery, gateways[delivery.request_id])
                == binding
                and not self.was_disrupted(gateway, since_ms, delivery.at_ms)
                for delivery in self.deliveries
            )


def _connection_key(delivery: Delivery, gateway: str) -> tuple[str, str, int]:
    return gateway, delivery.server, delivery.incarnation


def _never(body: bytes) -> bool:
    """End under nothing."""
    return False


@asynccontextmanager
async def run_signalling(
    store: StandInStore,
    count: int,
    crashes_on: Callable[[bytes], bool] = _never,
    **row: Any,
) -> AsyncIterator[SignallingFleet]:
    """Run such servers until the end of the `with`."""
    clock = Clock()
    fleet = SignallingFleet(store, clock, crashes_on=crashes_on)
    fleet.signalling_servers.extend(
        SignallingServer(
            f'i-{number}',
            store,
            clock,
            crashes_on,
            fleet.deliveries.append,
            row=row,
        )
        for number in range(count)
    )
    fleet.servers.extend(fleet.signalling_servers)
    async with run_servers(fleet.servers):
        yield fleet
