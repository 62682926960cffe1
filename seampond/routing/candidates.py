"""The order in which agents are tried for a request."""

import hashlib
import random
from collections.abc import Iterable, Sequence

from seampond.routing.peer import Peer

_DIGEST_BYTES = 8
_LOAD_NOISE = 0.05


def weight(key: str, name: str) -> bytes:
    """Give the rendezvous weight of `name` for `key`.

    Explanation
    -----------
    Every process computes the same weights from the same names, so all
    agree on the highest without a word; when a member comes or goes, only
    the keys that it wins move [1]_.

    References
    ----------
    .. [1] Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit
       Rates, IEEE/ACM Transactions on Networking, 1998.

    """
    return hashlib.blake2b(
        f'{key}\0{name}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()


def choose_subset(owner: str, names: Iterable[str], size: int) -> list[str]:
    """Give the `size` names that `owner` keeps links to.

    Examples
    --------
    >>> choose_subset('entry-1', ['a', 'b', 'c'], 5) == sorted('abc')
    True

    """
    ranked = sorted(names, key=lambda name: weight(owner, name), reverse=True)
    return sorted(ranked[:size])


def find_home(prefix: str, peers: Sequence[Peer]) -> Peer | None:
    """Give the agent that a prompt prefix belongs to."""
    if not prefix or not peers:
        return None
    return max(peers, key=lambda peer: weight(prefix, peer.name))


def order_by_load(
    peers: Iterable[Peer], own_hall: str, rng: random.Random
) -> list[Peer]:
    """Give agents by load, our own hall first among equals.

    Explanation
    -----------
    Load is what heartbeats told plus what was reserved since; a little
    noise keeps entries with the same stale news from all choosing one.
    """

    def cost(peer: Peer) -> tuple[float, bool]:
        noise = rng.uniform(0, _LOAD_NOISE)
        return peer.load.per_slot + noise, peer.vm.hall != own_hall

    return sorted(peers, key=cost)
