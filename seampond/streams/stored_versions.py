"""Which versions of a pool the store should hold."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from seampond.streams.stored import StoredVersions
from seampond.streams.version_history import RETENTION_MS

# Gateways whose copies differ a little do not write by turns.
_FORGOTTEN_MS = 2 * RETENTION_MS
# Gateways learn at different times that a version has left.
_SAME_MS = 1000


@dataclass(frozen=True, slots=True)
class PoolView:
    """What a gateway knows of the versions of a pool.

    Parameters
    ----------
    seen_ms : Mapping[str, int]
        By version that was listed of late, when that was by the store's
        clock.
    listed : frozenset[str]
        The versions that are listed.
    since_ms : int
        Since when the gateway has known all versions by the store's clock, 0
        if since the first start of the system.
    now_ms : int
        Time by the store's clock.
    era : int
        Era of the store.

    """

    pool: str
    seen_ms: Mapping[str, int]
    listed: frozenset[str]
    since_ms: int
    now_ms: int
    era: int


def update_versions(
    stored: StoredVersions | None, view: PoolView
) -> StoredVersions | None:
    """Return the row that a pool should have, None if it has it.

    Explanation
    -----------
    What a row says holds on, whatever this gateway has seen, unless the store
    was restored since: then it may lack versions.

    Examples
    --------
    >>> view = PoolView('llm', {'v2': 9}, frozenset(['v2']), 5, 9, 0)
    >>> row = update_versions(None, view)
    >>> row.listed_until_ms, row.since_ms
    ({'v2': None}, 5)
    >>> update_versions(row, view) is None
    True
    >>> later = PoolView('llm', {'v3': 12}, frozenset(['v3']), 11, 12, 0)
    >>> update_versions(row, later).listed_until_ms
    {'v2': 12, 'v3': None}

    """
    base = stored or StoredVersions(view.pool, {}, view.since_ms, view.era)
    since_ms = base.since_ms
    if base.era != view.era or not base.pool:
        since_ms = view.since_ms
    until_ms = {
        version: _until_ms(version, base, view)
        for version in sorted({*base.listed_until_ms, *view.seen_ms})
    }
    oldest_ms = view.now_ms - _FORGOTTEN_MS
    kept = {
        version: last_ms
        for version, last_ms in until_ms.items()
        if last_ms is None or last_ms >= oldest_ms
    }
    row = replace(
        base,
        pool=view.pool,
        listed_until_ms=kept,
        since_ms=since_ms,
        era=view.era,
    )
    return None if row == stored else row


def _until_ms(version: str, base: StoredVersions, view: PoolView) -> int | None:
    """Return when a version was last listed, None if it is listed."""
    if version in view.listed:
        return None
    stored_ms = base.listed_until_ms.get(version)
    if stored_ms is None or base.era != view.era:
        # Not longer than until now, since this gateway does not list it.
        return view.seen_ms.get(version, view.now_ms)
    seen_ms = view.seen_ms.get(version, stored_ms)
    return seen_ms if seen_ms > stored_ms + _SAME_MS else stored_ms
