"""Follow the VM list and run one task per agent of the entry's subset."""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from seampond.backing.vms import (
    BACKEND_ROLE,
    ENTRY_ROLE,
    LEAVING_STATE,
    LIVE_STATE,
    ListVms,
    Vm,
)
from seampond.errors import PlatformError
from seampond.routing.candidates import choose_subset
from seampond.routing.keep import Keeping, keep_peer
from seampond.routing.peer import Peer, PeerState
from seampond.tasks import cancel_all

_JITTER = 0.2
_logger = logging.getLogger(__name__)


@dataclass
class Members:
    """Number of live entries in the last VM list that was read."""

    live_entries: int = 1


@dataclass(frozen=True, slots=True)
class SubsetPlan:
    """How an entry chooses its subset of agents.

    Parameters
    ----------
    owner : str
        Name of the entry, which determines its subset.
    links_per_pool : int
        Number of agents to choose in each pool.
    poll_ms : int
        Interval between two reads of the VM list.

    """

    owner: str
    links_per_pool: int
    poll_ms: int


def _choose_vms(vms: Iterable[Vm], plan: SubsetPlan) -> dict[str, Vm]:
    by_pool: dict[str, dict[str, Vm]] = {}
    for vm in vms:
        if vm.role == BACKEND_ROLE:
            by_pool.setdefault(vm.pool, {})[vm.name] = vm
    chosen = {}
    for pool in by_pool.values():
        for name in choose_subset(plan.owner, pool, plan.links_per_pool):
            chosen[name] = pool[name]
    return chosen


@dataclass
class PeerTasks:
    """Running tasks, one per peer."""

    keeping: Keeping
    tasks: dict[str, asyncio.Task[None]]

    def update(self, wanted: dict[str, Vm]) -> None:
        """Start and stop tasks to match `wanted`."""
        peers = self.keeping.dispatcher.peers
        for name in set(self.tasks) - set(wanted):
            self._retire(peers[name])
        for name, vm in wanted.items():
            peer = peers.get(name)
            if peer and peer.vm.address != vm.address:
                self._stop(peer)
            if name not in self.tasks:
                self._start(vm)
            self._record_leaving(peers[name], vm)

    async def stop_all(self) -> None:
        """Stop every task and wait for its end."""
        await cancel_all(self.tasks.values())

    def _start(self, vm: Vm) -> None:
        peer = Peer(vm)
        self.keeping.dispatcher.peers[vm.name] = peer
        self.tasks[vm.name] = asyncio.create_task(
            keep_peer(peer, self.keeping), name=f'peer {vm.name}'
        )

    def _retire(self, peer: Peer) -> None:
        # A VM may be unlisted before its planned stop: requests there finish.
        if peer.granted and peer.link:
            self._record_leaving(peer, replace(peer.vm, state=LEAVING_STATE))
            return
        self._stop(peer)

    def _stop(self, peer: Peer) -> None:
        self.tasks.pop(peer.name).cancel()
        self.keeping.dispatcher.remove(peer)
        _logger.info('agent removed', extra={'agent': peer.name})

    def _record_leaving(self, peer: Peer, vm: Vm) -> None:
        if vm.state == LEAVING_STATE and peer.state is PeerState.ready:
            peer.fire('said_leaving')


async def _update(
    list_vms: ListVms, tasks: PeerTasks, members: Members, plan: SubsetPlan
) -> None:
    try:
        vms = await list_vms()
    except PlatformError as error:
        _logger.debug('VM list not read', extra={'error': str(error)})
        return
    tasks.update(_choose_vms(vms, plan))
    entries = sum(
        vm.role == ENTRY_ROLE and vm.state == LIVE_STATE for vm in vms
    )
    members.live_entries = max(1, entries)


async def follow_members(
    list_vms: ListVms, tasks: PeerTasks, members: Members, plan: SubsetPlan
) -> None:
    """Keep `tasks` and `members` up to date until cancelled.

    Explanation
    -----------
    If the list cannot be read, the previous one stays in force; the links
    themselves show which agents respond.
    """
    try:
        while True:
            await _update(list_vms, tasks, members, plan)
            jitter = random.uniform(1 - _JITTER, 1 + _JITTER)
            await tasks.keeping.clock.sleep(plan.poll_ms * jitter)
    finally:
        await tasks.stop_all()
