"""Removal of the rows that dead gateways left in the gateways' table."""

import logging
from collections.abc import Mapping
from typing import Protocol

from seampond.clock import Clock
from seampond.errors import ConflictError, PlatformError
from seampond.sharing.peers import FORGET_AFTER_MS, Peers

_CHECK_INTERVAL_MS = 1000
_SUSPENDED_MS = 3000
# Gives each gateway that precedes this one time to remove a row.
_TURN_MS = 2000
# Bounds the calls of a gateway that is cut off from many living ones.
_REMOVALS_PER_CHECK = 16
_logger = logging.getLogger(__name__)


class RowRemover(Protocol):
    """Removes rows of the gateways' table."""

    async def remove(self, key: str, version: int) -> None:
        """Remove the row if it still has this version."""


async def remove_dead_rows(
    remover: RowRemover, peers: Peers, clock: Clock
) -> None:
    """Remove the rows of gateways that have been silent for long.

    Explanation
    -----------
    A gateway that starts cannot tell whether a listed one is dead, and leaves
    it a share of the limits.  A gateway that is alive but not heard here writes
    its row again; those that hear it count it all along.

    After a suspension of this process or a failed call, the others may be
    silent because this gateway was cut off: they are observed anew.
    """
    since_ms = clock.now()
    checked_ms = since_ms
    while True:
        await clock.sleep(_CHECK_INTERVAL_MS)
        now_ms = clock.now()
        silence_ms = FORGET_AFTER_MS + peers.rank * _TURN_MS
        if now_ms - checked_ms > _SUSPENDED_MS:
            since_ms = now_ms
        elif now_ms - since_ms > silence_ms:
            names = [
                peer.name
                for peer in peers.summary.lost
                if now_ms - peer.heard_ms > silence_ms
            ]
            if not await _remove_some(remover, peers.removable_rows, names):
                since_ms = clock.now()
        checked_ms = clock.now()


async def _remove_some(
    remover: RowRemover, versions: Mapping[str, int], names: list[str]
) -> bool:
    """Remove a few of the rows; return False if the store fails."""
    for name in sorted(names)[:_REMOVALS_PER_CHECK]:
        try:
            await remover.remove(name, versions.get(name, 0))
        except ConflictError:
            _logger.info('row of a gateway has changed', extra={'peer': name})
        except PlatformError as error:
            _logger.warning(
                'row of a silent gateway not removed',
                extra={'peer': name, 'reason': error.message},
            )
            return False
        else:
            _logger.warning(
                'row of a silent gateway removed', extra={'peer': name}
            )
    return True
