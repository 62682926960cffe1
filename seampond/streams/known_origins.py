"""What one gateway knows of the origins of streams."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from seampond.clock import Clock
from seampond.forwarding.stream_origins import RunState
from seampond.sharing.hashing import hash_name
from seampond.streams.messages import OriginReply, OriginRequest
from seampond.streams.origin_table import OriginEntry, OriginTable
from seampond.streams.servers import ServerDirectory
from seampond.streams.version_history import VersionHistory


def find_pool(pool_hash: int, pools: Iterable[str]) -> str:
    """Return the name of a pool, empty if it is not among them."""
    for pool in pools:
        if hash_name(pool) == pool_hash:
            return pool
    return ''


class KnownOrigins:
    """The recorded origins and the versions that this gateway has seen.

    Parameters
    ----------
    has_uncertain_version : Callable[[str], bool]
        Return whether a server of a pool may run an unknown version.

    Attributes
    ----------
    history : VersionHistory
        The versions of each pool.
    table : OriginTable
        The recorded origins.
    servers : ServerDirectory
        The servers that this gateway knows.

    """

    def __init__(
        self,
        clock: Clock,
        has_uncertain_version: Callable[[str], bool],
        servers: ServerDirectory,
    ) -> None:
        """Start without streams."""
        self.history = VersionHistory(clock)
        self.table = OriginTable(clock)
        self._clock = clock
        self.servers = servers
        self._has_uncertain_version = has_uncertain_version

    def verify_runs(self) -> None:
        """Verify recorded origins, after a proof of the list of servers."""
        self.table.verify_runs(self.servers.check_run)

    def find(self, stream: int) -> OriginEntry | None:
        """Return an origin that is verified or may be soon, None if unknown.

        Explanation
        -----------
        A proof that verifies it is requested.
        """
        entry = self.table.find(stream)
        if entry is None or entry.run is None:
            return entry
        self.servers.request_proof(entry.run)
        is_known = self.servers.check_run(entry.run) is not RunState.unknown
        return entry if is_known else None

    def answer(self, request: OriginRequest) -> OriginReply:
        """Return the reply to a request of another gateway."""
        reply = self.describe_pool(
            request.number, find_pool(request.pool, self.history.pools)
        )
        entry = self.find(request.stream)
        if entry is None:
            return reply
        is_verified = entry.run is None
        return replace(
            reply,
            is_known=is_verified,
            is_unverified=not is_verified,
            # Earlier releases must not infer a version either.
            is_uncertain=reply.is_uncertain or not is_verified,
            pool=entry.pool,
            version=entry.version,
            age_ms=self._clock.now() - entry.recorded_ms,
        )

    def describe_pool(self, number: int, pool: str) -> OriginReply:
        """Return a reply about the versions of a pool."""
        return OriginReply(
            number,
            watched_ms=self.history.watched_ms(pool),
            seen_ago_ms=self.history.seen_ago_ms(pool),
            is_uncertain=self._has_uncertain_version(pool),
        )
