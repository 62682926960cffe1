"""Records which version began each stream and finds it for a resumption."""

import hashlib
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from seampond.clock import Clock
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.server import Server
from seampond.forwarding.stream_origins import Resumption, StreamOrigin
from seampond.sharing.hashing import hash_name
from seampond.streams.messages import (
    OriginMessage,
    OriginReply,
    OriginReport,
    OriginRequest,
)
from seampond.streams.origin_table import OriginEntry, OriginTable
from seampond.streams.owners import GatewayDirectory, OriginOwners
from seampond.streams.requests import OriginRequests
from seampond.streams.version_history import VersionHistory

_OWNERS = 2
# More than the owners, since gateways may differ in whom they know.
_ASKED = 4
# Streams of one datagram.
_REPORT_STREAMS = 64
# A copy of the list of servers that was proved later than this holds any
# version that may have begun a stream.
_MAX_PROOF_AGE_MS = 3000
_UNKNOWN_RETRY_MS = 300
_KEY_BYTES = 8
_STEP = 'resume'


def hash_stream(request_id: bytes) -> int:
    """Return the key of the stream that a request began.

    Examples
    --------
    >>> hash_stream(b'r1') == hash_stream(b'r1')
    True

    """
    digest = hashlib.blake2b(request_id, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest)


class OriginRegistry:
    """The origins of the streams that began here or that this gateway owns.

    Explanation
    -----------
    A caller may resume its stream at another gateway, also when the one that
    began it has died.  That one therefore reports the origin to two owners,
    which follow from the stream's key, and a gateway that resumes a stream
    asks them.  Nothing is reported while a single version has served a pool
    for longer than streams last.

    Parameters
    ----------
    proof_age_ms : Callable[[], int]
        Return the age of the proof that the list of servers is current.
    has_uncertain_version : Callable[[str], bool]
        Return whether a server of a pool may run an unknown version.
    count : Callable[[str], None]
        Counts resumed streams by the source of their origin.

    Attributes
    ----------
    requests : OriginRequests
        Requests to other gateways.

    """

    def __init__(
        self,
        gateways: GatewayDirectory,
        clock: Clock,
        proof_age_ms: Callable[[], int],
        has_uncertain_version: Callable[[str], bool],
        rng: random.Random,
        count: Callable[[str], None],
    ) -> None:
        """Start without streams."""
        self.requests = OriginRequests(rng)
        self._gateways = gateways
        self._clock = clock
        self._proof_age_ms = proof_age_ms
        self._has_uncertain_version = has_uncertain_version
        self._rng = rng
        self._count = count
        self._owners = OriginOwners(gateways)
        self._history = VersionHistory(clock)
        self._table = OriginTable(clock)

    def record(self, job: Job) -> None:
        """Record the origin of a stream whose first event has arrived."""
        if job.origin is None:
            return
        stream = hash_stream(job.request_id)
        entry = OriginEntry(
            hash_name(job.origin.pool),
            job.origin.version,
            self._clock.now(),
            is_own=True,
        )
        self._table.add(stream, entry)
        if not self._history.is_settled(job.origin.pool):
            self._report([(stream, entry)])

    async def resolve(self, job: Job) -> None:
        """Find the origin of a stream that a caller resumes.

        Raises
        ------
        Refusal
            If the version that began it is not known, or the route does not
            lead to its pool any more.

        """
        if not job.is_resumed:
            return
        resumption = await self._find(job)
        self._count(resumption.source if resumption else 'unknown')
        if resumption is None:
            raise Refusal(
                Cause.version_unknown,
                step=_STEP,
                retry_after_ms=_UNKNOWN_RETRY_MS,
            )
        job.resumption = resumption
        job.origin = resumption.origin
        if job.origin.pool not in job.route.pools:
            raise Refusal(Cause.version_gone, step=_STEP)
        job.pool = job.origin.pool

    def update_servers(self, servers: Iterable[Server]) -> None:
        """Apply the list of servers; report streams that may be resumed."""
        before = set(filter(self._history.is_settled, self._history.pools))
        self._history.update(servers)
        for pool in before:
            if not self._history.is_settled(pool):
                self._report(self._table.list_unreported(hash_name(pool)))

    async def adopt_history(self) -> None:
        """Take over the versions that another gateway has seen."""
        for pool in self._history.incomplete_pools:
            keepers = self._gateways.origin_keepers
            names = self._rng.sample(keepers, min(_OWNERS, len(keepers)))
            replies = await self.requests.request(
                0, hash_name(pool), self._addresses_of(names)
            )
            for reply in replies:
                self._history.adopt(pool, reply.seen_ago_ms, reply.watched_ms)

    def handle_message(self, address: str, message: OriginMessage) -> None:
        """Handle a message of the gateway at an address."""
        if isinstance(message, OriginReply):
            self.requests.handle_reply(message)
        elif isinstance(message, OriginRequest):
            self.requests.send(address, self._answer(message))
        else:
            self._apply_report(message)

    def _apply_report(self, report: OriginReport) -> None:
        now_ms = self._clock.now()
        for stream in report.streams:
            entry = OriginEntry(report.pool, report.version, now_ms)
            self._table.add(stream, entry)

    def _answer(self, request: OriginRequest) -> OriginReply:
        reply = self._describe_pool(
            request.number, self._find_pool(request.pool, self._history.pools)
        )
        entry = self._table.find(request.stream)
        if entry is None:
            return reply
        return replace(
            reply,
            is_known=True,
            pool=entry.pool,
            version=entry.version,
            age_ms=self._clock.now() - entry.recorded_ms,
        )

    def _describe_pool(self, number: int, pool: str) -> OriginReply:
        """Return a reply about the versions of a pool."""
        return OriginReply(
            number,
            watched_ms=self._history.watched_ms(pool),
            seen_ago_ms=self._history.seen_ago_ms(pool),
            is_uncertain=self._has_uncertain_version(pool),
        )

    def _report(self, entries: Iterable[tuple[int, OriginEntry]]) -> None:
        """Report the origins of streams to their owners."""
        reports: dict[tuple[str, int, str], list[int]] = {}
        for stream, entry in entries:
            entry.is_reported = True
            for owner in self._owners.find_owners(stream, _OWNERS):
                key = (owner, entry.pool, entry.version)
                reports.setdefault(key, []).append(stream)
        for (owner, pool, version), streams in reports.items():
            for batch in _split(streams, _REPORT_STREAMS):
                self.requests.send(
                    self._gateways.address_of(owner),
                    OriginReport(pool, version, batch),
                )

    async def _find(self, job: Job) -> Resumption | None:
        """Return the origin of a stream and its source, None if unknown."""
        stream = hash_stream(job.resumes)
        entry = self._table.find(stream) if job.resumes else None
        if entry is not None:
            age_ms = self._clock.now() - entry.recorded_ms
            source = 'own' if entry.is_own else 'owned'
            return self._make_resumption(
                job, entry.pool, entry.version, source, age_ms
            )
        pool = job.route.pools[0] if len(job.route.pools) == 1 else ''
        replies = await self.requests.request(
            stream,
            hash_name(pool),
            self._addresses_of(self._owners.find_owners(stream, _ASKED)),
        )
        for reply in replies:
            if reply.is_known and job.resumes:
                return self._make_resumption(
                    job, reply.pool, reply.version, 'asked', reply.age_ms
                )
        return self._infer(pool, replies, job.max_age_ms) if pool else None

    def _make_resumption(
        self, job: Job, pool: int, version: str, source: str, age_ms: int
    ) -> Resumption:
        """Return an origin; a pool that the route lacks has an empty name."""
        name = self._find_pool(pool, job.route.pools)
        return Resumption(StreamOrigin(name, version), source, age_ms)

    def _infer(
        self, pool: str, replies: Sequence[OriginReply], max_age_ms: int
    ) -> Resumption | None:
        """Return the only version that may have begun a stream.

        Parameters
        ----------
        max_age_ms : int
            Longest time since the stream may have begun.

        """
        known = (self._describe_pool(0, pool), *replies)
        versions = {
            version
            for reply in known
            for version, ago_ms in reply.seen_ago_ms.items()
            if ago_ms <= max_age_ms
        }
        is_covered = any(reply.watched_ms >= max_age_ms for reply in known)
        is_current = replies or self._proof_age_ms() <= _MAX_PROOF_AGE_MS
        if len(versions) != 1 or not (is_covered and is_current):
            return None
        if any(reply.is_uncertain for reply in known):
            return None
        return Resumption(StreamOrigin(pool, versions.pop()), 'single-version')

    def _addresses_of(self, names: Iterable[str]) -> list[str]:
        return [self._gateways.address_of(name) for name in names]

    def _find_pool(self, pool_hash: int, pools: Iterable[str]) -> str:
        """Return the name of a pool, empty if it is not among them."""
        for pool in pools:
            if hash_name(pool) == pool_hash:
                return pool
        return ''


def _split(streams: list[int], size: int) -> Iterable[tuple[int, ...]]:
    """Yield parts of a list.

    Examples
    --------
    >>> list(_split([1, 2, 3], 2))
    [(1, 2), (3,)]

    """
    for start in itertools.count(0, size):
        if start >= len(streams):
            return
        yield tuple(streams[start : start + size])
