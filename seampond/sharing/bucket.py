"""One tenant's bucket, and what may be given beyond its quota."""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import Tenant
from seampond.sharing.fairness import Fairness

# Of the share that may be given beyond a quota, what flows in with the rate;
# the rest is left for what gateways have not told each other yet.
_SHARE_PART = 0.6


@dataclass(frozen=True, slots=True)
class Margin:
    """What may be given beyond a quota, in any window of some seconds.

    Parameters
    ----------
    share : float
        A part of the quota.
    units : float
        Some units beside it.
    window_ms : int
        The length of the window.

    """

    share: float
    units: float
    window_ms: int = 8000


@dataclass(slots=True)
class Bucket:
    """One tenant's bucket as this gateway sees it; below zero is a debt.

    Parameters
    ----------
    level : float
        What all gateways together may still give.
    part_level : float
        What we may give while some gateway is silent.
    spent : float
        What we have given in this life of the process.
    told : float
        How much of it the others have been told.
    fairness : Fairness
        What the ranks of work have asked here.

    """

    tenant: Tenant
    filled_ms: int
    fairness: Fairness
    level: float = 0
    part_level: float = 0
    spent: float = 0
    told: float = 0

    def spend(self, units: float) -> None:
        """Take units that we give; fewer than none for a refund."""
        self.level -= units
        self.part_level -= units
        self.spent += units

    def fill(self, now_ms: int, margin: Margin, gateways: int) -> None:
        """Let flow in what has come since the last time.

        Parameters
        ----------
        gateways : int
            How many share the bucket.

        """
        factor = 1 + margin.share * _SHARE_PART
        burst = self.tenant.burst * factor
        rate = self.tenant.rate * factor
        flowed = rate * (now_ms - self.filled_ms) / MS_PER_SECOND
        self.filled_ms = now_ms
        self.level = min(burst, self.level + flowed)
        part_level = self.part_level + flowed / gateways
        self.part_level = min(burst / gateways, part_level)
