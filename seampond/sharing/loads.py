"""Total load of the other gateways on each server."""

from collections.abc import Mapping

from seampond.sharing.heartbeats import Load

_NOTHING = Load(0, 0)


class LoadTotals:
    """Load per server summed over gateways, updated incrementally.

    Explanation
    -----------
    Adding up the loads of all gateways at each heartbeat would be too slow in
    a large fleet.

    Examples
    --------
    >>> totals = LoadTotals()
    >>> totals.replace({}, {7: Load(2, 500)})
    >>> totals.replace({7: Load(2, 500)}, {7: Load(1, 0), 8: Load(1, 90)})
    >>> for server, load in sorted(totals.pop_changed().items()):
    ...     print(server, load)
    7 Load(running=1, pending_tokens=0)
    8 Load(running=1, pending_tokens=90)
    >>> totals.pop_changed()
    {}

    """

    def __init__(self) -> None:
        """Start without any load."""
        self._by_server: dict[int, Load] = {}
        self._changed: set[int] = set()

    def replace(
        self, before: Mapping[int, Load], after: Mapping[int, Load]
    ) -> None:
        """Replace the previous loads of one gateway by its current ones."""
        for server, load in before.items():
            self._add(server, -load.running, -load.pending_tokens)
        for server, load in after.items():
            self._add(server, load.running, load.pending_tokens)
        self._changed.update(before, after)

    def pop_changed(self) -> dict[int, Load]:
        """Return the totals of servers reported since the last call."""
        changed = {
            server: self._by_server.get(server, _NOTHING)
            for server in self._changed
        }
        self._changed.clear()
        return changed

    def _add(self, server: int, running: int, pending_tokens: int) -> None:
        total = self._by_server.get(server, _NOTHING)
        load = Load(
            total.running + running, total.pending_tokens + pending_tokens
        )
        if load == _NOTHING:
            self._by_server.pop(server, None)
        else:
            self._by_server[server] = load
