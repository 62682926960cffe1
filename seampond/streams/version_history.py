"""The server versions of each pool that were listed of late."""

from collections.abc import Iterable, Mapping

from seampond.clock import Clock, least_local_ms
from seampond.forwarding.server import Server

# For how long a stream may be resumed after its version has left.
RETENTION_MS = 60_000
# Gateways that start together do not load the servers at the same moment.
_START_SPREAD_MS = 30_000


class VersionHistory:
    """The versions that may have begun a stream, by pool.

    Explanation
    -----------
    Where one version alone has served for longer than streams last, it began
    all of them.  A gateway that has just started takes over what others have
    seen and what the store keeps, since servers may have gone before.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without servers."""
        self._clock = clock
        self._loaded_ms: int | None = None
        # By pool: since when other gateways have known all versions.
        self._adopted_since_ms: dict[str, int] = {}
        self._listed: dict[str, frozenset[str]] = {}
        # By pool and version: when the version was last listed.
        self._seen_ms: dict[str, dict[str, int]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the list of servers has been read."""
        return self._loaded_ms is not None

    @property
    def pools(self) -> list[str]:
        """Pools of which a version has been listed."""
        return list(self._seen_ms)

    @property
    def incomplete_pools(self) -> list[str]:
        """Pools of which earlier versions may be unknown."""
        return [
            pool
            for pool in self._seen_ms
            if self.watched_ms(pool) < RETENTION_MS
        ]

    def listed(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool that are listed."""
        return self._listed.get(pool, frozenset())

    def watched_ms(self, pool: str) -> int:
        """Return for how long all versions of a pool have been known."""
        if self._loaded_ms is None:
            return 0
        since_ms = self._adopted_since_ms.get(pool, self._loaded_ms)
        return self._clock.now() - min(since_ms, self._loaded_ms)

    def update(self, servers: Iterable[Server]) -> None:
        """Apply the list of servers."""
        now_ms = self._clock.now()
        if self._loaded_ms is None:
            self._loaded_ms = now_ms
        self._record_listed(now_ms)
        listed: dict[str, set[str]] = {}
        for server in servers:
            listed.setdefault(server.pool, set()).add(server.version)
        self._listed = {
            pool: frozenset(versions) for pool, versions in listed.items()
        }
        self._record_listed(now_ms)

    def seen_ago_ms(self, pool: str) -> Mapping[str, int]:
        """Return when each version of a pool was last listed."""
        now_ms = self._clock.now()
        seen_ms = self._seen_ms.get(pool, {})
        listed = self._listed.get(pool, frozenset())
        ago_ms = {version: now_ms - at_ms for version, at_ms in seen_ms.items()}
        ago_ms.update(dict.fromkeys(listed, 0))
        return {
            version: since_ms
            for version, since_ms in ago_ms.items()
            if since_ms <= RETENTION_MS
        }

    def is_settled(self, pool: str) -> bool:
        """Return True if a single version began all streams of a pool."""
        has_one = len(self.seen_ago_ms(pool)) == 1
        return has_one and self.watched_ms(pool) >= (
            RETENTION_MS + _START_SPREAD_MS
        )

    def adopt(
        self, pool: str, seen_ago_ms: Mapping[str, int], watched_ms: int
    ) -> None:
        """Take over what another gateway or the store knows of a pool.

        Explanation
        -----------
        Its clock may be the faster one: versions must not seem older, nor the
        watch longer, than they are.

        Parameters
        ----------
        watched_ms : int
            For how long it has known all versions.

        """
        now_ms = self._clock.now()
        seen_ms = self._seen_ms.setdefault(pool, {})
        for version, ago_ms in seen_ago_ms.items():
            at_ms = now_ms - least_local_ms(ago_ms)
            seen_ms[version] = max(seen_ms.get(version, 0), at_ms)
        since_ms = now_ms - least_local_ms(watched_ms)
        known_ms = self._adopted_since_ms.get(pool, since_ms)
        self._adopted_since_ms[pool] = min(known_ms, since_ms)

    def _record_listed(self, now_ms: int) -> None:
        for pool, versions in self._listed.items():
            seen_ms = self._seen_ms.setdefault(pool, {})
            seen_ms.update(dict.fromkeys(versions, now_ms))
