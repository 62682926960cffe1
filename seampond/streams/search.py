"""Finding the version that began a stream."""

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import replace

from seampond.clock import Clock, least_local_ms
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.stream_origins import Resumption, StreamOrigin
from seampond.sharing.hashing import hash_name
from seampond.streams.known_origins import KnownOrigins, find_pool
from seampond.streams.messages import OriginReply
from seampond.streams.origin_table import OriginEntry
from seampond.streams.owners import GatewayDirectory, OriginOwners
from seampond.streams.requests import OriginRequests
from seampond.streams.stored import StoredOrigins, StoredRun
from seampond.streams.version_history import RETENTION_MS

# More than the owners, since gateways may differ in whom they know.
_ASKED = 4
# A run is verified by a proof that is up to 0.5 s younger than it.
_VERIFICATION_WAIT_MS = 1200
_VERIFICATION_CHECK_MS = 50
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


class OriginSearch:
    """Finds origins here, at the owners, in the store, or by the versions.

    Parameters
    ----------
    proof_age_ms : Callable[[], int]
        Return the age of the proof that the list of servers is current.

    """

    def __init__(
        self,
        known: KnownOrigins,
        stored: StoredOrigins,
        gateways: GatewayDirectory,
        owners: OriginOwners,
        requests: OriginRequests,
        proof_age_ms: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Initialize the search."""
        self._known = known
        self._stored = stored
        self._gateways = gateways
        self._owners = owners
        self._requests = requests
        self._servers = known.servers
        self._proof_age_ms = proof_age_ms
        self._clock = clock

    async def find_verified(
        self, job: Job, first_request: bytes
    ) -> Resumption | None:
        """Return the origin of a stream once it is verified, None if unknown.

        Explanation
        -----------
        A caller that is back right after the first event waits, up to the time
        in which the list of servers tells which process it came from.

        Parameters
        ----------
        first_request : bytes
            Id of the request that brought the first event, empty if unknown.

        Raises
        ------
        Refusal
            If no server of the likely version serves any more.

        """
        since_ms = self._clock.now()
        until_ms = since_ms + _VERIFICATION_WAIT_MS
        while True:
            found = await self._find(job, first_request, since_ms)
            if found is None or found.is_verified:
                return found
            if not self._servers.has_version(found.origin):
                raise Refusal(Cause.version_gone, step=_STEP)
            if self._clock.now() >= until_ms:
                return None
            await self._clock.sleep(_VERIFICATION_CHECK_MS)

    async def _find(
        self, job: Job, first_request: bytes, since_ms: int
    ) -> Resumption | None:
        """Return the origin of a stream that began before a time."""
        if not first_request:
            return await self._ask(job, 0, since_ms)
        stream = hash_stream(first_request)
        entry = self._known.find(stream)
        if entry is not None:
            return self._describe_entry(job, entry)
        run = self._stored.find(stream)
        if run is not None:
            return self._describe_run(job, run)
        return await self._ask(job, stream, since_ms)

    async def _ask(
        self, job: Job, stream: int, since_ms: int
    ) -> Resumption | None:
        """Return what other gateways know, else the only possible version."""
        pool = job.route.pools[0] if len(job.route.pools) == 1 else ''
        owners = self._owners.find_owners(stream, _ASKED)
        replies = await self._requests.request(
            stream,
            hash_name(pool),
            [self._gateways.address_of(name) for name in owners],
        )
        recorded = [
            reply for reply in replies if reply.is_known or reply.is_unverified
        ]
        if recorded and stream:
            best = max(recorded, key=lambda reply: reply.is_known)
            return self._describe_reply(job, best)
        inferred = self._infer(pool, replies, since_ms) if replies else None
        if inferred is not None:
            return inferred
        # Without a reply, the store alone can tell which versions were missed.
        read_ms = since_ms if stream or not replies else 0
        await self._stored.refresh(read_ms)
        run = self._stored.find(stream) if stream else None
        if run is not None:
            return self._describe_run(job, run)
        return self._infer(pool, replies, since_ms)

    def _describe_entry(self, job: Job, entry: OriginEntry) -> Resumption:
        # A pool that the route lacks has an empty name.
        pool = find_pool(entry.pool, job.route.pools)
        return Resumption(
            StreamOrigin(pool, entry.version),
            'own' if entry.is_own else 'owned',
            self._clock.now() - entry.recorded_ms,
            is_verified=entry.run is None,
        )

    def _describe_reply(self, job: Job, reply: OriginReply) -> Resumption:
        pool = find_pool(reply.pool, job.route.pools)
        return Resumption(
            StreamOrigin(pool, reply.version),
            'asked',
            reply.age_ms,
            is_verified=reply.is_known,
        )

    def _describe_run(self, job: Job, run: StoredRun) -> Resumption:
        pool = find_pool(run.pool, job.route.pools)
        return Resumption(StreamOrigin(pool, run.version), 'stored')

    def _infer(
        self, pool: str, replies: Sequence[OriginReply], since_ms: int
    ) -> Resumption | None:
        """Return the only version of a pool that may have begun a stream."""
        known = (self._known.describe_pool(0, pool), *replies)
        versions = {
            version
            for reply in known
            for version, ago_ms in reply.seen_ago_ms.items()
            if least_local_ms(ago_ms) <= RETENTION_MS
        }
        is_covered = any(
            least_local_ms(reply.watched_ms) >= RETENTION_MS for reply in known
        )
        is_certain = is_covered and not any(
            reply.is_uncertain for reply in known
        )
        if not pool or len(versions) != 1 or not is_certain:
            return None
        origin = StreamOrigin(pool, versions.pop())
        inferred = Resumption(origin, 'single-version')
        # Some that replied may have missed a version that another one knows.
        if replies and len(replies) == len(self._gateways.names):
            return inferred
        return self._check_list(inferred, since_ms)

    def _check_list(self, inferred: Resumption, since_ms: int) -> Resumption:
        """Return an inference, unverified if the list of servers is older.

        Explanation
        -----------
        The list of a gateway that was frozen lacks the versions that have come
        meanwhile, and so do the names of those that could tell.
        """
        is_current = self._clock.now() - self._proof_age_ms() >= since_ms
        if not is_current:
            self._servers.request_list_proof(since_ms)
        return replace(inferred, is_verified=is_current)
