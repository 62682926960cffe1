"""Gateways and servers with limits, on virtual time and a lossy network."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.availability import Availability
from seampond.forwarding.backends import Backends
from seampond.forwarding.permits import PermitSource
from seampond.forwarding.refusals import Refusal
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server_signals import ServerSignals
from seampond.permits.manager import PermitManager
from seampond.permits.messages import (
    PermitReply,
    PermitRequest,
    encode_permit,
)
from seampond.sharing import Heartbeat, Peers, hash_name
from seampond.testing.builders import build_promises
from seampond.testing.gateways import NAMES, ZONE, build_job, build_server

WINDOW_MS = 4000
# A window may have this factor of the limit, and these requests beside it.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
# A gateway keeps to a limit this long after the first response reports it.
_GRACE_MS = 500
_SERVICE_MS = 30
_DELAY_MS = (1, 4)
_MIN_INTERVAL_SHARE = 0.1
_SLOTS = 10
# Callers do not retry after a longer wait.
_MAX_RETRY_AFTER_MS = 4000


@dataclass
class LimitedServer:
    """A server, the limit that it reports and the requests it received.

    Parameters
    ----------
    sent : list[tuple[int, int]]
        Time and gateway incarnation of each request.
    informed_ms : dict[int, int]
        When a gateway incarnation first got a response with the limit.

    """

    id: str
    limit: float | None = None
    sent: list[tuple[int, int]] = field(default_factory=list)
    informed_ms: dict[int, int] = field(default_factory=dict)

    def record_request(self, at_ms: int, gateway: int) -> None:
        """Record a request of a gateway incarnation."""
        self.sent.append((at_ms, gateway))

    def worst_share(self, since_ms: int, limit: float) -> float:
        """Return the busiest window as a share of what the limit allows."""
        sent_times_ms = [
            at_ms
            for at_ms, gateway in self.sent
            if at_ms >= since_ms
            and self.informed_ms.get(gateway, at_ms) + _GRACE_MS <= at_ms
        ]
        peak = max(
            (
                sum(
                    end_ms - WINDOW_MS < at_ms <= end_ms
                    for at_ms in sent_times_ms
                )
                for end_ms in sent_times_ms
            ),
            default=0,
        )
        seconds = WINDOW_MS / MS_PER_SECOND
        return peak / (_ALLOWED_FACTOR * limit * seconds + _ALLOWED_EXTRA)

    def count(self, since_ms: int, until_ms: int) -> int:
        """Count the requests of an interval."""
        return sum(since_ms <= at_ms < until_ms for at_ms, _ in self.sent)


@dataclass
class Network:
    """A network between gateways with delay, loss and partitions.

    Parameters
    ----------
    loss_rate : float
        Share of messages that are lost.
    partition_of : dict[str, int]
        Partition by gateway; messages between partitions are lost.
    permit_bytes : int
        Size of all permit messages sent.

    """

    rng: random.Random
    loss_rate: float = 0
    partition_of: dict[str, int] = field(default_factory=dict)
    permit_bytes: int = 0

    def deliver(
        self, source: str, target: str, deliver_message: Callable[[], None]
    ) -> None:
        """Call `deliver_message` after a delay unless the message is lost."""
        is_cut = self.partition_of.get(source, 0) != self.partition_of.get(
            target, 0
        )
        if is_cut or self.rng.random() < self.loss_rate:
            return
        delay_ms = self.rng.uniform(*_DELAY_MS)
        asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND, deliver_message
        )


PermitSourceFactory = Callable[[Peers, Clock, Backends], PermitSource]


class LimitedGateway:
    """One gateway: its peers, its scheduler and its permits."""

    def __init__(
        self, name: str, fleet: 'LimitedFleet', incarnation: int
    ) -> None:
        """Start without heartbeats of other gateways."""
        self.name = name
        self.is_stopping = False
        self.is_up = True
        self.fleet = fleet
        self.incarnation = incarnation
        self.peers = Peers(name, fleet.clock)
        self.peers.apply_rows([(peer, 'x:1') for peer in fleet.names])
        self.heartbeat_requested = asyncio.Event()
        self.backends = Backends(
            fleet.clock, NAMES.request_id, hash_name=hash_name
        )
        self.permit_manager = PermitManager(
            self.peers,
            fleet.clock,
            self.backends.apply_limit_report,
            self.heartbeat_requested.set,
            fleet.rng,
        )
        self.permit_manager.send = self._send_permit
        self.backends.on_limit = self.permit_manager.record_report
        permit_source: PermitSource = self.permit_manager
        if fleet.make_permit_source is not None:
            permit_source = fleet.make_permit_source(
                self.peers, fleet.clock, self.backends
            )
        self.scheduler = Scheduler(
            self.backends,
            ZONE,
            fleet.clock,
            lambda: self.peers.count,
            build_promises(),
        )
        # Uses the fleet's generator, to make runs reproducible.
        self.scheduler.availability = Availability(fleet.clock, fleet.rng)
        self.scheduler.availability.permits = permit_source
        self.scheduler._rng = fleet.rng  # noqa: SLF001
        self.permit_manager.on_reply = self.scheduler.process_queues
        self.backends.replace_all(
            build_server(server.id, slots=_SLOTS) for server in fleet.servers
        )
        self._sequence = 0

    async def send_heartbeats(self) -> None:
        """Send heartbeats at the usual interval until killed."""
        clock = self.fleet.clock
        while self.is_up:
            self._send_heartbeat_to_all()
            self.peers.record_silent_peers()
            min_ms = self.peers.heartbeat_interval_ms * _MIN_INTERVAL_SHARE
            await clock.sleep(min_ms)
            with suppress(TimeoutError):
                seconds = (
                    self.peers.heartbeat_interval_ms - min_ms
                ) / MS_PER_SECOND
                async with asyncio.timeout(seconds):
                    await self.heartbeat_requested.wait()
            self.heartbeat_requested.clear()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle another gateway's heartbeat."""
        if self.is_up and self.peers.apply_heartbeat(heartbeat):
            self.permit_manager.apply_reports(heartbeat.limit_reports)

    def handle_permit(self, message: PermitRequest | PermitReply) -> None:
        """Handle another gateway's permit message."""
        if not self.is_up:
            return
        if isinstance(message, PermitRequest):
            self.permit_manager.handle_request(message)
        else:
            self.permit_manager.handle_reply(message)

    async def serve(self, request_id: str, *, is_retry: bool) -> int | None:
        """Serve a request.

        Returns
        -------
        int or None
            None if it was served, else the milliseconds until a retry.

        """
        clock = self.fleet.clock
        job = build_job(request_id, arrived_ms=clock.now(), is_retry=is_retry)
        try:
            backend = await self.scheduler.acquire(job, set())
        except Refusal as refusal:
            return refusal.retry_after_ms
        sent_ms = clock.now()
        server = self.fleet.by_id[backend.server.id]
        server.record_request(sent_ms, self.incarnation)
        limit = server.limit
        await clock.sleep(_SERVICE_MS)
        if self.is_up:
            if limit is not None:
                server.informed_ms.setdefault(self.incarnation, clock.now())
            signals = ServerSignals(limit=limit)
            self.backends.apply_signals(backend, signals, sent_ms)
            self.scheduler.release(backend)
        return None

    def _send_heartbeat_to_all(self) -> None:
        self.permit_manager.expire()
        self._sequence += 1
        heartbeat = Heartbeat(
            self.name,
            self.incarnation,
            self._sequence,
            is_stopping=self.is_stopping,
            limit_reports=self.permit_manager.collect_reports(),
            issues_permits=True,
        )
        # Sorted, to make runs reproducible.
        for name in sorted(self.peers.names):
            self.fleet.send_heartbeat(self.name, name, heartbeat)

    def _send_permit(
        self, name: str, message: PermitRequest | PermitReply
    ) -> None:
        self.fleet.network.permit_bytes += len(encode_permit(message))
        self.fleet.network.deliver(
            self.name,
            name,
            lambda: self.fleet.gateways[name].handle_permit(message),
        )


class LimitedFleet:
    """Gateways, servers with limits, and callers."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        gateways: int,
        servers: int,
        make_permit_source: PermitSourceFactory | None = None,
    ) -> None:
        """Start the gateways."""
        self.clock = clock
        self.rng = rng
        self.make_permit_source = make_permit_source
        self.network = Network(rng)
        self.names = [f'g{number}' for number in range(gateways)]
        self.servers = [
            LimitedServer(f'i-{number}') for number in range(servers)
        ]
        self.by_id = {server.id: server for server in self.servers}
        self.gateways: dict[str, LimitedGateway] = {}
        self.served = 0
        self.calls = 0
        self.callers_retry = False
        self.retried = 0
        self.served_on_retry = 0
        self.waits_ms: list[int] = []
        self.refused_ms: list[int] = []
        self._ids: Iterator[int] = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a new incarnation of a gateway."""
        gateway = LimitedGateway(name, self, next(self._ids))
        self.gateways[name] = gateway
        self._spawn(gateway.send_heartbeats())

    def kill(self, name: str) -> None:
        """Kill a gateway without notice."""
        self.gateways[name].is_up = False

    def stop(self, name: str) -> None:
        """Announce a planned stop of a gateway."""
        self.gateways[name].is_stopping = True

    def partition(self, rng: random.Random) -> None:
        """Split the network into two random partitions."""
        self.network.partition_of = {
            name: rng.randrange(2) for name in self.names
        }

    def heal(self) -> None:
        """End partitions and restart killed gateways."""
        self.network.partition_of = {}
        for name, gateway in list(self.gateways.items()):
            if not gateway.is_up:
                self.start(name)

    def restart(self, name: str) -> None:
        """Kill a gateway and start it again."""
        self.kill(name)
        self.start(name)

    def used_share(self, since_ms: int, until_ms: int) -> float:
        """Return the requests sent as a share of what the limits allow."""
        sent = sum(server.count(since_ms, until_ms) for server in self.servers)
        limits = sum(server.limit or 0 for server in self.servers)
        return sent / (limits * (until_ms - since_ms) / MS_PER_SECOND)

    def send_heartbeat(
        self, source: str, target: str, heartbeat: Heartbeat
    ) -> None:
        """Send a heartbeat."""
        self.network.deliver(
            source,
            target,
            lambda: self.gateways[target].receive_heartbeat(heartbeat),
        )

    async def send_requests(self, rate: float, for_ms: int) -> None:
        """Send requests at random times through random gateways."""
        until_ms = self.clock.now() + for_ms
        while self.clock.now() < until_ms:
            await self.clock.sleep(self.rng.expovariate(rate / MS_PER_SECOND))
            name = self.rng.choice(self.names)
            self._spawn(self._call(name))

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, name: str) -> None:
        gateway = self.gateways[name]
        if not gateway.is_up:
            return
        since_ms = self.clock.now()
        self.calls += 1
        retry_after_ms = await gateway.serve(
            f'r{next(self._ids)}', is_retry=False
        )
        if retry_after_ms is None:
            self.served += 1
            self.waits_ms.append(self.clock.now() - since_ms - _SERVICE_MS)
            return
        self.refused_ms.append(self.clock.now() - since_ms)
        if self.callers_retry and retry_after_ms <= _MAX_RETRY_AFTER_MS:
            self.retried += 1
            await self.clock.sleep(retry_after_ms)
            gateway = self.gateways[self.rng.choice(self.names)]
            retry_after_ms = await gateway.serve(
                f'r{next(self._ids)}', is_retry=True
            )
            self.served_on_retry += retry_after_ms is None

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
