"""Builders of valid test objects."""

import random
from collections.abc import Callable
from typing import Any

from seampond.backing import Vm
from seampond.backing.objects import Objects
from seampond.clock import Clock, ManualClock
from seampond.engines.runs import Run
from seampond.links.messages import Grant, Message, Reserve
from seampond.metrics import EntryMetrics
from seampond.promises import Promises
from seampond.requests import Ticket, Work
from seampond.routing import Dispatcher, Peer
from seampond.routing.place import Placement
from seampond.routing.waiting import DepartureRate, RoomSize, WaitingRoom
from seampond.settings.models import (
    AgentSettings,
    BackendSettings,
    LinkSettings,
    PlatformSettings,
    RoutingSettings,
)

SECRET = 'a-secret-for-the-tests'
POOL = 'llm'
DEADLINE_MS = 10_000
ROOM_BYTES = 1_000_000
_UNUSED_URL = 'http://127.0.0.1:9'


class FakeLink:
    """A link that stores the messages sent over it."""

    def __init__(self) -> None:
        """Create an open link."""
        self.sent: list[Message] = []
        self.is_closed = False
        self.peer = 'fake:1'

    def send(self, message: Message) -> None:
        """Store a message."""
        self.sent.append(message)

    def sent_of(self, kind: type[Message]) -> list[Any]:
        """Return the sent messages of one type."""
        return [message for message in self.sent if isinstance(message, kind)]


def build_promises() -> Promises:
    """Return promises that report broken ones to no metric."""
    return Promises(lambda rule: None)


def build_work(request_id: str = 'r1', **changes: Any) -> Work:
    """Return repeatable work of tier 3, due in ten seconds."""
    content: dict[str, Any] = {
        'id': request_id,
        'workspace': 'front-desk',
        'template': 'answer',
        'pool': POOL,
        'tier': 3,
        'arrived_ms': 0,
        'deadline_ms': DEADLINE_MS,
        'method': 'POST',
        'path': '/v1/chat/completions',
        'body': b'{}',
    }
    return Work(**{**content, **changes})


def build_ticket(request_id: str = 'r1', **changes: Any) -> Ticket:
    """Return a waiting ticket."""
    return Ticket(build_work(request_id, **changes))


def build_peer(name: str = 'backend-1', pool: str = POOL) -> Peer:
    """Return a ready peer on a fake link."""
    peer = Peer(Vm(name, 'hall-1', 'backend', '127.0.0.1:9', pool))
    peer.link = FakeLink()  # type: ignore[assignment]
    peer.incarnation = 'incarnation-1'
    peer.fire('came_up')
    return peer


def build_placement(
    clock: Clock | None = None,
    peers: tuple[Peer, ...] = (),
    waiting_max: int = 100,
) -> Placement:
    """Return a placement over `peers` with metrics of its own."""
    clock = clock or ManualClock()
    promises = build_promises()
    metrics = EntryMetrics()
    room = WaitingRoom(RoomSize(waiting_max, ROOM_BYTES), promises)
    dispatcher = Dispatcher(clock, promises, metrics, room)
    dispatcher.peers.update({peer.name: peer for peer in peers})
    return Placement(
        dispatcher=dispatcher,
        room=room,
        rate=DepartureRate(clock),
        settings=RoutingSettings(waiting_max=waiting_max),
        clock=clock,
        metrics=metrics,
        hall='hall-1',
        rng=random.Random(1),
    )


def build_agent_settings(**backend: Any) -> AgentSettings:
    """Return agent settings; `backend` overrides those of the server."""
    content = {'url': _UNUSED_URL, 'pool': POOL, 'kind': 'model', 'slots': 1}
    return AgentSettings(
        name='backend-1',
        hall='hall-1',
        listen='127.0.0.1:0',
        status_listen='127.0.0.1:0',
        backend=BackendSettings.model_validate({**content, **backend}),
        links=LinkSettings(secret=SECRET),
        platform=PlatformSettings(
            tables=_UNUSED_URL, objects=_UNUSED_URL, vms=_UNUSED_URL
        ),
    )


def build_objects() -> Objects:
    """Return an in-memory object store."""
    stored: dict[str, Any] = {}

    async def get(key: str) -> Any:
        return stored.get(key)

    async def put(key: str, content: Any) -> None:
        stored[key] = content

    return Objects(get, put)


def build_reserve(request_id: str = 'r1', **changes: Any) -> Reserve:
    """Return a reservation of tier 3, due in ten seconds."""
    content = {'attempt': 1, 'tier': 3, 'remaining_ms': DEADLINE_MS}
    return Reserve(request_id, **{**content, **changes})


def build_grant(request_id: str = 'r1', **changes: Any) -> Grant:
    """Return a grant of repeatable work."""
    content: dict[str, Any] = {
        'attempt': 1,
        'remaining_ms': DEADLINE_MS,
        'method': 'POST',
        'path': '/v1/chat/completions',
        'body': b'{}',
        'repeatable': True,
    }
    return Grant(request_id, **{**content, **changes})


def answer_with(*payloads: bytes) -> Callable[[Run], Any]:
    """Return a backend that answers each run with `payloads` at once."""

    async def carry_out(run: Run) -> None:
        run.add_head(200, ())
        for payload in payloads:
            run.add_payload(payload)

    return carry_out
