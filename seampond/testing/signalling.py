"""Servers that signal drain, back-off and limits in response headers."""

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
    AnswerStyle,
    Content,
    CrashingFleet,
    CrashingServer,
    Delivery,
    read_content,
    run_servers,
)
from seampond.testing.scripted import (
    ReceivedRequest,
    format_chunked_response,
    format_response,
    format_unframed_response,
)
from seampond.testing.store import StandInStore

LEAVING_HEADER = HEADERS.leaving.decode()
LIMIT_HEADER = HEADERS.limit.decode()
_NOT_RUN_HEADER = HEADERS.not_run.decode()
_RETRY_AFTER = 'retry-after'
# Requests in flight when a signal is sent may still arrive this long.
_IN_FLIGHT_MS = 500


@dataclass(frozen=True, slots=True)
class Rejection:
    """A delivery rejected with a back-off time."""

    delivery: Delivery
    backoff_ms: int


@dataclass(slots=True)
class Arrival:
    """A delivery and the limit that the server reported with it.

    Parameters
    ----------
    limit : str
        Text of the limit header, empty for none.
    answered_ms : int
        When the response head was sent, 0 if it was not.

    """

    delivery: Delivery
    limit: str
    answered_ms: int = 0


@dataclass
class SignallingServer(CrashingServer):
    """A server that reports its state in response headers.

    Parameters
    ----------
    is_draining : bool
        Whether responses announce that the server drains.
    is_overloaded : bool
        Whether it rejects all requests.
    retry_after : str
        Text of the Retry-After header of rejections, empty for none.
    limit : str
        Text of the limit header, empty for none.
    reject_every : int
        Rejects every n-th request, 0 for none.
    arrivals : list[Arrival]
        Deliveries, apart from those that crash the server.
    rejections : list[Rejection]
        Deliveries that were rejected with a Retry-After header.
    announced_drain : list[Delivery]
        Deliveries whose response announced the drain.
    rejected : list[Delivery]
        All deliveries that were rejected.

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
        """Whether this incarnation's row is in the draining state."""
        return self._row_drained_ms == self.started_ms

    async def start(self) -> None:
        """Start an incarnation that has sent no signals."""
        self.is_draining = False
        self.is_overloaded = False
        self.limit = ''
        await super().start()

    def put_row(self, **changes: Any) -> None:
        """Write the server's row and record if its state is draining."""
        if changes.get('state') == DRAINING_STATE:
            self._row_drained_ms = self.started_ms
        super().put_row(**changes)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.crashes_on(read_content(request)):
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
        elif self.style is AnswerStyle.stream:
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
        if self.style is AnswerStyle.stream:
            writer.write(format_chunked_response(headers, EVENT))
        await self.clock.sleep(self.service_ms)
        if self.style is AnswerStyle.stream:
            writer.write(LAST_CHUNK)
        elif self.style is AnswerStyle.unframed_body:
            writer.write(format_unframed_response(headers, b'whole'))
            writer.close()
        else:
            writer.write(format_response(200, headers, b'whole'))


@dataclass
class SignallingFleet(CrashingFleet):
    """A fleet of signalling servers, with checks of the gateways.

    Parameters
    ----------
    disrupted_ms : dict[str, list[int]]
        When a gateway was killed, stopped, frozen or resumed, by address.
        Signals that it received before then no longer count.

    """

    signalling_servers: list[SignallingServer] = field(default_factory=list)
    disrupted_ms: dict[str, list[int]] = field(default_factory=dict)

    def count_sends_after_drain(self, drain_ms: int) -> int:
        """Count requests sent to a server after its drain time.

        Explanation
        -----------
        A drain signal applies to the gateway that received it and to that
        incarnation of the server.  The time of a request is when its caller
        sent it.
        """
        requests = {
            request.request_id: request for request in self.caller_requests
        }
        signalled: dict[tuple[str, str, int], list[int]] = {}
        for server in self.signalling_servers:
            for delivery in server.announced_drain:
                key = _connection_key(
                    delivery, requests[delivery.request_id].gateway
                )
                signalled.setdefault(key, []).append(delivery.at_ms)
        late = 0
        for delivery in self.deliveries:
            request = requests[delivery.request_id]
            late += any(
                request.at_ms > signalled_ms + drain_ms
                and not self.was_disrupted(
                    request.gateway, signalled_ms, delivery.at_ms
                )
                for signalled_ms in signalled.get(
                    _connection_key(delivery, request.gateway), ()
                )
            )
        return late

    def count_runs(self) -> Counter[bytes]:
        """Count the deliveries of each body that were not rejected."""
        lists = (server.rejected for server in self.signalling_servers)
        rejected = Counter(
            delivery.body for delivery in itertools.chain.from_iterable(lists)
        )
        return Counter(delivery.body for delivery in self.deliveries) - rejected

    def max_sends_in_backoff(self) -> int:
        """Return the most requests of one gateway within one back-off."""
        return max(self._sends_in_backoff(), default=0)

    def list_rejections(self) -> list[Rejection]:
        """Return the deliveries that were rejected with a back-off."""
        lists = (server.rejections for server in self.signalling_servers)
        return list(itertools.chain.from_iterable(lists))

    def gateways_by_request(self) -> dict[str, str]:
        """Return the gateway address of each request, by request id."""
        return {
            request.request_id: request.gateway
            for request in self.caller_requests
        }

    def was_disrupted(self, gateway: str, since_ms: int, until_ms: int) -> bool:
        """Return True if a gateway may have lost signals in an interval."""
        disrupted_ms = self.disrupted_ms.get(gateway, ())
        # Its request may have been in flight when the gateway was disrupted.
        return any(
            since_ms - _IN_FLIGHT_MS <= at_ms <= until_ms
            for at_ms in disrupted_ms
        )

    def _sends_in_backoff(self) -> Iterator[int]:
        gateways = self.gateways_by_request()
        for rejection in self.list_rejections():
            gateway = gateways[rejection.delivery.request_id]
            since_ms = rejection.delivery.at_ms + _IN_FLIGHT_MS
            until_ms = rejection.delivery.at_ms + rejection.backoff_ms
            key = _connection_key(rejection.delivery, gateway)
            yield sum(
                since_ms < delivery.at_ms < until_ms
                and _connection_key(delivery, gateways[delivery.request_id])
                == key
                and not self.was_disrupted(gateway, since_ms, delivery.at_ms)
                for delivery in self.deliveries
            )


def _connection_key(delivery: Delivery, gateway: str) -> tuple[str, str, int]:
    return gateway, delivery.server, delivery.incarnation


def _never(content: Content) -> bool:
    """Return False for every request."""
    return False


@asynccontextmanager
async def run_signalling(
    store: StandInStore,
    count: int,
    crashes_on: Callable[[Content], bool] = _never,
    **row: Any,
) -> AsyncIterator[SignallingFleet]:
    """Run a fleet of signalling servers."""
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
