"""What the origins of streams cost each gateway, by how many there are.

`python -m seampond.slopes.stream_origins`
"""

import random
import sys
import time
from dataclasses import dataclass

from seampond.clock import ManualClock
from seampond.forwarding.job import Job, Prompt
from seampond.forwarding.models import PoolShare, RequestKind, Route
from seampond.forwarding.server import Server
from seampond.forwarding.stream_origins import StreamOrigin
from seampond.sharing.hashing import hash_name
from seampond.streams.known_origins import KnownOrigins
from seampond.streams.messages import (
    OriginMessage,
    OriginReply,
    OriginRequest,
    decode_origin,
    encode_origin,
)
from seampond.streams.registry import OriginRegistry, hash_stream
from seampond.streams.servers import NO_SERVERS
from seampond.streams.stored import NOT_STORED

_POOL = 'llm'
_STREAMS_PER_S = 8000
_STREAMS = 8000
_GATEWAY_COUNTS = (4, 30, 340)
_ORIGIN = StreamOrigin(_POOL, 'v1')
_ROUTE = Route(
    name='r',
    host='a.example',
    prefix='/x/',
    kind=RequestKind.stream,
    shares=(PoolShare(_POOL, 1),),
    timeout_ms=15_000,
    target_ms=1000,
    priority=1,
    attempts=2,
    may_resume=True,
)


@dataclass
class Directory:
    """Gateways that all keep origins; an address is a name."""

    name: str
    origin_keepers: tuple[str, ...]

    @property
    def names(self) -> frozenset[str]:
        """Names of the others."""
        return frozenset(self.origin_keepers)

    @property
    def count(self) -> int:
        """Number of gateways."""
        return len(self.origin_keepers) + 1

    def address_of(self, name: str) -> str:
        """Return the name."""
        return name


@dataclass
class Cost:
    """Datagrams and their bytes, and the processor time of both sides."""

    datagrams: int = 0
    payload_bytes: int = 0
    seconds: float = 0


class Network:
    """Gateways that exchange encoded messages in memory."""

    def __init__(self, count: int) -> None:
        """Start gateways that know servers of two versions."""
        self.cost = Cost()
        clock = ManualClock(1)
        names = [f'front-{number}' for number in range(count)]
        self.registries: dict[str, OriginRegistry] = {}
        for name in names:
            others = tuple(other for other in names if other != name)
            registry = OriginRegistry(
                Directory(name, others),
                KnownOrigins(clock, lambda pool: False, NO_SERVERS),
                NOT_STORED,
                clock,
                int,
                random.Random(1),
                lambda source: None,
            )
            registry.update_servers(
                Server(version, _POOL, '', '', 1, version=version)
                for version in ('v1', 'v2')
            )
            registry.requests.send = self._deliver
            self.registries[name] = registry

    def begin_streams(self, count: int) -> Cost:
        """Begin streams at the gateways in turn; return the cost."""
        self.cost = Cost()
        registries = list(self.registries.values())
        jobs = [_make_job(number) for number in range(count)]
        began = time.process_time()
        for number, job in enumerate(jobs):
            registries[number % len(registries)].record(job)
        self.cost.seconds = time.process_time() - began
        return self.cost

    def _deliver(self, address: str, message: OriginMessage) -> None:
        packet = encode_origin(message)
        self.cost.datagrams += 1
        self.cost.payload_bytes += len(packet)
        self.registries[address].handle_message('', decode_origin(packet))


def _make_job(number: int) -> Job:
    """Return a job whose stream has begun."""
    return Job(
        request_id=b'%016x' % number,
        method=b'POST',
        target=b'/x/',
        headers=[],
        body=b'',
        route=_ROUTE,
        tenant=None,
        pool=_POOL,
        priority=1,
        arrived_ms=0,
        max_wait_ms=0,
        deadline_ms=0,
        prompt=Prompt(),
        origin=_ORIGIN,
    )


def _resumption_bytes() -> tuple[int, int]:
    """Return the bytes of a request and of a reply."""
    pool = hash_name(_POOL)
    request = OriginRequest(1 << 47, hash_stream(b'r'), pool)
    reply = OriginReply(
        1 << 47, True, pool, 'v1', 900, 80_000, {'v1': 0, 'v2': 0}
    )
    return len(encode_origin(request)), len(encode_origin(reply))


def main() -> int:
    """Print the cost of each gateway while two versions serve."""
    for count in _GATEWAY_COUNTS:
        cost = Network(count).begin_streams(_STREAMS)
        share = _STREAMS_PER_S / _STREAMS / count
        sys.stdout.write(
            f'{count} gateways: {_STREAMS_PER_S / count:.1f} streams/s each, '
            f'{cost.datagrams * share:.1f} datagrams/s and '
            f'{cost.payload_bytes * share / 1000:.2f} KB/s sent, '
            f'{cost.seconds * share:.4f} of a core without the socket\n'
        )
    request, reply = _resumption_bytes()
    sys.stdout.write(f'resumption: {request} bytes asked, {reply} answered\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
