"""Gateways before servers with limits, on virtual time and a lossy network."""

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
from seampond.permits.messages import PermitReply, PermitRequest, encode_permit
from seampond.sharing import Heartbeat, Peers, hash_name
from seampond.testing.builders import build_promises
from seampond.testing.gateways import NAMES, ZONE, build_job, build_server

WINDOW_MS = 4000
_LEEWAY = 1.5
_LEEWAY_REQUESTS = 5
_TOLD_MS = 500
_RUN_MS = 30
_DELAY_MS = (1, 4)
_LEAST_BEAT_PART = 0.1
_SLOTS = 10
# No caller waits longer before it comes back.
_HEEDED_MS = 4000


@dataclass
class LimitedServer:
    """One server, the limit that it names, and when it was sent to.

    Parameters
    ----------
    told_ms : dict[int, int]
        When the life of a gateway first heard of the limit by an answer.

    """

    id: str
    limit: float | None = None
    sent: list[tuple[int, int]] = field(default_factory=list)
    told_ms: dict[int, int] = field(default_factory=dict)

    def note_sent(self, at_ms: int, gateway: int) -> None:
        """Note a request of one life of a gateway."""
        self.sent.append((at_ms, gateway))

    def worst_part(self, since_ms: int, limit: float) -> float:
        """Give the worst window of those told as a part of what is allowed."""
        counted = [
            at_ms
            for at_ms, gateway in self.sent
            if at_ms >= since_ms
            and self.told_ms.get(gateway, at_ms) + _TOLD_MS <= at_ms
        ]
        most = max(
            (
                sum(at_ms - WINDOW_MS < one <= at_ms for one in counted)
                for at_ms in counted
            ),
            default=0,
        )
        seconds = WINDOW_MS / MS_PER_SECOND
        return most / (_LEEWAY * limit * seconds + _LEEWAY_REQUESTS)

    def count(self, since_ms: int, until_ms: int) -> int:
        """Count what was sent in a span."""
        return sum(since_ms <= at_ms < until_ms for at_ms, _ in self.sent)


@dataclass
class Network:
    """What gateways send each other: late, lost, cut.

    Parameters
    ----------
    lost_part : float
        How much is lost.
    side_of : dict[str, int]
        Who is cut off from whom: only those of one side hear each other.
    permit_bytes : int
        What was sent to ask for permits and to answer.

    """

    rng: random.Random
    lost_part: float = 0
    side_of: dict[str, int] = field(default_factory=dict)
    permit_bytes: int = 0

    def deliver(
        self, source: str, target: str, take: Callable[[], None]
    ) -> None:
        """Let `take` happen a little later, or never."""
        is_cut = self.side_of.get(source, 0) != self.side_of.get(target, 0)
        if is_cut or self.rng.random() < self.lost_part:
            return
        delay_ms = self.rng.uniform(*_DELAY_MS)
        asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, take)


MakePermits = Callable[[Peers, Clock, Backends], PermitSource]


class LimitedGateway:
    """One gateway: its view of the others, its scheduler, its permits."""

    def __init__(
        self, name: str, fleet: 'LimitedFleet', incarnation: int
    ) -> None:
        """Start without having heard of anybody."""
        self.name = name
        self.is_stopping = False
        self.is_up = True
        self.fleet = fleet
        self.incarnation = incarnation
        self.peers = Peers(name, fleet.clock)
        self.peers.apply_rows([(one, 'x:1') for one in fleet.names])
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
        permits: PermitSource = self.permit_manager
        if fleet.make_permits is not None:
            permits = fleet.make_permits(self.peers, fleet.clock, self.backends)
        self.scheduler = Scheduler(
            self.backends,
            ZONE,
            fleet.clock,
            lambda: self.peers.count,
            build_promises(),
        )
        # Drawn anew, it would not play a seed twice alike.
        self.scheduler.availability = Availability(fleet.clock, fleet.rng)
        self.scheduler.availability.permits = permits
        self.scheduler._rng = fleet.rng  # noqa: SLF001
        self.permit_manager.on_reply = self.scheduler.process_queues
        self.backends.replace_all(
            build_server(server.id, slots=_SLOTS) for server in fleet.servers
        )
        self._sequence = 0

    async def beat(self) -> None:
        """Tell the others, at the pace of the fleet, until the end."""
        clock = self.fleet.clock
        while self.is_up:
            self._tell_all()
            self.peers.record_silent_peers()
            least_ms = self.peers.heartbeat_interval_ms * _LEAST_BEAT_PART
            await clock.sleep(least_ms)
            with suppress(TimeoutError):
                seconds = (
                    self.peers.heartbeat_interval_ms - least_ms
                ) / MS_PER_SECOND
                async with asyncio.timeout(seconds):
                    await self.heartbeat_requested.wait()
            self.heartbeat_requested.clear()

    def hear(self, heartbeat: Heartbeat) -> None:
        """Take what another has told."""
        if self.is_up and self.peers.apply_heartbeat(heartbeat):
            self.permit_manager.apply_reports(heartbeat.limit_reports)

    def handle_permit(self, message: PermitRequest | PermitReply) -> None:
        """Take what another asks or answers."""
        if not self.is_up:
            return
        if isinstance(message, PermitRequest):
            self.permit_manager.handle_request(message)
        else:
            self.permit_manager.handle_reply(message)

    async def serve(self, request_id: str, *, is_retry: bool) -> int | None:
        """Carry a request through.

        Returns
        -------
        int or None
            None where it was served, else when to come back.

        """
        clock = self.fleet.clock
        job = build_job(request_id, arrived_ms=clock.now(), is_retry=is_retry)
        try:
            backend = await self.scheduler.acquire(job, set())
        except Refusal as refusal:
            return refusal.retry_after_ms
        sent_ms = clock.now()
        server = self.fleet.by_id[backend.server.id]
        server.note_sent(sent_ms, self.incarnation)
        limit = server.limit
        await clock.sleep(_RUN_MS)
        if self.is_up:
            if limit is not None:
                server.told_ms.setdefault(self.incarnation, clock.now())
            words = ServerSignals(limit=limit)
            self.backends.apply_signals(backend, words, sent_ms)
            self.scheduler.release(backend)
        return None

    def _tell_all(self) -> None:
        self.permit_manager.expire()
        self._sequence += 1
        told = Heartbeat(
            self.name,
            self.incarnation,
            self._sequence,
            is_stopping=self.is_stopping,
            limit_reports=self.permit_manager.collect_reports(),
            issues_permits=True,
        )
        # A set of names has another order in each process, a seed must not.
        for name in sorted(self.peers.names):
            self.fleet.tell(self.name, name, told)

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
    """Such gateways and servers, and the callers before them."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        gateways: int,
        servers: int,
        make_permits: MakePermits | None = None,
    ) -> None:
        """Start the gateways."""
        self.clock = clock
        self.rng = rng
        self.make_permits = make_permits
        self.network = Network(rng)
        self.names = [f'g{number}' for number in range(gateways)]
        self.servers = [LimitedServer(f'i-{one}') for one in range(servers)]
        self.by_id = {server.id: server for server in self.servers}
        self.gateways: dict[str, LimitedGateway] = {}
        self.served = 0
        self.asked = 0
        self.come_back = False
        self.came_back = 0
        self.served_later = 0
        self.waits_ms: list[int] = []
        self.refused_ms: list[int] = []
        self._ids: Iterator[int] = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a gateway that knows nothing of an earlier life."""
        gateway = LimitedGateway(name, self, next(self._ids))
        self.gateways[name] = gateway
        self._spawn(gateway.beat())

    def kill(self, name: str) -> None:
        """End a gateway without a word."""
        self.gateways[name].is_up = False

    def stop(self, name: str) -> None:
        """Let a gateway say that it is about to stop."""
        self.gateways[name].is_stopping = True

    def cut(self, rng: random.Random) -> None:
        """Cut some gateways off from the others."""
        self.network.side_of = {name: rng.randrange(2) for name in self.names}

    def heal(self) -> None:
        """End cuts, and start what was killed."""
        self.network.side_of = {}
        for name, gateway in list(self.gateways.items()):
            if not gateway.is_up:
                self.start(name)

    def restart(self, name: str) -> None:
        """End a gateway and start it anew."""
        self.kill(name)
        self.start(name)

    def used_part(self, since_ms: int, until_ms: int) -> float:
        """Give what was sent as a part of the limits' sum."""
        sent = sum(server.count(since_ms, until_ms) for server in self.servers)
        limits = sum(server.limit or 0 for server in self.servers)
        return sent / (limits * (until_ms - since_ms) / MS_PER_SECOND)

    def tell(self, source: str, target: str, told: Heartbeat) -> None:
        """Send a heartbeat."""
        self.network.deliver(
            source, target, lambda: self.gateways[target].hear(told)
        )

    async def drive(self, rate: float, for_ms: int) -> None:
        """Bring requests at random moments, at gateways in turn."""
        until_ms = self.clock.now() + for_ms
        while self.clock.now() < until_ms:
            await self.clock.sleep(self.rng.expovariate(rate / MS_PER_SECOND))
            name = self.rng.choice(self.names)
            self._spawn(self._ask(name))

    async def close(self) -> None:
        """End all gateways."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask(self, name: str) -> None:
        gateway = self.gateways[name]
        if not gateway.is_up:
            return
        since_ms = self.clock.now()
        self.asked += 1
        later_ms = await gateway.serve(f'r{next(self._ids)}', is_retry=False)
        if later_ms is None:
            self.served += 1
            self.waits_ms.append(self.clock.now() - since_ms - _RUN_MS)
            return
        self.refused_ms.append(self.clock.now() - since_ms)
        if self.come_back and later_ms <= _HEEDED_MS:
            self.came_back += 1
            await self.clock.sleep(later_ms)
            gateway = self.gateways[self.rng.choice(self.names)]
            later_ms = await gateway.serve(f'r{next(self._ids)}', is_retry=True)
            self.served_later += later_ms is None

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
